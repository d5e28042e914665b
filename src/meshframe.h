/*
 * Encoding of the frames between lwproxy processes: a 4-byte big-endian
 * length, then one protobuf-c message of proto/mesh.proto.
 */
#ifndef LW_MESHFRAME_H
#define LW_MESHFRAME_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "bytebuf.h"
#include "call.h"
#include "docfetch.h"
#include "fleetconf.h"
#include "mesh.pb-c.h"

/* Maximum number of admission levels forwarded in one frame. */
#define LW_MESHFRAME_LEVELS_MAX 6

/* The load part of a frame, with the storage for its parts. */
typedef struct lw_meshframe_load {
	Lw__Load load;
	Lw__Hot hot[LW_PATH_LEVELS_MAX];
	Lw__Hot *list[LW_PATH_LEVELS_MAX];
	lw_level_report_t levels[LW_MESHFRAME_LEVELS_MAX];
	Lw__Heard levels_wire[LW_MESHFRAME_LEVELS_MAX];
	Lw__Heard *levels_list[LW_MESHFRAME_LEVELS_MAX];
	Lw__Notice notice;
	Lw__Arrivals arrivals;
	Lw__Work work[LW_WORKTIME_KINDS_MAX];
	Lw__Work *work_list[LW_WORKTIME_KINDS_MAX];
} lw_meshframe_load_t;

void lw_meshframe_append(lw_bytebuf_t *out, const Lw__MeshFrame *f);
ssize_t lw_meshframe_next(const char *data, size_t len, Lw__MeshFrame **out);
void lw_meshframe_free(Lw__MeshFrame *f);
ProtobufCBinaryData lw_meshframe_bytes(lw_str_t s);
lw_str_t lw_meshframe_str(ProtobufCBinaryData b);
char *lw_meshframe_text(const char *s);
void lw_meshframe_append_servers(lw_bytebuf_t *out, const lw_serverlist_t *sl);
void lw_meshframe_pack_servers(lw_bytebuf_t *out, const lw_serverlist_t *sl);
lw_status_t lw_meshframe_unpack_servers(lw_str_t bytes, uint64_t revision, lw_serverlist_t **out);
void lw_meshframe_append_fetch(lw_bytebuf_t *out, Lw__DocumentKind kind,
			       const lw_docfetch_request_t *request);
void lw_meshframe_append_piece(lw_bytebuf_t *out, Lw__DocumentKind kind,
			       const lw_docfetch_chunk_t *piece);
lw_docfetch_request_t lw_meshframe_read_fetch(const Lw__Fetch *in);
lw_docfetch_chunk_t lw_meshframe_read_piece(const Lw__Piece *in);
lw_serverlist_t *lw_meshframe_read_servers(const Lw__Servers *in);
Lw__Notice *lw_meshframe_notice(Lw__Notice *out, const lw_notice_t *n);
lw_notice_t lw_meshframe_read_notice(const Lw__Notice *in);
void lw_meshframe_load(lw_meshframe_load_t *out, const lw_load_t *load);
void lw_meshframe_add_levels(lw_meshframe_load_t *out, uint32_t n);
void lw_meshframe_read_level(const Lw__Heard *in, lw_level_report_t *out);
void lw_meshframe_read_load(const Lw__Load *in, lw_load_t *out);

#endif

/* Shared by the files of the mesh module only; others use mesh.h. */
#ifndef LW_MESH_INT_H
#define LW_MESH_INT_H

#include <ev.h>
#include <uthash.h>

#include "docfetch.h"
#include "meshframe.h"
#include "meshoutcomes.h"
#include "meshclosed.h"
#include "mesh.h"

/* kinds of documents that are fetched: the configuration, the list of backend servers */
#define LW_MESH_DOCUMENTS 2
/* ids of streams that were moved to another connection begin here */
#define LW_STREAM_MOVED_MIN 0x80000000u

typedef struct lw_link lw_link_t;

/*
 * One request on a connection. On the side that sent it, it is the call; on
 * the side that runs it, it is the sink of a call at the gate.
 */
typedef struct lw_stream {
	lw_call_t call; /* outgoing: sink is set */
	lw_sink_t as_sink; /* incoming */
	lw_call_t *job; /* incoming: the call at the gate */
	lw_link_t *link; /* it is on now */
	uint32_t id; /* on that link */
	lw_stream_origin_t origin;
	uint64_t open_at; /* outgoing: bytes queued before its first frame, on its first link */
	bool received; /* outgoing: the peer said that it has it */
	uint64_t query_link; /* outgoing: name of the link with the question about it; 0: none */
	uint64_t query_us; /* outgoing: when it was first asked about, 0: not */
	bool silence_reported; /* outgoing: its sink knows that nothing is heard */
	bool dead;
	bool request_whole; /* incoming: the body of the request is complete */
	bool answering; /* incoming: a part of the answer was sent */
	uint64_t query_number; /* incoming: number of the newest question about it */
	uint64_t named_by; /* incoming: the question acted on last that named it, as counted here */
	UT_hash_handle hh; /* in its link's streams, by id */
	UT_hash_handle by_origin; /* in the mesh's sent or taken */
} lw_stream_t;

struct lw_link {
	lw_mesh_t *mesh;
	int fd;
	ev_io io;
	char node[LW_NAME_MAX]; /* outgoing: its mesh address; incoming: its IP address */
	bool outgoing;
	bool connecting;
	bool closed;
	bool dirty;
	bool failed;
	bool refused; /* nobody listens at its other end: that process is gone */
	bool silent; /* carries no new requests */
	bool rejects_requests; /* incoming: its requests were told as never received */
	uint64_t name; /* drawn by the side that opened it; 0: not told yet */
	uint64_t peer_incarnation; /* 0: not told yet */
	uint32_t last_open; /* incoming: highest stream opened, plus one */
	uint32_t next_moved; /* incoming: next id of a stream moved here */
	uint32_t open_queries; /* outgoing: questions it carried that have no answer yet */
	uint64_t orphan_us; /* the socket is gone, the streams still wait; since when */
	uint32_t next_id;
	lw_stream_t *streams;
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	lw_bytebuf_t cancelled_ids; /* ids of streams, while a host that stood still catches up */
	uint64_t queued_total; /* bytes ever queued */
	uint64_t written_total; /* bytes ever given to the kernel */
	uint64_t handshake_bytes; /* outgoing: what may be written before the peer has spoken */
	uint64_t last_recv_us;
	uint64_t opened_us;
	uint64_t status_request_us; /* a status was asked for and has not come; 0: none */
	uint64_t late_us; /* what is read now was sent so much earlier */
	uint64_t peer_version; /* configuration in force at the peer, as far as told */
	uint64_t pushed_version;
	uint64_t peer_revision; /* of its list of backend servers, as far as told */
	uint64_t pushed_revision;
	uint64_t peer_store_read_us; /* when the store was last read, as far as the peer knows */
	bool peer_fetches; /* it asks for documents; it is not sent whole ones */
	uint64_t levels_us; /* when levels were last passed on over it */
	lw_link_t *next;
	lw_link_t *next_dirty;
};

struct lw_mesh {
	lw_evloop_t *evloop;
	lw_gate_t *gate;
	const lw_mesh_ops_t *ops;
	void *ctx;
	int listen_fd;
	ev_io accept_io;
	lw_link_t *links;
	lw_link_t *orphans; /* lost connections whose streams still wait */
	lw_stream_t *sent; /* requests of this node, by origin */
	lw_stream_t *incoming; /* requests of other nodes, by origin */
	uint64_t queries_sent; /* questions asked: the number of the newest */
	uint64_t queries_handled; /* questions of others acted on */
	lw_meshoutcomes_t outcomes; /* what became of requests of others, of late */
	lw_meshclosed_t closed_links; /* connections of others that may bring nothing more */
	uint64_t incarnation; /* of this process */
	char lapsed_id[LW_NAME_MAX]; /* of the backend server here, while its entry lapsed */
	uint64_t lapsed_born_ms;
	ev_timer watch; /* runs while requests are under way */
	lw_docfetch_t fetch[LW_MESH_DOCUMENTS];
	lw_link_t *dirty;
	uint64_t config_us; /* when the configuration in force was first announced */
	uint64_t config_seen;
	lw_mesh_stats_t stats;
};

bool lw_link_handshake_done(const lw_link_t *l);
bool lw_link_cancel_buffered(const lw_link_t *l, uint32_t id);
void lw_link_drop_unsent(lw_link_t *l);
void lw_link_discard_held(lw_link_t *l);
bool lw_stream_unsent(const lw_stream_t *s);
bool lw_link_can_recover(const lw_link_t *l);
void lw_link_orphan(lw_link_t *l);
void lw_link_drop_streams(lw_link_t *l);
void lw_mesh_query_link(lw_link_t *l);
void lw_mesh_retry_queries(lw_mesh_t *m);
void lw_mesh_on_query(lw_link_t *l, const Lw__FateQuery *q);
void lw_mesh_on_fates(lw_link_t *l, const Lw__Fates *w);
uint32_t lw_mesh_count_fates(const Lw__Fates *w, Lw__FateKind kind);
void lw_mesh_reset_queries(const lw_link_t *l);
void lw_mesh_check_orphans(lw_mesh_t *m);
void lw_mesh_peer_gone(lw_mesh_t *m, const char *node);
void lw_link_free(lw_link_t *l);
void lw_link_frame_queued(lw_link_t *l, size_t before, Lw__MeshFrame__BodyCase kind);
void lw_link_send(lw_link_t *l, const Lw__MeshFrame *f);
void lw_mesh_flush_all(void *ctx);
void lw_mesh_fill_load(lw_link_t *l, lw_meshframe_load_t *out, const lw_load_t *load);
void lw_mesh_read_levels(lw_link_t *l, const Lw__Load *load);
void lw_mesh_send_status(lw_link_t *l, bool is_reply);
void lw_mesh_send_cancel(lw_link_t *l, uint32_t id);
void lw_mesh_send_outcome(lw_link_t *l, uint32_t id, const lw_retained_outcome_t *o);
void lw_stream_free(lw_stream_t *s);
void lw_stream_add(lw_stream_t *s, lw_link_t *l, uint32_t id);
void lw_stream_move(lw_stream_t *s, lw_link_t *to, uint32_t id);
lw_stream_t *lw_stream_by_origin(lw_stream_t *table, uint64_t link, uint32_t id);
void lw_mesh_on_open(lw_link_t *l, const Lw__Open *o);
void lw_mesh_on_answer(lw_link_t *l, const Lw__Answer *w);
void lw_mesh_on_data(lw_link_t *l, const Lw__Data *d);
void lw_mesh_on_credit(lw_link_t *l, const Lw__Credit *c);
void lw_mesh_on_cancel(lw_link_t *l, const Lw__Cancel *c);
void lw_mesh_on_failed(lw_link_t *l, const Lw__Failed *w);
void lw_mesh_on_status(lw_link_t *l, const Lw__Status *w);
void lw_mesh_on_frame(lw_link_t *l, const Lw__MeshFrame *f);
void lw_link_lost(lw_link_t *l);
lw_link_t *lw_link_new(lw_mesh_t *m, int fd, bool outgoing);
lw_link_t *lw_link_to(lw_mesh_t *m, const char *node);
void lw_mesh_push_config(lw_link_t *l, uint64_t version, uint64_t now);
typedef void (*lw_link_fn)(lw_link_t *l, const void *ctx);
void lw_mesh_each_random(lw_mesh_t *m, uint32_t nodes, lw_link_fn fn, const void *ctx);
bool lw_link_usable(const lw_link_t *l);
void lw_mesh_send_known_suspects(lw_link_t *l);
void lw_mesh_on_suspects(lw_link_t *l, const Lw__Suspects *w);
void lw_mesh_on_quota_report(lw_link_t *l, const Lw__QuotaReport *w);
void lw_mesh_on_quota_terms(lw_link_t *l, const Lw__QuotaTerms *w);
void lw_mesh_apply_store_read(lw_link_t *l);
void lw_mesh_fetch_from(lw_link_t *l);
void lw_mesh_fetch_any(lw_mesh_t *m);
void lw_mesh_source_lost(lw_link_t *l);
void lw_mesh_on_fetch(lw_link_t *l, const Lw__Fetch *w);
void lw_mesh_on_piece(lw_link_t *l, const Lw__Piece *w);

#endif

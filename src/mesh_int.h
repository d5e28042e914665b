/* Internal declarations of the mesh module; other modules include mesh.h. */
#ifndef LW_MESH_INT_H
#define LW_MESH_INT_H

#include <ev.h>
#include <uthash.h>

#include "docfetch.h"
#include "meshframe.h"
#include "meshoutcomes.h"
#include "meshclosed.h"
#include "mesh.h"

/* number of document kinds: the configuration and the list of backend servers */
#define LW_MESH_DOCUMENTS 2
/* lowest id of streams that were moved here from another connection */
#define LW_STREAM_MOVED_MIN 0x80000000u

/*
 * Requests of a peer for states and documents are ignored while more than this is unwritten to it, in
 * bytes. It asks again later; a peer that asks and reads nothing would fill the memory.
 */
#define LW_LINK_UNWRITTEN_MAX (1024u * 1024)

typedef struct lw_link lw_link_t;

/*
 * One request on a connection. On the sending node it acts as the call; on the executing
 * node it acts as the sink of a call at the admission gate.
 */
typedef struct lw_stream {
	lw_call_t call; /* outgoing: its sink is set */
	lw_sink_t as_sink; /* used by incoming streams */
	lw_call_t *job; /* incoming: the call at the gate */
	lw_link_t *link; /* current connection */
	uint32_t id; /* stream id on that connection */
	lw_stream_origin_t origin;
	uint64_t open_offset; /* outgoing: queued_total of its first connection when it was sent */
	bool received; /* outgoing: the peer confirmed that it has the request */
	/* outgoing: name of the connection that carries the pending outcome query; 0: none */
	uint64_t query_link;
	uint64_t query_us; /* outgoing: time of the first outcome query, 0: none sent */
	bool silence_reported; /* outgoing: its sink was informed that the peer is silent */
	bool dead;
	bool request_complete; /* incoming: the whole request body was received */
	bool response_started; /* incoming: a part of the response was sent */
	uint64_t query_number; /* incoming: number of the newest outcome query about it */
	/* incoming: queries_handled of the mesh when an outcome query last named it */
	uint64_t named_by;
	UT_hash_handle hh; /* in lw_link.streams, by id */
	UT_hash_handle by_origin; /* in lw_mesh.sent or lw_mesh.incoming */
} lw_stream_t;

struct lw_link {
	lw_mesh_t *mesh;
	int fd;
	ev_io io;
	char node[LW_NAME_MAX]; /* outgoing: mesh address of the peer; incoming: its IP address */
	bool outgoing;
	bool connecting;
	bool closed;
	bool dirty;
	bool failed;
	bool refused; /* connection refused: the peer process has exited */
	bool silent; /* the peer does not respond; no new requests are sent here */
	/* incoming: its requests were already reported as never received */
	bool rejects_requests;
	uint64_t name; /* random id chosen by the node that opened it; 0: not known yet */
	uint64_t peer_incarnation; /* 0: not known yet */
	uint32_t last_open; /* incoming: highest stream id opened, plus one */
	uint32_t next_moved; /* incoming: next id for a stream that is moved here */
	uint32_t open_queries; /* outgoing: outcome queries sent here that are not answered yet */
	/* time at which the connection was lost while requests still wait; 0: not lost */
	uint64_t orphan_us;
	uint32_t next_id;
	lw_stream_t *streams;
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	/* stream ids cancelled in the input buffer after a host suspend */
	lw_bytebuf_t cancelled_ids;
	uint64_t queued_total; /* bytes queued since the connection was opened */
	uint64_t written_total; /* bytes written to the socket since the connection was opened */
	/* outgoing: bytes that may be written before the peer's first frame */
	uint64_t handshake_bytes;
	uint64_t last_recv_us;
	/* outgoing: when this node last had something to send to the peer */
	uint64_t used_us;
	uint64_t opened_us;
	uint32_t status_number; /* of the last status that awaits a reply */
	/* incoming: number of the status that announced the exit; 0: none, or the peer has replied */
	uint32_t exit_number;
	bool peer_numbers; /* the peer's replies have the number of the status that they reply to */
	uint64_t status_request_us; /* time of the unanswered status request; 0: none */
	uint64_t late_us; /* time by which a host suspend delayed the data in the buffers */
	uint64_t peer_version; /* configuration version in use at the peer, as far as known */
	uint64_t pushed_version;
	/* revision of the peer's list of backend servers, as far as known */
	uint64_t peer_revision;
	uint64_t pushed_revision;
	uint64_t peer_store_read_us; /* time of the last store read that the peer knows of */
	/* the peer fetches documents in chunks; whole ones are not pushed to it */
	bool peer_asserts; /* the peer asserts that its backend server is alive */
	bool peer_fetches;
	uint64_t levels_us; /* when admission levels were last sent over it */
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
	bool accepting; /* the listening socket is open */
	lw_link_t *links;
	lw_link_t *orphans; /* lost connections whose requests still wait for their outcome */
	lw_stream_t *sent; /* requests sent by this node, by origin */
	lw_stream_t *incoming; /* requests received from other nodes, by origin */
	uint64_t queries_sent; /* outcome queries sent; also the number of the newest one */
	uint64_t queries_handled; /* outcome queries of other nodes processed */
	lw_meshoutcomes_t outcomes; /* recent outcomes of requests of other nodes */
	lw_meshclosed_t closed_links; /* closed connections of other nodes */
	uint64_t incarnation; /* random id of this process */
	lw_liveness_t liveness; /* what this node asserts of the local backend server */
	ev_timer watch_timer; /* active while requests are in flight */
	lw_docfetch_t fetch[LW_MESH_DOCUMENTS];
	lw_link_t *dirty;
	uint64_t config_us; /* when the configuration version in config_seen was first seen */
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
void lw_link_retire(lw_link_t *l);
lw_link_t *lw_link_new(lw_mesh_t *m, int fd, bool outgoing);
lw_link_t *lw_link_to(lw_mesh_t *m, const char *node);
void lw_mesh_push_config(lw_link_t *l, uint64_t version, uint64_t now);
typedef void (*lw_link_fn)(lw_link_t *l, const void *ctx);
uint32_t lw_mesh_each_random(lw_mesh_t *m, uint32_t nodes, lw_link_fn fn, const void *ctx);
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

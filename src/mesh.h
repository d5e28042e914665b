/*
 * Connections between nodes. Many requests share one connection as multiplexed streams with
 * per-stream flow control, so that a large body does not delay small requests.
 */
#ifndef LW_MESH_H
#define LW_MESH_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"
#include "fleetconf.h"
#include "gate.h"
#include "evloop.h"
#include "quarantine.h"
#include "quota.h"
#include "revdoc.h"

/* Number of values of Lw__MeshFrame__BodyCase, NOT_SET included. */
#define LW_MESH_FRAME_KINDS 17

typedef struct lw_mesh lw_mesh_t;

/*
 * A node asserts that its backend server is alive although the server's entry is gone, with its
 * evidence.
 */
typedef struct lw_liveness {
	const char *server; /* id; empty: nothing is asserted */
	uint64_t born_ms; /* start of the server's process */
	uint64_t missing_us; /* since when its entry is missing at that node */
	uint64_t read_us; /* when that node last read the store; 0: never */
} lw_liveness_t;

/*
 * Callbacks through which the mesh reports to the rest of the node and reads its state.
 * @ctx is the context passed to lw_mesh_new().
 */
typedef struct lw_mesh_ops {
	void (*load)(void *ctx, const char *node, const lw_load_t *load);
	/* @node asserts that its backend server is alive, or does so no longer: no server */
	void (*server_alive)(void *ctx, const char *node, const lw_liveness_t *said);
	/*
	 * the connection to @node was lost or went silent; @used: it had carried requests or
	 * the peer's status
	 */
	void (*node_lost)(void *ctx, const char *node, bool used);
	/*
	 * fills @out with at most @most admission levels known here, to be passed on to
	 * other nodes; returns their number
	 */
	uint32_t (*known_levels)(void *ctx, lw_level_report_t *out, uint32_t most);
	/* another node reported the admission level of a service */
	void (*level_received)(void *ctx, const lw_level_report_t *heard);
	uint64_t (*config_version)(void *ctx);
	/*
	 * the newest version held here of a document; @kind: 0 for the configuration, 1 for
	 * the backend servers
	 */
	lw_revdoc_t *(*document)(void *ctx, int kind);
	void (*config_received)(void *ctx, lw_str_t text);
	/* the list of backend servers in use; NULL if there is none */
	const lw_serverlist_t *(*servers)(void *ctx);
	void (*servers_received)(void *ctx, lw_serverlist_t *sl);
	/* the list in use is unchanged at the newer revision @revision */
	void (*servers_confirmed)(void *ctx, uint64_t revision);
	/* time since the store was last read, as far as this node knows */
	uint32_t (*news_age_ms)(void *ctx);
	/*
	 * @node, which has no newer document than this node, knows that the store was read
	 * at @at_us
	 */
	void (*store_read)(void *ctx, const char *node, uint64_t at_us);
	/*
	 * a status of @node arrived; @read_store: that node cannot reach the store and asks
	 * this one to read it
	 */
	void (*status_received)(void *ctx, const char *node, bool read_store);
	/*
	 * another node reported what it knows of a suspect request; returns the record to
	 * forward to other nodes at once, or NULL
	 */
	const lw_suspect_t *(*suspect_received)(void *ctx, const lw_suspect_t *report);
	/*
	 * usage report of the node with digest @node; fills @out with at most @most answers
	 * and returns their number
	 */
	size_t (*quota_report)(void *ctx, uint64_t node, const lw_quota_usage_t *uses, size_t n,
			       lw_quota_grant_t *out, size_t most);
	/* the quota coordinator at @node answered the report @number */
	void (*quota_terms)(void *ctx, const char *node, uint32_t number,
			    const lw_quota_grant_t *terms, size_t n);
	/* the suspect requests that a newly connected node must know; returns their number */
	size_t (*known_suspects)(void *ctx, const lw_suspect_t **out, size_t most);
} lw_mesh_ops_t;

typedef struct lw_mesh_stats {
	uint64_t links_opened;
	uint64_t links_lost;
	uint64_t links_silent;
	uint64_t links_retired; /* closed by this node, as it had nothing to send over them */
	uint64_t queries; /* outcome queries sent for requests on lost connections */
	uint64_t moved; /* requests that continued on another connection */
	/* requests that a peer never received and that were sent elsewhere */
	uint64_t never_received;
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t bytes_out;
	uint64_t bytes_of[LW_MESH_FRAME_KINDS]; /* bytes queued, by frame kind */
} lw_mesh_stats_t;

lw_mesh_t *lw_mesh_new(lw_evloop_t *evloop, lw_gate_t *gate, const lw_mesh_ops_t *ops, void *ctx);
lw_status_t lw_mesh_listen(lw_mesh_t *m, const char *addr);
lw_call_t *lw_mesh_call(lw_mesh_t *m, const char *node, lw_sink_t *sink,
			const lw_call_request_t *req, lw_str_t body, bool fin);
bool lw_mesh_has_unwritten_answers(const lw_mesh_t *m);
void lw_mesh_close_all(lw_mesh_t *m);
void lw_mesh_broadcast_status(lw_mesh_t *m);
void lw_mesh_announce_exit(lw_mesh_t *m);
bool lw_mesh_exit_confirmed(const lw_mesh_t *m);
void lw_mesh_assert_liveness(lw_mesh_t *m, const lw_liveness_t *said);
void lw_mesh_end_liveness(lw_mesh_t *m);
void lw_mesh_send_state(lw_mesh_t *m, const char *node);
uint32_t lw_mesh_request_status(lw_mesh_t *m, uint32_t nodes);
void lw_mesh_ask_for_state(lw_mesh_t *m, const char *node);
void lw_mesh_delegate_reading(lw_mesh_t *m, uint32_t nodes);
void lw_mesh_report_crash(lw_mesh_t *m, uint64_t process, const lw_fingerprint_t *prints, size_t n);
void lw_mesh_broadcast_suspect(lw_mesh_t *m, const lw_suspect_t *s);
bool lw_mesh_report_quota(lw_mesh_t *m, const char *coordinator, uint64_t node, uint32_t number,
			  const lw_quota_usage_t *uses, size_t n);
void lw_mesh_connect(lw_mesh_t *m, const char *node);
const lw_mesh_stats_t *lw_mesh_stats(const lw_mesh_t *m);
void lw_mesh_count_links(const lw_mesh_t *m, uint32_t *outgoing, uint32_t *incoming);
const char *lw_mesh_control_name(size_t kind);
uint64_t lw_mesh_control_bytes(const lw_mesh_stats_t *s);

#endif

/*
 * The gate in front of the backend server on this host: the only way to it,
 * so it knows exactly what runs there. It starts no more requests than the
 * backend server can run at once, lets the rest wait in order, and hands back
 * what cannot start in time, which is then certain not to have run.
 */
#ifndef LW_GATE_H
#define LW_GATE_H

#include <stdbool.h>
#include <stdint.h>

#include "bconn.h"
#include "call.h"
#include "fingerprint.h"
#include "histogram.h"
#include "evloop.h"
#include "level.h"
#include "notice.h"
#include "pace.h"
#include "place.h"
#include "quarantine.h"
#include "waitq.h"

typedef struct lw_gate_stats {
	uint64_t started;
	uint64_t answered;
	uint64_t refused[LW_FAIL_COUNT];
	uint64_t connections; /* opened to the backend server */
	uint64_t invalid_answers;
	uint64_t invalid_limits; /* answers that name a limit which is no number */
	uint64_t paced; /* handed back, as the backend server's limit had no room in time */
	lw_histogram_t wait;
} lw_gate_stats_t;

/* Requests in hand at the end of the backend server that are told apart. */
#define LW_CRASH_SUSPECTS_MAX 128

typedef struct lw_crash_suspect {
	lw_fingerprint_t print;
	bool tried; /* alone */
} lw_crash_suspect_t;

/* A look whether the backend server has ended; see gatecrash.c. */
typedef struct lw_crash {
	ev_timer due; /* runs while the look is under way */
	ev_io io; /* of the connection that shows it */
	uint64_t since_us; /* when the first connection broke */
	uint32_t in_hand; /* requests whose connections broke */
	uint32_t nsuspects; /* of these, known by their digests */
	lw_crash_suspect_t suspects[LW_CRASH_SUSPECTS_MAX];
} lw_crash_t;

typedef struct lw_gate {
	lw_evloop_t *evloop;
	uint32_t slots; /* of the backend server; 0: not known yet */
	uint32_t limit; /* most requests at the backend server at once */
	uint32_t running; /* requests given to it without an answer yet */
	uint32_t lost; /* of these, whose answers seem to be lost */
	uint32_t told_busy; /* requests it said it runs or queues */
	uint32_t since_told; /* requests given to it since */
	bool tells_load;
	double failing; /* moving average: 0 none of its requests fails, 1 all do */
	double service_us; /* moving average of the time a request runs */
	double longest_us; /* longest run of late */
	uint64_t longest_at_us; /* when it ended; it fades from then on */
	bool leaving; /* the backend server takes no new work */
	uint64_t down_until_us; /* it took no connection: none is tried until then */
	bool refusing; /* this node is about to exit */
	uint64_t server_born_ms; /* start of its process; 0: not told */
	char server_id[LW_NAME_MAX]; /* of the backend server that is on this host now */
	char replaced_id[LW_NAME_MAX]; /* the backend server said that it is not this one */
	lw_notice_t notice; /* of the process of server_id */
	lw_notice_limit_t named; /* the limit in it */
	lw_pace_t pace; /* keeps to that */
	void (*noticed)(void *ctx); /* the notice has changed */
	void *noticed_ctx;
	lw_waitq_t queue;
	size_t queued_bytes;
	lw_bconn_t *idle;
	uint32_t nidle;
	uint32_t ncalls; /* running or queued */
	ev_timer expiry; /* runs while requests wait */
	ev_timer step; /* of the level; runs while there is work */
	uint32_t quiet_steps;
	lw_level_t level;
	struct lw_job *by_id; /* calls by request id */
	lw_crash_t crash;
	lw_quarantine_t *quarantine;
	/* the backend server ended with crash.suspects in hand; before their outcomes are told */
	void (*ended)(void *ctx, const lw_crash_t *crash);
	void *ended_ctx;
	lw_gate_stats_t stats;
} lw_gate_t;

/* What a call takes over from the request it is made for. */
typedef struct lw_gate_parent {
	uint32_t rank;
	bool repeat; /* it was sent before */
	uint64_t target_us; /* when the user request misses its objective */
} lw_gate_parent_t;

void lw_gate_init(lw_gate_t *g, lw_evloop_t *evloop, lw_quarantine_t *quarantine);
void lw_gate_set_server(lw_gate_t *g, const lw_place_host_t *server);
void lw_gate_set_leaving(lw_gate_t *g, bool leaving);
bool lw_gate_leaving(const lw_gate_t *g);
void lw_gate_heard(lw_gate_t *g, const lw_notice_said_t *said, uint64_t sent_us);
lw_call_t *lw_gate_submit(lw_gate_t *g, lw_sink_t *sink, const lw_ask_t *ask, lw_str_t body,
			  bool fin, lw_fail_t *why, uint32_t *retry_after_ms);
uint64_t lw_gate_oldest_us(const lw_gate_t *g);
void lw_gate_refuse(lw_gate_t *g);
void lw_gate_load(const lw_gate_t *g, lw_load_t *out);
bool lw_gate_parent(const lw_gate_t *g, lw_str_t id, lw_gate_parent_t *out);
void lw_gate_note_call(lw_gate_t *g, lw_str_t parent_id, const lw_load_t *load);
void lw_gate_note_failure(lw_gate_t *g, lw_str_t parent_id);

#endif

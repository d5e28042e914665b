/* Shared by the files of the exchange module only; others use exchange.h. */
#ifndef LW_EXCHANGE_INT_H
#define LW_EXCHANGE_INT_H

#include <ev.h>

#include "retryrule.h"
#include "exchange.h"

/* a body up to this size is kept so that it can be sent to another server */
#define BODY_RETAINED_BYTES LW_CALL_WINDOW

struct lw_exchange {
	lw_sink_t sink;
	lw_engine_t *engine;
	struct lw_exchange *prev, *next; /* of the engine's, by age */
	lw_reply_t *reply; /* NULL once the caller has its answer or is gone */
	lw_call_t *call; /* the lw_exchange_attempt under way */
	lw_place_host_t *host; /* it went to */
	lw_place_service_t *service;
	lw_bytebuf_t head;
	lw_bytebuf_t body;
	uint64_t body_base; /* bytes of the body no longer kept */
	uint64_t sent; /* bytes of the body given to the lw_exchange_attempt */
	uint64_t credit; /* bytes the lw_exchange_attempt takes in all */
	int64_t body_length;
	char *request_id; /* of any length: ids of nested calls grow with their depth */
	char route[LW_NAME_MAX];
	char last[LW_NAME_MAX]; /* the backend server of the last attempt that ended */
	lw_routestat_t *stat; /* of the route */
	lw_str_t parent_id; /* of the request it was made for: part of request_id */
	uint32_t rank;
	uint32_t priority; /* of the route */
	char org[LW_NAME_MAX]; /* the organisation that asks; empty: none does */
	uint64_t org_id;
	bool counted; /* against its limit */
	uint32_t target_ms;
	uint64_t started_us;
	uint64_t give_up_us; /* the caller's deadline or the route's timeout */
	uint64_t deadline_us; /* the caller's */
	uint64_t target_us; /* when the user request misses its latency objective */
	uint32_t room_ms; /* shortest wait for room a server told */
	lw_attempts_t attempts;
	lw_fingerprinter_t print;
	lw_place_tried_t tried;
	ev_timer timer;
	ev_timer stall; /* until the lw_exchange_attempt counts as stalled */
	ev_timer hold; /* until the next look for a host */
	lw_fail_t hold_reason;
	bool retried_all_hosts; /* every host was tried anew once, as none had received it */
	bool resending; /* the attempt under way goes to a server that had it already */
	bool nested;
	bool repeat; /* made by a run that was a repeat */
	uint32_t above; /* levels of requests above it */
	bool fin; /* the body is complete */
	bool answering; /* the caller has the head of the answer */
	bool answered_ok; /* it is no failure of the server */
	bool limited; /* what decided last was a limit that backend servers have named */
	bool waited_for_crash_reports; /* word of servers that ended under it elsewhere was waited for */
	bool awaits_body; /* which tells whether servers ended under the request */
	bool dead;
};

extern const lw_sink_ops_t lw_exchange_sink_ops;
uint32_t lw_exchange_remaining_ms(const lw_exchange_t *x, uint64_t until_us);
void lw_exchange_on_timeout(struct ev_loop *loop, ev_timer *w, int revents);
void lw_exchange_refuse(lw_exchange_t *x, lw_fail_t why);
void lw_exchange_release(lw_exchange_t *x);
void lw_exchange_count(const lw_exchange_t *x, lw_route_outcome_t outcome);
void lw_exchange_attempt_done(lw_exchange_t *x, bool ok);
void lw_exchange_abandon_call(lw_exchange_t *x);
void lw_exchange_mark_parent_failed(const lw_exchange_t *x);
void lw_exchange_answer_verdict(lw_exchange_t *x, lw_verdict_t v, lw_fail_t why);
void lw_exchange_after_failure(lw_exchange_t *x, lw_fail_t why);
void lw_exchange_send_body(lw_exchange_t *x);
void lw_exchange_on_stall_timer(struct ev_loop *loop, ev_timer *w, int revents);
void lw_exchange_on_hold_timer(struct ev_loop *loop, ev_timer *w, int revents);
void lw_exchange_attempt(lw_exchange_t *x, lw_fail_t last);
void lw_exchange_attempt_at(lw_exchange_t *x, lw_place_host_t *host, lw_fail_t last);
void lw_exchange_submit(lw_exchange_t *x);
lw_quarantine_verdict_t lw_exchange_verdict(const lw_exchange_t *x);
bool lw_exchange_apply_quarantine(lw_exchange_t *x, lw_fail_t last);
void lw_exchange_clear_suspect(const lw_exchange_t *x);
void lw_exchange_retry_or_answer(lw_exchange_t *x, lw_fail_t why);
bool lw_exchange_wait_for_crash_reports(lw_exchange_t *x);
bool lw_exchange_wait_for_host(lw_exchange_t *x, lw_fail_t last);
lw_place_ask_t lw_exchange_place_query(const lw_exchange_t *x);
void lw_exchange_log_retry(const lw_exchange_t *x, lw_fail_t last);

#endif

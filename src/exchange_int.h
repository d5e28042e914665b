/* Internal to the exchange module; other modules use exchange.h. */
#ifndef LW_EXCHANGE_INT_H
#define LW_EXCHANGE_INT_H

#include <ev.h>

#include "retryrule.h"
#include "exchange.h"

/* a body up to this size is retained so that it can be resent to another server */
#define BODY_RETAINED_BYTES LW_CALL_WINDOW

struct lw_exchange {
	lw_sink_t sink;
	lw_engine_t *engine;
	struct lw_exchange *prev, *next; /* in the engine's list, oldest first */
	lw_reply_t *reply; /* NULL once the caller was answered or has disconnected */
	lw_call_t *call; /* the attempt in progress, or NULL */
	lw_place_host_t *host; /* host of the attempt in progress, or NULL */
	lw_place_service_t *service;
	lw_bytebuf_t head;
	lw_bytebuf_t body;
	uint64_t body_base; /* bytes of the body that were discarded from the buffer */
	uint64_t sent; /* bytes of the body sent in the attempt in progress */
	uint64_t credit; /* total bytes of the body that the attempt accepts so far */
	int64_t body_length;
	char *request_id; /* of any length: the ids of nested calls grow with their depth */
	const char *route;
	const char *last_server; /* backend server of the last finished attempt */
	lw_routestat_t *stat; /* route statistics */
	/* id of the parent request, a prefix of request_id; empty: none is known here */
	lw_str_t parent_id;
	uint32_t rank;
	uint32_t priority; /* priority of the route */
	const char *org; /* organisation of the caller; empty: none */
	uint64_t org_id;
	bool quota_counted; /* counted against the rate limit of the organisation */
	uint32_t target_ms;
	uint64_t started_us;
	uint64_t give_up_us; /* the earlier of the caller's deadline and the route's timeout */
	uint64_t deadline_us; /* the caller's deadline */
	uint64_t target_us; /* when the user request misses its latency objective */
	uint32_t min_retry_after_ms; /* shortest retry-after delay reported by a server; 0: none */
	lw_attempts_t attempts;
	lw_fingerprinter_t print;
	lw_place_tried_t tried;
	ev_timer timer;
	ev_timer stall; /* expires when the attempt counts as stalled */
	uint64_t stall_due_us; /* when it is due */
	ev_timer hold; /* until the next search for a host, or while crash reports are awaited */
	lw_fail_t hold_reason;
	/* all hosts were retried once, as none of them had received the request */
	bool retried_all_hosts;
	/* the host that returned the request last; valid only while it is in the service's list */
	const lw_place_host_t *returned_by;
	uint64_t queue_until_us; /* end of the useful wait in the queue of the last host */
	bool putting_back; /* the next submission puts it back */
	/* the attempt in progress is a resend to a server that already had the request */
	bool resending;
	bool nested;
	bool repeat; /* made by a request that was itself a retry */
	uint32_t call_depth; /* number of requests above it in the call graph */
	bool fin; /* the request body is complete */
	bool answering; /* the head of the answer was delivered to the caller */
	bool answered_ok; /* the status is not a server error */
	/* the last rejection was due to a rate limit that backend servers announced */
	bool rate_limited;
	/* crash reports about this request from other nodes were awaited once */
	bool waited_for_crash_reports;
	bool awaits_body; /* the quarantine needs the fingerprint of the body */
	bool lost; /* its loss has been counted */
	bool dead;
};

extern const lw_sink_ops_t lw_exchange_sink_ops;
const char *lw_exchange_org(const lw_exchange_t *x);
uint32_t lw_exchange_remaining_ms(const lw_exchange_t *x, uint64_t until_us);
void lw_exchange_on_timeout(struct ev_loop *loop, ev_timer *w, int revents);
bool lw_exchange_outlasts_exit(const lw_exchange_t *x, bool begun);
void lw_exchange_refuse(lw_exchange_t *x, lw_fail_t why);
void lw_exchange_release(lw_exchange_t *x);
void lw_exchange_count_lost(lw_exchange_t *x, lw_loss_t cause);
void lw_exchange_log_lost(const lw_exchange_t *x, lw_loss_t cause);
void lw_exchange_count(const lw_exchange_t *x, lw_route_outcome_t outcome);
void lw_exchange_attempt_done(lw_exchange_t *x, bool ok);
void lw_exchange_abandon_call(lw_exchange_t *x);
void lw_exchange_mark_parent_failed(const lw_exchange_t *x);
void lw_exchange_answer_verdict(lw_exchange_t *x, lw_retry_verdict_kind_t v, lw_fail_t why);
void lw_exchange_after_failure(lw_exchange_t *x, lw_fail_t why);
void lw_exchange_send_body(lw_exchange_t *x);
void lw_exchange_on_stall_timer(struct ev_loop *loop, ev_timer *w, int revents);
void lw_exchange_watch_stall(lw_exchange_t *x, uint64_t after_us);
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
void lw_exchange_fill_return(lw_exchange_t *x, lw_call_request_t *req);
lw_fail_t lw_exchange_on_returned(lw_exchange_t *x);
bool lw_exchange_place_returned(lw_exchange_t *x, lw_retry_verdict_kind_t v, lw_fail_t why);
lw_place_query_t lw_exchange_place_query(const lw_exchange_t *x);
void lw_exchange_log_retry(const lw_exchange_t *x, lw_fail_t last);

#endif

/* Life cycle and final answers of a caller's request; see exchange.h. */
#include "exchange_int.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "bufbound.h"
#include "retryafter.h"
#include "log.h"
#include "stopplan.h"
#include "xalloc.h"

/* a failing process logs at most this many of its requests, oldest first */
#define INTERRUPTED_LINES_MAX 256

/* lw_engine_oldest_us() - age of the oldest request in progress, at least 1; 0: there is none. */
uint64_t lw_engine_oldest_us(const lw_engine_t *e)
{
	const lw_exchange_t *x = e->exchanges;

	/* a request that is just being accepted has no start time yet */
	return x ? e->evloop->now_us - (x->started_us ? x->started_us : e->evloop->now_us) + 1 : 0;
}

/* lw_exchange_org() - the organisation of the caller as one word of a log line. */
const char *lw_exchange_org(const lw_exchange_t *x)
{
	return x->org[0] ? lw_name_word(x->org) : "none";
}

/* lw_exchange_remaining_ms() - milliseconds until @until_us; 0 if it has passed. */
uint32_t lw_exchange_remaining_ms(const lw_exchange_t *x, uint64_t until_us)
{
	uint64_t now = x->engine->evloop->now_us;

	return until_us > now ? (uint32_t)((until_us - now) / 1000) : 0;
}

/*
 * lw_exchange_release() - release a request that is finished for its caller; @x is freed at the end
 * of this loop iteration.
 */
void lw_exchange_release(lw_exchange_t *x)
{
	lw_engine_stats_t *stats = &x->engine->stats;

	if (x->dead)
		return;
	x->dead = true;
	if (x->started_us)
		lw_histogram_add(x->nested ? &stats->latency_nested : &stats->latency_user,
				 x->engine->evloop->now_us - x->started_us);
	x->reply = NULL;
	ev_timer_stop(x->engine->evloop->loop, &x->timer);
	ev_timer_stop(x->engine->evloop->loop, &x->hold);
	x->engine->active--;
	DL_DELETE(x->engine->exchanges, x);
	lw_bytebuf_free(&x->head);
	lw_bytebuf_free(&x->body);
	free(x->request_id);
	x->request_id = NULL;
	lw_evloop_free_later(x->engine->evloop, x);
}

/* lw_exchange_count() - count the outcome of the request for its route. */
void lw_exchange_count(const lw_exchange_t *x, lw_route_outcome_t outcome)
{
	if (x->stat)
		lw_routestat_count(x->stat, x->nested, outcome);
}

/*
 * lw_exchange_count_lost() - count the request as lost for @cause, unless it is counted already.
 * Requests without a route are distinguished from nested ones by their id.
 */
void lw_exchange_count_lost(lw_exchange_t *x, lw_loss_t cause)
{
	if (x->lost)
		return;
	x->lost = true;
	if (strchr(x->request_id, '.'))
		x->engine->stats.lost_nested++;
	else
		x->engine->stats.lost[cause]++;
}

/*
 * lw_exchange_log_lost() - log a loss of which no other line tells. To be called before the loss is
 * counted.
 */
void lw_exchange_log_lost(const lw_exchange_t *x, lw_loss_t cause)
{
	if (!x->lost)
		lw_log(LW_LOG_request_lost, "id=%s route=%s org=%s service=%s why=%s",
		       x->request_id, x->route, lw_exchange_org(x), x->service->name,
		       lw_loss_name(cause));
}

/* lw_exchange_attempt_done() - the attempt in progress has an outcome. */
void lw_exchange_attempt_done(lw_exchange_t *x, bool ok)
{
	x->call = NULL;
	ev_timer_stop(x->engine->evloop->loop, &x->stall);
	if (x->host) {
		x->last_server = x->host->id;
		lw_place_request_done(x->host, ok, x->engine->evloop->now_us);
	}
	x->host = NULL;
}

/* lw_exchange_abandon_call() - cancel the attempt in progress, if any. */
void lw_exchange_abandon_call(lw_exchange_t *x)
{
	lw_call_t *call = x->call;

	if (!call)
		return;
	lw_exchange_attempt_done(x, false);
	call->ops->cancel(call);
}

/*
 * lw_exchange_mark_parent_failed() - record that a nested call of the parent request failed. The
 * parent will fail on any server, so it is not retried.
 */
void lw_exchange_mark_parent_failed(const lw_exchange_t *x)
{
	if (x->parent_id.len)
		lw_gate_note_failure(&x->engine->gate, x->parent_id);
}

static void answer_locally(lw_exchange_t *x, uint32_t status, lw_fail_t why,
			   uint32_t retry_after_ms)
{
	lw_reply_t *reply = x->reply;

	lw_log(LW_LOG_request_ended,
	       "id=%s route=%s org=%s service=%s config=%llu rank=%u status=%u why=%s given=%u handed_back=%u maybe_ran=%d after_ms=%u retry_after_ms=%u last=%s server_limit=%d print=%016llx",
	       x->request_id, x->route, lw_exchange_org(x), x->service->name,
	       (unsigned long long)x->engine->conf->version, x->rank, status, lw_fail_name(why),
	       x->attempts.reached, x->attempts.undelivered, x->attempts.maybe_executed,
	       (uint32_t)((x->engine->evloop->now_us - x->started_us) / 1000), retry_after_ms,
	       x->last_server[0] ? x->last_server : "none", x->rate_limited,
	       (unsigned long long)x->print.value.whole);
	lw_exchange_count_lost(x, (lw_loss_t)why);
	lw_exchange_mark_parent_failed(x);
	lw_exchange_release(x);
	if (reply)
		reply->ops->local_answer(reply, status, lw_fail_name(why), retry_after_ms);
}

/*
 * lw_exchange_refuse() - answer that the request was not and will not be executed, with the delay
 * before a retry.
 */
void lw_exchange_refuse(lw_exchange_t *x, lw_fail_t why)
{
	uint32_t room = x->min_retry_after_ms ? x->min_retry_after_ms : LW_RETRY_AFTER_DEFAULT_MS;
	uint32_t ms =
		lw_retry_after_ms(room, x->priority, lw_exchange_remaining_ms(x, x->deadline_us),
				  lw_evloop_random(x->engine->evloop, UINT32_MAX));

	/* every node that quarantines the request rejects it until this delay has passed */
	if (why == LW_FAIL_HELD) {
		x->engine->stats.held++;
		ms = room;
	}
	if (x->quota_counted)
		lw_quota_refund(x->engine->quota, x->org_id, x->engine->evloop->now_us);
	x->engine->stats.refused++;
	x->engine->stats.over_limit += why == LW_FAIL_OVER_LIMIT;
	lw_exchange_count(x, LW_ROUTE_REFUSED);
	answer_locally(x, why == LW_FAIL_OVER_LIMIT ? 429 : 503, why, ms);
}

/* lw_exchange_answer_verdict() - answer the caller according to @v; @why is logged. */
void lw_exchange_answer_verdict(lw_exchange_t *x, lw_retry_verdict_kind_t v, lw_fail_t why)
{
	switch (v) {
	case LW_VERDICT_REFUSE:
		lw_exchange_refuse(x, why);
		break;
	case LW_VERDICT_TIMEOUT:
		x->engine->stats.timeouts++;
		lw_exchange_count(x, LW_ROUTE_TIMEOUT);
		answer_locally(x, 504, why, 0);
		break;
	default:
		x->engine->stats.failed++;
		lw_exchange_count(x, LW_ROUTE_FAILED);
		answer_locally(x, 502, why, 0);
		break;
	}
}

/* the process exits: the caller is told whether the request may have been executed */
static void end_for_exit(lw_exchange_t *x)
{
	x->attempts.maybe_executed |= x->call != NULL;
	lw_exchange_abandon_call(x);
	if (x->answering)
		lw_exchange_after_failure(x, LW_FAIL_LEAVING);
	else
		lw_exchange_answer_verdict(x, lw_retry_final_verdict(&x->attempts, LW_FAIL_LEAVING),
					   LW_FAIL_LEAVING);
}

/* lw_engine_finish_all() - answer every request in progress before the process exits. */
void lw_engine_finish_all(lw_engine_t *e)
{
	while (e->exchanges)
		end_for_exit(e->exchanges);
}

/*
 * lw_engine_log_interrupted() - from the handler of a fatal signal: logs the requests whose
 * connections close without an answer when the process ends now.
 */
void lw_engine_log_interrupted(const lw_engine_t *e)
{
	uint32_t n = 0;

	for (const lw_exchange_t *x = e->exchanges; x && n < INTERRUPTED_LINES_MAX;
	     x = x->next, n++)
		lw_log_emergency(LW_LOG_request_interrupted,
				 "id=%s route=%s org=%s service=%s given=%u sent=%d", x->request_id,
				 x->route, lw_exchange_org(x),
				 x->service ? x->service->name : "unknown", x->attempts.reached,
				 x->call != NULL);
}

/* lw_exchange_on_timeout() - timer: the caller's deadline or the route's timeout has passed. */
void lw_exchange_on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;
	bool in_progress = x->call != NULL;

	(void)loop;
	(void)revents;
	lw_exchange_abandon_call(x);
	if (x->answering) {
		lw_exchange_after_failure(x, LW_FAIL_TIMEOUT);
		return;
	}
	x->attempts.maybe_executed |= in_progress;
	lw_exchange_answer_verdict(x, LW_VERDICT_TIMEOUT, LW_FAIL_TIMEOUT);
}

/*
 * lw_exchange_body_full() - whether the buffered request body is large enough to stop reading from
 * the caller. While the buffers are short, what is kept for a resend does not count once the server
 * reads: no byte would be dropped, and the request would wait for ever. The same holds for what the
 * quarantine needs before it lets the request begin.
 */
bool lw_exchange_body_full(const lw_exchange_t *x)
{
	size_t len = lw_bytebuf_len(&x->body);
	bool server_reads = x->credit > LW_CALL_WINDOW;
	size_t waiting = server_reads ? len - (size_t)(x->sent - x->body_base) : len;

	if (x->awaits_body && len < LW_FINGERPRINT_BODY_BYTES)
		return false;
	return len >= 2 * BODY_RETAINED_BYTES ||
	       (waiting >= LW_BUFBOUND_LEAST_BYTES &&
		waiting >= lw_bufbound_body(x->engine->evloop->set->memory_mb,
					    2 * BODY_RETAINED_BYTES));
}

/* whether the body was incomplete until its latest @bytes, which complete it */
static bool completes_body(const lw_exchange_t *x, size_t bytes, bool fin)
{
	uint64_t received = x->body_base + lw_bytebuf_len(&x->body);
	uint64_t length = (uint64_t)x->body_length;

	if (x->body_length < 0)
		return fin;
	return received >= length && received - bytes < length;
}

/*
 * Whether the body is complete so late that the exit would interrupt the execution. A server does
 * not execute a request whose body is cut short.
 */
static bool body_too_late(const lw_exchange_t *x, size_t bytes, bool fin)
{
	return completes_body(x, bytes, fin) && !x->answering &&
	       x->engine->evloop->now_us - x->started_us >= LW_STOPPLAN_SLOW_BODY_US &&
	       lw_exchange_outlasts_exit(x, true);
}

/* lw_exchange_body() - add @data to the request body; @fin: the body is complete. */
void lw_exchange_body(lw_exchange_t *x, lw_str_t data, bool fin)
{
	if (x->dead)
		return;
	lw_bytebuf_append_str(&x->body, data);
	x->fin = fin;
	lw_fingerprinter_body(&x->print, data, fin);
	if (body_too_late(x, data.len, fin)) {
		end_for_exit(x);
		return;
	}
	if (x->awaits_body && x->print.known) {
		x->awaits_body = false;
		lw_exchange_attempt(x, LW_FAIL_NO_SERVER);
		return;
	}
	lw_exchange_send_body(x);
}

/* lw_exchange_credit() - the caller consumed @bytes of the answer's body. */
void lw_exchange_credit(lw_exchange_t *x, uint32_t bytes)
{
	if (!x->dead && x->call)
		x->call->ops->credit(x->call, bytes);
}

/* lw_exchange_cancel() - the caller disconnected: cancel the request. */
void lw_exchange_cancel(lw_exchange_t *x)
{
	if (x->dead)
		return;
	x->engine->stats.cancelled++;
	lw_exchange_count(x, LW_ROUTE_LEFT);
	lw_exchange_log_lost(x, LW_LOSS_LEFT);
	lw_exchange_count_lost(x, LW_LOSS_LEFT);
	lw_exchange_abandon_call(x);
	lw_exchange_release(x);
}

/* lw_exchange_send() - send the request to a server, after its body if the quarantine needs that. */
void lw_exchange_send(lw_exchange_t *x)
{
	if (x->dead)
		return;
	x->awaits_body = !x->print.known &&
			 lw_quarantine_needs_body(x->engine->quarantine, x->print.value.head);
	if (!x->awaits_body)
		lw_exchange_attempt(x, LW_FAIL_NO_SERVER);
}

/* One request of a caller; see exchange.h. */
#include "exchange_int.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "comeback.h"
#include "log.h"
#include "xalloc.h"

/* lw_engine_oldest_us() - age of the oldest request under way, at least 1; 0: there is none. */
uint64_t lw_engine_oldest_us(const lw_engine_t *e)
{
	const lw_exchange_t *x = e->exchanges;

	/* one that is just being taken up has no time yet */
	return x ? e->evloop->now_us - (x->started_us ? x->started_us : e->evloop->now_us) + 1 : 0;
}

/* lw_exchange_left_ms() - milliseconds until @until_us, 0 if it has passed. */
uint32_t lw_exchange_left_ms(const lw_exchange_t *x, uint64_t until_us)
{
	uint64_t now = x->engine->evloop->now_us;

	return until_us > now ? (uint32_t)((until_us - now) / 1000) : 0;
}

/*
 * lw_exchange_release() - the request is over for its caller; freed when this
 * turn of the loop ends.
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

/* lw_exchange_count() - the request has ended so, by its route. */
void lw_exchange_count(const lw_exchange_t *x, lw_route_outcome_t outcome)
{
	if (x->stat)
		lw_routestat_count(x->stat, x->nested, outcome);
}

/* lw_exchange_attempt_ended() - the lw_exchange_attempt under way has an outcome */
void lw_exchange_attempt_ended(lw_exchange_t *x, bool ok)
{
	x->call = NULL;
	ev_timer_stop(x->engine->evloop->loop, &x->stall);
	if (x->host) {
		lw_str_copy(x->last, sizeof(x->last), lw_str_c(x->host->id));
		lw_place_ended(x->host, ok, x->engine->evloop->now_us);
	}
	x->host = NULL;
}

/* lw_exchange_abandon_call() - cancel the attempt under way, if there is one. */
void lw_exchange_abandon_call(lw_exchange_t *x)
{
	lw_call_t *call = x->call;

	if (!call)
		return;
	lw_exchange_attempt_ended(x, false);
	call->ops->cancel(call);
}

/* lw_exchange_tell_parent() - the request this call was made for will fail with it, wherever it runs */
void lw_exchange_tell_parent(const lw_exchange_t *x)
{
	if (x->parent_id.len)
		lw_gate_note_failure(&x->engine->gate, x->parent_id);
}

static void answer_own(lw_exchange_t *x, uint32_t status, lw_fail_t why, uint32_t retry_after_ms)
{
	lw_reply_t *reply = x->reply;

	lw_log(LW_LOG_request_ended,
	       "id=%s route=%s org=%s service=%s config=%llu rank=%u status=%u why=%s given=%u handed_back=%u maybe_ran=%d after_ms=%u retry_after_ms=%u last=%s server_limit=%d print=%016llx",
	       x->request_id, x->route, x->org[0] ? x->org : "none", x->service->name,
	       (unsigned long long)x->engine->conf->version, x->rank, status, lw_fail_name(why),
	       x->attempts.given, x->attempts.handed_back, x->attempts.maybe_ran,
	       (uint32_t)((x->engine->evloop->now_us - x->started_us) / 1000), retry_after_ms,
	       x->last[0] ? x->last : "none", x->limited, (unsigned long long)x->print.value.whole);
	lw_exchange_tell_parent(x);
	lw_exchange_release(x);
	if (reply)
		reply->ops->own(reply, status, lw_fail_name(why), retry_after_ms);
}

/* lw_exchange_refuse() - the request has not run and will not: the caller is told when to come back. */
void lw_exchange_refuse(lw_exchange_t *x, lw_fail_t why)
{
	uint32_t room = x->room_ms ? x->room_ms : LW_COMEBACK_DEFAULT_MS;
	uint32_t ms = lw_comeback_ms(room, x->priority, lw_exchange_left_ms(x, x->deadline_us),
				     lw_evloop_random(x->engine->evloop, UINT32_MAX));

	/* all that held it are certain to refuse it until then */
	if (why == LW_FAIL_HELD) {
		x->engine->stats.held++;
		ms = room;
	}
	if (x->counted)
		lw_quota_refund(x->engine->quota, x->org_id, x->engine->evloop->now_us);
	x->engine->stats.refused++;
	x->engine->stats.over_limit += why == LW_FAIL_OVER_LIMIT;
	lw_exchange_count(x, LW_ROUTE_REFUSED);
	answer_own(x, why == LW_FAIL_OVER_LIMIT ? 429 : 503, why, ms);
}

/*
 * lw_exchange_answer_verdict() - give the caller the answer that @v stands
 * for; @why goes to the log.
 */
void lw_exchange_answer_verdict(lw_exchange_t *x, lw_verdict_t v, lw_fail_t why)
{
	switch (v) {
	case LW_VERDICT_REFUSE:
		lw_exchange_refuse(x, why);
		break;
	case LW_VERDICT_TIMEOUT:
		x->engine->stats.timeouts++;
		lw_exchange_count(x, LW_ROUTE_TIMEOUT);
		answer_own(x, 504, why, 0);
		break;
	default:
		x->engine->stats.failed++;
		lw_exchange_count(x, LW_ROUTE_FAILED);
		answer_own(x, 502, why, 0);
		break;
	}
}

/* the process leaves: the caller is told what is known of the request */
static void end_for_exit(lw_exchange_t *x)
{
	x->attempts.maybe_ran |= x->call != NULL;
	lw_exchange_abandon_call(x);
	if (x->answering)
		lw_exchange_after_failure(x, LW_FAIL_LEAVING);
	else
		lw_exchange_answer_verdict(x, lw_retry_final(&x->attempts, LW_FAIL_LEAVING),
					   LW_FAIL_LEAVING);
}

/* lw_engine_end_all() - answer every request that is still under way, before the process exits. */
void lw_engine_end_all(lw_engine_t *e)
{
	while (e->exchanges)
		end_for_exit(e->exchanges);
}

/* lw_exchange_timeout() - timer: the caller waits no longer, or the route's timeout is over. */
void lw_exchange_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;
	bool under_way = x->call != NULL;

	(void)loop;
	(void)revents;
	lw_exchange_abandon_call(x);
	if (x->answering) {
		lw_exchange_after_failure(x, LW_FAIL_TIMEOUT);
		return;
	}
	x->attempts.maybe_ran |= under_way;
	lw_exchange_answer_verdict(x, LW_VERDICT_TIMEOUT, LW_FAIL_TIMEOUT);
}

/* lw_exchange_full() - the caller's body is ahead of the server: read no more. */
bool lw_exchange_full(const lw_exchange_t *x)
{
	return lw_bytebuf_len(&x->body) >= 2 * BODY_KEPT_BYTES;
}

/* lw_exchange_body() - more of the request's body; @fin: that was all. */
void lw_exchange_body(lw_exchange_t *x, lw_str_t data, bool fin)
{
	if (x->dead)
		return;
	lw_bytebuf_append_str(&x->body, data);
	x->fin = fin;
	lw_fingerprinter_body(&x->print, data, fin);
	if (x->awaits_body && x->print.known) {
		x->awaits_body = false;
		lw_exchange_attempt(x, LW_FAIL_NO_SERVER);
		return;
	}
	lw_exchange_feed(x);
}

/* lw_exchange_taken() - the caller took @bytes of the answer's body. */
void lw_exchange_taken(lw_exchange_t *x, uint32_t bytes)
{
	if (!x->dead && x->call)
		x->call->ops->credit(x->call, bytes);
}

/* lw_exchange_cancel() - the caller is gone: stop the work. */
void lw_exchange_cancel(lw_exchange_t *x)
{
	if (x->dead)
		return;
	x->engine->stats.cancelled++;
	lw_exchange_count(x, LW_ROUTE_LEFT);
	lw_exchange_abandon_call(x);
	lw_exchange_release(x);
}

/* lw_exchange_send() - find the request a server. */
void lw_exchange_send(lw_exchange_t *x)
{
	if (x->dead)
		return;
	x->awaits_body = !x->print.known &&
			 lw_quarantine_awaits_body(x->engine->quarantine, x->print.value.head);
	if (!x->awaits_body)
		lw_exchange_attempt(x, LW_FAIL_NO_SERVER);
}

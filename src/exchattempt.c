/* The attempts of one request: which host it is given to, and the wait for one. */
#include "exchange_int.h"

#include "log.h"

/* an attempt that takes so many times as long as usual counts as stalled */
#define STALL_FACTOR   8
#define STALL_LEAST_US 150000
/*
 * Longest useful wait of a new request in front of a server, in percent of
 * its latency objective: refused, it can go elsewhere or come back in time.
 */
#define QUEUE_NEW_PERCENT 35
/*
 * When a service has no reachable server, as when a node restarts beside the
 * last one, the request waits a little for it to come back, in percent of the
 * latency objective, and looks again after so many milliseconds.
 */
#define HOLD_NEW_PERCENT    12
#define HOLD_NESTED_PERCENT 40
#define HOLD_STEP_MS	    40

/*
 * lw_exchange_log_retry() - the inputs of the choice: why again, and how loaded
 * and old the news of the host is.
 */
void lw_exchange_log_retry(const lw_exchange_t *x, lw_fail_t last)
{
	const lw_place_host_t *h = x->host;
	uint64_t now = x->engine->evloop->now_us;

	lw_log(LW_LOG_request_retried,
	       "id=%s route=%s after=%s server=%s busy=%u limit=%u news_ms=%llu given=%u handed_back=%u left_ms=%u",
	       x->request_id, x->route, lw_fail_name(last), h->id, h->load.running + h->load.queued,
	       h->load.limit, h->load_us ? (unsigned long long)((now - h->load_us) / 1000) : 0,
	       x->attempts.given, x->attempts.handed_back, lw_exchange_left_ms(x, x->give_up_us));
}

/* lw_exchange_choice() - what the choice of a host depends on now. */
lw_place_ask_t lw_exchange_choice(const lw_exchange_t *x)
{
	lw_evloop_t *evloop = x->engine->evloop;

	return (lw_place_ask_t){ evloop->now_us, x->body_length,
				 lw_evloop_random(evloop, UINT32_MAX) };
}

static void watch_for_stall(lw_exchange_t *x)
{
	uint64_t usual_us = x->host->load_us ? x->host->load.service_us : 0;
	uint64_t after_us = usual_us * STALL_FACTOR;

	if (!usual_us || !x->attempts.idempotent)
		return;
	if (after_us < STALL_LEAST_US)
		after_us = STALL_LEAST_US;
	ev_timer_init(&x->stall, lw_exchange_stalled, (double)after_us / 1e6, 0);
	x->stall.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->stall);
}

static void fill_ask(const lw_exchange_t *x, lw_ask_t *ask)
{
	uint32_t left_ms = lw_exchange_left_ms(x, x->give_up_us);
	/*
	 * A call of a running request that is refused loses all that was done for
	 * it, and a request that may have run can be told no more than 502.
	 */
	bool may_wait = x->nested || x->attempts.maybe_ran;

	ask->head = (lw_str_t){ lw_bytebuf_head(&x->head), lw_bytebuf_len(&x->head) };
	ask->request_id = lw_str_c(x->request_id);
	ask->target = lw_str_c(x->host->id);
	ask->body_length = x->body_length;
	ask->deadline_ms = left_ms;
	ask->queue_ms = may_wait ? left_ms : x->target_ms * QUEUE_NEW_PERCENT / 100;
	ask->target_left_ms = lw_exchange_left_ms(x, x->target_us);
	ask->rank = x->rank;
	ask->repeat = x->repeat || x->attempts.given;
	ask->notice = x->host->load.notice;
}

/* lw_exchange_hold_over() - timer: look again for a host, also among those tried. */
void lw_exchange_hold_over(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	x->tried.n = 0;
	lw_exchange_attempt(x, x->held_for);
}

/*
 * A service without a reachable server is as good as full: what leads to it
 * is refused at its root, or it all runs down to the missing server and fails
 * there (seen as runs that end in 500; half of all in one partition).
 */
static void tell_shut(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_load_t shut = { .level = LW_LEVEL_SHUT };
	lw_hot_t hot = { .level = LW_LEVEL_SHUT };

	lw_str_copy(hot.service, sizeof(hot.service), lw_str_c(x->service->name));
	lw_hots_add(&shut.hots, &hot);
	lw_hotpath_told(e->hotpath, x->route, &shut.hots, 0, e->evloop->now_us);
	if (x->parent_id.len)
		lw_gate_note_call(&e->gate, x->parent_id, &shut);
}

/* lw_exchange_wait_for_host() - look again in a moment, if there is time and no host had the request */
bool lw_exchange_wait_for_host(lw_exchange_t *x, lw_fail_t last)
{
	uint32_t percent = x->nested ? HOLD_NESTED_PERCENT : HOLD_NEW_PERCENT;
	uint64_t hold_us = (uint64_t)x->target_ms * percent * 10;

	if (x->attempts.given ||
	    x->engine->evloop->now_us - x->started_us + HOLD_STEP_MS * 1000 >= hold_us)
		return false;
	x->held_for = last;
	x->attempts.handed_back = 0;
	ev_timer_init(&x->hold, lw_exchange_hold_over, HOLD_STEP_MS / 1000.0, 0);
	x->hold.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->hold);
	return true;
}

/* wait for a host if there is time and none has had the request */
static void hold_or_answer(lw_exchange_t *x, lw_fail_t last)
{
	bool unreached = last == LW_FAIL_NO_SERVER || last == LW_FAIL_UNSENT;

	if (unreached && lw_exchange_wait_for_host(x, last))
		return;
	if (unreached)
		tell_shut(x);
	lw_exchange_answer_verdict(x, lw_retry_final(&x->attempts, last), last);
}

/*
 * Connections to all hosts may fall silent together while new ones work: none
 * of them had the request, and each may have it over its next connection.
 */
static bool may_go_round(const lw_exchange_t *x, lw_fail_t last)
{
	return last == LW_FAIL_UNSENT && !x->attempts.given && !x->went_round;
}

/* no host is left that has not been tried */
static void no_host(lw_exchange_t *x, lw_fail_t last)
{
	if (may_go_round(x, last)) {
		x->went_round = true;
		x->tried.n = 0;
		lw_exchange_attempt(x, last);
		return;
	}
	hold_or_answer(x, last);
}

/* lw_exchange_give() - hand the request to the host that was chosen */
void lw_exchange_give(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_str_t body = { lw_bytebuf_head(&x->body), lw_bytebuf_len(&x->body) };
	lw_ask_t ask;
	lw_fail_t why = LW_FAIL_UNSENT;
	uint32_t retry_after_ms = 0;
	bool whole;

	lw_place_sent(x->host);
	fill_ask(x, &ask);
	if (body.len > LW_CALL_WINDOW)
		body.len = LW_CALL_WINDOW;
	whole = x->fin && body.len == lw_bytebuf_len(&x->body);
	x->sent = body.len;
	x->credit = LW_CALL_WINDOW;
	if (x->host->self)
		x->call = lw_gate_submit(&e->gate, &x->sink, &ask, body, whole, &why,
					 &retry_after_ms);
	else
		x->call = lw_mesh_call(e->mesh, x->host->node, &x->sink, &ask, body, whole);
	if (x->call) {
		watch_for_stall(x);
		return;
	}
	if (x->host->self) {
		lw_load_t load;

		lw_gate_load(&e->gate, &load);
		x->sink.ops->fail(&x->sink, why, retry_after_ms, &load);
	} else {
		x->sink.ops->fail(&x->sink, why, 0, NULL);
	}
}

/* lw_exchange_attempt() - give the request to the best host that has not had it; @last: why again */
void lw_exchange_attempt(lw_exchange_t *x, lw_fail_t last)
{
	lw_place_ask_t ask = lw_exchange_choice(x);
	lw_place_host_t *host = NULL;

	if (lw_exchange_detain(x, last))
		return;
	if (x->tried.n < LW_PLACE_TRIED_MAX)
		host = lw_place_pick(x->service, &x->tried, &ask);
	if (host)
		lw_exchange_attempt_at(x, host, last);
	else
		no_host(x, last);
}

/* lw_exchange_attempt_at() - give the request to @host, which has not had it; @last: why again */
void lw_exchange_attempt_at(lw_exchange_t *x, lw_place_host_t *host, lw_fail_t last)
{
	x->host = host;
	if (x->tried.n || x->attempts.given)
		lw_exchange_log_retry(x, last);
	lw_place_try(&x->tried, x->host);
	x->resending = false;
	lw_exchange_give(x);
}

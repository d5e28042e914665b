/*
 * The attempts of one request: choice of a host, sending, and waiting while no host is available.
 */
#include "exchange_int.h"

#include "log.h"

/* an attempt counts as stalled if it takes this many times the average */
#define STALL_FACTOR 8
#define STALL_MIN_US 150000
/*
 * Longest useful wait of a new request in the queue of a server, in percent of its latency
 * objective: if rejected by then, it can still be sent elsewhere or retried by the caller in time.
 */
#define QUEUE_NEW_PERCENT 35
/*
 * If a service has no reachable server, for example while the node beside its last server
 * restarts, the request waits for up to this share of its latency objective, in percent, and
 * searches for a host at this interval, in milliseconds.
 */
#define HOLD_NEW_PERCENT    12
#define HOLD_NESTED_PERCENT 40
#define HOLD_INTERVAL_MS    40

/*
 * lw_exchange_log_retry() - log the inputs of the choice: the reason for the retry, and the host's
 * load and its age.
 */
void lw_exchange_log_retry(const lw_exchange_t *x, lw_fail_t last)
{
	const lw_place_host_t *h = x->host;
	uint64_t now = x->engine->evloop->now_us;

	lw_log(LW_LOG_request_retried,
	       "id=%s route=%s after=%s server=%s busy=%u limit=%u news_ms=%llu given=%u handed_back=%u left_ms=%u",
	       x->request_id, x->route, lw_fail_name(last), h->id, h->load.running + h->load.queued,
	       h->load.limit, h->load_us ? (unsigned long long)((now - h->load_us) / 1000) : 0,
	       x->attempts.reached, x->attempts.undelivered,
	       lw_exchange_remaining_ms(x, x->give_up_us));
}

/* lw_exchange_place_query() - the current parameters for the choice of a host. */
lw_place_query_t lw_exchange_place_query(const lw_exchange_t *x)
{
	lw_evloop_t *evloop = x->engine->evloop;

	return (lw_place_query_t){
		.now_us = evloop->now_us,
		.body_length = x->body_length,
		.random = lw_evloop_random(evloop, UINT32_MAX),
		.kind = lw_worktime_kind(x->route),
		.target_left_ms = lw_exchange_remaining_ms(x, x->target_us),
	};
}

static void watch_for_stall(lw_exchange_t *x)
{
	const lw_load_t *load = &x->host->load;
	uint32_t kind = lw_worktime_kind(x->route);
	uint64_t usual_us =
		x->host->load_us ? lw_worktimes_us(&load->work, kind, load->service_us) : 0;
	uint64_t after_us = usual_us * STALL_FACTOR;

	if (!usual_us || !x->attempts.idempotent)
		return;
	if (after_us < STALL_MIN_US)
		after_us = STALL_MIN_US;
	lw_exchange_watch_stall(x, after_us);
}

static void fill_request(const lw_exchange_t *x, lw_call_request_t *req)
{
	uint32_t left_ms = lw_exchange_remaining_ms(x, x->give_up_us);
	/*
	 * Rejecting a nested call wastes all work done for its parent, and a request that may have
	 * been executed can only be answered with 502. Both may therefore be queued for all the
	 * time that is left.
	 */
	bool may_wait = x->nested || x->attempts.maybe_executed;

	req->head = (lw_str_t){ lw_bytebuf_head(&x->head), lw_bytebuf_len(&x->head) };
	req->request_id = lw_str_c(x->request_id);
	req->target = lw_str_c(x->host->id);
	req->body_length = x->body_length;
	req->deadline_ms = left_ms;
	req->queue_ms = may_wait ? left_ms : x->target_ms * QUEUE_NEW_PERCENT / 100;
	req->target_left_ms = lw_exchange_remaining_ms(x, x->target_us);
	req->rank = x->rank;
	req->kind = lw_worktime_kind(x->route);
	req->longest_us =
		lw_longruns_get(&x->engine->longruns, req->kind, x->engine->evloop->now_us);
	req->idempotent = x->attempts.idempotent;
	req->repeat = x->repeat || x->attempts.reached;
	req->notice = x->host->load.notice;
}

/* lw_exchange_on_hold_timer() - timer: search for a host again, including those already tried. */
void lw_exchange_on_hold_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	x->tried.n = 0;
	lw_exchange_attempt(x, x->hold_reason);
}

/*
 * A service without a reachable server is reported as fully overloaded, so that requests that call
 * it are refused where they enter the fleet. Otherwise they would all be executed down to the
 * missing server and fail there with 500.
 */
static void report_service_unavailable(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_load_t unavailable = { .level = LW_LEVEL_MIN };
	lw_service_level_t hot = { .service = x->service->name, .level = LW_LEVEL_MIN };

	lw_path_levels_add(&unavailable.hots, &hot);
	lw_overload_on_answer(e->overload, x->route, &unavailable.hots, 0, e->evloop->now_us);
	if (x->parent_id.len)
		lw_gate_note_call(&e->gate, x->parent_id, &unavailable);
}

/*
 * lw_exchange_wait_for_host() - schedule another search for a host. Returns false if there is no
 * time left or a host has already received the request.
 */
bool lw_exchange_wait_for_host(lw_exchange_t *x, lw_fail_t last)
{
	uint32_t percent = x->nested ? HOLD_NESTED_PERCENT : HOLD_NEW_PERCENT;
	uint64_t hold_us = (uint64_t)x->target_ms * percent * 10;

	if (x->attempts.reached ||
	    x->engine->evloop->now_us - x->started_us + HOLD_INTERVAL_MS * 1000 >= hold_us)
		return false;
	x->hold_reason = last;
	x->attempts.undelivered = 0;
	ev_timer_init(&x->hold, lw_exchange_on_hold_timer, HOLD_INTERVAL_MS / 1000.0, 0);
	x->hold.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->hold);
	return true;
}

/* waits for a host if possible, otherwise answers */
static void hold_or_answer(lw_exchange_t *x, lw_fail_t last)
{
	bool unreached = last == LW_FAIL_NO_SERVER || last == LW_FAIL_UNSENT;

	if (unreached && lw_exchange_wait_for_host(x, last))
		return;
	if (unreached)
		report_service_unavailable(x);
	lw_exchange_answer_verdict(x, lw_retry_final_verdict(&x->attempts, last), last);
}

/*
 * Connections to all hosts may go silent together while new ones work. In that case no host
 * received the request, and each can be retried once over a new connection.
 */
static bool may_retry_all_hosts(const lw_exchange_t *x, lw_fail_t last)
{
	return last == LW_FAIL_UNSENT && !x->attempts.reached && !x->retried_all_hosts;
}

/* every host has been tried */
static void on_no_host(lw_exchange_t *x, lw_fail_t last)
{
	if (may_retry_all_hosts(x, last)) {
		x->retried_all_hosts = true;
		x->tried.n = 0;
		lw_exchange_attempt(x, last);
		return;
	}
	hold_or_answer(x, last);
}

/* lw_exchange_submit() - send the request to the chosen host. */
void lw_exchange_submit(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_str_t body = { lw_bytebuf_head(&x->body), lw_bytebuf_len(&x->body) };
	lw_call_request_t req;
	lw_fail_t why = LW_FAIL_UNSENT;
	uint32_t retry_after_ms = 0;
	bool whole;

	lw_place_request_sent(x->host);
	fill_request(x, &req);
	lw_exchange_fill_return(x, &req);
	if (body.len > LW_CALL_WINDOW)
		body.len = LW_CALL_WINDOW;
	whole = x->fin && body.len == lw_bytebuf_len(&x->body);
	x->sent = body.len;
	x->credit = LW_CALL_WINDOW;
	if (x->host->self)
		x->call = lw_gate_submit(&e->gate, &x->sink, &req, body, whole, &why,
					 &retry_after_ms);
	else
		x->call = lw_mesh_call(e->mesh, x->host->node, &x->sink, &req, body, whole);
	if (x->call) {
		watch_for_stall(x);
		/* the server may have consumed the first part while the call was being made */
		if (!whole)
			lw_exchange_send_body(x);
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

/* logs that the requests of a service begin or cease to leave the zone of this node */
static void log_zone_plan(lw_place_service_t *s, uint64_t now_us)
{
	const uint64_t *n = s->zone.count;

	if (!lw_zonestate_changed(&s->zone, now_us))
		return;
	lw_log(LW_LOG_zone_plan,
	       "service=%s leaving=%d stayed=%llu left_share=%llu left_unusable=%llu left_full=%llu left_slow=%llu",
	       s->name, s->zone.leaving, (unsigned long long)n[LW_ZONE_STAY],
	       (unsigned long long)n[LW_ZONE_LEAVE_SHARE],
	       (unsigned long long)n[LW_ZONE_LEAVE_UNUSABLE],
	       (unsigned long long)n[LW_ZONE_LEAVE_FULL],
	       (unsigned long long)n[LW_ZONE_LEAVE_SLOW]);
}

/*
 * lw_exchange_attempt() - send the request to the best host not tried yet; @last: why the previous
 * attempt failed.
 */
void lw_exchange_attempt(lw_exchange_t *x, lw_fail_t last)
{
	lw_place_query_t req = lw_exchange_place_query(x);
	lw_place_host_t *host = NULL;

	if (lw_exchange_apply_quarantine(x, last))
		return;
	if (x->tried.n < LW_PLACE_TRIED_MAX)
		host = lw_place_pick(x->service, &x->tried, &req);
	log_zone_plan(x->service, req.now_us);
	if (host)
		lw_exchange_attempt_at(x, host, last);
	else
		on_no_host(x, last);
}

/*
 * lw_exchange_attempt_at() - send the request to @host, which has not been tried yet; @last: why
 * the previous attempt failed.
 */
void lw_exchange_attempt_at(lw_exchange_t *x, lw_place_host_t *host, lw_fail_t last)
{
	x->host = host;
	if (x->tried.n || x->attempts.reached)
		lw_exchange_log_retry(x, last);
	lw_place_add_tried(&x->tried, x->host);
	x->resending = false;
	lw_exchange_submit(x);
}

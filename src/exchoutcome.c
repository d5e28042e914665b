/* Handles the outcome of each attempt: retry on another server, resend, or answer. */
#include "exchange_int.h"

#include "leavinglog.h"
#include "linux/clock.h"
#include "log.h"

/* by how much the clocks of two hosts may differ, ms */
#define CLOCK_DIFFERENCE_MAX_MS 5000
/* if no other server has room, a stalled attempt is checked again after this, us */
#define STALL_RECHECK_US 100000
/* the check is repeated if it is later than this, us */
#define STALL_LATE_MAX_US 50000

static bool take_retry(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_gate_parent_t parent = { 0 };
	bool nested = x->parent_id.len && lw_gate_parent(&e->gate, x->parent_id, &parent);
	lw_retryposition_t at = {
		.nodes = e->place.nsharing,
		.above = x->call_depth,
		.below = lw_overload_call_depth(e->overload, x->route),
		.rank = x->rank,
		.urgent_priorities = lw_fleetconf_most_urgent(e->conf),
		.used_below = lw_overload_retry_used(e->overload, x->route),
		.used_fleet = lw_place_retries_used(x->service, &e->place.retry_allowance,
						    e->evloop->now_us),
		.begun = parent.call_retried,
		.lot = e->lot,
	};

	if (lw_retrylimit_take(&x->service->retries, &e->place.retry_allowance, &at,
			       e->evloop->now_us)) {
		e->stats.retries++;
		if (nested)
			lw_gate_note_retry(&e->gate, x->parent_id);
		return true;
	}
	e->stats.retries_denied++;
	return false;
}

/*
 * resends the request to the best of the servers that already had it; at least one of them accepts
 * work
 */
static void resend_to_best(lw_exchange_t *x, lw_fail_t why, const lw_place_query_t *req)
{
	x->host = lw_place_pick_resend(x->service, &x->tried, req);
	x->attempts.resent++;
	x->resending = true;
	lw_exchange_log_retry(x, why);
	lw_exchange_submit(x);
}

/*
 * Resends the request to the best of the servers that already had it; returns false if none
 * accepts it. @paid: the retry allowance has already been charged.
 */
static bool try_resend(lw_exchange_t *x, lw_fail_t why, bool paid)
{
	lw_place_query_t req = lw_exchange_place_query(x);
	const lw_place_host_t *host = lw_place_pick_resend(x->service, &x->tried, &req);

	if (!lw_place_accepts_work(host, req.now_us) || !(paid || take_retry(x)))
		return false;
	resend_to_best(x, why, &req);
	return true;
}

/* lw_exchange_after_failure() - an attempt failed with @why: retry or answer. */
void lw_exchange_after_failure(lw_exchange_t *x, lw_fail_t why)
{
	if (x->answering) {
		lw_reply_t *reply = x->reply;

		x->engine->stats.cut++;
		lw_exchange_count(x, LW_ROUTE_CUT);
		lw_log(LW_LOG_answer_cut, "id=%s route=%s org=%s service=%s why=%s answered_ok=%d",
		       x->request_id, x->route, lw_exchange_org(x), x->service->name,
		       lw_fail_name(why), x->answered_ok);
		lw_exchange_count_lost(x, LW_LOSS_CUT);
		lw_exchange_release(x);
		if (reply)
			reply->ops->cut(reply);
		return;
	}
	if (!lw_fail_reached_server(why))
		x->attempts.undelivered++;
	else if (!x->resending)
		x->attempts.reached++;
	x->resending = false;
	if (!lw_fail_not_executed(why))
		x->attempts.maybe_executed = true;
	if (why != LW_FAIL_BROKEN || !lw_exchange_wait_for_crash_reports(x))
		lw_exchange_retry_or_answer(x, why);
}

/*
 * lw_exchange_retry_or_answer() - the outcome of the last attempt has been counted: retry or
 * answer.
 */
void lw_exchange_retry_or_answer(lw_exchange_t *x, lw_fail_t why)
{
	lw_retry_verdict_kind_t v;

	x->attempts.left_ms = lw_exchange_remaining_ms(x, x->give_up_us);
	x->attempts.body_kept = x->body_base == 0;
	if (lw_exchange_apply_quarantine(x, why))
		return;
	v = lw_retry_verdict(&x->attempts, why);
	if (lw_exchange_place_returned(x, v, why))
		return;
	if (v == LW_VERDICT_RETRY_OTHER) {
		x->engine->stats.handed_back++;
		lw_exchange_attempt(x, why);
	} else if (v == LW_VERDICT_RETRY_OTHER_COUNTED && take_retry(x)) {
		lw_exchange_attempt(x, why);
	} else if ((v != LW_VERDICT_RESEND_SAME && v != LW_VERDICT_RESEND_SAME_COUNTED) ||
		   !try_resend(x, why, v == LW_VERDICT_RESEND_SAME)) {
		lw_exchange_answer_verdict(x, lw_retry_final_verdict(&x->attempts, why), why);
	}
}

/*
 * Updates placement and the admission levels on the call path with the load reported by the
 * node. @served: the answer is complete, so the work of the request at each service is known.
 */
static void apply_load(lw_exchange_t *x, const lw_load_t *load, bool served)
{
	lw_engine_t *e = x->engine;
	uint32_t used = lw_retrylimit_used(&x->service->retries, &e->place.retry_allowance,
					   e->place.nsharing, e->evloop->now_us);
	lw_load_t path = *load;

	if (x->host)
		lw_leavinglog_host(
			x->host, lw_place_load_reported(x->host, load, e->evloop->now_us), "node");
	lw_place_add_level(x->service, load->ran_us, e->evloop->now_us, &path.hots);
	lw_longruns_add(&e->longruns, lw_worktime_kind(x->route), load->ran_us, e->evloop->now_us);
	lw_overload_on_answer(e->overload, x->route, &path.hots, path.depth, e->evloop->now_us);
	if (served && !x->nested)
		lw_overload_add_work(e->overload, x->route, x->rank / LW_RANKS_PER_PRIORITY,
				     &path.hots, e->evloop->now_us);
	lw_overload_add_retry_used(e->overload, x->route, path.retry_used);
	if (used > path.retry_used)
		path.retry_used = used;
	if (x->parent_id.len)
		lw_gate_note_call(&e->gate, x->parent_id, &path);
}

/*
 * When the answer was given that announces that @h is leaving, Unix time of its host, ms. An upper
 * bound if the node there runs a version that does not report it.
 */
static uint64_t announced_ms(const lw_place_host_t *h, const lw_load_t *load)
{
	const lw_notice_t *n = load ? &load->notice : NULL;

	if (n && n->leaving && n->seen_ms && lw_notice_is_about(n, h->id))
		return n->seen_ms;
	return lw_now_unix_ms() + CLOCK_DIFFERENCE_MAX_MS;
}

/*
 * A node that forwards an answer in which the server announces that it is leaving heeds that
 * announcement from then on, even if neither the store nor the node beside the server can be
 * reached. Otherwise the server would get requests that fail when it exits.
 */
static void apply_notice(const lw_exchange_t *x, const lw_answer_t *a, const lw_load_t *load)
{
	lw_notice_fields_t said = { 0 };

	lw_notice_parse_head(&said, a->head, x->engine->evloop->names);
	if (said.leaving && x->host &&
	    lw_place_mark_leaving(x->host, announced_ms(x->host, load), x->engine->evloop->now_us))
		lw_leavinglog_host(x->host, LW_LEAVING_BEGAN, "passed_on");
}

static void on_host_replaced(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;

	lw_place_mark_replaced(x->host, e->evloop->now_us);
	if (e->on_stale_list)
		e->on_stale_list(e->ctx);
}

static void sink_fail(lw_sink_t *s, lw_fail_t why, uint32_t retry_after_ms, const lw_load_t *load)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (x->dead)
		return;
	if (load)
		apply_load(x, load, false);
	x->rate_limited = load && load->notice.limited;
	if (retry_after_ms && (!x->min_retry_after_ms || retry_after_ms < x->min_retry_after_ms))
		x->min_retry_after_ms = retry_after_ms;
	if (why == LW_FAIL_RETURNED)
		why = lw_exchange_on_returned(x);
	if (why == LW_FAIL_MISDIRECTED && x->host)
		on_host_replaced(x);
	if (!lw_fail_reached_server(why))
		lw_place_mark_rejected(&x->tried, x->host);
	lw_exchange_attempt_done(x, why < LW_FAIL_SHED && why != LW_FAIL_NO_SERVER);
	lw_exchange_after_failure(x, why);
}

/* lw_exchange_send_body() - send the part of the body that the attempt accepts now. */
void lw_exchange_send_body(lw_exchange_t *x)
{
	size_t held = lw_bytebuf_len(&x->body);
	size_t at = (size_t)(x->sent - x->body_base);
	size_t n = held - at;
	bool last;

	if (!x->call)
		return;
	if (x->sent + n > x->credit)
		n = (size_t)(x->credit - x->sent);
	last = x->fin && at + n == held;
	if (n || (last && x->sent < UINT64_MAX)) {
		lw_str_t data = { lw_bytebuf_head(&x->body) + at, n };

		x->sent += n;
		x->call->ops->body(x->call, data, last);
	}
}

/*
 * the server consumed part of the body: send more, and discard the sent part if the body is too
 * large to retain
 */
static void sink_credit(lw_sink_t *s, uint32_t bytes)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (x->dead)
		return;
	x->credit += bytes;
	if (x->body_base || !x->fin || lw_bytebuf_len(&x->body) > BODY_RETAINED_BYTES) {
		size_t drop = (size_t)(x->sent - x->body_base);

		if (drop && x->sent > BODY_RETAINED_BYTES / 2) {
			lw_bytebuf_consume(&x->body, drop);
			x->body_base += drop;
		}
	}
	if (!(x->fin && x->sent == x->body_base + lw_bytebuf_len(&x->body)))
		lw_exchange_send_body(x);
	/* it may have been full when less was allowed: that depends on all buffers of the process */
	if (!lw_exchange_body_full(x) && x->reply)
		x->reply->ops->resume(x->reply);
}

/* verdict on a server's answer with the failure @status */
static lw_retry_verdict_kind_t verdict_for_answer(const lw_exchange_t *x, uint32_t status)
{
	lw_attempts_t a = x->attempts;

	a.reached += !x->resending;
	a.left_ms = lw_exchange_remaining_ms(x, x->give_up_us);
	a.body_kept = x->body_base == 0;
	return lw_retry_verdict_status(&a, status);
}

/*
 * if the answer is a server failure, retries the request where allowed instead of forwarding the
 * answer
 */
static bool retry_after_answer(lw_exchange_t *x, uint32_t status, bool fin)
{
	lw_retry_verdict_kind_t v = verdict_for_answer(x, status);
	lw_place_query_t req = lw_exchange_place_query(x);

	if (v == LW_VERDICT_FAIL)
		return false;
	if (v == LW_VERDICT_RESEND_SAME_COUNTED &&
	    !lw_place_accepts_work(lw_place_pick_resend(x->service, &x->tried, &req), req.now_us))
		return false;
	if (!take_retry(x))
		return false;
	x->attempts.reached += !x->resending;
	x->attempts.maybe_executed = true;
	if (fin)
		lw_exchange_attempt_done(x, false);
	else
		lw_exchange_abandon_call(x);
	if (v == LW_VERDICT_RESEND_SAME_COUNTED)
		resend_to_best(x, LW_FAIL_BROKEN, &req);
	else
		lw_exchange_attempt(x, LW_FAIL_BROKEN);
	return true;
}

static void sink_answer(lw_sink_t *s, const lw_answer_t *a, lw_str_t body, bool fin,
			const lw_load_t *load)
{
	lw_exchange_t *x = (lw_exchange_t *)s;
	lw_reply_t *reply = x->reply;

	if (x->dead)
		return;
	apply_notice(x, a, load);
	if (load)
		apply_load(x, load, fin && a->status < 500);
	if (a->status >= 500 && !(load && load->call_failed) &&
	    retry_after_answer(x, a->status, fin))
		return;
	if (a->status >= 500)
		lw_exchange_mark_parent_failed(x);
	x->answering = true;
	x->answered_ok = a->status < 500;
	x->engine->stats.answered++;
	lw_exchange_count(x, a->status < 500 ? LW_ROUTE_ANSWERED : LW_ROUTE_SERVER_FAILED);
	if (!x->answered_ok) {
		lw_exchange_log_lost(x, LW_LOSS_SERVER_FAILED);
		lw_exchange_count_lost(x, LW_LOSS_SERVER_FAILED);
	}
	if (fin) {
		lw_exchange_clear_suspect(x);
		lw_exchange_attempt_done(x, a->status < 500);
		lw_exchange_release(x);
	}
	if (reply)
		reply->ops->answer(reply, a, body, fin);
}

static void sink_data(lw_sink_t *s, lw_str_t data, bool fin)
{
	lw_exchange_t *x = (lw_exchange_t *)s;
	lw_reply_t *reply = x->reply;

	if (x->dead)
		return;
	if (fin) {
		lw_exchange_clear_suspect(x);
		lw_exchange_attempt_done(x, true);
		lw_exchange_release(x);
	}
	if (reply)
		reply->ops->data(reply, data, fin);
}

/*
 * abandons the call in progress for another attempt: @v says where, @room is a host that has room
 */
static void try_elsewhere(lw_exchange_t *x, lw_retry_verdict_kind_t v, lw_place_host_t *room,
			  const lw_place_query_t *req)
{
	if (!take_retry(x))
		return;
	x->attempts.reached += !x->resending;
	x->attempts.maybe_executed = true;
	lw_exchange_abandon_call(x);
	if (v == LW_VERDICT_RETRY_OTHER_COUNTED)
		lw_exchange_attempt_at(x, room, LW_FAIL_BROKEN);
	else
		resend_to_best(x, LW_FAIL_BROKEN, req);
}

/*
 * The call in progress is silent or takes much longer than usual. An idempotent request is sent to
 * another server; a nested call may also be resent to a server that already had it; any other
 * request can only wait. A request also waits while no other host has room for it; with @confirmed
 * a host whose load is unknown does not count. If the call were abandoned and the request then
 * rejected there, it would fail with 502 although its server is still working on it.
 */
static void abandon_stalled(lw_exchange_t *x, bool confirmed)
{
	lw_place_query_t req = lw_exchange_place_query(x);
	const lw_place_host_t *again = lw_place_pick_resend(x->service, &x->tried, &req);
	lw_place_host_t *room = NULL;
	lw_retry_verdict_kind_t v;

	if (x->tried.n < LW_PLACE_TRIED_MAX)
		room = lw_place_pick_room(x->service, &x->tried, &req, confirmed);
	x->attempts.left_ms = lw_exchange_remaining_ms(x, x->give_up_us);
	x->attempts.body_kept = x->body_base == 0;
	v = lw_exchange_verdict(x) == LW_QUARANTINE_CLEAR ? lw_retry_verdict_silent(&x->attempts) :
							    LW_VERDICT_FAIL;
	if (!room && (confirmed || v == LW_VERDICT_RETRY_OTHER_COUNTED)) {
		lw_exchange_watch_stall(x, STALL_RECHECK_US);
		return;
	}
	if (v == LW_VERDICT_RESEND_SAME_COUNTED &&
	    (again == x->host || !lw_place_accepts_work(again, req.now_us)))
		return;
	if (v != LW_VERDICT_FAIL)
		try_elsewhere(x, v, room, &req);
}

static void sink_silent(lw_sink_t *s)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (!x->dead && !x->answering)
		abandon_stalled(x, false);
}

const lw_sink_ops_t lw_exchange_sink_ops = {
	.credit = sink_credit,
	.answer = sink_answer,
	.data = sink_data,
	.fail = sink_fail,
	.silent = sink_silent,
};

/* whether this process stood still until now, so that the answer may have arrived unread */
static bool stood_still(const lw_exchange_t *x)
{
	const lw_evloop_t *evloop = x->engine->evloop;

	return evloop->suspended_us || evloop->now_us > x->stall_due_us + STALL_LATE_MAX_US;
}

/*
 * lw_exchange_on_stall_timer() - timer: the attempt takes much longer than usual. The answer was
 * lost, the server hangs, or the call spent a long time in a queue. A node that is stopping
 * abandons nothing. After a standstill, timers run before arrived data is read.
 */
void lw_exchange_on_stall_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	if (x->engine->evloop->leaving || x->dead || x->answering)
		return;
	if (stood_still(x))
		lw_exchange_watch_stall(x, STALL_RECHECK_US);
	else
		abandon_stalled(x, true);
}

/* lw_exchange_watch_stall() - the attempt in progress counts as stalled in @after_us. */
void lw_exchange_watch_stall(lw_exchange_t *x, uint64_t after_us)
{
	struct ev_loop *loop = x->engine->evloop->loop;

	ev_timer_stop(loop, &x->stall);
	ev_timer_init(&x->stall, lw_exchange_on_stall_timer, (double)after_us / 1e6, 0);
	x->stall.data = x;
	x->stall_due_us = x->engine->evloop->now_us + after_us;
	ev_timer_start(loop, &x->stall);
}

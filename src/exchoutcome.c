/* What follows from each outcome of an attempt: elsewhere, again, or an answer. */
#include "exchange_int.h"

#include "log.h"

/* without room elsewhere a stalled attempt is looked at again after this, in seconds */
#define STALL_AGAIN_S 0.1

static bool take_retry(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_retryplace_t at = {
		.nodes = e->place.nsharing,
		.above = x->above,
		.below = lw_hotpath_depth(e->hotpath, x->route),
		.rank = x->rank,
		.urgent = lw_fleetconf_most_urgent(e->conf, x->rank / LW_RANKS_PER_PRIORITY),
		.used_below = lw_hotpath_retry_used(e->hotpath, x->route),
	};

	if (lw_retrylimit_take(&x->service->retries, &e->place.terms, &at, e->evloop->now_us)) {
		e->stats.retries++;
		return true;
	}
	e->stats.retries_denied++;
	return false;
}

/* give the request to the best of the servers that had it; one of them takes it */
static void send_again(lw_exchange_t *x, lw_fail_t why, const lw_place_ask_t *ask)
{
	x->host = lw_place_pick_again(x->service, &x->tried, ask);
	x->attempts.resent++;
	x->resending = true;
	lw_exchange_log_retry(x, why);
	lw_exchange_give(x);
}

/*
 * Once more to one of the servers that had it, the best of them; false if none
 * takes it. @paid: the allowance has counted it.
 */
static bool resend(lw_exchange_t *x, lw_fail_t why, bool paid)
{
	lw_place_ask_t ask = lw_exchange_choice(x);
	const lw_place_host_t *host = lw_place_pick_again(x->service, &x->tried, &ask);

	if (!lw_place_takes(host, ask.now_us) || !(paid || take_retry(x)))
		return false;
	send_again(x, why, &ask);
	return true;
}

/* lw_exchange_after_failure() - a call failed: try elsewhere or answer */
void lw_exchange_after_failure(lw_exchange_t *x, lw_fail_t why)
{
	if (x->answering) {
		lw_reply_t *reply = x->reply;

		x->engine->stats.cut++;
		lw_exchange_count(x, LW_ROUTE_CUT);
		lw_log(LW_LOG_answer_cut, "id=%s route=%s why=%s", x->request_id, x->route,
		       lw_fail_name(why));
		lw_exchange_release(x);
		if (reply)
			reply->ops->cut(reply);
		return;
	}
	if (!lw_fail_reached_server(why))
		x->attempts.handed_back++;
	else if (!x->resending)
		x->attempts.given++;
	x->resending = false;
	if (!lw_fail_not_run(why))
		x->attempts.maybe_ran = true;
	if (why != LW_FAIL_BROKEN || !lw_exchange_wait_for_word(x))
		lw_exchange_go_on(x, why);
}

/* lw_exchange_go_on() - the outcome of the last attempt is counted: try elsewhere or answer */
void lw_exchange_go_on(lw_exchange_t *x, lw_fail_t why)
{
	lw_verdict_t v;

	x->attempts.left_ms = lw_exchange_left_ms(x, x->give_up_us);
	x->attempts.body_kept = x->body_base == 0;
	if (lw_exchange_detain(x, why))
		return;
	v = lw_retry_verdict(&x->attempts, why);
	if (v == LW_VERDICT_AGAIN) {
		x->engine->stats.handed_back++;
		lw_exchange_attempt(x, why);
	} else if (v == LW_VERDICT_AGAIN_COUNTED && take_retry(x)) {
		lw_exchange_attempt(x, why);
	} else if ((v != LW_VERDICT_SAME && v != LW_VERDICT_SAME_COUNTED) ||
		   !resend(x, why, v == LW_VERDICT_SAME)) {
		lw_exchange_answer_verdict(x, lw_retry_final(&x->attempts, why), why);
	}
}

/*
 * The node told its load: placement, and the levels along the request's path.
 * @served: with a whole answer, so that what it ran at each service is known.
 */
static void took_load(lw_exchange_t *x, const lw_load_t *load, bool served)
{
	lw_engine_t *e = x->engine;
	uint32_t used = lw_retrylimit_used(&x->service->retries, &e->place.terms, e->place.nsharing,
					   e->evloop->now_us);
	lw_load_t path = *load;

	if (x->host && lw_place_told(x->host, load, e->evloop->now_us))
		lw_log(LW_LOG_server_leaving, "server=%s by=node", x->host->id);
	lw_place_tell(x->service, load->ran_us, e->evloop->now_us, &path.hots);
	lw_hotpath_told(e->hotpath, x->route, &path.hots, path.depth, e->evloop->now_us);
	if (served && !x->nested)
		lw_hotpath_worked(e->hotpath, x->route, x->rank / LW_RANKS_PER_PRIORITY, &path.hots,
				  e->evloop->now_us);
	lw_hotpath_used(e->hotpath, x->route, path.retry_used);
	if (used > path.retry_used)
		path.retry_used = used;
	if (x->parent_id.len)
		lw_gate_note_call(&e->gate, x->parent_id, &path);
}

/*
 * Whoever passes on an answer in which the server says that it leaves is bound by
 * that from then on, also where neither the store nor the node beside the server
 * can be heard: the server would get requests that meet its end.
 */
static void heed_notice(const lw_exchange_t *x, const lw_answer_t *a)
{
	lw_notice_said_t said = { 0 };

	lw_notice_in_head(&said, a->head, x->engine->evloop->names);
	if (said.leaving && x->host && lw_place_leaves(x->host))
		lw_log(LW_LOG_server_leaving, "server=%s by=passed_on", x->host->id);
}

static void host_replaced(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;

	lw_place_replaced(x->host, e->evloop->now_us);
	if (e->list_is_old)
		e->list_is_old(e->ctx);
}

static void sink_fail(lw_sink_t *s, lw_fail_t why, uint32_t retry_after_ms, const lw_load_t *load)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (x->dead)
		return;
	if (load)
		took_load(x, load, false);
	x->limited = load && load->notice.limited;
	if (retry_after_ms && (!x->room_ms || retry_after_ms < x->room_ms))
		x->room_ms = retry_after_ms;
	if (why == LW_FAIL_MISDIRECTED && x->host)
		host_replaced(x);
	if (!lw_fail_reached_server(why))
		lw_place_handed_back(&x->tried, x->host);
	lw_exchange_attempt_ended(x, why < LW_FAIL_SHED && why != LW_FAIL_NO_SERVER);
	lw_exchange_after_failure(x, why);
}

/* lw_exchange_feed() - bytes of the body that the lw_exchange_attempt may take now */
void lw_exchange_feed(lw_exchange_t *x)
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

/* the server took part of the body: give more, and forget what is too much to keep */
static void sink_credit(lw_sink_t *s, uint32_t bytes)
{
	lw_exchange_t *x = (lw_exchange_t *)s;
	bool was_full;

	if (x->dead)
		return;
	was_full = lw_exchange_full(x);
	x->credit += bytes;
	if (x->body_base || !x->fin || lw_bytebuf_len(&x->body) > BODY_KEPT_BYTES) {
		size_t drop = (size_t)(x->sent - x->body_base);

		if (drop && x->sent > BODY_KEPT_BYTES / 2) {
			lw_bytebuf_consume(&x->body, drop);
			x->body_base += drop;
		}
	}
	if (!(x->fin && x->sent == x->body_base + lw_bytebuf_len(&x->body)))
		lw_exchange_feed(x);
	if (was_full && !lw_exchange_full(x) && x->reply)
		x->reply->ops->resume(x->reply);
}

/* what follows the failure @status that a server answered with */
static lw_verdict_t after_answer(const lw_exchange_t *x, uint32_t status)
{
	lw_attempts_t a = x->attempts;

	a.given += !x->resending;
	a.left_ms = lw_exchange_left_ms(x, x->give_up_us);
	a.body_kept = x->body_base == 0;
	return lw_retry_answer(&a, status);
}

/* the answer is a failure of the server: ask again instead of passing it on, if that may be */
static bool ask_again(lw_exchange_t *x, uint32_t status, bool fin)
{
	lw_verdict_t v = after_answer(x, status);
	lw_place_ask_t ask = lw_exchange_choice(x);

	if (v == LW_VERDICT_FAIL)
		return false;
	if (v == LW_VERDICT_SAME_COUNTED &&
	    !lw_place_takes(lw_place_pick_again(x->service, &x->tried, &ask), ask.now_us))
		return false;
	if (!take_retry(x))
		return false;
	x->attempts.given += !x->resending;
	x->attempts.maybe_ran = true;
	if (fin)
		lw_exchange_attempt_ended(x, false);
	else
		lw_exchange_abandon_call(x);
	if (v == LW_VERDICT_SAME_COUNTED)
		send_again(x, LW_FAIL_BROKEN, &ask);
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
	heed_notice(x, a);
	if (load)
		took_load(x, load, fin && a->status < 500);
	if (a->status >= 500 && !(load && load->call_failed) && ask_again(x, a->status, fin))
		return;
	if (a->status >= 500)
		lw_exchange_tell_parent(x);
	x->answering = true;
	x->answered_well = a->status < 500;
	x->engine->stats.answered++;
	lw_exchange_count(x, a->status < 500 ? LW_ROUTE_ANSWERED : LW_ROUTE_SERVER_FAILED);
	if (fin) {
		lw_exchange_tell_answered(x);
		lw_exchange_attempt_ended(x, a->status < 500);
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
		lw_exchange_tell_answered(x);
		lw_exchange_attempt_ended(x, true);
		lw_exchange_release(x);
	}
	if (reply)
		reply->ops->data(reply, data, fin);
}

/* look again in a moment whether another server has room */
static void watch_for_room(lw_exchange_t *x)
{
	struct ev_loop *loop = x->engine->evloop->loop;

	ev_timer_stop(loop, &x->stall);
	ev_timer_init(&x->stall, lw_exchange_stalled, STALL_AGAIN_S, 0);
	x->stall.data = x;
	ev_timer_start(loop, &x->stall);
}

/* the call under way is given up for another try: @v says where, @room is a host that has room */
static void try_elsewhere(lw_exchange_t *x, lw_verdict_t v, lw_place_host_t *room,
			  const lw_place_ask_t *ask)
{
	if (!take_retry(x))
		return;
	x->attempts.given += !x->resending;
	x->attempts.maybe_ran = true;
	lw_exchange_abandon_call(x);
	if (v == LW_VERDICT_AGAIN_COUNTED)
		lw_exchange_attempt_at(x, room, LW_FAIL_BROKEN);
	else
		send_again(x, LW_FAIL_BROKEN, ask);
}

/*
 * Nothing is heard of the call under way, or it takes far longer than usual. A
 * request that may run twice goes elsewhere, a call also to another server that
 * had it; any other can only wait. So does one that no other host has room for,
 * @sure: is known to have room for: given up for a refusal there it is lost
 * (502), though its server is at work.
 */
static void give_up_for_room(lw_exchange_t *x, bool sure)
{
	lw_place_ask_t ask = lw_exchange_choice(x);
	const lw_place_host_t *again = lw_place_pick_again(x->service, &x->tried, &ask);
	lw_place_host_t *room = NULL;
	lw_verdict_t v;

	if (x->tried.n < LW_PLACE_TRIED_MAX)
		room = lw_place_pick_room(x->service, &x->tried, &ask, sure);
	x->attempts.left_ms = lw_exchange_left_ms(x, x->give_up_us);
	x->attempts.body_kept = x->body_base == 0;
	v = lw_exchange_verdict(x) == LW_QUARANTINE_CLEAR ? lw_retry_silent(&x->attempts) :
							    LW_VERDICT_FAIL;
	if (!room && (sure || v == LW_VERDICT_AGAIN_COUNTED)) {
		watch_for_room(x);
		return;
	}
	if (v == LW_VERDICT_SAME_COUNTED &&
	    (again == x->host || !lw_place_takes(again, ask.now_us)))
		return;
	if (v != LW_VERDICT_FAIL)
		try_elsewhere(x, v, room, &ask);
}

static void sink_silent(lw_sink_t *s)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (!x->dead && !x->answering)
		give_up_for_room(x, false);
}

const lw_sink_ops_t lw_exchange_sink_ops = {
	.credit = sink_credit,
	.answer = sink_answer,
	.data = sink_data,
	.fail = sink_fail,
	.silent = sink_silent,
};

/*
 * lw_exchange_stalled() - timer: an answer that takes far longer than usual was
 * lost, or the server hangs, or the call has just waited long in a queue. A node
 * that stops breaks nothing off.
 */
void lw_exchange_stalled(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	if (!x->engine->evloop->leaving && !x->dead && !x->answering)
		give_up_for_room(x, true);
}

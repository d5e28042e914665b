/* One request of a caller; see exchange.h. */
#include "exchange.h"

#include <stdlib.h>
#include <string.h>

#include "comeback.h"
#include "level.h"
#include "log.h"
#include "retryrule.h"
#include "xalloc.h"

/* a body up to this size is kept so that it can be sent to another server */
#define BODY_KEPT_BYTES LW_CALL_WINDOW
/* a request without a deadline of its own and no route timeout, ms */
#define DEADLINE_DEFAULT_MS 30000
/* an attempt that takes so many times as long as usual counts as stalled */
#define STALL_FACTOR   8
#define STALL_LEAST_US 150000
/* the server's own answer at the deadline is waited for a little, ms */
#define TIMEOUT_SLACK_MS 15
/*
 * Longest useful wait in front of a server, in percent of the latency
 * objective. A refused new request can go elsewhere or come back; a refused
 * call of a running request loses all that was done for that request.
 */
#define QUEUE_NEW_PERCENT    35
#define QUEUE_NESTED_PERCENT 60
/*
 * When a service has no reachable server, as when a node restarts beside the
 * last one, the request waits a little for it to come back, in percent of the
 * latency objective, and looks again after so many milliseconds.
 */
#define HOLD_NEW_PERCENT    12
#define HOLD_NESTED_PERCENT 40
#define HOLD_STEP_MS	    40
/* a refused caller is told to come back after this if no server said better, ms */
#define COMEBACK_DEFAULT_MS 250

struct lw_exchange {
	lw_sink_t sink;
	lw_engine_t *engine;
	lw_reply_t *reply; /* NULL once the caller has its answer or is gone */
	lw_call_t *call; /* the attempt under way */
	lw_place_host_t *host; /* it went to */
	lw_place_service_t *service;
	lw_bytebuf_t head;
	lw_bytebuf_t body;
	uint64_t body_base; /* bytes of the body no longer kept */
	uint64_t sent; /* bytes of the body given to the attempt */
	uint64_t credit; /* bytes the attempt takes in all */
	int64_t body_length;
	char *request_id; /* of any length: ids of nested calls grow with their depth */
	char route[LW_NAME_MAX];
	lw_str_t parent_id; /* of the request it was made for: part of request_id */
	uint32_t rank;
	uint32_t target_ms;
	uint64_t started_us;
	uint64_t give_up_us; /* the caller's deadline or the route's timeout */
	uint64_t deadline_us; /* the caller's */
	uint32_t room_ms; /* shortest wait for room a server told */
	lw_attempts_t attempts;
	lw_place_tried_t tried;
	ev_timer timer;
	ev_timer stall; /* until the attempt counts as stalled */
	ev_timer hold; /* until the next look for a host */
	lw_fail_t held_for;
	bool nested;
	bool repeat; /* made by a run that was a repeat */
	uint32_t above; /* levels of requests above it */
	bool fin; /* the body is complete */
	bool answering; /* the caller has the head of the answer */
	bool dead;
};

static void attempt(lw_exchange_t *x, lw_fail_t last);
static const lw_sink_ops_t exchange_sink_ops;

static uint32_t left_ms(const lw_exchange_t *x, uint64_t until_us)
{
	uint64_t now = x->engine->hub->now_us;

	return until_us > now ? (uint32_t)((until_us - now) / 1000) : 0;
}

static void release(lw_exchange_t *x)
{
	lw_engine_stats_t *stats = &x->engine->stats;

	if (x->dead)
		return;
	x->dead = true;
	if (x->started_us)
		lw_histogram_add(x->nested ? &stats->latency_nested : &stats->latency_user,
				 x->engine->hub->now_us - x->started_us);
	x->reply = NULL;
	ev_timer_stop(x->engine->hub->loop, &x->timer);
	ev_timer_stop(x->engine->hub->loop, &x->hold);
	x->engine->active--;
	lw_bytebuf_free(&x->head);
	lw_bytebuf_free(&x->body);
	free(x->request_id);
	x->request_id = NULL;
	lw_hub_free_later(x->engine->hub, x);
}

/* the attempt under way has an outcome */
static void attempt_ended(lw_exchange_t *x, bool ok)
{
	x->call = NULL;
	ev_timer_stop(x->engine->hub->loop, &x->stall);
	if (x->host)
		lw_place_ended(x->host, ok, x->engine->hub->now_us);
	x->host = NULL;
}

static void abandon_call(lw_exchange_t *x)
{
	lw_call_t *call = x->call;

	if (!call)
		return;
	attempt_ended(x, false);
	call->ops->cancel(call);
}

/* the request this call was made for will fail with it, wherever it runs */
static void tell_parent(const lw_exchange_t *x)
{
	if (x->parent_id.len)
		lw_gate_note_failure(&x->engine->gate, x->parent_id);
}

static void answer_own(lw_exchange_t *x, uint32_t status, lw_fail_t why, uint32_t retry_after_ms)
{
	lw_reply_t *reply = x->reply;

	lw_log(LW_LOG_request_ended,
	       "id=%s route=%s service=%s config=%llu rank=%u status=%u why=%s given=%u handed_back=%u maybe_ran=%d after_ms=%u retry_after_ms=%u",
	       x->request_id, x->route, x->service->name,
	       (unsigned long long)x->engine->conf->version, x->rank, status, lw_fail_name(why),
	       x->attempts.given, x->attempts.handed_back, x->attempts.maybe_ran,
	       (uint32_t)((x->engine->hub->now_us - x->started_us) / 1000), retry_after_ms);
	tell_parent(x);
	release(x);
	if (reply)
		reply->ops->own(reply, status, lw_fail_name(why), retry_after_ms);
}

static void answer_refused(lw_exchange_t *x, lw_fail_t why)
{
	uint32_t room = x->room_ms ? x->room_ms : COMEBACK_DEFAULT_MS;
	uint32_t ms =
		lw_comeback_ms(room, x->rank / LW_RANKS_PER_PRIORITY, left_ms(x, x->deadline_us),
			       lw_hub_random(x->engine->hub, UINT32_MAX));

	x->engine->stats.refused++;
	answer_own(x, 503, why, ms);
}

static void answer_verdict(lw_exchange_t *x, lw_verdict_t v, lw_fail_t why)
{
	switch (v) {
	case LW_VERDICT_REFUSE:
		answer_refused(x, why);
		break;
	case LW_VERDICT_TIMEOUT:
		x->engine->stats.timeouts++;
		answer_own(x, 504, why, 0);
		break;
	default:
		x->engine->stats.failed++;
		answer_own(x, 502, why, 0);
		break;
	}
}

static bool take_retry(lw_exchange_t *x)
{
	lw_engine_t *e = x->engine;
	lw_retryplace_t at = { e->place.nhosts, x->above, lw_hotpath_depth(e->hotpath, x->route) };

	if (lw_retrylimit_take(&x->service->retries, &e->place.terms, &at, e->hub->now_us)) {
		e->stats.retries++;
		return true;
	}
	e->stats.retries_denied++;
	return false;
}

/* a call failed: try elsewhere or answer */
static void after_failure(lw_exchange_t *x, lw_fail_t why)
{
	lw_verdict_t v;

	if (x->answering) {
		lw_reply_t *reply = x->reply;

		x->engine->stats.cut++;
		lw_log(LW_LOG_answer_cut, "id=%s route=%s why=%s", x->request_id, x->route,
		       lw_fail_name(why));
		release(x);
		if (reply)
			reply->ops->cut(reply);
		return;
	}
	if (lw_fail_reached_server(why))
		x->attempts.given++;
	else
		x->attempts.handed_back++;
	if (!lw_fail_not_run(why))
		x->attempts.maybe_ran = true;
	x->attempts.left_ms = left_ms(x, x->give_up_us);
	x->attempts.body_kept = x->body_base == 0;
	v = lw_retry_verdict(&x->attempts, why);
	if (v == LW_VERDICT_AGAIN) {
		x->engine->stats.handed_back++;
		attempt(x, why);
	} else if (v == LW_VERDICT_AGAIN_COUNTED && take_retry(x)) {
		attempt(x, why);
	} else {
		answer_verdict(x, lw_retry_final(&x->attempts, why), why);
	}
}

/* the node told its load: placement, and the levels along the request's path */
static void took_load(lw_exchange_t *x, const lw_load_t *load)
{
	lw_engine_t *e = x->engine;
	lw_load_t path = *load;

	if (x->host)
		lw_place_told(x->host, load, e->hub->now_us);
	lw_hots_add(&path.hots, x->service->name, lw_place_level(x->service, e->hub->now_us));
	lw_hotpath_told(e->hotpath, x->route, &path.hots, path.depth, e->hub->now_us);
	if (x->parent_id.len)
		lw_gate_note_call(&e->gate, x->parent_id, &path);
}

static void sink_fail(lw_sink_t *s, lw_fail_t why, uint32_t retry_after_ms, const lw_load_t *load)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (x->dead)
		return;
	if (load)
		took_load(x, load);
	if (retry_after_ms && (!x->room_ms || retry_after_ms < x->room_ms))
		x->room_ms = retry_after_ms;
	attempt_ended(x, why < LW_FAIL_SHED && why != LW_FAIL_NO_SERVER);
	after_failure(x, why);
}

/* bytes of the body that the attempt may take now */
static void feed(lw_exchange_t *x)
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
		feed(x);
	if (was_full && !lw_exchange_full(x) && x->reply)
		x->reply->ops->resume(x->reply);
}

static bool try_elsewhere(lw_exchange_t *x, uint32_t status)
{
	lw_attempts_t a = x->attempts;

	a.given++;
	a.left_ms = left_ms(x, x->give_up_us);
	a.body_kept = x->body_base == 0;
	return lw_retry_answer(&a, status) && take_retry(x);
}

static void sink_answer(lw_sink_t *s, const lw_answer_t *a, lw_str_t body, bool fin,
			const lw_load_t *load)
{
	lw_exchange_t *x = (lw_exchange_t *)s;
	lw_reply_t *reply = x->reply;

	if (x->dead)
		return;
	if (load)
		took_load(x, load);
	if (!(load && load->call_failed) && try_elsewhere(x, a->status)) {
		x->attempts.given++;
		x->attempts.maybe_ran = true;
		if (fin)
			attempt_ended(x, false);
		else
			abandon_call(x);
		attempt(x, LW_FAIL_BROKEN);
		return;
	}
	if (a->status >= 500)
		tell_parent(x);
	x->answering = true;
	x->engine->stats.answered++;
	if (fin) {
		attempt_ended(x, a->status < 500);
		release(x);
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
		attempt_ended(x, true);
		release(x);
	}
	if (reply)
		reply->ops->data(reply, data, fin);
}

/*
 * The node that runs the request has gone silent. A request that may run
 * twice goes elsewhere; any other can only wait.
 */
static void sink_silent(lw_sink_t *s)
{
	lw_exchange_t *x = (lw_exchange_t *)s;

	if (x->dead || x->answering || !x->attempts.idempotent || x->body_base)
		return;
	x->attempts.left_ms = left_ms(x, x->give_up_us);
	if (x->attempts.given + 1 >= x->attempts.max_given || !take_retry(x))
		return;
	x->attempts.given++;
	x->attempts.maybe_ran = true;
	abandon_call(x);
	attempt(x, LW_FAIL_BROKEN);
}

static const lw_sink_ops_t exchange_sink_ops = {
	.credit = sink_credit,
	.answer = sink_answer,
	.data = sink_data,
	.fail = sink_fail,
	.silent = sink_silent,
};

/*
 * An answer that takes far longer than usual was lost, or the server hangs. A
 * request that may run twice goes elsewhere while its caller still waits.
 */
static void on_stalled(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	sink_silent(&((lw_exchange_t *)w->data)->sink);
}

static void watch_for_stall(lw_exchange_t *x)
{
	uint64_t usual_us = x->host->load_us ? x->host->load.service_us : 0;
	uint64_t after_us = usual_us * STALL_FACTOR;

	if (!usual_us || !x->attempts.idempotent)
		return;
	if (after_us < STALL_LEAST_US)
		after_us = STALL_LEAST_US;
	ev_timer_init(&x->stall, on_stalled, (double)after_us / 1e6, 0);
	x->stall.data = x;
	ev_timer_start(x->engine->hub->loop, &x->stall);
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;
	bool under_way = x->call != NULL;

	(void)loop;
	(void)revents;
	abandon_call(x);
	if (x->answering) {
		after_failure(x, LW_FAIL_TIMEOUT);
		return;
	}
	x->attempts.maybe_ran |= under_way;
	answer_verdict(x, LW_VERDICT_TIMEOUT, LW_FAIL_TIMEOUT);
}

static void fill_ask(const lw_exchange_t *x, lw_ask_t *ask)
{
	uint32_t percent = x->nested ? QUEUE_NESTED_PERCENT : QUEUE_NEW_PERCENT;

	ask->head = (lw_str_t){ lw_bytebuf_head(&x->head), lw_bytebuf_len(&x->head) };
	ask->request_id = lw_str_c(x->request_id);
	ask->target = lw_str_c(x->host->id);
	ask->body_length = x->body_length;
	ask->deadline_ms = left_ms(x, x->give_up_us);
	ask->queue_ms = x->target_ms * percent / 100;
	ask->rank = x->rank;
	ask->nested = x->nested;
	ask->repeat = x->repeat || x->attempts.given;
}

/* the inputs of the choice: why again, and how loaded and old the news of the host is */
static void log_retry(const lw_exchange_t *x, lw_fail_t last)
{
	const lw_place_host_t *h = x->host;
	uint64_t now = x->engine->hub->now_us;

	lw_log(LW_LOG_request_retried,
	       "id=%s route=%s after=%s server=%s busy=%u limit=%u news_ms=%llu given=%u handed_back=%u left_ms=%u",
	       x->request_id, x->route, lw_fail_name(last), h->id, h->load.running + h->load.queued,
	       h->load.limit, h->load_us ? (unsigned long long)((now - h->load_us) / 1000) : 0,
	       x->attempts.given, x->attempts.handed_back, left_ms(x, x->give_up_us));
}

static void on_hold_over(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	x->tried.n = 0;
	attempt(x, x->held_for);
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

	lw_hots_add(&shut.hots, x->service->name, LW_LEVEL_SHUT);
	lw_hotpath_told(e->hotpath, x->route, &shut.hots, 0, e->hub->now_us);
	if (x->parent_id.len)
		lw_gate_note_call(&e->gate, x->parent_id, &shut);
}

/* no host is left: wait for one if there is time and none has had the request */
static void no_host(lw_exchange_t *x, lw_fail_t last)
{
	uint32_t percent = x->nested ? HOLD_NESTED_PERCENT : HOLD_NEW_PERCENT;
	uint64_t hold_us = (uint64_t)x->target_ms * percent * 10;
	bool unreached = last == LW_FAIL_NO_SERVER || last == LW_FAIL_UNSENT;

	if (unreached && !x->attempts.given &&
	    x->engine->hub->now_us - x->started_us + HOLD_STEP_MS * 1000 < hold_us) {
		x->held_for = last;
		x->attempts.handed_back = 0;
		ev_timer_init(&x->hold, on_hold_over, HOLD_STEP_MS / 1000.0, 0);
		x->hold.data = x;
		ev_timer_start(x->engine->hub->loop, &x->hold);
		return;
	}
	if (unreached)
		tell_shut(x);
	answer_verdict(x, lw_retry_final(&x->attempts, last), last);
}

/* give the request to the best host that has not had it; @last: why again */
static void attempt(lw_exchange_t *x, lw_fail_t last)
{
	lw_engine_t *e = x->engine;
	lw_place_ask_t choice = { e->hub->now_us, x->body_length,
				  lw_hub_random(e->hub, UINT32_MAX) };
	lw_str_t body;
	lw_ask_t ask;
	lw_fail_t why = LW_FAIL_UNSENT;
	uint32_t retry_after_ms = 0;
	bool whole;

	if (x->tried.n < LW_PLACE_TRIED_MAX)
		x->host = lw_place_pick(x->service, &x->tried, &choice);
	if (!x->host) {
		no_host(x, last);
		return;
	}
	if (x->tried.n || x->attempts.given)
		log_retry(x, last);
	x->tried.host[x->tried.n++] = x->host;
	lw_place_sent(x->host);
	fill_ask(x, &ask);
	body = (lw_str_t){ lw_bytebuf_head(&x->body), lw_bytebuf_len(&x->body) };
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
		sink_fail(&x->sink, why, retry_after_ms, &load);
	} else {
		sink_fail(&x->sink, why, 0, NULL);
	}
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
	feed(x);
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
	abandon_call(x);
	release(x);
}

static uint32_t header_ms(const lw_httphead_t *h)
{
	lw_str_t v = lw_httphead_find(h, LW_HEADER_DEADLINE);
	uint64_t ms = 0;

	if (!v.len)
		return 0;
	for (size_t i = 0; i < v.len; i++) {
		if (v.ptr[i] < '0' || v.ptr[i] > '9')
			break;
		ms = ms * 10 + (uint64_t)(v.ptr[i] - '0');
		if (ms > UINT32_MAX / 2)
			return UINT32_MAX / 2;
	}
	return ms ? (uint32_t)ms : 1;
}

static void set_times(lw_exchange_t *x, const lw_exchange_ask_t *ask, uint32_t timeout_ms)
{
	uint64_t now = x->engine->hub->now_us;
	uint32_t deadline = header_ms(ask->head);
	uint32_t give_up;

	if (!deadline)
		deadline = timeout_ms ? timeout_ms : DEADLINE_DEFAULT_MS;
	give_up = timeout_ms && timeout_ms < deadline ? timeout_ms : deadline;
	x->started_us = now;
	x->deadline_us = now + (uint64_t)deadline * 1000;
	x->deadline_us -=
		ask->late_us < (uint64_t)deadline * 1000 ? ask->late_us : (uint64_t)deadline * 1000;
	x->give_up_us = now + (uint64_t)give_up * 1000;
	if (x->give_up_us > x->deadline_us)
		x->give_up_us = x->deadline_us;
	ev_timer_init(&x->timer, on_timeout,
		      (left_ms(x, x->give_up_us) + TIMEOUT_SLACK_MS) / 1000.0, 0);
	x->timer.data = x;
	ev_timer_start(x->engine->hub->loop, &x->timer);
}

static void compose_head(lw_exchange_t *x, const lw_httphead_t *h)
{
	const lw_hub_t *hub = x->engine->hub;

	lw_httphead_forward(h, &x->head);
	lw_bytebuf_printf(&x->head, "%s: %s\r\n", hub->names->header[LW_HEADER_CALLER],
			  hub->set->service);
}

/* the terms of the route in force now; false if no route matches */
static bool apply_route(lw_exchange_t *x, const lw_exchange_ask_t *ask, const lw_fleetconf_t *fc)
{
	lw_fleet_route_t *r = lw_fleetconf_match(fc, ask->head->host, ask->head->target);

	if (!r || !r->nsplits)
		return false;
	lw_str_copy(x->route, sizeof(x->route), lw_str_c(r->name));
	x->rank = lw_rank(r->priority, lw_str_c(x->request_id));
	x->target_ms = r->target_ms;
	x->attempts.idempotent = r->idempotent;
	x->attempts.max_given = r->max_attempts;
	x->service = lw_place_service(&x->engine->place, lw_fleet_route_next(r));
	set_times(x, ask, r->timeout_ms);
	return true;
}

/*
 * A call made by the backend server on this host is part of a request that
 * runs there. Callers and the backend server share the host's address, so only
 * the id tells: backend servers build the id of a call from that of the
 * request it is for, a dot and more. A call whose request is not known, as
 * this process started after it, ranks by its route.
 */
static void find_parent(lw_exchange_t *x)
{
	const char *dot = strrchr(x->request_id, '.');

	if (!dot)
		return;
	for (const char *p = x->request_id; *p; p++)
		x->above += *p == '.';
	x->parent_id = (lw_str_t){ x->request_id, (size_t)(dot - x->request_id) };
	x->nested = true;
	x->engine->stats.nested++;
	if (!lw_gate_parent(&x->engine->gate, x->parent_id, &x->rank, &x->repeat))
		x->parent_id.len = 0;
}

/*
 * lw_exchange_start() - take up a request. Call lw_exchange_send() when what
 * has arrived of its body is given, to find it a server. Returns NULL if the
 * request has been answered already.
 */
lw_exchange_t *lw_exchange_start(lw_engine_t *e, lw_reply_t *reply, const lw_exchange_ask_t *ask)
{
	lw_exchange_t *x = xcalloc(1, sizeof(*x));
	const lw_fleetconf_t *fc = e->conf;
	lw_hot_t hot;

	x->sink.ops = &exchange_sink_ops;
	x->engine = e;
	x->reply = reply;
	x->body_length = ask->body_length;
	x->fin = ask->body_length == 0;
	x->request_id = lw_str_dup(lw_httphead_find(ask->head, LW_HEADER_REQUEST_ID));
	ev_timer_init(&x->timer, on_timeout, 0, 0);
	ev_timer_init(&x->hold, on_hold_over, 0, 0);
	ev_timer_init(&x->stall, on_stalled, 0, 0);
	e->active++;
	e->stats.requests++;
	if (fc && apply_route(x, ask, fc)) {
		find_parent(x);
		if (!x->nested &&
		    !lw_hotpath_admits(e->hotpath, x->route, x->rank, e->hub->now_us, &hot)) {
			lw_log(LW_LOG_path_busy, "id=%s route=%s rank=%u by=%s level=%u",
			       x->request_id, x->route, x->rank, hot.service, hot.level);
			answer_refused(x, LW_FAIL_PATH_BUSY);
			return NULL;
		}
		compose_head(x, ask->head);
		lw_retrylimit_request(&x->service->retries, &e->place.terms, e->hub->now_us);
		if (x->repeat)
			lw_retrylimit_repeat(&x->service->retries, &e->place.terms, e->hub->now_us);
		return x;
	}
	release(x);
	if (fc)
		e->stats.no_route++;
	else
		e->stats.no_config++;
	reply->ops->own(reply, fc ? 404 : 503, fc ? "no_route" : "starting",
			fc ? 0 : COMEBACK_DEFAULT_MS);
	return NULL;
}

/* lw_exchange_send() - find the request a server. */
void lw_exchange_send(lw_exchange_t *x)
{
	if (!x->dead)
		attempt(x, LW_FAIL_NO_SERVER);
}

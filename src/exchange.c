/* One request of a caller; see exchange.h. */
#include "exchange_int.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "comeback.h"
#include "log.h"
#include "xalloc.h"

/* a request without a deadline of its own and no route timeout, ms */
#define DEADLINE_DEFAULT_MS 30000
/* the server's own answer at the deadline is waited for a little, ms */
#define TIMEOUT_SLACK_MS 15
/* a refused caller is told to come back after this if no server said better, ms */
#define COMEBACK_DEFAULT_MS 250

/* lw_engine_oldest_us() - age of the oldest request under way, at least 1; 0: there is none. */
uint64_t lw_engine_oldest_us(const lw_engine_t *e)
{
	const lw_exchange_t *x = e->exchanges;

	/* one that is just being taken up has no time yet */
	return x ? e->hub->now_us - (x->started_us ? x->started_us : e->hub->now_us) + 1 : 0;
}

/* lw_exchange_left_ms() - milliseconds until @until_us, 0 if it has passed. */
uint32_t lw_exchange_left_ms(const lw_exchange_t *x, uint64_t until_us)
{
	uint64_t now = x->engine->hub->now_us;

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
				 x->engine->hub->now_us - x->started_us);
	x->reply = NULL;
	ev_timer_stop(x->engine->hub->loop, &x->timer);
	ev_timer_stop(x->engine->hub->loop, &x->hold);
	x->engine->active--;
	DL_DELETE(x->engine->exchanges, x);
	lw_bytebuf_free(&x->head);
	lw_bytebuf_free(&x->body);
	free(x->request_id);
	x->request_id = NULL;
	lw_hub_free_later(x->engine->hub, x);
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
	ev_timer_stop(x->engine->hub->loop, &x->stall);
	if (x->host) {
		lw_str_copy(x->last, sizeof(x->last), lw_str_c(x->host->id));
		lw_place_ended(x->host, ok, x->engine->hub->now_us);
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
	       "id=%s route=%s service=%s config=%llu rank=%u status=%u why=%s given=%u handed_back=%u maybe_ran=%d after_ms=%u retry_after_ms=%u last=%s print=%016llx",
	       x->request_id, x->route, x->service->name,
	       (unsigned long long)x->engine->conf->version, x->rank, status, lw_fail_name(why),
	       x->attempts.given, x->attempts.handed_back, x->attempts.maybe_ran,
	       (uint32_t)((x->engine->hub->now_us - x->started_us) / 1000), retry_after_ms,
	       x->last[0] ? x->last : "none", (unsigned long long)x->print.value.whole);
	lw_exchange_tell_parent(x);
	lw_exchange_release(x);
	if (reply)
		reply->ops->own(reply, status, lw_fail_name(why), retry_after_ms);
}

static void answer_refused(lw_exchange_t *x, lw_fail_t why)
{
	uint32_t room = x->room_ms ? x->room_ms : COMEBACK_DEFAULT_MS;
	uint32_t ms = lw_comeback_ms(room, x->rank / LW_RANKS_PER_PRIORITY,
				     lw_exchange_left_ms(x, x->deadline_us),
				     lw_hub_random(x->engine->hub, UINT32_MAX));

	/* all that held it are certain to refuse it until then */
	if (why == LW_FAIL_HELD) {
		x->engine->stats.held++;
		ms = room;
	}
	x->engine->stats.refused++;
	lw_exchange_count(x, LW_ROUTE_REFUSED);
	answer_own(x, 503, why, ms);
}

/*
 * lw_exchange_answer_verdict() - give the caller the answer that @v stands
 * for; @why goes to the log.
 */
void lw_exchange_answer_verdict(lw_exchange_t *x, lw_verdict_t v, lw_fail_t why)
{
	switch (v) {
	case LW_VERDICT_REFUSE:
		answer_refused(x, why);
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

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
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
	x->target_us = now + (uint64_t)x->target_ms * 1000;
	x->deadline_us = now + (uint64_t)deadline * 1000;
	x->deadline_us -=
		ask->late_us < (uint64_t)deadline * 1000 ? ask->late_us : (uint64_t)deadline * 1000;
	x->give_up_us = now + (uint64_t)give_up * 1000;
	if (x->give_up_us > x->deadline_us)
		x->give_up_us = x->deadline_us;
	ev_timer_init(&x->timer, on_timeout,
		      (lw_exchange_left_ms(x, x->give_up_us) + TIMEOUT_SLACK_MS) / 1000.0, 0);
	x->timer.data = x;
	ev_timer_start(x->engine->hub->loop, &x->timer);
}

static void compose_head(lw_exchange_t *x, const lw_httphead_t *h)
{
	const lw_hub_t *hub = x->engine->hub;

	lw_httphead_forward(h, &x->head);
	lw_fingerprinter_begin(&x->print,
			       (lw_str_t){ lw_bytebuf_head(&x->head), lw_bytebuf_len(&x->head) });
	lw_fingerprinter_body(&x->print, (lw_str_t){ NULL, 0 }, x->fin);
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
	x->stat = lw_routestats_get(&x->engine->routes, x->route);
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
	lw_gate_parent_t parent;

	if (!dot)
		return;
	for (const char *p = x->request_id; *p; p++)
		x->above += *p == '.';
	x->parent_id = (lw_str_t){ x->request_id, (size_t)(dot - x->request_id) };
	x->nested = true;
	x->attempts.nested = true;
	x->engine->stats.nested++;
	if (!lw_gate_parent(&x->engine->gate, x->parent_id, &parent)) {
		x->parent_id.len = 0;
		return;
	}
	x->rank = parent.rank;
	x->repeat = parent.repeat;
	x->target_us = parent.target_us;
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

	x->sink.ops = &lw_exchange_sink_ops;
	x->engine = e;
	x->reply = reply;
	x->body_length = ask->body_length;
	x->fin = ask->body_length == 0;
	x->request_id = lw_str_dup(lw_httphead_find(ask->head, LW_HEADER_REQUEST_ID));
	ev_timer_init(&x->timer, on_timeout, 0, 0);
	ev_timer_init(&x->hold, lw_exchange_hold_over, 0, 0);
	ev_timer_init(&x->stall, lw_exchange_stalled, 0, 0);
	e->active++;
	DL_APPEND(e->exchanges, x);
	e->stats.requests++;
	if (fc && apply_route(x, ask, fc)) {
		find_parent(x);
		if (e->hub->callers_refused && !x->parent_id.len) {
			answer_refused(x, LW_FAIL_LEAVING);
			return NULL;
		}
		if (!x->nested)
			x->rank = lw_hotpath_weighed(e->hotpath, x->route, x->rank, e->hub->now_us);
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
	lw_exchange_release(x);
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
	if (x->dead)
		return;
	x->awaits_body = !x->print.known &&
			 lw_quarantine_awaits_body(x->engine->quarantine, x->print.value.head);
	if (!x->awaits_body)
		lw_exchange_attempt(x, LW_FAIL_NO_SERVER);
}

/*
 * Outbound part of the guard: the choice of a peer for each attempt, retries
 * within the budgets, and the state of the peers as derived from their
 * replies.
 */
#include <stdlib.h>
#include <string.h>

#include "guard_int.h"
#include "log.h"
#include "xalloc.h"

#define CALLS_MAX	1024 /* maximum number of outbound calls open at once */
#define MIN_ATTEMPT_MS	2 /* no attempt is made with less time left */
#define PROBE_LATENCIES 4.0 /* ask the peer after a silence of this many usual latencies */
#define PROBE_MIN_MS	50

static void out_finish(guard_t *g, guard_out_call_t *c, bool failed)
{
	guard_in_call_t *parent = c->parent ? guard_in_find(g, c->parent) : NULL;

	if (parent) {
		parent->budget += lw_user_budget_left(&c->budget);
		parent->child_failed |= failed;
	}
	HASH_DEL(g->out, c);
	free(c);
}

static void out_answer(guard_t *g, guard_out_call_t *c, lw_outcome_t o, lw_reason_t r,
		       lw_effects_t *out)
{
	if (o == LW_NOT_RUN && c->maybe_ran) {
		o = LW_UNKNOWN;
		r = LW_R_TIMEOUT;
	}
	lw_effects_push(out, &(lw_effect_t){
				     .kind = LW_FX_ANSWER,
				     .id = c->id,
				     .outcome = o,
				     .reason = r,
				     .retries_used = c->budget.used,
				     /*
				 * The layer nearest to the failure has
				 * retried: the layers above must not.
				 */
				     .no_retry = o != LW_DONE,
				     .retry_after_ms = o == LW_DONE ? 0 : GUARD_OUT_RETRY_MS,
			     });
	out_finish(g, c, o != LW_DONE);
}

static uint32_t probe_after(const lw_peer_t *p, uint32_t timeout_ms)
{
	double ms = PROBE_LATENCIES * p->latency_ms;

	if (ms < PROBE_MIN_MS)
		ms = PROBE_MIN_MS;
	return ms > timeout_ms / 2.0 ? timeout_ms / 2 : (uint32_t)ms;
}

static void send_attempt(guard_t *g, guard_out_call_t *c, uint64_t now, lw_effects_t *out)
{
	uint32_t left = c->deadline_at > now ? (uint32_t)(c->deadline_at - now) : 0;
	uint32_t timeout = left < g->timeout_ms ? left : g->timeout_ms;
	int peer = lw_peerset_pick(g->peers, c->service, c->peer, now);

	if (peer < 0 || left < MIN_ATTEMPT_MS) {
		out_answer(g, c, LW_NOT_RUN, peer < 0 ? LW_R_NO_BACKEND : LW_R_DEADLINE, out);
		return;
	}
	c->peer = peer;
	c->attempt++;
	lw_peerset_get(g->peers, peer)->inflight++;
	lw_effects_push(
		out,
		&(lw_effect_t){ .kind = LW_FX_SEND,
				.id = c->id,
				.peer = peer,
				.attempt = c->attempt,
				.depth = c->depth,
				.timeout_ms = timeout,
				.probe_ms = probe_after(lw_peerset_get(g->peers, peer), timeout),
				.retry_budget = lw_user_budget_grant(&c->budget, c->idempotent) });
}

/* guard_on_out_request() - the backend server calls another service. */
void guard_on_out_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	guard_in_call_t *parent = ev->parent ? guard_in_find(g, ev->parent) : NULL;
	guard_out_call_t *c;

	if (HASH_COUNT(g->out) >= CALLS_MAX) {
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
						     .id = ev->id,
						     .outcome = LW_NOT_RUN,
						     .reason = LW_R_OVERLOADED,
						     .retry_after_ms = GUARD_OUT_RETRY_MS });
		return;
	}
	lw_retry_bucket_earn(&g->bucket);
	c = xcalloc(1, sizeof(*c));
	c->id = ev->id;
	c->service = ev->service;
	c->idempotent = ev->idempotent;
	c->deadline_at = ev->now_ms + ev->deadline_ms;
	c->budget.total = ev->retry_budget;
	c->peer = -1;
	c->depth = 1;
	if (parent) {
		/* borrow the whole budget: two calls of one request must not spend it twice */
		c->parent = ev->parent;
		c->depth = parent->depth + 1;
		c->budget.total = parent->budget;
		parent->budget = 0;
	}
	HASH_ADD(hh, g->out, id, sizeof(c->id), c);
	send_attempt(g, c, ev->now_ms, out);
}

static void update_peer(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_peer_t *p = lw_peerset_get(g->peers, ev->peer);
	bool was_draining;

	if (!p)
		return;
	if (p->inflight)
		p->inflight--;
	if (ev->reached) {
		was_draining = p->draining;
		lw_peer_update_status(p, ev->incarnation, ev->draining, ev->now_ms);
		lw_peer_update_load(p, ev->load_permille, ev->now_ms);
		if (p->draining && !was_draining)
			lw_effects_log(out, LW_LOG_peer_draining, ev->peer, 0);
	}
	if (ev->outcome == LW_DONE)
		p->latency_ms +=
			(p->latency_ms == 0 ? 1.0 : 0.1) * (ev->latency_ms - p->latency_ms);
	/* a peer that refuses work in a regular reply has not failed */
	if (ev->outcome == LW_UNKNOWN || (ev->outcome == LW_NOT_RUN && !ev->reached) ||
	    ev->reason == LW_R_BACKEND_ERROR) {
		if (lw_peer_failed(p, ev->now_ms))
			lw_effects_log(out, LW_LOG_peer_suspected, ev->peer, p->fails);
	} else if (ev->server_error) {
		p->fail_ratio += 0.1 * (1.0 - p->fail_ratio);
	} else if (ev->outcome == LW_DONE && lw_peer_succeeded(p)) {
		lw_effects_log(out, LW_LOG_peer_recovered, ev->peer, 0);
	}
}

static bool may_retry(guard_t *g, guard_out_call_t *c, const lw_event_t *ev, lw_effects_t *out)
{
	if (ev->outcome == LW_DONE || ev->no_retry || ev->reason == LW_R_DEADLINE)
		return false;
	/* an attempt that may have been executed is retried only if the call is idempotent */
	if (ev->outcome == LW_UNKNOWN && !c->idempotent)
		return false;
	/* retries to a service without free capacity at any peer keep it overloaded */
	if (ev->reason == LW_R_OVERLOADED &&
	    !lw_peerset_has_room(g->peers, c->service, c->peer, ev->now_ms))
		return false;
	if (!lw_retry_take(&c->budget, &g->bucket)) {
		g->base.stats.retries_denied++;
		lw_effects_log(out, LW_LOG_retry_denied, (int64_t)c->id, (int64_t)c->budget.used);
		return false;
	}
	return true;
}

/* guard_on_out_reply() - an attempt ended: answer the call, or try another peer. */
void guard_on_out_reply(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	guard_out_call_t *c = NULL;

	update_peer(g, ev, out);
	HASH_FIND(hh, g->out, &ev->id, sizeof(ev->id), c);
	if (!c || c->peer != ev->peer) {
		/* the call was answered already, or is retried at another peer: drop the reply */
		g->base.stats.late_replies++;
		lw_effects_log(out, LW_LOG_late_reply_dropped, (int64_t)ev->id, ev->peer);
		return;
	}
	lw_user_budget_settle(&c->budget, ev->reached || ev->outcome == LW_NOT_RUN,
			      ev->retries_used);
	if (ev->outcome == LW_UNKNOWN)
		c->maybe_ran = true;
	if (!may_retry(g, c, ev, out)) {
		out_answer(g, c, ev->outcome, ev->reason, out);
		return;
	}
	g->base.stats.retries++;
	lw_effects_log(out, LW_LOG_retry, (int64_t)c->id, c->attempt);
	send_attempt(g, c, ev->now_ms, out);
}

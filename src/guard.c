/*
 * The guard: the reducer lwnode runs. Inbound it replays the stored answers
 * of repeated idempotency keys, admits by class (admission.h) and answers
 * queries about past attempts (records.h). Outbound it chooses a peer
 * (peerset.h) and retries within the user request's budget and the node's
 * token bucket (retrybudget.h). Every decision is an effect; nothing here
 * touches a socket or a clock.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "admission.h"
#include "policy.h"
#include "retrybudget.h"
#include "xalloc.h"

#define CALLS_MAX	  1024 /* outbound calls open at once */
#define IDEM_RECORDS_MAX  16384
#define IDEM_BYTES_MAX	  (8u << 20)
#define IDEM_KEEP_MS	  120000 /* repeats are replayed for two minutes */
#define ATTEMPT_MAX	  16384
#define ATTEMPT_BYTES_MAX (4u << 20)
#define ATTEMPT_KEEP_MS	  30000 /* longer than any caller asks after its attempt */
#define MIN_ATTEMPT_MS	  2 /* less time than this left: do not try */
#define PROBE_LATENCIES	  4.0 /* silent for so many usual latencies: ask */
#define PROBE_MIN_MS	  50
#define OUT_RETRY_MS	  200 /* when to come back to a service that has no room */

typedef struct in_call {
	uint64_t id;
	lw_class_t cls;
	lw_key_t idem_key, attempt_key;
	uint32_t deadline_ms;
	uint32_t budget; /* retries left for the calls it makes */
	uint32_t depth;
	bool running; /* at the backend server, not queued */
	bool child_failed; /* a call it made failed and was retried there */
	UT_hash_handle hh;
} in_call_t;

typedef struct out_call {
	uint64_t id;
	uint64_t parent; /* inbound call whose budget it borrowed, or 0 */
	uint32_t service;
	bool idempotent;
	bool maybe_ran; /* an earlier attempt ended unknown: "not run" would be a lie */
	uint64_t deadline_at;
	lw_user_budget_t budget;
	uint32_t depth;
	uint32_t attempt;
	int peer;
	UT_hash_handle hh;
} out_call_t;

typedef struct guard {
	lw_policy_t base;
	lw_admission_t admission;
	lw_retry_bucket_t bucket;
	lw_peerset_t *peers;
	lw_records_t *by_idem_key, *by_attempt;
	in_call_t *in;
	out_call_t *out;
	uint32_t timeout_ms;
	bool draining;
} guard_t;

static void release(void *ctx, void *answer)
{
	lw_effects_push(ctx, &(lw_effect_t){ .kind = LW_FX_RELEASE, .answer = answer });
}

static void answer(lw_effects_t *out, uint64_t id, lw_outcome_t o, lw_reason_t r,
		   uint32_t retry_after_ms)
{
	lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
					     .id = id,
					     .outcome = o,
					     .reason = r,
					     .retry_after_ms = retry_after_ms });
}

static void refuse(guard_t *g, uint64_t id, lw_class_t cls, lw_reason_t why, lw_effects_t *out)
{
	answer(out, id, LW_NOT_RUN, why, lw_admission_retry_after(&g->admission, cls));
}

static in_call_t *in_find(guard_t *g, uint64_t id)
{
	in_call_t *c = NULL;

	HASH_FIND(hh, g->in, &id, sizeof(id), c);
	return c;
}

static void in_forget(guard_t *g, in_call_t *c)
{
	HASH_DEL(g->in, c);
	free(c);
}

/* the request did not run: a repeat of it may, and no record may say otherwise */
static void in_refuse(guard_t *g, in_call_t *c, lw_reason_t why, lw_effects_t *out)
{
	lw_records_forget(g->by_idem_key, c->idem_key);
	lw_records_forget(g->by_attempt, c->attempt_key);
	g->base.stats.shed[c->cls]++;
	refuse(g, c->id, c->cls, why, out);
	in_forget(g, c);
}

static void in_admit(guard_t *g, in_call_t *c, lw_effects_t *out)
{
	c->running = true;
	g->base.stats.admitted[c->cls]++;
	lw_effects_push(
		out, &(lw_effect_t){ .kind = LW_FX_ADMIT, .id = c->id, .retry_budget = c->budget });
}

static bool in_record(guard_t *g, const in_call_t *c, lw_effects_t *out)
{
	if (lw_key_is_set(c->attempt_key) &&
	    !lw_records_begin(g->by_attempt, c->attempt_key, release, out))
		return false;
	if (!lw_key_is_set(c->idem_key) ||
	    lw_records_begin(g->by_idem_key, c->idem_key, release, out))
		return true;
	lw_records_forget(g->by_attempt, c->attempt_key);
	return false;
}

static in_call_t *in_new(guard_t *g, const lw_event_t *ev)
{
	in_call_t *c = xcalloc(1, sizeof(*c));

	c->id = ev->id;
	c->cls = ev->cls;
	c->idem_key = ev->idem_key;
	c->attempt_key = ev->attempt_key;
	c->deadline_ms = ev->deadline_ms;
	c->budget = ev->retry_budget;
	c->depth = ev->depth;
	HASH_ADD(hh, g->in, id, sizeof(c->id), c);
	return c;
}

static void on_offer(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	in_call_t *c = in_new(g, ev);
	lw_offer_t offer = {
		.id = c->id, .cls = c->cls, .depth = c->depth, .deadline_ms = c->deadline_ms
	};
	in_call_t *loser;
	uint64_t displaced;

	if (!in_record(g, c, out)) {
		in_refuse(g, c, LW_R_OVERLOADED, out);
		return;
	}
	switch (lw_admission_offer(&g->admission, &offer, ev->now_ms, &displaced)) {
	case LW_ADMIT_NOW:
		in_admit(g, c, out);
		return;
	case LW_ADMIT_QUEUED:
		g->base.stats.queued[c->cls]++;
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_QUEUE, .id = c->id });
		lw_effects_push(out,
				&(lw_effect_t){ .kind = LW_FX_ARM,
						.at_ms = lw_admission_next_expiry(&g->admission) });
		loser = displaced ? in_find(g, displaced) : NULL;
		if (loser) {
			lw_effects_log(out, 1300, loser->cls, (int64_t)g->admission.inflight);
			in_refuse(g, loser, LW_R_OVERLOADED, out);
		}
		return;
	case LW_ADMIT_OVERLOADED:
		lw_effects_log(out, 1300, c->cls, (int64_t)g->admission.inflight);
		in_refuse(g, c, LW_R_OVERLOADED, out);
		return;
	case LW_ADMIT_TOO_LATE:
		lw_effects_log(out, 1301, c->deadline_ms, (int64_t)g->admission.limiter.ewma_ms);
		in_refuse(g, c, LW_R_DEADLINE, out);
		return;
	}
}

/* answer @ev from a record of its key; false when it has none */
static bool from_record(guard_t *g, const lw_event_t *ev, lw_records_t *table, lw_key_t key,
			lw_effects_t *out)
{
	void *stored;

	switch (lw_records_find(table, key, &stored)) {
	case LW_REC_NONE:
		return false;
	case LW_REC_REFUSED:
		/* its caller asked, was told "not run", and has moved on */
		refuse(g, ev->id, ev->cls, LW_R_NOT_RECEIVED, out);
		return true;
	case LW_REC_DONE:
		if (stored) {
			g->base.stats.dedup_hits++;
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_REPLAY,
							     .id = ev->id,
							     .answer = stored });
			return true;
		}
		/* fall through: the answer was dropped for room */
	case LW_REC_RUNNING:
	case LW_REC_MAYBE:
		break;
	}
	/* the first copy runs or may have run, so this is not "not run" */
	answer(out, ev->id, LW_UNKNOWN, LW_R_IN_FLIGHT, OUT_RETRY_MS);
	return true;
}

static void on_in_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	if (from_record(g, ev, g->by_attempt, ev->attempt_key, out) ||
	    from_record(g, ev, g->by_idem_key, ev->idem_key, out))
		return;
	if (ev->repeat && lw_key_is_set(ev->idem_key)) {
		/* it may have run at another node: only a record can tell */
		g->base.stats.lookups++;
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_LOOKUP, .id = ev->id });
	} else if (g->draining) {
		answer(out, ev->id, LW_NOT_RUN, LW_R_DRAINING, 0);
	} else {
		on_offer(g, ev, out);
	}
}

static void on_in_record(const lw_event_t *ev, lw_effects_t *out)
{
	if (ev->outcome == LW_DONE)
		lw_effects_push(
			out,
			&(lw_effect_t){ .kind = LW_FX_REPLAY, .id = ev->id, .answer = ev->answer });
	else
		answer(out, ev->id, LW_UNKNOWN, LW_R_NO_RECORD, OUT_RETRY_MS);
}

static void admit_from_queue(guard_t *g, uint64_t now, lw_effects_t *out)
{
	uint64_t id;

	while (lw_admission_next(&g->admission, now, &id)) {
		in_call_t *c = in_find(g, id);

		if (c)
			in_admit(g, c, out);
	}
}

static void check_drained(guard_t *g, lw_effects_t *out)
{
	if (g->draining && !g->in)
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
}

static void settle_records(guard_t *g, const in_call_t *c, const lw_event_t *ev, lw_effects_t *out)
{
	lw_record_state_t state = ev->outcome == LW_DONE ? LW_REC_DONE : LW_REC_MAYBE;
	bool kept[2] = { false, false };

	if (ev->outcome == LW_NOT_RUN) {
		lw_records_forget(g->by_idem_key, c->idem_key);
		lw_records_forget(g->by_attempt, c->attempt_key);
	} else {
		kept[0] = lw_records_settle(g->by_idem_key, c->idem_key, state, ev->answer,
					    ev->answer_bytes, ev->now_ms, release, out);
		kept[1] = lw_records_settle(g->by_attempt, c->attempt_key, state, ev->answer,
					    ev->answer_bytes, ev->now_ms, release, out);
	}
	/* the shell hands over one reference for each table */
	for (int i = 0; i < 2; i++)
		if (ev->answer && !kept[i])
			release(out, ev->answer);
}

static void on_in_done(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	in_call_t *c = in_find(g, ev->id);

	if (!c || !c->running)
		return;
	lw_effects_push(out,
			&(lw_effect_t){ .kind = LW_FX_ANSWER,
					.id = c->id,
					.outcome = ev->outcome,
					.reason = ev->reason,
					.retries_used = ev->retries_used,
					.answer = ev->answer,
					.retry_after_ms = ev->outcome == LW_DONE ?
								  0 :
								  lw_admission_retry_after(
									  &g->admission, c->cls),
					.no_retry = ev->outcome != LW_DONE && c->child_failed });
	settle_records(g, c, ev, out);
	/* "overloaded" of a call it made says nothing about this backend server */
	lw_admission_done(&g->admission, ev->latency_ms, ev->outcome != LW_NOT_RUN,
			  ev->reason == LW_R_OVERLOADED && !c->child_failed, ev->now_ms);
	in_forget(g, c);
	admit_from_queue(g, ev->now_ms, out);
	check_drained(g, out);
}

static void on_query(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_effect_t fx = { .kind = LW_FX_RECORD, .id = ev->id };
	lw_records_t *table = ev->refuse ? g->by_attempt : g->by_idem_key;

	fx.record = lw_records_find(table, ev->attempt_key, &fx.answer);
	if (fx.record == LW_REC_NONE && ev->refuse) {
		/*
		 * The caller may treat "never received" as "not run" only if the
		 * request, should it still arrive, is refused: bar it first.
		 */
		lw_records_settle(table, ev->attempt_key, LW_REC_REFUSED, NULL, 0, ev->now_ms,
				  release, out);
		fx.record = lw_records_find(table, ev->attempt_key, &fx.answer);
		g->base.stats.refused_for_good += fx.record == LW_REC_REFUSED;
	}
	lw_effects_push(out, &fx);
}

static void out_finish(guard_t *g, out_call_t *c, bool failed)
{
	in_call_t *parent = c->parent ? in_find(g, c->parent) : NULL;

	if (parent) {
		parent->budget += lw_user_budget_left(&c->budget);
		parent->child_failed |= failed;
	}
	HASH_DEL(g->out, c);
	free(c);
}

static void out_answer(guard_t *g, out_call_t *c, lw_outcome_t o, lw_reason_t r, lw_effects_t *out)
{
	if (o == LW_NOT_RUN && c->maybe_ran) {
		o = LW_UNKNOWN;
		r = LW_R_TIMEOUT;
	}
	lw_effects_push(out,
			&(lw_effect_t){
				.kind = LW_FX_ANSWER,
				.id = c->id,
				.outcome = o,
				.reason = r,
				.retries_used = c->budget.used,
				/* the layer nearest the failure has tried: those above must not */
				.no_retry = o != LW_DONE,
				.retry_after_ms = o == LW_DONE ? 0 : OUT_RETRY_MS,
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

static void send_attempt(guard_t *g, out_call_t *c, uint64_t now, lw_effects_t *out)
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

static void on_out_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	in_call_t *parent = ev->parent ? in_find(g, ev->parent) : NULL;
	out_call_t *c;

	if (HASH_COUNT(g->out) >= CALLS_MAX) {
		answer(out, ev->id, LW_NOT_RUN, LW_R_OVERLOADED, OUT_RETRY_MS);
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
		/* borrow all of it: two calls of one request must not spend it twice */
		c->parent = ev->parent;
		c->depth = parent->depth + 1;
		c->budget.total = parent->budget;
		parent->budget = 0;
	}
	HASH_ADD(hh, g->out, id, sizeof(c->id), c);
	send_attempt(g, c, ev->now_ms, out);
}

static void note_peer(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_peer_t *p = lw_peerset_get(g->peers, ev->peer);
	bool was_draining;

	if (!p)
		return;
	if (p->inflight)
		p->inflight--;
	if (ev->reached) {
		was_draining = p->draining;
		lw_peer_heard(p, ev->incarnation, ev->draining, ev->now_ms);
		lw_peer_loaded(p, ev->load_permille, ev->now_ms);
		if (p->draining && !was_draining)
			lw_effects_log(out, 1402, ev->peer, 0);
	}
	if (ev->outcome == LW_DONE)
		p->latency_ms +=
			(p->latency_ms == 0 ? 1.0 : 0.1) * (ev->latency_ms - p->latency_ms);
	/* a peer that refuses work in good order is no failed peer */
	if (ev->outcome == LW_UNKNOWN || (ev->outcome == LW_NOT_RUN && !ev->reached) ||
	    ev->reason == LW_R_BACKEND_ERROR) {
		if (lw_peer_failed(p, ev->now_ms))
			lw_effects_log(out, 1400, ev->peer, p->fails);
	} else if (ev->server_error) {
		p->fail_ratio += 0.1 * (1.0 - p->fail_ratio);
	} else if (ev->outcome == LW_DONE && lw_peer_succeeded(p)) {
		lw_effects_log(out, 1401, ev->peer, 0);
	}
}

static bool may_retry(guard_t *g, out_call_t *c, const lw_event_t *ev, lw_effects_t *out)
{
	if (ev->outcome == LW_DONE || ev->no_retry || ev->reason == LW_R_DEADLINE)
		return false;
	/* an attempt that may have run is repeated only if repeating is harmless */
	if (ev->outcome == LW_UNKNOWN && !c->idempotent)
		return false;
	/* more of the same to a service that has no room anywhere keeps it down */
	if (ev->reason == LW_R_OVERLOADED &&
	    !lw_peerset_has_room(g->peers, c->service, c->peer, ev->now_ms))
		return false;
	if (!lw_retry_take(&c->budget, &g->bucket)) {
		g->base.stats.retries_denied++;
		lw_effects_log(out, 1305, (int64_t)c->id, (int64_t)c->budget.used);
		return false;
	}
	return true;
}

static void on_out_reply(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	out_call_t *c = NULL;

	note_peer(g, ev, out);
	HASH_FIND(hh, g->out, &ev->id, sizeof(ev->id), c);
	if (!c || c->peer != ev->peer) {
		/* the caller was answered already: never hand this to anyone */
		g->base.stats.late_replies++;
		lw_effects_log(out, 1303, (int64_t)ev->id, ev->peer);
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
	lw_effects_log(out, 1304, (int64_t)c->id, c->attempt);
	send_attempt(g, c, ev->now_ms, out);
}

static void on_tick(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	uint64_t id;

	while (lw_admission_expired(&g->admission, ev->now_ms, &id)) {
		in_call_t *c = in_find(g, id);

		if (!c)
			continue;
		lw_effects_log(out, 1307, (int64_t)id, c->cls);
		in_refuse(g, c, LW_R_OVERLOADED, out);
	}
	if (g->admission.nqueue)
		lw_effects_push(out,
				&(lw_effect_t){ .kind = LW_FX_ARM,
						.at_ms = lw_admission_next_expiry(&g->admission) });
	lw_records_expire(g->by_idem_key, ev->now_ms, release, out);
	lw_records_expire(g->by_attempt, ev->now_ms, release, out);
	check_drained(g, out);
}

static void on_peer_state(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_peer_t *p = lw_peerset_get(g->peers, ev->peer);
	bool was_draining;

	if (!p)
		return;
	was_draining = p->draining;
	lw_peer_heard(p, ev->incarnation, ev->draining, ev->now_ms);
	lw_peer_loaded(p, ev->load_permille, ev->now_ms);
	if (p->draining && !was_draining)
		lw_effects_log(out, 1402, ev->peer, 0);
}

static void on_config(guard_t *g, const lw_event_t *ev)
{
	const lw_platconf_t *pc = ev->config;

	lw_admission_preset(&g->admission, pc->in_force);
	g->timeout_ms = pc->in_force->timeout_ms;
	g->bucket.ratio = pc->in_force->retry_ratio;
	g->base.info.config_version = pc->version;
	snprintf(g->base.info.preset, sizeof(g->base.info.preset), "%s", pc->in_force->name);
	lw_peerset_update(g->peers, pc->hosts, pc->nhosts, ev->now_ms);
}

static void on_drain(guard_t *g, lw_effects_t *out)
{
	if (!g->draining)
		lw_effects_log(out, 1500, (int64_t)g->admission.inflight,
			       (int64_t)g->admission.nqueue);
	g->draining = true;
	check_drained(g, out);
}

static void guard_info(guard_t *g)
{
	lw_policy_info_t *in = &g->base.info;

	in->draining = g->draining;
	in->inflight = (uint32_t)g->admission.inflight;
	in->queued = (uint32_t)g->admission.nqueue;
	in->outbound = HASH_COUNT(g->out);
	in->limit = g->admission.limiter.limit;
	in->records = lw_records_count(g->by_idem_key);
	in->record_bytes = lw_records_bytes(g->by_idem_key) + lw_records_bytes(g->by_attempt);
}

static void guard_step(lw_policy_t *p, const lw_event_t *ev, lw_effects_t *out)
{
	guard_t *g = (guard_t *)p;

	switch (ev->kind) {
	case LW_EV_IN_REQUEST:
		on_in_request(g, ev, out);
		break;
	case LW_EV_IN_RECORD:
		on_in_record(ev, out);
		break;
	case LW_EV_IN_DONE:
		on_in_done(g, ev, out);
		break;
	case LW_EV_OUT_REQUEST:
		on_out_request(g, ev, out);
		break;
	case LW_EV_OUT_REPLY:
		on_out_reply(g, ev, out);
		break;
	case LW_EV_PEER_STATE:
		on_peer_state(g, ev, out);
		break;
	case LW_EV_QUERY:
		on_query(g, ev, out);
		break;
	case LW_EV_TICK:
		on_tick(g, ev, out);
		break;
	case LW_EV_CONFIG:
		on_config(g, ev);
		break;
	case LW_EV_DRAIN:
		on_drain(g, out);
		break;
	case LW_EV_COUNT:
		break;
	}
	guard_info(g);
}

static void no_release(void *ctx, void *stored)
{
	/* the shell that holds the answers is going away too */
	(void)ctx;
	(void)stored;
}

static void guard_destroy(lw_policy_t *p)
{
	guard_t *g = (guard_t *)p;
	in_call_t *in, *in_next;
	out_call_t *out, *out_next;

	HASH_ITER(hh, g->in, in, in_next)
	{
		in_forget(g, in);
	}
	HASH_ITER(hh, g->out, out, out_next)
	{
		HASH_DEL(g->out, out);
		free(out);
	}
	lw_records_free(g->by_idem_key, no_release, NULL);
	lw_records_free(g->by_attempt, no_release, NULL);
	lw_peerset_free(g->peers);
	free(g);
}

static const lw_policy_ops_t guard_ops = {
	.name = "guard",
	.step = guard_step,
	.destroy = guard_destroy,
};

/*
 * lw_guard_new() - the guard reducer for a node in @zone whose backend
 * server has @slots; @seed makes its random choices repeatable.
 */
lw_policy_t *lw_guard_new(const char *zone, uint32_t slots, uint64_t seed)
{
	guard_t *g = xcalloc(1, sizeof(*g));

	g->base.ops = &guard_ops;
	lw_admission_init(&g->admission, slots);
	lw_retry_bucket_init(&g->bucket, 0.1);
	g->timeout_ms = 1000;
	g->peers = lw_peerset_new(zone, seed);
	g->by_idem_key = lw_records_new(IDEM_RECORDS_MAX, IDEM_BYTES_MAX, IDEM_KEEP_MS);
	g->by_attempt = lw_records_new(ATTEMPT_MAX, ATTEMPT_BYTES_MAX, ATTEMPT_KEEP_MS);
	g->base.info.peers = g->peers;
	guard_info(g);
	return &g->base;
}

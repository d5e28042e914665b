/*
 * Inbound part of the guard: records and replay of repeated requests,
 * admission by class, queries about past attempts.
 */
#include <stdlib.h>

#include "guard_int.h"
#include "log.h"
#include "xalloc.h"

/* guard_release() - a stored answer is no longer needed; @ctx is the effect list. */
void guard_release(void *ctx, void *answer)
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

/* guard_in_find() - the inbound request @id, or NULL. */
guard_in_call_t *guard_in_find(guard_t *g, uint64_t id)
{
	guard_in_call_t *c = NULL;

	HASH_FIND(hh, g->in, &id, sizeof(id), c);
	return c;
}

/* guard_in_forget() - @c is settled; free it. */
void guard_in_forget(guard_t *g, guard_in_call_t *c)
{
	HASH_DEL(g->in, c);
	free(c);
}

/*
 * guard_in_refuse() - refuse @c, which was not executed. Its records are
 * removed, so that a retry may be executed.
 */
void guard_in_refuse(guard_t *g, guard_in_call_t *c, lw_reason_t why, lw_effects_t *out)
{
	lw_records_forget(g->by_idem_key, c->idem_key);
	lw_records_forget(g->by_attempt, c->attempt_key);
	g->base.stats.shed[c->cls]++;
	refuse(g, c->id, c->cls, why, out);
	guard_in_forget(g, c);
}

static void in_admit(guard_t *g, guard_in_call_t *c, lw_effects_t *out)
{
	c->running = true;
	g->base.stats.admitted[c->cls]++;
	lw_effects_push(
		out, &(lw_effect_t){ .kind = LW_FX_ADMIT, .id = c->id, .retry_budget = c->budget });
}

static bool begin_records(guard_t *g, const guard_in_call_t *c, lw_effects_t *out)
{
	if (lw_key_is_set(c->attempt_key) &&
	    !lw_records_begin(g->by_attempt, c->attempt_key, guard_release, out))
		return false;
	if (!lw_key_is_set(c->idem_key) ||
	    lw_records_begin(g->by_idem_key, c->idem_key, guard_release, out))
		return true;
	lw_records_forget(g->by_attempt, c->attempt_key);
	return false;
}

static guard_in_call_t *in_new(guard_t *g, const lw_event_t *ev)
{
	guard_in_call_t *c = xcalloc(1, sizeof(*c));

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

static void offer_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	guard_in_call_t *c = in_new(g, ev);
	lw_offer_t offer = {
		.id = c->id, .cls = c->cls, .depth = c->depth, .deadline_ms = c->deadline_ms
	};
	guard_in_call_t *evicted;
	uint64_t displaced;

	if (!begin_records(g, c, out)) {
		guard_in_refuse(g, c, LW_R_OVERLOADED, out);
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
		evicted = displaced ? guard_in_find(g, displaced) : NULL;
		if (evicted) {
			lw_effects_log(out, LW_LOG_request_shed, evicted->cls,
				       (int64_t)g->admission.inflight);
			guard_in_refuse(g, evicted, LW_R_OVERLOADED, out);
		}
		return;
	case LW_ADMIT_OVERLOADED:
		lw_effects_log(out, LW_LOG_request_shed, c->cls, (int64_t)g->admission.inflight);
		guard_in_refuse(g, c, LW_R_OVERLOADED, out);
		return;
	case LW_ADMIT_TOO_LATE:
		lw_effects_log(out, LW_LOG_deadline_rejected, c->deadline_ms,
			       (int64_t)g->admission.limiter.ewma_ms);
		guard_in_refuse(g, c, LW_R_DEADLINE, out);
		return;
	}
}

/* answer @ev from the record of @key in @table; false if there is none */
static bool from_record(guard_t *g, const lw_event_t *ev, lw_records_t *table, lw_key_t key,
			lw_effects_t *out)
{
	void *stored;

	switch (lw_records_find(table, key, &stored)) {
	case LW_REC_NONE:
		return false;
	case LW_REC_REFUSED:
		/*
		 * The caller has queried the attempt, got "not run" and does
		 * not wait for it any more.
		 */
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
		/* fall through: the answer was dropped to save memory */
	case LW_REC_RUNNING:
	case LW_REC_UNCERTAIN:
		break;
	}
	/* the first copy is executing or may have been executed, so "not run" would be wrong */
	answer(out, ev->id, LW_UNKNOWN, LW_R_IN_FLIGHT, GUARD_OUT_RETRY_MS);
	return true;
}

/*
 * guard_on_in_request() - a request of a caller or peer for the backend
 * server: replay or refuse it from a record, look up the record of a retry at
 * other nodes, or offer the request for admission.
 */
void guard_on_in_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	if (from_record(g, ev, g->by_attempt, ev->attempt_key, out) ||
	    from_record(g, ev, g->by_idem_key, ev->idem_key, out))
		return;
	if (ev->repeat && lw_key_is_set(ev->idem_key)) {
		/* it may have been executed at another node: only a record shows that */
		g->base.stats.lookups++;
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_LOOKUP, .id = ev->id });
	} else if (g->draining) {
		answer(out, ev->id, LW_NOT_RUN, LW_R_DRAINING, 0);
	} else {
		offer_request(g, ev, out);
	}
}

/* guard_on_in_record() - the result of a lookup at the other nodes for a retry. */
void guard_on_in_record(const lw_event_t *ev, lw_effects_t *out)
{
	if (ev->outcome == LW_DONE)
		lw_effects_push(
			out,
			&(lw_effect_t){ .kind = LW_FX_REPLAY, .id = ev->id, .answer = ev->answer });
	else
		answer(out, ev->id, LW_UNKNOWN, LW_R_NO_RECORD, GUARD_OUT_RETRY_MS);
}

static void admit_from_queue(guard_t *g, uint64_t now, lw_effects_t *out)
{
	uint64_t id;

	while (lw_admission_next(&g->admission, now, &id)) {
		guard_in_call_t *c = guard_in_find(g, id);

		if (c)
			in_admit(g, c, out);
	}
}

/* guard_check_drained() - tell the shell when no request is left during a drain. */
void guard_check_drained(guard_t *g, lw_effects_t *out)
{
	if (g->draining && !g->in)
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
}

static void settle_records(guard_t *g, const guard_in_call_t *c, const lw_event_t *ev,
			   lw_effects_t *out)
{
	lw_record_state_t state = ev->outcome == LW_DONE ? LW_REC_DONE : LW_REC_UNCERTAIN;
	bool kept[2] = { false, false };

	if (ev->outcome == LW_NOT_RUN) {
		lw_records_forget(g->by_idem_key, c->idem_key);
		lw_records_forget(g->by_attempt, c->attempt_key);
	} else {
		kept[0] = lw_records_settle(g->by_idem_key, c->idem_key, state, ev->answer,
					    ev->answer_bytes, ev->now_ms, guard_release, out);
		kept[1] = lw_records_settle(g->by_attempt, c->attempt_key, state, ev->answer,
					    ev->answer_bytes, ev->now_ms, guard_release, out);
	}
	/* the shell passes one reference for each table */
	for (int i = 0; i < 2; i++)
		if (ev->answer && !kept[i])
			guard_release(out, ev->answer);
}

/*
 * guard_on_in_done() - the backend server finished a request: answer it,
 * settle its records, admit the next.
 */
void guard_on_in_done(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	guard_in_call_t *c = guard_in_find(g, ev->id);

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
	/* "overloaded" from a call the request made says nothing about this backend server */
	lw_admission_done(&g->admission, ev->latency_ms, ev->outcome != LW_NOT_RUN,
			  ev->reason == LW_R_OVERLOADED && !c->child_failed, ev->now_ms);
	guard_in_forget(g, c);
	admit_from_queue(g, ev->now_ms, out);
	guard_check_drained(g, out);
}

/* guard_on_query() - a peer asks for the outcome of an attempt or of a key. */
void guard_on_query(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_effect_t fx = { .kind = LW_FX_RECORD, .id = ev->id };
	lw_records_t *table = ev->refuse ? g->by_attempt : g->by_idem_key;

	fx.record = lw_records_find(table, ev->attempt_key, &fx.answer);
	if (fx.record == LW_REC_NONE && ev->refuse) {
		/*
		 * The caller may treat "never received" as "not run" only if
		 * the request is refused should it still arrive. So the
		 * refusal is recorded first.
		 */
		lw_records_settle(table, ev->attempt_key, LW_REC_REFUSED, NULL, 0, ev->now_ms,
				  guard_release, out);
		fx.record = lw_records_find(table, ev->attempt_key, &fx.answer);
		g->base.stats.refused_for_good += fx.record == LW_REC_REFUSED;
	}
	lw_effects_push(out, &fx);
}

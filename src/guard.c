/*
 * The guard: the reducer of lwnode. For inbound requests (guard_in.c) it
 * replays the stored answers of repeated idempotency keys, admits by class
 * and answers queries about past attempts; for outbound calls (guard_out.c)
 * it chooses a peer and retries within the budgets. Every decision is an
 * effect; the guard uses no sockets and reads no clock.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guard_int.h"
#include "log.h"
#include "xalloc.h"

#define IDEM_RECORDS_MAX  16384
#define IDEM_BYTES_MAX	  (8u << 20)
#define IDEM_KEEP_MS	  120000 /* answers are replayed to retries for two minutes */
#define ATTEMPT_MAX	  16384
#define ATTEMPT_BYTES_MAX (4u << 20)
#define ATTEMPT_KEEP_MS	  30000 /* longer than any caller asks about its attempt */

static void on_tick(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	uint64_t id;

	while (lw_admission_expired(&g->admission, ev->now_ms, &id)) {
		guard_in_call_t *c = guard_in_find(g, id);

		if (!c)
			continue;
		lw_effects_log(out, LW_LOG_queue_timeout, (int64_t)id, c->cls);
		guard_in_refuse(g, c, LW_R_OVERLOADED, out);
	}
	if (g->admission.nqueue)
		lw_effects_push(out,
				&(lw_effect_t){ .kind = LW_FX_ARM,
						.at_ms = lw_admission_next_expiry(&g->admission) });
	lw_records_expire(g->by_idem_key, ev->now_ms, guard_release, out);
	lw_records_expire(g->by_attempt, ev->now_ms, guard_release, out);
	guard_check_drained(g, out);
}

static void on_peer_state(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_peer_t *p = lw_peerset_get(g->peers, ev->peer);
	bool was_draining;

	if (!p)
		return;
	was_draining = p->draining;
	lw_peer_update_status(p, ev->incarnation, ev->draining, ev->now_ms);
	lw_peer_update_load(p, ev->load_permille, ev->now_ms);
	if (p->draining && !was_draining)
		lw_effects_log(out, LW_LOG_peer_draining, ev->peer, 0);
}

static void on_config(guard_t *g, const lw_event_t *ev)
{
	const lw_platconf_t *pc = ev->config;

	lw_admission_preset(&g->admission, pc->in_force);
	g->timeout_ms = pc->in_force->timeout_ms;
	g->bucket.ratio = pc->in_force->retry_ratio;
	/* read without the node lock by code that only compares the version */
	__atomic_store_n(&g->base.info.config_version, pc->version, __ATOMIC_RELAXED);
	snprintf(g->base.info.preset, sizeof(g->base.info.preset), "%s", pc->in_force->name);
	lw_peerset_update(g->peers, pc->hosts, pc->nhosts, ev->now_ms);
}

static void on_drain(guard_t *g, lw_effects_t *out)
{
	if (!g->draining)
		lw_effects_log(out, LW_LOG_drain_started, (int64_t)g->admission.inflight,
			       (int64_t)g->admission.nqueue);
	g->draining = true;
	guard_check_drained(g, out);
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
		guard_on_in_request(g, ev, out);
		break;
	case LW_EV_IN_RECORD:
		guard_on_in_record(ev, out);
		break;
	case LW_EV_IN_DONE:
		guard_on_in_done(g, ev, out);
		break;
	case LW_EV_OUT_REQUEST:
		guard_on_out_request(g, ev, out);
		break;
	case LW_EV_OUT_REPLY:
		guard_on_out_reply(g, ev, out);
		break;
	case LW_EV_PEER_STATE:
		on_peer_state(g, ev, out);
		break;
	case LW_EV_QUERY:
		guard_on_query(g, ev, out);
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
	/* the shell that holds the answers is being destroyed too */
	(void)ctx;
	(void)stored;
}

static void guard_destroy(lw_policy_t *p)
{
	guard_t *g = (guard_t *)p;
	guard_in_call_t *in, *in_next;
	guard_out_call_t *out, *out_next;

	HASH_ITER(hh, g->in, in, in_next)
	{
		guard_in_forget(g, in);
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
 * lw_guard_new() - the guard reducer for a node in @zone whose backend server
 * has @slots; @seed makes its random choices reproducible.
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

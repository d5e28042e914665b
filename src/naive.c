/*
 * The naive baseline: the behaviour of a plain client library. It admits all
 * requests, sends round robin over the host list, and retries any failure
 * three times at every hop. The differential tests run it beside the guard.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "policy.h"
#include "xalloc.h"

#define NAIVE_RETRIES	 3
#define NAIVE_TIMEOUT_MS 1000

typedef struct naive_call {
	uint64_t id;
	uint32_t service;
	uint32_t tries;
	int peer;
	UT_hash_handle hh;
} naive_call_t;

typedef struct naive {
	lw_policy_t base;
	lw_peerset_t *peers;
	size_t next;
	naive_call_t *calls;
} naive_t;

static int naive_pick(naive_t *n, uint32_t service)
{
	size_t count = lw_peerset_count(n->peers);

	for (size_t k = 0; k < count; k++) {
		size_t i = (n->next + k) % count;
		const lw_peer_t *p = lw_peerset_get(n->peers, (int)i);

		if (p->listed && p->service == service) {
			n->next = i + 1;
			return (int)i;
		}
	}
	return -1;
}

static void naive_answer(naive_t *n, naive_call_t *c, lw_outcome_t o, lw_reason_t r,
			 lw_effects_t *out)
{
	lw_effects_push(
		out,
		&(lw_effect_t){ .kind = LW_FX_ANSWER, .id = c->id, .outcome = o, .reason = r });
	HASH_DEL(n->calls, c);
	free(c);
}

static void naive_send(naive_t *n, naive_call_t *c, lw_effects_t *out)
{
	c->peer = naive_pick(n, c->service);
	if (c->peer < 0) {
		naive_answer(n, c, LW_NOT_RUN, LW_R_NO_BACKEND, out);
		return;
	}
	c->tries++;
	lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_SEND,
					     .id = c->id,
					     .peer = c->peer,
					     .attempt = c->tries,
					     .timeout_ms = NAIVE_TIMEOUT_MS,
					     .retry_budget = NAIVE_RETRIES });
}

static void naive_request(naive_t *n, const lw_event_t *ev, lw_effects_t *out)
{
	naive_call_t *c = xcalloc(1, sizeof(*c));

	c->id = ev->id;
	c->service = ev->service;
	HASH_ADD(hh, n->calls, id, sizeof(c->id), c);
	naive_send(n, c, out);
}

static void naive_reply(naive_t *n, const lw_event_t *ev, lw_effects_t *out)
{
	naive_call_t *c = NULL;

	HASH_FIND(hh, n->calls, &ev->id, sizeof(ev->id), c);
	if (!c)
		return;
	if (ev->outcome != LW_DONE && c->tries <= NAIVE_RETRIES)
		naive_send(n, c, out);
	else
		naive_answer(n, c, ev->outcome, ev->reason, out);
}

static void naive_inbound(naive_t *n, const lw_event_t *ev, lw_effects_t *out)
{
	if (n->base.info.draining) {
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
						     .id = ev->id,
						     .outcome = LW_NOT_RUN,
						     .reason = LW_R_DRAINING });
		return;
	}
	n->base.info.inflight++;
	n->base.stats.admitted[ev->cls]++;
	lw_effects_push(
		out,
		&(lw_effect_t){ .kind = LW_FX_ADMIT, .id = ev->id, .retry_budget = NAIVE_RETRIES });
}

static void naive_done(naive_t *n, const lw_event_t *ev, lw_effects_t *out)
{
	lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
					     .id = ev->id,
					     .outcome = ev->outcome,
					     .reason = ev->reason,
					     .answer = ev->answer });
	/* the shell passes two references (see the two tables of the guard) */
	for (int i = 0; ev->answer && i < 2; i++)
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_RELEASE, .answer = ev->answer });
	if (n->base.info.inflight)
		n->base.info.inflight--;
	if (n->base.info.draining && n->base.info.inflight == 0)
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
}

static void naive_step(lw_policy_t *p, const lw_event_t *ev, lw_effects_t *out)
{
	naive_t *n = (naive_t *)p;

	switch (ev->kind) {
	case LW_EV_IN_REQUEST:
		naive_inbound(n, ev, out);
		break;
	case LW_EV_IN_DONE:
		naive_done(n, ev, out);
		break;
	case LW_EV_OUT_REQUEST:
		naive_request(n, ev, out);
		break;
	case LW_EV_OUT_REPLY:
		naive_reply(n, ev, out);
		break;
	case LW_EV_QUERY:
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_RECORD, .id = ev->id });
		break;
	case LW_EV_CONFIG:
		lw_peerset_update(n->peers, ev->config->hosts, ev->config->nhosts, ev->now_ms);
		__atomic_store_n(&p->info.config_version, ev->config->version, __ATOMIC_RELAXED);
		snprintf(p->info.preset, sizeof(p->info.preset), "%s", ev->config->in_force->name);
		break;
	case LW_EV_DRAIN:
		p->info.draining = true;
		if (p->info.inflight == 0)
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
		break;
	case LW_EV_IN_RECORD:
	case LW_EV_PEER_STATE:
	case LW_EV_TICK:
	case LW_EV_COUNT:
		break;
	}
}

static void naive_destroy(lw_policy_t *p)
{
	naive_t *n = (naive_t *)p;
	naive_call_t *c, *next;

	HASH_ITER(hh, n->calls, c, next)
	{
		HASH_DEL(n->calls, c);
		free(c);
	}
	lw_peerset_free(n->peers);
	free(n);
}

static const lw_policy_ops_t naive_ops = {
	.name = "naive",
	.step = naive_step,
	.destroy = naive_destroy,
};

/* lw_naive_new() - the baseline reducer; @slots is ignored, as it admits all requests. */
lw_policy_t *lw_naive_new(const char *zone, uint32_t slots, uint64_t seed)
{
	naive_t *n = xcalloc(1, sizeof(*n));

	(void)slots;
	n->base.ops = &naive_ops;
	n->peers = lw_peerset_new(zone, seed);
	n->base.info.peers = n->peers;
	return &n->base;
}

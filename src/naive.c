/*
 * The naive baseline: what a plain client library does. It admits all,
 * sends round robin over the host list, and retries any failure three
 * times at every hop. The differential tests run it beside the guard.
 */
#include "policy.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

#define NAIVE_RETRIES	 3
#define NAIVE_TIMEOUT_MS 1000
#define NAIVE_CALLS_MAX	 1024

typedef struct naive_call {
	uint64_t id;
	uint32_t service;
	uint32_t tries;
	int peer;
} naive_call_t;

typedef struct naive {
	lw_policy_t base;
	lw_peer_t peers[LW_PEERS_MAX];
	size_t npeers;
	size_t next;
	uint32_t nin;
	uint64_t version;
	bool draining;
	naive_call_t calls[NAIVE_CALLS_MAX];
	size_t ncalls;
} naive_t;

static int naive_pick(naive_t *n, uint32_t service)
{
	for (size_t k = 0; k < n->npeers; k++) {
		size_t i = (n->next + k) % n->npeers;

		if (n->peers[i].service == service) {
			n->next = i + 1;
			return (int)i;
		}
	}
	return -1;
}

static void naive_send(naive_t *n, naive_call_t *c, size_t idx, lw_effects_t *out)
{
	c->peer = naive_pick(n, c->service);
	if (c->peer < 0) {
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
						     .id = c->id,
						     .outcome = LW_NOT_RUN,
						     .reason = LW_R_NO_BACKEND });
		n->calls[idx] = n->calls[--n->ncalls];
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

static void naive_reply(naive_t *n, const lw_event_t *ev, lw_effects_t *out)
{
	for (size_t i = 0; i < n->ncalls; i++) {
		naive_call_t *c = &n->calls[i];

		if (c->id != ev->id)
			continue;
		if (ev->outcome != LW_DONE && c->tries <= NAIVE_RETRIES) {
			naive_send(n, c, i, out);
			return;
		}
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
						     .id = c->id,
						     .outcome = ev->outcome,
						     .reason = ev->reason });
		n->calls[i] = n->calls[--n->ncalls];
		return;
	}
}

static void naive_config(naive_t *n, const lw_platconf_t *pc)
{
	n->version = pc->version;
	n->npeers = 0;
	for (size_t i = 0; i < pc->nhosts && n->npeers < LW_PEERS_MAX; i++) {
		lw_peer_t *p = &n->peers[n->npeers++];
		int svc = lw_policy_service(&n->base, pc->hosts[i].service);

		memset(p, 0, sizeof(*p));
		if (svc < 0 && n->base.nservices < LW_SERVICES_MAX) {
			svc = (int)n->base.nservices++;
			strcpy(n->base.services[svc], pc->hosts[i].service);
		}
		strcpy(p->addr, pc->hosts[i].addr);
		strcpy(p->zone, pc->hosts[i].zone);
		p->service = (uint32_t)svc;
	}
	strcpy(n->base.info.preset, pc->in_force->name);
}

static void naive_step(lw_policy_t *p, const lw_event_t *ev, lw_effects_t *out)
{
	naive_t *n = (naive_t *)p;

	switch (ev->kind) {
	case LW_EV_IN_REQUEST:
		if (n->draining) {
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
							     .id = ev->id,
							     .outcome = LW_NOT_RUN,
							     .reason = LW_R_DRAINING });
			break;
		}
		n->nin++;
		p->stats.admitted[ev->cls]++;
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ADMIT, .id = ev->id });
		break;
	case LW_EV_IN_DONE:
		if (ev->answer)
			lw_effects_push(
				out, &(lw_effect_t){ .kind = LW_FX_RELEASE, .answer = ev->answer });
		if (n->nin)
			n->nin--;
		if (n->draining && n->nin == 0)
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
		break;
	case LW_EV_OUT_REQUEST:
		if (n->ncalls == NAIVE_CALLS_MAX) {
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ANSWER,
							     .id = ev->id,
							     .outcome = LW_NOT_RUN,
							     .reason = LW_R_OVERLOADED });
			break;
		}
		n->calls[n->ncalls] = (naive_call_t){ .id = ev->id, .service = ev->service };
		n->ncalls++;
		naive_send(n, &n->calls[n->ncalls - 1], n->ncalls - 1, out);
		break;
	case LW_EV_OUT_REPLY:
		naive_reply(n, ev, out);
		break;
	case LW_EV_CONFIG:
		naive_config(n, ev->config);
		break;
	case LW_EV_DRAIN:
		n->draining = true;
		if (n->nin == 0)
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
		break;
	case LW_EV_PEER_STATE:
	case LW_EV_TICK:
		break;
	}
	p->info.draining = n->draining;
	p->info.inflight = n->nin;
	p->info.config_version = n->version;
	p->info.npeers = n->npeers;
	p->info.peers = n->peers;
}

static void naive_destroy(lw_policy_t *p)
{
	free(p);
}

static const lw_policy_ops_t naive_ops = {
	.name = "naive",
	.step = naive_step,
	.destroy = naive_destroy,
};

/* lw_naive_new() - the baseline reducer; the arguments are ignored but for shape. */
lw_policy_t *lw_naive_new(const char *zone, uint32_t slots, uint64_t seed)
{
	naive_t *n = xcalloc(1, sizeof(*n));

	(void)zone;
	(void)slots;
	(void)seed;
	n->base.ops = &naive_ops;
	return &n->base;
}

/*
 * The guard: the reducer lwnode runs. Inbound it admits by class within
 * an adaptive limit, queues briefly, refuses early what cannot meet its
 * deadline, and replays stored answers for repeated idempotency keys.
 * Outbound it picks a peer by power of two choices, same zone first, and
 * retries only within the whole request's budget and the node's token
 * bucket. Every decision is an effect; nothing here touches a socket.
 */
#include "policy.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

#define GUARD_INFLIGHT_MAX   1024
#define GUARD_QUEUE_MAX	     256
#define GUARD_DEDUP_MAX	     8192
#define GUARD_DEDUP_KEEP_MS  120000 /* replays within two minutes; see CAPACITY.md */
#define GUARD_SUSPECT_AFTER  3 /* consecutive failures */
#define GUARD_SUSPECT_MS     2000
#define GUARD_BUCKET_CAP     10.0
#define GUARD_RETRY_AFTER_MS 200
#define GUARD_MIN_ATTEMPT_MS 2 /* less time than this left: do not try */
#define GUARD_RESERVE_MS     1000 /* how long seen critical work keeps its reserve */

typedef struct in_call {
	uint64_t id;
	lw_class_t cls;
	uint64_t started;
	uint64_t key;
} in_call_t;

typedef struct waiting {
	uint64_t id;
	lw_class_t cls;
	uint64_t since;
	uint64_t deadline_at;
	uint64_t key;
} waiting_t;

typedef struct out_call {
	uint64_t id;
	uint32_t service;
	lw_class_t cls;
	bool idempotent;
	uint64_t deadline_at;
	uint32_t budget;
	uint32_t used;
	uint32_t attempt;
	int peer;
	uint64_t sent_at;
} out_call_t;

typedef struct dedup_entry {
	uint64_t key;
	uint64_t expires;
	void *answer; /* the stored whole answer, once done */
	bool settled; /* finished: done, or may have run (unknown) */
} dedup_entry_t;

typedef struct guard {
	lw_policy_t base;
	char zone[LW_NAME_MAX];
	uint32_t slots;
	unsigned short rng[3];
	lw_limiter_t limiter;
	lw_preset_t preset; /* copy of the preset in force (routes not used) */
	uint64_t config_version;
	bool draining;
	double tokens;
	uint64_t seen[LW_CLASS_COUNT]; /* last arrival of each class, plus one */
	lw_peer_t peers[LW_PEERS_MAX];
	size_t npeers;
	in_call_t in[GUARD_INFLIGHT_MAX];
	size_t nin;
	waiting_t queue[GUARD_QUEUE_MAX];
	size_t nqueue;
	out_call_t out[GUARD_INFLIGHT_MAX];
	size_t nout;
	dedup_entry_t dedup[GUARD_DEDUP_MAX]; /* ring, oldest first */
	size_t dedup_head, ndedup;
} guard_t;

static void answer(lw_effects_t *out, uint64_t id, lw_outcome_t o, lw_reason_t r, bool no_retry)
{
	lw_effect_t fx = {
		.kind = LW_FX_ANSWER, .id = id, .outcome = o, .reason = r, .no_retry = no_retry
	};

	if (o == LW_NOT_RUN || o == LW_UNKNOWN)
		fx.retry_after_ms = GUARD_RETRY_AFTER_MS;
	lw_effects_push(out, &fx);
}

static dedup_entry_t *dedup_find(guard_t *g, uint64_t key)
{
	for (size_t i = 0; key && i < g->ndedup; i++) {
		dedup_entry_t *e = &g->dedup[(g->dedup_head + i) % GUARD_DEDUP_MAX];

		if (e->key == key)
			return e;
	}
	return NULL;
}

static void dedup_expire(guard_t *g, uint64_t now, lw_effects_t *out, bool force_one)
{
	while (g->ndedup) {
		dedup_entry_t *e = &g->dedup[g->dedup_head];

		/* an entry still running cannot expire: its answer is yet to come */
		if (e->key && (!e->settled || (!force_one && e->expires > now)))
			break;
		if (e->answer)
			lw_effects_push(
				out, &(lw_effect_t){ .kind = LW_FX_RELEASE, .answer = e->answer });
		g->dedup_head = (g->dedup_head + 1) % GUARD_DEDUP_MAX;
		g->ndedup--;
		force_one = false;
	}
}

static void dedup_add(guard_t *g, uint64_t key, lw_effects_t *out, uint64_t now)
{
	dedup_entry_t *e;

	if (g->ndedup == GUARD_DEDUP_MAX)
		dedup_expire(g, now, out, true);
	if (g->ndedup == GUARD_DEDUP_MAX)
		return; /* full of running requests; the in-flight limit keeps this rare */
	e = &g->dedup[(g->dedup_head + g->ndedup) % GUARD_DEDUP_MAX];
	e->key = key;
	e->answer = NULL;
	e->settled = false;
	e->expires = 0;
	g->ndedup++;
}

static void admit(guard_t *g, uint64_t id, lw_class_t cls, uint64_t key, uint64_t now,
		  lw_effects_t *out)
{
	in_call_t *c = &g->in[g->nin++];

	c->id = id;
	c->cls = cls;
	c->started = now;
	c->key = key;
	g->base.stats.admitted[cls]++;
	lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_ADMIT, .id = id });
}

/*
 * A class may fill its share of the limit, but the share reserves the rest
 * only while more critical work has been seen lately: a backend that never
 * gets critical work must not keep slots idle for it.
 */
static bool fits(const guard_t *g, lw_class_t cls, uint64_t now)
{
	double share = 1.0;

	for (int c = cls + 1; c < LW_CLASS_COUNT; c++)
		if (g->seen[c] && now + 1 - g->seen[c] < GUARD_RESERVE_MS)
			share = g->preset.share[cls];
	/* a limit of 4.9 allows 4 in flight: the fraction is still being earned */
	return g->nin < GUARD_INFLIGHT_MAX && g->nin < floor(g->limiter.limit * share);
}

static void on_in_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	dedup_entry_t *seen = dedup_find(g, ev->idem_key);

	g->seen[ev->cls] = ev->now_ms + 1;

	if (seen && seen->answer) {
		g->base.stats.dedup_hits++;
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_REPLAY,
						     .id = ev->id,
						     .answer = seen->answer });
		return;
	}
	if (seen) {
		/* the first copy runs or may have run, so this is not "not run" */
		answer(out, ev->id, LW_UNKNOWN, LW_R_IN_FLIGHT, true);
		return;
	}
	if (g->draining) {
		answer(out, ev->id, LW_NOT_RUN, LW_R_DRAINING, false);
		return;
	}
	if (g->limiter.ewma_ms > 0 && ev->deadline_ms < g->limiter.ewma_ms) {
		g->base.stats.shed[ev->cls]++;
		lw_effects_log(out, 1301, (int64_t)ev->deadline_ms, (int64_t)g->limiter.ewma_ms);
		answer(out, ev->id, LW_NOT_RUN, LW_R_DEADLINE, true);
		return;
	}
	if (fits(g, ev->cls, ev->now_ms)) {
		if (ev->idem_key)
			dedup_add(g, ev->idem_key, out, ev->now_ms);
		admit(g, ev->id, ev->cls, ev->idem_key, ev->now_ms, out);
		return;
	}
	if (g->preset.queue_ms > 0 && g->nqueue < GUARD_QUEUE_MAX &&
	    ev->deadline_ms > g->preset.queue_ms + g->limiter.ewma_ms) {
		waiting_t *w = &g->queue[g->nqueue++];

		w->id = ev->id;
		w->cls = ev->cls;
		w->since = ev->now_ms;
		w->deadline_at = ev->now_ms + ev->deadline_ms;
		w->key = ev->idem_key;
		if (ev->idem_key)
			dedup_add(g, ev->idem_key, out, ev->now_ms);
		g->base.stats.queued[ev->cls]++;
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_QUEUE, .id = ev->id });
		return;
	}
	g->base.stats.shed[ev->cls]++;
	lw_effects_log(out, 1300, ev->cls, (int64_t)g->nin);
	answer(out, ev->id, LW_NOT_RUN, LW_R_OVERLOADED, true);
}

static void dedup_forget_running(guard_t *g, uint64_t key)
{
	/* a request refused before it ran must not block its own retry */
	for (size_t i = 0; key && i < g->ndedup; i++) {
		dedup_entry_t *e = &g->dedup[(g->dedup_head + i) % GUARD_DEDUP_MAX];

		if (e->key == key && !e->settled) {
			e->key = 0;
			e->settled = true;
		}
	}
}

static void queue_remove(guard_t *g, size_t i)
{
	memmove(&g->queue[i], &g->queue[i + 1], (g->nqueue - i - 1) * sizeof(g->queue[0]));
	g->nqueue--;
}

/* the most critical, then oldest, waiting request that fits now */
static void admit_from_queue(guard_t *g, uint64_t now, lw_effects_t *out)
{
	for (;;) {
		size_t best = g->nqueue;

		for (size_t i = 0; i < g->nqueue; i++)
			if (fits(g, g->queue[i].cls, now) &&
			    (best == g->nqueue || g->queue[i].cls > g->queue[best].cls))
				best = i;
		if (best == g->nqueue)
			return;
		admit(g, g->queue[best].id, g->queue[best].cls, g->queue[best].key, now, out);
		queue_remove(g, best);
	}
}

static void on_in_done(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	for (size_t i = 0; i < g->nin; i++) {
		if (g->in[i].id != ev->id)
			continue;
		if (g->in[i].key) {
			dedup_entry_t *e = dedup_find(g, g->in[i].key);

			if (e && ev->outcome == LW_DONE && ev->answer) {
				e->answer = ev->answer;
				e->settled = true;
				e->expires = ev->now_ms + GUARD_DEDUP_KEEP_MS;
			} else if (e && ev->outcome == LW_UNKNOWN) {
				/* it may have run: a repeat must not run it again */
				e->settled = true;
				e->expires = ev->now_ms + GUARD_DEDUP_KEEP_MS;
			} else {
				dedup_forget_running(g, g->in[i].key);
			}
			if (ev->answer && (!e || e->answer != ev->answer))
				lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_RELEASE,
								     .answer = ev->answer });
		} else if (ev->answer) {
			lw_effects_push(
				out, &(lw_effect_t){ .kind = LW_FX_RELEASE, .answer = ev->answer });
		}
		lw_limiter_sample(&g->limiter, ev->latency_ms, ev->reason == LW_R_OVERLOADED,
				  ev->now_ms);
		g->in[i] = g->in[--g->nin];
		break;
	}
	admit_from_queue(g, ev->now_ms, out);
	if (g->draining && g->nin == 0 && g->nqueue == 0)
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
}

static bool peer_usable(const guard_t *g, const lw_peer_t *p, uint32_t service, uint64_t now)
{
	(void)g;
	return p->service == service && !p->leaving && !p->draining && p->suspect_until <= now;
}

static uint32_t peer_cost(const lw_peer_t *p)
{
	return p->inflight * 1000 + p->load_permille;
}

/*
 * Power of two choices (Mitzenmacher 2001) among usable peers, same zone
 * first: two random candidates, the less loaded wins. @avoid is the peer of
 * the failed attempt, skipped when another exists.
 */
static int pick_peer(guard_t *g, uint32_t service, int avoid, uint64_t now)
{
	int cand[LW_PEERS_MAX];
	int n = 0;

	for (int pass = 0; pass < 3 && n == 0; pass++) {
		for (size_t i = 0; i < g->npeers; i++) {
			lw_peer_t *p = &g->peers[i];

			if (!peer_usable(g, p, service, now) || (pass < 2 && (int)i == avoid))
				continue;
			if (pass == 0 && strcmp(p->zone, g->zone) != 0)
				continue;
			cand[n++] = (int)i;
		}
	}
	if (n == 0)
		return -1;
	if (n == 1)
		return cand[0];
	int a = cand[nrand48(g->rng) % n];
	int b = cand[nrand48(g->rng) % n];

	return peer_cost(&g->peers[a]) <= peer_cost(&g->peers[b]) ? a : b;
}

static void send_attempt(guard_t *g, out_call_t *c, uint64_t now, lw_effects_t *out)
{
	uint32_t left = c->deadline_at > now ? (uint32_t)(c->deadline_at - now) : 0;
	uint32_t timeout = left < g->preset.timeout_ms ? left : g->preset.timeout_ms;
	int peer = pick_peer(g, c->service, c->peer, now);

	if (peer < 0 || left < GUARD_MIN_ATTEMPT_MS) {
		answer(out, c->id, LW_NOT_RUN, peer < 0 ? LW_R_NO_BACKEND : LW_R_DEADLINE, false);
		*c = g->out[--g->nout];
		return;
	}
	c->peer = peer;
	c->attempt++;
	c->sent_at = now;
	g->peers[peer].inflight++;
	lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_SEND,
					     .id = c->id,
					     .peer = peer,
					     .attempt = c->attempt,
					     .timeout_ms = timeout,
					     .retry_budget = c->budget - c->used });
}

static void on_out_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	out_call_t *c;

	if (g->nout == GUARD_INFLIGHT_MAX) {
		answer(out, ev->id, LW_NOT_RUN, LW_R_OVERLOADED, true);
		return;
	}
	g->tokens += g->preset.retry_ratio;
	if (g->tokens > GUARD_BUCKET_CAP)
		g->tokens = GUARD_BUCKET_CAP;
	c = &g->out[g->nout++];
	memset(c, 0, sizeof(*c));
	c->id = ev->id;
	c->service = ev->service;
	c->cls = ev->cls;
	c->idempotent = ev->idempotent;
	c->deadline_at = ev->now_ms + ev->deadline_ms;
	c->budget = ev->retry_budget;
	c->peer = -1;
	send_attempt(g, c, ev->now_ms, out);
}

static void note_peer(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	lw_peer_t *p = &g->peers[ev->peer];
	bool failed = ev->outcome == LW_UNKNOWN ||
		      (ev->outcome == LW_NOT_RUN && ev->reason == LW_R_NO_BACKEND);

	if (p->inflight)
		p->inflight--;
	p->load_permille = ev->load_permille;
	if (ev->draining && !p->draining) {
		p->draining = true;
		lw_effects_log(out, 1402, ev->peer, 0);
	}
	if (!failed) {
		if (p->fails >= GUARD_SUSPECT_AFTER)
			lw_effects_log(out, 1401, ev->peer, 0);
		p->fails = 0;
		p->suspect_until = 0;
		return;
	}
	if (++p->fails == GUARD_SUSPECT_AFTER) {
		p->suspect_until = ev->now_ms + GUARD_SUSPECT_MS;
		lw_effects_log(out, 1400, ev->peer, p->fails);
	}
}

static bool may_retry(guard_t *g, const out_call_t *c, const lw_event_t *ev, lw_effects_t *out)
{
	if (ev->outcome == LW_DONE || ev->no_retry)
		return false;
	/* an attempt that may have run is repeated only if repeating is harmless */
	if (ev->outcome == LW_UNKNOWN && !c->idempotent)
		return false;
	if (ev->reason == LW_R_DEADLINE)
		return false;
	if (c->used + ev->retries_used >= c->budget || g->tokens < 1.0) {
		g->base.stats.retries_denied++;
		lw_effects_log(out, 1305, (int64_t)c->id, (int64_t)c->used);
		return false;
	}
	return true;
}

static out_call_t *out_find(guard_t *g, uint64_t id)
{
	for (size_t i = 0; i < g->nout; i++)
		if (g->out[i].id == id)
			return &g->out[i];
	return NULL;
}

static void on_out_reply(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	out_call_t *c = out_find(g, ev->id);

	if (ev->peer >= 0 && (size_t)ev->peer < g->npeers)
		note_peer(g, ev, out);
	if (!c || c->peer != ev->peer) {
		/* the caller was answered already: never hand this to anyone */
		g->base.stats.late_replies++;
		lw_effects_log(out, 1303, (int64_t)ev->id, ev->peer);
		return;
	}
	if (may_retry(g, c, ev, out)) {
		g->tokens -= 1.0;
		c->used += 1 + ev->retries_used;
		g->base.stats.retries++;
		lw_effects_log(out, 1304, (int64_t)c->id, c->attempt);
		send_attempt(g, c, ev->now_ms, out);
		return;
	}
	lw_effects_push(
		out, &(lw_effect_t){
			     .kind = LW_FX_ANSWER,
			     .id = c->id,
			     .outcome = ev->outcome,
			     .reason = ev->reason,
			     .retries_used = c->used + ev->retries_used,
			     /* the layer nearest the failure has retried: callers above must not */
			     .no_retry = ev->outcome != LW_DONE,
			     .retry_after_ms = ev->outcome == LW_DONE ? 0 : GUARD_RETRY_AFTER_MS,
		     });
	*c = g->out[--g->nout];
}

static void on_tick(guard_t *g, const lw_event_t *ev, lw_effects_t *out)
{
	for (size_t i = 0; i < g->nqueue;) {
		waiting_t *w = &g->queue[i];

		if (ev->now_ms - w->since < g->preset.queue_ms && ev->now_ms < w->deadline_at) {
			i++;
			continue;
		}
		g->base.stats.shed[w->cls]++;
		lw_effects_log(out, 1307, (int64_t)w->id, w->cls);
		dedup_forget_running(g, w->key);
		answer(out, w->id, LW_NOT_RUN, LW_R_OVERLOADED, true);
		queue_remove(g, i);
	}
	dedup_expire(g, ev->now_ms, out, false);
	if (g->draining && g->nin == 0 && g->nqueue == 0)
		lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
}

/*
 * The host list replaces the peer table, but what was learned of a peer
 * that stays (its drain notice, failures, load) is kept: the platform's
 * list lags, and forgetting a drain notice would send work to a leaving node.
 */
static void on_config(guard_t *g, const lw_event_t *ev)
{
	const lw_platconf_t *pc = ev->config;
	lw_peer_t old[LW_PEERS_MAX];
	size_t nold = g->npeers;

	memcpy(old, g->peers, nold * sizeof(old[0]));
	g->preset = *pc->in_force;
	g->preset.routes = NULL;
	g->preset.nroutes = 0;
	g->config_version = pc->version;
	g->npeers = 0;
	for (size_t i = 0; i < pc->nhosts && g->npeers < LW_PEERS_MAX; i++) {
		const lw_host_t *h = &pc->hosts[i];
		lw_peer_t *p = &g->peers[g->npeers++];
		int svc = lw_policy_service(&g->base, h->service);

		memset(p, 0, sizeof(*p));
		if (svc < 0 && g->base.nservices < LW_SERVICES_MAX) {
			svc = (int)g->base.nservices++;
			strcpy(g->base.services[svc], h->service);
		}
		strcpy(p->addr, h->addr);
		strcpy(p->zone, h->zone);
		p->service = (uint32_t)svc;
		p->leaving = h->leaving;
		for (size_t j = 0; j < nold; j++)
			if (strcmp(old[j].addr, p->addr) == 0) {
				p->draining = old[j].draining;
				p->fails = old[j].fails;
				p->suspect_until = old[j].suspect_until;
				p->inflight = old[j].inflight;
				p->load_permille = old[j].load_permille;
			}
	}
}

static void guard_info(guard_t *g)
{
	lw_policy_info_t *in = &g->base.info;

	in->draining = g->draining;
	in->inflight = (uint32_t)g->nin;
	in->queued = (uint32_t)g->nqueue;
	in->limit = g->limiter.limit;
	in->config_version = g->config_version;
	strcpy(in->preset, g->preset.name);
	in->npeers = g->npeers;
	in->peers = g->peers;
}

static void guard_step(lw_policy_t *p, const lw_event_t *ev, lw_effects_t *out)
{
	guard_t *g = (guard_t *)p;

	switch (ev->kind) {
	case LW_EV_IN_REQUEST:
		on_in_request(g, ev, out);
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
		if (ev->peer >= 0 && (size_t)ev->peer < g->npeers && ev->draining &&
		    !g->peers[ev->peer].draining) {
			g->peers[ev->peer].draining = true;
			lw_effects_log(out, 1402, ev->peer, 0);
		}
		break;
	case LW_EV_TICK:
		on_tick(g, ev, out);
		break;
	case LW_EV_CONFIG:
		on_config(g, ev);
		break;
	case LW_EV_DRAIN:
		if (!g->draining)
			lw_effects_log(out, 1500, (int64_t)g->nin, (int64_t)g->nqueue);
		g->draining = true;
		if (g->nin == 0 && g->nqueue == 0)
			lw_effects_push(out, &(lw_effect_t){ .kind = LW_FX_EXIT });
		break;
	}
	guard_info(g);
}

static void guard_destroy(lw_policy_t *p)
{
	free(p);
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
	snprintf(g->zone, sizeof(g->zone), "%s", zone);
	g->slots = slots;
	g->rng[0] = (unsigned short)seed;
	g->rng[1] = (unsigned short)(seed >> 16);
	g->rng[2] = (unsigned short)(seed >> 32);
	lw_limiter_init(&g->limiter, slots);
	g->preset.queue_ms = 20;
	g->preset.timeout_ms = 1000;
	g->preset.retry_ratio = 0.1;
	g->preset.share[LW_CLASS_SHEDDABLE] = 0.6;
	g->preset.share[LW_CLASS_DEFAULT] = 0.85;
	g->preset.share[LW_CLASS_CRITICAL] = 1.0;
	g->tokens = GUARD_BUCKET_CAP;
	guard_info(g);
	return &g->base;
}

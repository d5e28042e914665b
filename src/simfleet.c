/*
 * The fleet model of lwsim. Each server has a node that uses lwproxy's code
 * for the queue, admission and admission level. A node uses lwproxy's placement
 * for the requests that it receives first, and learns the load of other nodes
 * from answers only. Modelled are slots, server speeds, the slowdown of nearly
 * full servers, sequential nested calls, deadlines and callers that retry
 * after a rejection. Not modelled are network capacity, connections, processor
 * time of the nodes, and faults other than a slow server and servers that shed
 * requests at random.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit.h"
#include "retryafter.h"
#include "simfleet_int.h"
#include "xalloc.h"

/* retry-after delay for rejected callers if no server announced one, ms, as in retryafter.h */
#define RETRY_AFTER_DEFAULT_MS 250
#define LATENCIES_MAX	       200000

static void send_attempt(run_t *r, req_t *q, lw_fail_t last);
static void resend(run_t *r, req_t *q);

static lw_sim_kind_t *kind_by_name(lw_sim_t *s, const char *name)
{
	for (size_t i = 0; i < s->nkinds; i++)
		if (strcmp(s->kinds[i].name, name) == 0)
			return &s->kinds[i];
	return NULL;
}

static req_t *new_req(run_t *r, lw_sim_kind_t *k, sim_node_t *origin, req_t *parent)
{
	req_t *q = xcalloc(1, sizeof(*q));
	char id[32];

	q->kind = k;
	q->origin = origin;
	q->parent = parent;
	q->begun_us = r->now;
	q->first_us = r->now;
	q->attempts.idempotent = k->idempotent;
	q->attempts.max_reached = 2;
	q->attempts.body_kept = true;
	q->give_up_us = r->now + (uint64_t)k->timeout_ms * 1000;
	q->target_us = parent ? parent->target_us : r->now + (uint64_t)k->target_ms * 1000;
	if (parent) {
		q->rank = lw_sim_has_mechanism(r->sim, LW_SIM_INHERITED_RANK) ?
				  parent->rank :
				  lw_rank(k->urgency, lw_str_c(k->name));
		q->above = parent->above + 1;
		q->attempts.nested = lw_sim_has_mechanism(r->sim, LW_SIM_RESENDS);
		if (q->give_up_us > parent->give_up_us)
			q->give_up_us = parent->give_up_us;
	} else {
		snprintf(id, sizeof(id), "%llx", (unsigned long long)lw_sim_random(r));
		q->rank = lw_rank(k->urgency, lw_str_c(id));
		if (lw_sim_has_mechanism(r->sim, LW_SIM_WEIGHED_RANKS))
			q->rank = lw_overload_weighted_rank(origin->hot, k->name, q->rank, r->now);
		q->tries_left = k->retries;
	}
	return q;
}

/* send the first attempt of a request */
static void send_first(run_t *r, req_t *q)
{
	lw_place_service_t *s = lw_place_service(&q->origin->place, q->kind->service);

	lw_retrylimit_count_request(&s->retries, &r->terms, q->rank, r->now);
	lw_sim_push(r, LW_SIM_TIMEOUT, q->give_up_us, q);
	send_attempt(r, q, LW_FAIL_NO_SERVER);
}

static void next_call(run_t *r, req_t *q)
{
	if (q->call_failed || !q->calls_left) {
		lw_sim_complete_run(r, q, q->call_failed);
		return;
	}
	q->calls_left--;
	req_t *c = new_req(r, kind_by_name(r->sim, q->kind->call), q->at, q);

	send_first(r, c);
}

/* pass the outcome of a request to its parent, or count it; a rejected user may try again */
static void finish(run_t *r, req_t *q, bool good, bool refused, uint32_t retry_after_ms)
{
	lw_sim_count_t *c = &q->kind->count;
	uint64_t took_ms = (r->now - q->first_us) / 1000;
	uint32_t second = (uint32_t)(q->first_us / 1000000);

	if (q->finished)
		return;
	q->finished = true;
	if (q->parent) {
		req_t *p = q->parent;

		p->work_done_ms += q->work_done_ms;
		p->call_failed |= !good;
		if (!p->finished)
			next_call(r, p);
		else
			lw_sim_complete_run(r, p, true);
		return;
	}
	if (refused && q->tries_left) {
		uint32_t left = q->kind->deadline_ms > took_ms ?
					q->kind->deadline_ms - (uint32_t)took_ms :
					0;
		uint32_t ms =
			lw_retry_after_ms(retry_after_ms ? retry_after_ms : RETRY_AFTER_DEFAULT_MS,
					  q->kind->priority, left, (uint32_t)lw_sim_random(r));
		lw_simevent_t *e = lw_sim_push(r, LW_SIM_RETRY, r->now + (uint64_t)ms * 1000, NULL);

		e->request_kind = q->kind;
		e->req = q;
		r->sim->total.refusals++;
		return;
	}
	if (!good) {
		c->failed += !refused;
		c->refused += refused;
		return;
	}
	r->sim->total.useful_ms += q->work_done_ms;
	if (q->kind->nlatency < LATENCIES_MAX)
		q->kind->latency_ms[q->kind->nlatency++] = (uint16_t)took_ms;
	if (took_ms <= q->kind->target_ms) {
		c->in_target++;
		if (second < LW_SIM_SECONDS_MAX)
			r->sim->good_at[second]++;
	} else {
		c->late++;
	}
}

static void record_load(run_t *r, req_t *q, const lw_load_t *load, bool served)
{
	lw_load_t path = *load;
	lw_place_service_t *s = q->host->service;
	uint32_t used;

	lw_place_load_reported(q->host, load, r->now);
	lw_place_add_level(s, load->ran_us, r->now, &path.hots);
	lw_overload_on_answer(q->origin->hot, q->kind->name, &path.hots, path.depth, r->now);
	lw_overload_add_retry_used(q->origin->hot, q->kind->name, path.retry_used);
	if (served && !q->parent)
		lw_overload_add_work(q->origin->hot, q->kind->name, q->kind->priority, &path.hots,
				     r->now);
	if (!q->parent)
		return;
	used = lw_retrylimit_used(&s->retries, &r->terms, (uint32_t)r->nnodes, r->now);
	if (path.retry_used > used)
		used = path.retry_used;
	if (used > q->parent->retry_used)
		q->parent->retry_used = used;
	if (path.depth + 1 > q->parent->depth)
		q->parent->depth = path.depth + 1;
	for (uint32_t i = 0; i < path.hots.n; i++)
		lw_path_levels_add(&q->parent->hots, &path.hots.hot[i]);
}

static bool take_retry(run_t *r, req_t *q)
{
	lw_retryposition_t at = {
		.nodes = (uint32_t)r->nnodes,
		.above = q->above,
		.below = lw_overload_call_depth(q->origin->hot, q->kind->name),
		.rank = q->rank,
		.urgent_priorities = 1,
		.used_below = lw_overload_retry_used(q->origin->hot, q->kind->name),
		.used_fleet = lw_place_retries_used(q->host->service, &r->terms, r->now),
		.begun = q->parent && q->parent->begun,
		.lot = q->origin->lot,
	};
	bool yes;

	/* without the mechanism all requests of a priority are treated alike */
	if (!lw_sim_has_mechanism(r->sim, LW_SIM_LOWEST_RANKS))
		at.rank -= at.rank % LW_RANKS_PER_PRIORITY;
	yes = lw_retrylimit_take(&q->host->service->retries, &r->terms, &at, r->now);

	if (yes && q->parent)
		q->parent->begun = true;
	r->sim->total.retries += yes;
	return yes;
}

static void on_answer(run_t *r, const lw_simevent_t *e)
{
	req_t *q = e->req;
	lw_retry_verdict_kind_t v;

	if (q->finished)
		return;
	record_load(r, q, &e->load, e->why == LW_FAIL_NONE && !e->server_failed);
	lw_place_request_done(q->host, e->why == LW_FAIL_NONE && !e->server_failed, r->now);
	if (e->why == LW_FAIL_NONE && !e->server_failed) {
		finish(r, q, true, false, 0);
		return;
	}
	q->attempts.left_ms = lw_sim_remaining_ms(r, q);
	if (e->why == LW_FAIL_NONE) {
		q->attempts.reached++;
		if (!e->load.call_failed &&
		    lw_retry_verdict_status(&q->attempts, 500) == LW_VERDICT_RETRY_OTHER_COUNTED &&
		    take_retry(r, q))
			send_attempt(r, q, LW_FAIL_BROKEN);
		else
			finish(r, q, false, false, 0);
		return;
	}
	if (!lw_fail_reached_server(e->why))
		q->attempts.undelivered++;
	else if (!q->attempts.resent)
		q->attempts.reached++;
	v = lw_retry_verdict(&q->attempts, e->why);
	if (v == LW_VERDICT_RETRY_OTHER ||
	    (v == LW_VERDICT_RETRY_OTHER_COUNTED && take_retry(r, q)))
		send_attempt(r, q, e->why);
	else if (v == LW_VERDICT_RESEND_SAME_COUNTED && take_retry(r, q))
		resend(r, q);
	else
		finish(r, q, false, v == LW_VERDICT_REFUSE, e->retry_after_ms);
}

static sim_node_t *node_of(run_t *r, const char *id)
{
	return &r->node[atoi(id + 1)];
}

static void send_to_node(run_t *r, req_t *q)
{
	q->hots.n = 0;
	q->call_failed = false;
	q->at = node_of(r, q->host->id);
	lw_place_request_sent(q->host);
	lw_sim_push(r, LW_SIM_AT_NODE,
		    r->now + (q->host->self ? 0 : (uint64_t)(r->sim->net_ms * 1000)), q);
}

static void send_attempt(run_t *r, req_t *q, lw_fail_t last)
{
	lw_place_service_t *s = lw_place_service(&q->origin->place, q->kind->service);
	lw_place_query_t ask = { .now_us = r->now, .random = (uint32_t)lw_sim_random(r) };
	lw_place_host_t *h = lw_place_pick(s, &q->tried, &ask);

	if (r->sim->policy == LW_SIM_NAIVE && !q->tried.n) {
		uint32_t skip = (uint32_t)(lw_sim_random(r) % 64);

		for (h = s->hosts; skip--;)
			h = h->next ? h->next : s->hosts;
	}
	if (!h) {
		finish(r, q, false, lw_fail_not_executed(last), 0);
		return;
	}
	q->tried.host[q->tried.n++] = h;
	q->host = h;
	send_to_node(r, q);
}

/* send a call again to the server that shed it */
static void resend(run_t *r, req_t *q)
{
	q->attempts.resent++;
	send_to_node(r, q);
}

static void start_user_request(run_t *r, lw_sim_kind_t *k, uint64_t first_us, uint32_t tries_left)
{
	sim_node_t *origin = &r->node[lw_sim_random(r) % r->nnodes];
	req_t *q = new_req(r, k, origin, NULL);
	lw_service_level_t by;

	q->first_us = first_us;
	q->tries_left = tries_left;
	if (lw_sim_has_mechanism(r->sim, LW_SIM_LEVELS) &&
	    !lw_overload_admits(origin->hot, k->name, q->rank, r->now, &by)) {
		finish(r, q, false, true, 0);
		return;
	}
	send_first(r, q);
}

static double rate_now(const lw_sim_t *s, const lw_sim_kind_t *k, uint64_t now)
{
	double t = (double)now / 1e6;
	bool burst = t >= s->burst_at_s && t < s->burst_at_s + s->burst_for_s;

	return k->rate * (burst ? s->burst : 1);
}

static void on_arrive(run_t *r, lw_sim_kind_t *k)
{
	double gap = -log(lw_sim_random01(r)) / rate_now(r->sim, k, r->now);
	uint32_t second = (uint32_t)(r->now / 1000000);
	lw_simevent_t *e;

	if ((double)r->now / 1e6 >= r->sim->length_s)
		return;
	k->count.asked++;
	if (second < LW_SIM_SECONDS_MAX)
		r->sim->asked_at[second]++;
	start_user_request(r, k, r->now, k->retries);
	e = lw_sim_push(r, LW_SIM_ARRIVE, r->now + (uint64_t)(gap * 1e6), NULL);
	e->request_kind = k;
}

static void on_step(run_t *r)
{
	for (size_t i = 0; i < r->nnodes; i++) {
		sim_node_t *n = &r->node[i];
		lw_level_input_t in = { .queued = (uint32_t)n->queue.len,
					.running = n->running,
					.limit = n->limit,
					.service_us = n->service_us,
					.arrived_us = n->arrived_us };
		lw_waiter_t *w;

		if (n->by_kind)
			lw_slotshare_level_input(&n->use, &n->queue, &n->objectives, &in);
		lw_level_step(&n->level, &in);
		while ((w = lw_waitq_expired(&n->queue, r->now)) != NULL) {
			req_t *q = (req_t *)(void *)w;
			lw_load_t load;

			lw_waitq_remove(&n->queue, w);
			q->queued = false;
			lw_sim_node_load(n, &load);
			lw_sim_send_answer(r, q, LW_FAIL_EXPIRED, false,
					   lw_admit_retry_after_ms(&load));
		}
		lw_sim_step_node(r, n);
	}
	if ((double)r->now / 1e6 < r->sim->length_s + 10)
		lw_sim_push(r, LW_SIM_STEP, r->now + LW_LEVEL_STEP_MS * 1000, NULL);
}

static void on_timeout(run_t *r, req_t *q)
{
	if (q->finished)
		return;
	if (q->queued) {
		lw_waitq_remove(&q->at->queue, &q->waiter);
		q->queued = false;
	}
	finish(r, q, false, false, 0);
}

static void handle_event(run_t *r, const lw_simevent_t *e)
{
	req_t *q = e->req;

	switch (e->kind) {
	case LW_SIM_ARRIVE:
		on_arrive(r, e->request_kind);
		break;
	case LW_SIM_AT_NODE:
		if (!q->finished)
			lw_sim_at_node(r, q);
		break;
	case LW_SIM_WORK_DONE:
		next_call(r, q);
		break;
	case LW_SIM_ANSWER:
		on_answer(r, e);
		break;
	case LW_SIM_TIMEOUT:
		on_timeout(r, q);
		break;
	case LW_SIM_RETRY:
		start_user_request(r, e->request_kind, q->first_us, q->tries_left - 1);
		break;
	case LW_SIM_STEP:
		on_step(r);
		break;
	}
}

/* lw_sim_run() - simulate the load once with random @seed; the counts are left in @s. */
void lw_sim_run(lw_sim_t *s, uint64_t seed)
{
	run_t *r = xcalloc(1, sizeof(*r));

	r->sim = s;
	r->rng = seed * 2654435769u | 1;
	r->terms = (lw_retryallowance_t){ .ratio = 0.2, .extra = s->retry_extra, .window_s = 10 };
	lw_sim_build_nodes(r);
	lw_sim_number_priorities(s);
	for (size_t i = 0; i < s->nkinds; i++)
		if (s->kinds[i].rate > 0)
			lw_sim_push(r, LW_SIM_ARRIVE, (uint64_t)(lw_sim_random01(r) * 1e5), NULL)
				->request_kind = &s->kinds[i];
	lw_sim_push(r, LW_SIM_STEP, LW_LEVEL_STEP_MS * 1000, NULL);
	while (r->events.len) {
		lw_simevent_t e = lw_simqueue_pop(&r->events);

		r->now = e.at_us;
		handle_event(r, &e);
	}
	lw_simqueue_free(&r->events);
	free(r);
}

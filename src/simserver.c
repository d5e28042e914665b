/*
 * Servers of the fleet model and their nodes: admission, queue and work.
 * Admission and queue use lwproxy's own decision modules.
 */
#include <math.h>
#include <string.h>

#include "admit.h"
#include "simfleet_int.h"

/*
 * longest useful wait of a user request in a server's queue, percent of its
 * latency objective, as in exchattempt.c
 */
#define QUEUE_NEW_PERCENT 35
/* weight of one request in a node's average service time, as in gatejob.c */
#define SERVICE_EWMA 0.05
/* spread of the work around its mean: sigma of a log-normal distribution */
#define WORK_SIGMA 0.3

/* lw_sim_random() - 64 random bits (xorshift64*). */
uint64_t lw_sim_random(run_t *r)
{
	r->rng ^= r->rng >> 12;
	r->rng ^= r->rng << 25;
	r->rng ^= r->rng >> 27;
	return r->rng * 2685821657736338717ULL;
}

/* lw_sim_random01() - a random number between 0 and 1, both excluded. */
double lw_sim_random01(run_t *r)
{
	return ((lw_sim_random(r) >> 11) + 0.5) / 9007199254740992.0;
}

static double draw_work_ms(run_t *r, const lw_sim_kind_t *k)
{
	double normal = sqrt(-2 * log(lw_sim_random01(r))) * cos(2 * M_PI * lw_sim_random01(r));

	return k->work_ms * exp(WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2);
}

/* lw_sim_push() - add an event of request @q at time @at_us. */
lw_simevent_t *lw_sim_push(run_t *r, lw_simevent_kind_t kind, uint64_t at_us, req_t *q)
{
	lw_simevent_t *e = lw_simqueue_push(&r->events, kind, at_us);

	e->req = q;
	return e;
}

/* lw_sim_node_load() - the load of its server that a node reports in answers. */
void lw_sim_node_load(const sim_node_t *n, lw_load_t *out)
{
	memset(out, 0, sizeof(*out));
	out->running = n->running;
	out->queued = (uint32_t)n->queue.len;
	out->limit = n->limit;
	out->service_us = (uint32_t)n->service_us;
	out->level = n->level.level;
	if (!n->by_kind)
		return;
	out->backlog_us = n->use.work_us + n->queue.work_us;
	lw_worktable_report(&n->work, &out->work);
}

/* lw_sim_send_answer() - send the outcome of @q to the node where the request began. */
void lw_sim_send_answer(run_t *r, req_t *q, lw_fail_t why, bool server_failed,
			uint32_t retry_after_ms)
{
	uint64_t at = r->now + (uint64_t)(r->sim->net_ms * 1000);
	lw_simevent_t *e = lw_sim_push(r, LW_SIM_ANSWER, at, q);

	e->why = why;
	e->server_failed = server_failed;
	e->retry_after_ms = retry_after_ms;
	lw_sim_node_load(q->at, &e->load);
	lw_retrylimit_arrivals(&q->at->arrivals, &r->terms, r->now, &e->load.arrivals);
	e->load.hots = q->hots;
	e->load.ran_us = why == LW_FAIL_NONE ? (uint32_t)(r->now - q->started_us) : 0;
	e->load.depth = q->depth;
	e->load.retry_used = q->retry_used;
	e->load.call_failed = q->call_failed;
}

/* lw_sim_remaining_ms() - time until the caller of the request times out, ms. */
uint32_t lw_sim_remaining_ms(const run_t *r, const req_t *q)
{
	return q->give_up_us > r->now ? (uint32_t)((q->give_up_us - r->now) / 1000) : 0;
}

/* start the server's own work on a request; it takes longer when the server is nearly full */
static void start_work(run_t *r, req_t *q)
{
	sim_node_t *n = q->at;
	const lw_sim_service_t *sv = &r->sim->services[n->service];
	double ms = draw_work_ms(r, q->kind) / n->speed;

	if (sv->knee > 0 && n->running > sv->knee * n->slots)
		ms *= sv->knee_x;
	q->queued = false;
	q->started_us = r->now;
	q->work_done_ms += ms;
	r->sim->total.spent_ms += ms;
	if (r->now >= r->sim->burst_at_s * 1e6 &&
	    r->now < (r->sim->burst_at_s + r->sim->burst_for_s) * 1e6)
		r->sim->busy_ms[n->service] += ms * n->speed;
	n->running++;
	lw_slotuse_start(&n->use, &q->waiter);
	q->calls_left = q->kind->call[0] ? q->kind->calls : 0;
	lw_sim_push(r, LW_SIM_WORK_DONE, r->now + (uint64_t)(ms * 1000), q);
}

static uint32_t queue_ms(const run_t *r, const req_t *q)
{
	return q->parent ? lw_sim_remaining_ms(r, q) : q->kind->target_ms * QUEUE_NEW_PERCENT / 100;
}

static void dispatch(run_t *r, sim_node_t *n);

/* the place of @q in the queue, as in gate.c */
static void fill_waiter(const run_t *r, req_t *q, const lw_admit_state_t *st)
{
	const sim_node_t *n = q->at;
	uint64_t left_us = q->target_us > r->now ? q->target_us - r->now : 0;
	lw_waiter_t *w = &q->waiter;

	w->priority = r->sim->policy >= LW_SIM_FIFO ? 0 : q->rank / LW_RANKS_PER_PRIORITY;
	w->work_us = st->work_us ? st->work_us : (uint32_t)n->service_us;
	w->is_long = lw_slotshare_is_long(&n->share, w->work_us, w->priority, left_us);
	if (!lw_sim_has_mechanism(r->sim, LW_SIM_OBJECTIVE_ORDER))
		return;
	w->target_us = q->target_us;
	w->late = q->target_us < r->now + w->work_us;
}

/* expected wait for a slot by kinds of work, as in gatekind.c */
static uint64_t slot_wait_us(const run_t *r, const sim_node_t *n, const lw_waiter_t *w)
{
	if (!n->by_kind || (n->running < n->limit &&
			    !lw_slotshare_next(&n->share, &n->use, &n->queue, n->limit, r->now) &&
			    lw_slotshare_may_start(&n->share, &n->use, w, n->limit, r->now)))
		return 0;
	return lw_slotshare_wait_us(&n->use, w, lw_waitq_work_ahead(&n->queue, w), n->limit);
}

static void count_kind(run_t *r, sim_node_t *n, const req_t *q)
{
	lw_workarrival_t arrival = { lw_worktime_kind(q->kind->name),
				     q->rank / LW_RANKS_PER_PRIORITY,
				     q->target_us > r->now ? q->target_us - r->now : 0 };

	lw_worktable_arrival(&n->work, &arrival, r->now);
}

/* lw_sim_step_node() - one step of the observations by kind of work, as in gatekind.c. */
void lw_sim_step_node(run_t *r, sim_node_t *n)
{
	n->arrived_us = 0;
	lw_worktable_step(&n->work, LW_LEVEL_STEP_MS * 1000, r->now);
	n->by_kind = n->mixed && lw_worktable_differs(&n->work, n->by_kind);
	memset(&n->share, 0, sizeof(n->share));
	if (!n->by_kind)
		return;
	lw_slotshare_update(&n->share, &n->work, n->limit);
	dispatch(r, n);
}

/* lw_sim_at_node() - a request reaches the node of its server: admit and queue it, or reject it. */
void lw_sim_at_node(run_t *r, req_t *q)
{
	sim_node_t *n = q->at;
	bool naive = r->sim->policy == LW_SIM_NAIVE;
	lw_call_request_t ask = { .deadline_ms = lw_sim_remaining_ms(r, q),
				  .queue_ms = queue_ms(r, q) };
	lw_admit_state_t st;
	lw_fail_t why;

	lw_level_arrival(&n->level, q->rank);
	count_kind(r, n, q);
	lw_sim_node_load(n, &st.load);
	st.work_us = 0;
	if (n->by_kind)
		st.work_us = lw_worktable_us(&n->work, lw_worktime_kind(q->kind->name),
					     (uint32_t)n->service_us);
	n->arrived_us += st.work_us;
	fill_waiter(r, q, &st);
	q->waiter.expires_us = r->now + (uint64_t)lw_admit_wait_ms(&st, &ask) * 1000;
	if (r->sim->policy >= LW_SIM_FIFO)
		q->waiter.expires_us =
			naive ? q->give_up_us : r->now + (uint64_t)queue_ms(r, q) * 1000;
	st.rate_wait_ms = 0;
	st.slot_wait_us = slot_wait_us(r, n, &q->waiter);
	st.ahead = (uint32_t)lw_waitq_count_ahead(&n->queue, &q->waiter);
	why = naive ? LW_FAIL_NONE : lw_admit(&st, &ask);
	if (why) {
		lw_sim_send_answer(r, q, why, false, lw_admit_retry_after_ms(&st.load));
		return;
	}
	q->queued = true;
	q->queued_us = r->now;
	lw_waitq_push(&n->queue, &q->waiter);
	dispatch(r, n);
}

/* the injected fault: shed a request at random, independent of the server's load */
static bool shed(run_t *r, req_t *q)
{
	const lw_sim_t *s = r->sim;
	double t = (double)r->now / 1e6;

	if (t < s->shed_at_s || t >= s->shed_at_s + s->shed_for_s ||
	    strcmp(s->shed_service, q->kind->service) != 0 || lw_sim_random01(r) >= s->shed_part)
		return false;
	q->queued = false;
	lw_sim_send_answer(r, q, LW_FAIL_SHED, false, 0);
	return true;
}

static void count_arrival(run_t *r, sim_node_t *n, const req_t *q)
{
	if (q->attempts.reached)
		lw_retrylimit_count_retry(&n->arrivals, &r->terms, r->now);
	else
		lw_retrylimit_count_request(&n->arrivals, &r->terms, q->rank, r->now);
}

static void dispatch(run_t *r, sim_node_t *n)
{
	uint32_t limit = r->sim->policy == LW_SIM_NAIVE ? n->slots : n->limit;

	lw_waiter_t *w;

	while (n->running < limit &&
	       (w = lw_slotshare_next(&n->share, &n->use, &n->queue, limit, r->now)) != NULL) {
		req_t *q = (req_t *)(void *)w;

		lw_waitq_remove(&n->queue, w);
		if (q->give_up_us <= r->now && r->sim->policy != LW_SIM_NAIVE)
			continue;
		count_arrival(r, n, q);
		if (!shed(r, q))
			start_work(r, q);
	}
}

/* lw_sim_complete_run() - the server has answered @q; start the next request in its queue. */
void lw_sim_complete_run(run_t *r, req_t *q, bool server_failed)
{
	sim_node_t *n = q->at;

	n->running--;
	lw_slotuse_end(&n->use, &q->waiter);
	if (!server_failed)
		lw_worktable_sample(&n->work, lw_worktime_kind(q->kind->name),
				    r->now - q->started_us, r->now);
	n->service_us += SERVICE_EWMA * ((double)(r->now - q->started_us) - n->service_us);
	lw_sim_send_answer(r, q, LW_FAIL_NONE, server_failed, 0);
	dispatch(r, n);
}

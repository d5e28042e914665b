/* The timer of the gate: admission level, lost answers; see gate.h. */
#include "gate_int.h"

#include <math.h>

/* a request that executes for this many times the average may have lost its answer */
#define LOST_FACTOR 8
#define LOST_MIN_US 100000
/* factor applied to the average failure rate in each step: it halves in about 3 s */
#define FAILING_DECAY 0.977
/* number of idle steps after which the timer of the admission level stops */
#define IDLE_STEPS_MAX 20
/* lowest rate limit used to compute the admission level, requests a second */
#define LEVEL_MIN_PER_S 0.1

/* lw_gate_busy_slots() - slots of the backend server that are in use. */
uint32_t lw_gate_busy_slots(const lw_gate_t *g)
{
	return g->running > g->lost_answers ? g->running - g->lost_answers : 0;
}

/* execution time after which the answer to @j may be lost */
static uint64_t lost_after_us(const lw_job_t *j)
{
	const lw_gate_t *g = j->gate;
	uint32_t usual_us = (uint32_t)g->service_us;
	uint64_t limit_us = (uint64_t)(g->service_us * LOST_FACTOR);

	if (g->by_kind)
		limit_us = (uint64_t)lw_worktable_us(&g->work, j->kind, usual_us) * LOST_FACTOR;
	return limit_us > LOST_MIN_US ? limit_us : LOST_MIN_US;
}

/*
 * A backend server that loses answers has free slots although its requests seem to be executing.
 * Each lost answer would occupy a slot here until the deadline of its request, which is many times
 * its execution time, so a part of lost answers would block most of the slots. A request counts as
 * lost if it takes much longer than usual and the server reports fewer requests than this gate
 * counts as executing.
 */
static void update_lost_answers(lw_gate_t *g)
{
	uint32_t known = g->reported_busy + g->started_since_report;
	uint32_t overdue = 0;

	g->lost_answers = 0;
	if (!g->reports_load || g->running <= known)
		return;
	for (const lw_job_t *j = g->by_id; j; j = j->hh.next)
		overdue += j->started_us && g->evloop->now_us - j->started_us > lost_after_us(j);
	g->lost_answers = overdue < g->running - known ? overdue : g->running - known;
}

/* a rate limit is equivalent to a single slot that each request occupies for 1/rate seconds */
static lw_level_input_t level_input(const lw_gate_t *g)
{
	lw_level_input_t in = { .queued = (uint32_t)g->queue.len,
				.running = lw_gate_busy_slots(g),
				.limit = g->limit,
				.service_us = g->service_us };
	double each_us = g->ratelimit.on ? 1e6 / fmax(g->ratelimit.per_s, LEVEL_MIN_PER_S) : 0;

	if (each_us > g->service_us / g->limit) {
		in.limit = 1;
		in.service_us = each_us;
	} else if (g->by_kind) {
		in.arrived_us = g->arrived_us;
		lw_slotshare_level_input(&g->use, &g->queue, &g->objectives, &in);
	}
	return in;
}

static void on_level_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_level_input_t in = level_input(g);
	bool idle_now = !g->ncalls && !g->level.arrivals && g->level.level == LW_LEVEL_ADMIT_ALL;

	(void)revents;
	g->idle_steps = idle_now ? g->idle_steps + 1 : 0;
	lw_level_step(&g->level, &in);
	g->arrived_us = 0;
	lw_gate_update_kinds(g);
	g->failing *= FAILING_DECAY;
	update_lost_answers(g);
	lw_gate_return_queued(g);
	if (g->queue.first)
		lw_gate_dispatch(g);
	if (g->idle_steps > IDLE_STEPS_MAX)
		ev_timer_stop(loop, &g->level_timer);
}

/* lw_gate_level_init() - initialise the admission level and its timer. */
void lw_gate_level_init(lw_gate_t *g)
{
	lw_level_init(&g->level);
	ev_timer_init(&g->level_timer, on_level_timer, 0, LW_LEVEL_STEP_MS / 1000.0);
	g->level_timer.data = g;
}

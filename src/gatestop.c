/* The gate of a stopping node: which requests it still accepts, and which its exit interrupts. */
#include "gate_int.h"

#include <math.h>

#include "log.h"
#include "stopplan.h"

/* half-life of the longest recent execution time, us */
#define LONGEST_HALF_LIFE_US 7000000

/* longest recent execution time; it decays with time, also while nothing executes */
static double longest_run_us(const lw_gate_t *g)
{
	return g->longest_us *
	       exp2(-(double)(g->evloop->now_us - g->longest_at_us) / LONGEST_HALF_LIFE_US);
}

/* lw_gate_record_duration() - record the execution time @took_us of a request. */
void lw_gate_record_duration(lw_gate_t *g, uint64_t took_us)
{
	if ((double)took_us < longest_run_us(g))
		return;
	g->longest_us = (double)took_us;
	g->longest_at_us = g->evloop->now_us;
}

/*
 * lw_gate_judge_stop() - whether a request that starts after @wait_us, and whose sender gives up
 * after @deadline_us, completes before this process exits.
 */
lw_stopverdict_t lw_gate_judge_stop(const lw_gate_t *g, uint64_t wait_us, uint64_t deadline_us)
{
	const lw_evloop_t *evloop = g->evloop;
	lw_stopwork_t work = {
		.left_us = evloop->exit_us > evloop->now_us ? evloop->exit_us - evloop->now_us : 0,
		.wait_us = wait_us,
		.deadline_us = deadline_us,
		.longest_us = (uint64_t)longest_run_us(g),
	};

	if (!evloop->exit_us)
		return (lw_stopverdict_t){ .basis = LW_STOPBASIS_NOT_STOPPING };
	return lw_stopplan_judge(&work);
}

/*
 * lw_gate_stop_admitting() - this node is about to exit: reject all queued and new requests, let
 * executing requests complete.
 */
void lw_gate_stop_admitting(lw_gate_t *g)
{
	g->exiting = true;
	lw_gate_reject_queued(g, LW_FAIL_LEAVING);
}

/*
 * lw_gate_log_cut_off() - the process exits: log each request that is interrupted at the backend
 * server, with the reason for which it had been accepted. Returns their number.
 */
uint32_t lw_gate_log_cut_off(const lw_gate_t *g)
{
	uint32_t n = 0;

	for (const lw_job_t *j = g->by_id; j; j = j->hh.next) {
		if (!j->started_us)
			continue;
		n++;
		lw_log(LW_LOG_request_cut_off,
		       "id=%s server=%s idempotent=%d kind=%08x ran_ms=%llu accepted_by=%s exit_in_ms=%llu expected_ms=%llu",
		       j->request_id, j->target, j->idempotent, j->kind,
		       (unsigned long long)((g->evloop->now_us - j->started_us) / 1000),
		       lw_stopbasis_name(j->stop.basis),
		       (unsigned long long)(j->stop.left_us / 1000),
		       (unsigned long long)(j->stop.expected_us / 1000));
	}
	return n;
}

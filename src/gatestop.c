/* The gate of a stopping node: which requests it still accepts, and which its exit interrupts. */
#include "gate_int.h"

#include "log.h"
#include "stopplan.h"

/* lw_gate_record_duration() - record that @j executed for @took_us, whatever its outcome. */
void lw_gate_record_duration(const lw_job_t *j, uint64_t took_us)
{
	lw_gate_t *g = j->gate;

	lw_recentmax_add(&g->longest, took_us, g->evloop->now_us);
	lw_worktable_duration(&g->work, j->kind, took_us, g->evloop->now_us);
}

/*
 * The longest execution that a request as described in @ask may be expected to have: of its own kind
 * or, if too few are known, of all work. What the sender knows counts as well, as a process that has
 * just started may have seen only the short ones of a kind.
 */
static uint64_t longest_us(const lw_gate_t *g, const lw_stopask_t *ask, uint64_t of_kind_us)
{
	uint64_t own_us = of_kind_us ? of_kind_us :
				       lw_recentmax_get(&g->longest, g->evloop->now_us).longest_us;

	return own_us > ask->longest_us ? own_us : ask->longest_us;
}

/*
 * lw_gate_judge_stop() - whether a request as described in @ask completes before this process
 * exits. The time until the exit and the longest execution are added here.
 */
lw_stopverdict_t lw_gate_judge_stop(const lw_gate_t *g, const lw_stopask_t *ask)
{
	const lw_evloop_t *evloop = g->evloop;
	uint64_t now_us = evloop->now_us;
	uint64_t of_kind_us;
	lw_stopwork_t work;

	if (!evloop->exit_us)
		return (lw_stopverdict_t){ .basis = LW_STOPBASIS_NOT_STOPPING };
	of_kind_us = lw_worktable_longest_us(&g->work, ask->kind, now_us);
	work = (lw_stopwork_t){
		.left_us = evloop->exit_us > now_us ? evloop->exit_us - now_us : 0,
		.wait_us = ask->wait_us,
		.deadline_us = ask->deadline_us,
		.longest_us = longest_us(g, ask, of_kind_us),
		.usual_us = lw_worktable_us(&g->work, ask->kind, (uint32_t)g->service_us),
		.known = of_kind_us > 0,
		.idempotent = ask->idempotent,
		.cautious = evloop->cautious && !ask->begun,
		.begun = ask->begun,
	};
	return lw_stopplan_judge(&work);
}

/* whether the backend server has the whole body once it has @bytes more of it */
static bool completes_body(const lw_job_t *j, size_t bytes, bool fin)
{
	uint64_t length = (uint64_t)j->body_length;

	if (j->body_length < 0)
		return fin;
	return j->body_sent < length && j->body_sent + bytes >= length;
}

/*
 * lw_gate_body_too_late() - whether the body of the request @j, which the backend server is
 * receiving, is complete with these @bytes, and so late that the exit would interrupt the
 * execution. The request was accepted by what was known when its head arrived. A server that has
 * begun to answer executes it already.
 */
bool lw_gate_body_too_late(lw_job_t *j, size_t bytes, bool fin)
{
	uint64_t now_us = j->gate->evloop->now_us;
	lw_stopask_t ask = {
		.deadline_us = j->deadline_us > now_us ? j->deadline_us - now_us : 0,
		.kind = j->kind,
		.longest_us = j->longest_us,
		.idempotent = j->idempotent,
		.begun = true,
	};

	if (j->head_sent || !completes_body(j, bytes, fin) ||
	    now_us - j->started_us < LW_STOPPLAN_SLOW_BODY_US)
		return false;
	j->stop = lw_gate_judge_stop(j->gate, &ask);
	return j->stop.basis == LW_STOPBASIS_NONE;
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

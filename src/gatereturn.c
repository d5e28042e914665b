/* Returns queued requests to their senders when the backend server became slower. */
#include "gate_int.h"

#include "admit.h"
#include "log.h"

static void return_job(lw_job_t *j)
{
	lw_gate_t *g = j->gate;
	uint64_t now_us = g->evloop->now_us;

	lw_log(LW_LOG_request_returned,
	       "id=%s server=%s waited_ms=%llu left_ms=%llu usual_us=%u each_us=%.0f queued=%zu limit=%u",
	       j->request_id, j->target, (unsigned long long)((now_us - j->arrived_us) / 1000),
	       (unsigned long long)((j->waiter.expires_us - now_us) / 1000), j->waiter.each_us,
	       g->handback.each_us, g->queue.len, g->limit);
	lw_handback_returned(&g->handback, &j->waiter);
	lw_job_fail(j, LW_FAIL_RETURNED);
}

/*
 * lw_gate_return_queued() - measure the pace of the backend server and return the requests that
 * will not start in time because it became slower. The end of one request may start or end others.
 */
void lw_gate_return_queued(lw_gate_t *g)
{
	lw_waiter_t *chosen[LW_HANDBACK_RETURNS_MAX];
	uint64_t now_us = g->evloop->now_us;
	size_t n;

	lw_handback_step(&g->handback, g->queue.first != NULL, g->limit, g->service_us, now_us);
	n = lw_handback_choose(&g->handback, &g->queue, g->limit, now_us, chosen);
	for (size_t i = 0; i < n; i++) {
		lw_job_t *j = lw_job_of_waiter(chosen[i]);

		if (!j->dead && !j->started_us)
			return_job(j);
	}
}

/*
 * lw_gate_promised_us() - the time between two completions promised to a request that is queued
 * now; 0: it stays in the queue whatever happens.
 */
uint32_t lw_gate_promised_us(const lw_gate_t *g, const lw_call_request_t *req)
{
	double paced_us = g->ratelimit.on && g->ratelimit.per_s > 0 ? 1e6 / g->ratelimit.per_s : 0;

	/* with kinds of different duration, fewer completions do not mean a slower server */
	if (!req->returnable || g->by_kind)
		return 0;
	if (req->put_back)
		return lw_handback_kept_us(&g->handback);
	return lw_handback_usual_us(&g->handback, g->limit, g->service_us, paced_us);
}

/*
 * lw_gate_admit() - lw_admit(), but a request that this gate returned and that its sender puts back
 * is not rejected a second time for the length of the queue.
 */
lw_fail_t lw_gate_admit(const lw_admit_state_t *st, const lw_call_request_t *req)
{
	lw_fail_t why = lw_admit(st, req);

	return why == LW_FAIL_BUSY && req->put_back ? LW_FAIL_NONE : why;
}

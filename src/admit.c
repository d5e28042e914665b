/* Admission decisions; see admit.h. */
#include "admit.h"

#include <math.h>

/* concurrency limit while the number of slots of the backend server is unknown */
#define LIMIT_UNKNOWN 16
/*
 * Share of the slots that is used, per mille. Some servers slow down when
 * more than about 95% of their slots are taken, which costs more throughput
 * than the last 5% add.
 */
#define LIMIT_PERMILLE 950
/* below this number of slots 5% is less than one slot, so all of them are used */
#define LIMIT_SMALL 20
/* bounds of the retry-after delay of a refused caller, ms */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 2000

/* lw_admit_limit() - concurrency limit of a backend server with @slots slots; 0: unknown. */
uint32_t lw_admit_limit(uint32_t slots)
{
	uint32_t limit = (uint32_t)((uint64_t)slots * LIMIT_PERMILLE / 1000);

	if (!slots)
		return LIMIT_UNKNOWN;
	return slots < LIMIT_SMALL ? slots : limit;
}

/* time until the backend server has a free slot for a request that arrives now, ms */
static uint32_t slot_wait_ms(const lw_admit_state_t *st)
{
	uint64_t ahead = st->ahead;

	if (!st->load.limit)
		return LW_ADMIT_NEVER_MS;
	if (st->work_us)
		return (uint32_t)(st->slot_wait_us / 1000);
	if (st->load.running < st->load.limit && !ahead)
		return 0;
	return (uint32_t)((ahead + 1) * st->load.service_us / st->load.limit / 1000);
}

/*
 * lw_admit_expected_wait_ms() - time until a request that arrives now starts executing;
 * LW_ADMIT_NEVER_MS if the backend server gets no more requests.
 */
uint32_t lw_admit_expected_wait_ms(const lw_admit_state_t *st)
{
	uint32_t slot_ms = slot_wait_ms(st);

	return slot_ms > st->rate_wait_ms ? slot_ms : st->rate_wait_ms;
}

/* lw_admit_wait_ms() - how long the request may stay queued before it is rejected unexecuted. */
uint32_t lw_admit_wait_ms(const lw_admit_state_t *st, const lw_call_request_t *ask)
{
	uint32_t service_ms = (st->work_us ? st->work_us : st->load.service_us) / 1000;
	uint32_t left = ask->deadline_ms > service_ms ? ask->deadline_ms - service_ms : 0;

	return ask->queue_ms < left ? ask->queue_ms : left;
}

/*
 * lw_admit() - LW_FAIL_NONE if the request may start or wait in the queue,
 * else the reason for its rejection.
 */
lw_fail_t lw_admit(const lw_admit_state_t *st, const lw_call_request_t *ask)
{
	uint32_t wait = lw_admit_expected_wait_ms(st);

	if (!ask->deadline_ms)
		return LW_FAIL_EXPIRED;
	if (wait && wait > lw_admit_wait_ms(st, ask))
		return LW_FAIL_BUSY;
	return LW_FAIL_NONE;
}

/*
 * lw_admit_retry_after_ms() - the retry-after delay: the expected time in
 * which the backend server completes the requests that are executing or
 * queued now, or the time until its announced rate limit permits one more
 * request than those queued, whichever is longer.
 */
uint32_t lw_admit_retry_after_ms(const lw_load_t *load)
{
	uint64_t work_us = load->backlog_us ?
				   load->backlog_us :
				   (uint64_t)(load->queued + load->running) * load->service_us;
	uint64_t ms = load->limit ? work_us / load->limit / 1000 : RETRY_AFTER_MAX_MS;
	double rate_wait_ms = load->notice.limited ? (load->queued + 1) * 1000 /
							     fmax(load->notice.limit_per_s, 1) :
						     0;

	if (rate_wait_ms > (double)ms)
		ms = (uint64_t)rate_wait_ms;
	if (ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t)ms;
}

/* AIMD concurrency limit; see limiter.h. */
#include "limiter.h"

/*
 * A short-run latency above the long-run one by this factor means overload.
 * Below it the server may just be slower, and executing fewer requests than
 * it has slots would only cost throughput (docs/MEASUREMENTS.md).
 */
#define LIMITER_TOLERANCE 5.0
#define LIMITER_BACKOFF	  0.9
#define LIMITER_EWMA	  0.1
#define LIMITER_EWMA_LONG 0.01

/*
 * lw_limiter_init() - start at the @slots of the backend; the limit moves
 * between a quarter of them and all of them. It never exceeds the slots: a
 * backend server refuses what it cannot execute, and each refusal costs a
 * round trip and a retry that admission here would have saved.
 */
void lw_limiter_init(lw_limiter_t *l, uint32_t slots)
{
	l->limit = slots ? slots : 1;
	l->min = l->limit / 4 < 1 ? 1 : l->limit / 4;
	l->max = l->limit;
	l->ewma_ms = 0;
	l->long_ms = 0;
	l->sampled_ms = 0;
	l->next_cut_ms = 0;
}

/*
 * lw_limiter_sample() - update the limit after a finished request.
 * @latency_ms: response time of the backend. @overloaded: the backend refused
 * the request or failed. @now_ms: when it finished (monotonic).
 *
 * A burst refused within one latency window is one congestion event, so the
 * limit is reduced at most once per window (RFC 5681, section 3.1: one
 * halving per round trip). Refusals return quickly and are not used as
 * latency samples.
 */
void lw_limiter_sample(lw_limiter_t *l, uint32_t latency_ms, bool overloaded, uint64_t now_ms)
{
	double lat = latency_ms;

	/*
	 * Comparing single samples with the lowest latency seen would mistake
	 * variance for congestion (service times are often exponential);
	 * averages do not. The long-run average follows a backend that became
	 * slower permanently.
	 */
	if (!overloaded) {
		l->sampled_ms = now_ms;
		l->ewma_ms = l->ewma_ms == 0 ? lat : l->ewma_ms + LIMITER_EWMA * (lat - l->ewma_ms);
		l->long_ms =
			l->long_ms == 0 ? lat : l->long_ms + LIMITER_EWMA_LONG * (lat - l->long_ms);
	}
	if (overloaded || l->ewma_ms > LIMITER_TOLERANCE * l->long_ms + 1) {
		if (now_ms < l->next_cut_ms)
			return;
		l->next_cut_ms = now_ms + (uint64_t)l->ewma_ms + 1;
		l->limit *= LIMITER_BACKOFF;
	} else {
		l->limit += 1.0 / l->limit;
	}
	if (l->limit < l->min)
		l->limit = l->min;
	if (l->limit > l->max)
		l->limit = l->max;
}

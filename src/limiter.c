/* AIMD concurrency limit; see limiter.h. */
#include "limiter.h"

/*
 * Short-run latency over this many times the long-run one is a sick server.
 * Below that it may just be slower, and running fewer requests than it has
 * slots then only costs throughput (measured: docs/MEASUREMENTS.md).
 */
#define LIMITER_TOLERANCE 5.0
#define LIMITER_BACKOFF	  0.9
#define LIMITER_EWMA	  0.1
#define LIMITER_EWMA_LONG 0.01

/*
 * lw_limiter_init() - start at the backend's @slots, allowed to move
 * between a quarter of them and all of them. It never grows past the
 * slots: what a backend server cannot run it refuses, and each refusal
 * costs a round trip and a retry that admission here would have saved.
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
 * lw_limiter_sample() - learn from one finished request.
 * @latency_ms: time the backend took.
 * @overloaded: the backend refused it or failed.
 * @now_ms: when it finished (monotonic).
 *
 * A burst refused within one latency window is one congestion event, so the
 * limit is cut at most once per window (RFC 5681, section 3.1: one halving
 * per round trip). Refusals come back fast and are no sample of latency.
 */
void lw_limiter_sample(lw_limiter_t *l, uint32_t latency_ms, bool overloaded, uint64_t now_ms)
{
	double lat = latency_ms;

	/*
	 * Comparing single samples with the best ever seen mistakes variance
	 * for congestion (service times are often exponential); averages do not.
	 * The long-run average follows a backend that became slower for good.
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

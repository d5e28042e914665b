/* AIMD concurrency limit; see limiter.h. */
#include "limiter.h"

#define LIMITER_TOLERANCE 2.0 /* short-run up to 2x the long-run is healthy */
#define LIMITER_BACKOFF	  0.9
#define LIMITER_EWMA	  0.1
#define LIMITER_EWMA_LONG 0.01

/*
 * lw_limiter_init() - start at the backend's @slots, allowed to move
 * between a quarter and twice of it.
 */
void lw_limiter_init(lw_limiter_t *l, uint32_t slots)
{
	l->limit = slots ? slots : 1;
	l->min = l->limit / 4 < 1 ? 1 : l->limit / 4;
	l->max = l->limit * 2;
	l->ewma_ms = 0;
	l->long_ms = 0;
}

/*
 * lw_limiter_sample() - learn from one finished request.
 * @latency_ms: time the backend took.
 * @overloaded: the backend refused it or failed.
 */
void lw_limiter_sample(lw_limiter_t *l, uint32_t latency_ms, bool overloaded)
{
	double lat = latency_ms;

	/*
	 * Comparing single samples with the best ever seen mistakes variance
	 * for congestion (service times are often exponential); averages do not.
	 * The long-run average follows a backend that became slower for good.
	 */
	l->ewma_ms = l->ewma_ms == 0 ? lat : l->ewma_ms + LIMITER_EWMA * (lat - l->ewma_ms);
	l->long_ms = l->long_ms == 0 ? lat : l->long_ms + LIMITER_EWMA_LONG * (lat - l->long_ms);
	if (overloaded || l->ewma_ms > LIMITER_TOLERANCE * l->long_ms + 1)
		l->limit *= LIMITER_BACKOFF;
	else
		l->limit += 1.0 / l->limit;
	if (l->limit < l->min)
		l->limit = l->min;
	if (l->limit > l->max)
		l->limit = l->max;
}

/* AIMD concurrency limit; see limiter.h. */
#include "limiter.h"

#define LIMITER_TOLERANCE 2.0 /* latency up to 2x the best counts as healthy */
#define LIMITER_BACKOFF	  0.9
#define LIMITER_EWMA	  0.1

/*
 * lw_limiter_init() - start at the backend's @slots, allowed to move
 * between a quarter and twice of it.
 */
void lw_limiter_init(lw_limiter_t *l, uint32_t slots)
{
	l->limit = slots ? slots : 1;
	l->min = l->limit / 4 < 1 ? 1 : l->limit / 4;
	l->max = l->limit * 2;
	l->best_ms = 0;
	l->ewma_ms = 0;
}

/*
 * lw_limiter_sample() - learn from one finished request.
 * @latency_ms: time the backend took.
 * @overloaded: the backend refused it or failed.
 */
void lw_limiter_sample(lw_limiter_t *l, uint32_t latency_ms, bool overloaded)
{
	double lat = latency_ms;

	l->ewma_ms = l->ewma_ms == 0 ? lat : l->ewma_ms + LIMITER_EWMA * (lat - l->ewma_ms);
	/* forget the best slowly, so a backend that became slower for good is relearned */
	if (l->best_ms == 0 || lat < l->best_ms)
		l->best_ms = lat;
	else
		l->best_ms += 0.001 * (lat - l->best_ms);
	if (overloaded || lat > LIMITER_TOLERANCE * (l->best_ms + 1))
		l->limit *= LIMITER_BACKOFF;
	else
		l->limit += 1.0 / l->limit;
	if (l->limit < l->min)
		l->limit = l->min;
	if (l->limit > l->max)
		l->limit = l->max;
}

/*
 * Adaptive concurrency limit of one backend server: additive increase
 * while latency stays near the best seen, multiplicative decrease when it
 * grows or the backend refuses work (AIMD, as TCP congestion control,
 * RFC 5681, applied to in-flight requests).
 */
#ifndef LW_LIMITER_H
#define LW_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_limiter {
	double limit; /* requests allowed in flight */
	double min, max;
	double best_ms; /* lowest latency seen, slowly forgotten */
	double ewma_ms; /* smoothed latency, for deadline checks */
} lw_limiter_t;

void lw_limiter_init(lw_limiter_t *l, uint32_t slots);
void lw_limiter_sample(lw_limiter_t *l, uint32_t latency_ms, bool overloaded);

#endif

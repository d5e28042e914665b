/*
 * Adaptive concurrency limit of one backend server: additive increase while
 * the short-run latency stays within five times the long-run latency,
 * multiplicative decrease when it exceeds that or the backend refuses
 * requests (AIMD, as in TCP congestion control, RFC 5681, applied to
 * in-flight requests; the two averages follow the gradient idea of Netflix's
 * concurrency-limits, without its code).
 */
#ifndef LW_LIMITER_H
#define LW_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_limiter {
	double limit; /* requests allowed in flight */
	double min, max;
	double ewma_ms; /* short-run latency average, also for deadline checks */
	double long_ms; /* long-run latency average: the normal latency */
	uint64_t sampled_ms; /* time of the last latency sample */
	uint64_t next_cut_ms; /* the limit is not reduced again before this time */
} lw_limiter_t;

void lw_limiter_init(lw_limiter_t *l, uint32_t slots);
void lw_limiter_sample(lw_limiter_t *l, uint32_t latency_ms, bool overloaded, uint64_t now_ms);

#endif

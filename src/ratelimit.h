/*
 * Limit of the requests per second that a backend server accepts from all
 * hosts together, as a token bucket in front of it. A server in difficulties
 * announces a limit below the load that is sent to it; requests above the
 * limit wait for a short time or go to another server. No I/O; the caller
 * passes the time.
 */
#ifndef LW_RATELIMIT_H
#define LW_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_ratelimit {
	bool on; /* a limit is set */
	double per_s;
	double tokens; /* requests that may start at once */
	uint64_t updated_us; /* time at which tokens was computed */
} lw_ratelimit_t;

void lw_ratelimit_set(lw_ratelimit_t *p, bool on, double per_s, uint64_t now_us);
bool lw_ratelimit_ready(lw_ratelimit_t *p, uint64_t now_us);
void lw_ratelimit_take(lw_ratelimit_t *p, uint64_t now_us);
uint32_t lw_ratelimit_wait_ms(lw_ratelimit_t *p, uint32_t ahead, uint64_t now_us);
uint32_t lw_ratelimit_slots(const lw_ratelimit_t *p, double service_us);

#endif

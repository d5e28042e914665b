/*
 * The requests a second that a backend server takes from all hosts together, as a
 * token bucket in front of it. Load pattern: a server in need names a limit below
 * what is sent to it. What does not fit waits a little or goes elsewhere. No I/O;
 * the time is given.
 */
#ifndef LW_RATELIMIT_H
#define LW_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_ratelimit {
	bool on; /* there is a limit */
	double per_s;
	double tokens; /* requests that may start at once */
	uint64_t updated_us; /* of which time */
} lw_ratelimit_t;

void lw_ratelimit_set(lw_ratelimit_t *p, bool on, double per_s, uint64_t now_us);
bool lw_ratelimit_ready(lw_ratelimit_t *p, uint64_t now_us);
void lw_ratelimit_take(lw_ratelimit_t *p, uint64_t now_us);
uint32_t lw_ratelimit_wait_ms(lw_ratelimit_t *p, uint32_t ahead, uint64_t now_us);
uint32_t lw_ratelimit_slots(const lw_ratelimit_t *p, double service_us);

#endif

/*
 * The requests a second that a backend server takes from all hosts together, as a
 * token bucket in front of it. Load pattern: a server in need names a limit below
 * what is sent to it. What does not fit waits a little or goes elsewhere. No I/O;
 * the time is given.
 */
#ifndef LW_PACE_H
#define LW_PACE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lw_pace {
	bool on; /* there is a limit */
	double per_s;
	double tokens; /* requests that may start at once */
	uint64_t at_us; /* of which time */
} lw_pace_t;

void lw_pace_set(lw_pace_t *p, bool on, double per_s, uint64_t now_us);
bool lw_pace_ready(lw_pace_t *p, uint64_t now_us);
void lw_pace_take(lw_pace_t *p, uint64_t now_us);
uint32_t lw_pace_wait_ms(lw_pace_t *p, uint32_t ahead, uint64_t now_us);
uint32_t lw_pace_slots(const lw_pace_t *p, double service_us);

#endif

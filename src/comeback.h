/*
 * When a refused caller should come back. Load pattern: callers refused in
 * the same moment return in the same moment and are refused again. No I/O.
 */
#ifndef LW_COMEBACK_H
#define LW_COMEBACK_H

#include <stdint.h>

/*
 * What the callers of a route say of the time they have. Each try has an id
 * of its own, and only the time left tells that a caller has been here before.
 */
typedef struct lw_callertime {
	uint32_t usual_ms; /* the time that callers have at their first try */
} lw_callertime_t;

uint32_t lw_comeback_age_ms(lw_callertime_t *t, uint32_t left_ms);
uint32_t lw_comeback_ms(uint32_t room_ms, uint32_t priority, uint32_t left_ms, uint32_t random);

#endif

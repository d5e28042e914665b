/*
 * Longest of recent durations. A moving average or a maximum that decays forgets the rare long one
 * that a bound has to cover; this one keeps each for at least LW_RECENTMAX_WINDOW_US and at most
 * twice as long. No I/O; the caller passes the time.
 */
#ifndef LW_RECENTMAX_H
#define LW_RECENTMAX_H

#include <stdint.h>

/* Shortest time for which a duration is kept, in microseconds. */
#define LW_RECENTMAX_WINDOW_US 60000000

/* Durations in one window. */
typedef struct lw_recentmax_window {
	uint64_t longest_us;
	uint32_t samples;
} lw_recentmax_window_t;

/* The current window and the one before; all zero bytes: no durations. */
typedef struct lw_recentmax {
	uint64_t began_us; /* start of the current window */
	lw_recentmax_window_t current;
	lw_recentmax_window_t previous;
} lw_recentmax_t;

void lw_recentmax_add(lw_recentmax_t *r, uint64_t took_us, uint64_t now_us);
lw_recentmax_window_t lw_recentmax_get(const lw_recentmax_t *r, uint64_t now_us);

#endif

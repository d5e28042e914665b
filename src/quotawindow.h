/* Counter over a sliding window, divided into slices. No I/O; the caller passes the time. */
#ifndef LW_QUOTAWINDOW_H
#define LW_QUOTAWINDOW_H

#include <stdint.h>

/* Slices of a window, and one more for the slice that is being filled. */
#define LW_QUOTAWINDOW_SLICES	10
#define LW_QUOTAWINDOW_COUNTERS (LW_QUOTAWINDOW_SLICES + 1)

/* All zero is an empty window. */
typedef struct lw_quotawindow {
	uint64_t newest; /* number of the newest slice */
	uint32_t count[LW_QUOTAWINDOW_COUNTERS];
} lw_quotawindow_t;

void lw_quotawindow_add(lw_quotawindow_t *w, double window_s, uint64_t now_us);
void lw_quotawindow_remove(lw_quotawindow_t *w, double window_s, uint64_t now_us);
uint32_t lw_quotawindow_sum(lw_quotawindow_t *w, double window_s, uint64_t now_us);

#endif

/* Counters over a sliding window; see quotawindow.h. */
#include "quotawindow.h"

#include <string.h>

static uint32_t *slice_at(lw_quotawindow_t *w, uint64_t number)
{
	return &w->count[number % LW_QUOTAWINDOW_COUNTERS];
}

static void advance(lw_quotawindow_t *w, double window_s, uint64_t now_us)
{
	uint64_t slice = (uint64_t)((double)now_us / (window_s * 1e6 / LW_QUOTAWINDOW_SLICES));

	/* also if slices are longer than before and have lower numbers */
	if (slice - w->newest > LW_QUOTAWINDOW_COUNTERS) {
		memset(w->count, 0, sizeof(w->count));
		w->newest = slice;
	}
	while (w->newest < slice) {
		w->newest++;
		*slice_at(w, w->newest) = 0;
	}
}

/* lw_quotawindow_add() - count one event now. */
void lw_quotawindow_add(lw_quotawindow_t *w, double window_s, uint64_t now_us)
{
	advance(w, window_s, now_us);
	++*slice_at(w, w->newest);
}

/* lw_quotawindow_remove() - uncount one of the most recent events. */
void lw_quotawindow_remove(lw_quotawindow_t *w, double window_s, uint64_t now_us)
{
	advance(w, window_s, now_us);
	for (uint64_t i = 0; i < LW_QUOTAWINDOW_COUNTERS && i <= w->newest; i++) {
		uint32_t *count = slice_at(w, w->newest - i);

		if (!*count)
			continue;
		--*count;
		return;
	}
}

/* lw_quotawindow_sum() - events in the window that ends now, plus up to one slice before it. */
uint32_t lw_quotawindow_sum(lw_quotawindow_t *w, double window_s, uint64_t now_us)
{
	uint32_t sum = 0;

	advance(w, window_s, now_us);
	for (int i = 0; i < LW_QUOTAWINDOW_COUNTERS; i++)
		sum += w->count[i];
	return sum;
}

/* Longest of recent durations; see recentmax.h. */
#include "recentmax.h"

/* the windows as of @now_us */
static lw_recentmax_t advanced(const lw_recentmax_t *r, uint64_t now_us)
{
	lw_recentmax_t out = { .began_us = now_us };

	if (now_us - r->began_us < LW_RECENTMAX_WINDOW_US)
		return *r;
	if (now_us - r->began_us < 2 * LW_RECENTMAX_WINDOW_US)
		out.previous = r->current;
	return out;
}

/* lw_recentmax_add() - add the duration @took_us, in microseconds. */
void lw_recentmax_add(lw_recentmax_t *r, uint64_t took_us, uint64_t now_us)
{
	*r = advanced(r, now_us);
	r->current.samples++;
	if (took_us > r->current.longest_us)
		r->current.longest_us = took_us;
}

/* lw_recentmax_get() - the longest recent duration and the number of recent durations. */
lw_recentmax_window_t lw_recentmax_get(const lw_recentmax_t *r, uint64_t now_us)
{
	lw_recentmax_t at = advanced(r, now_us);
	lw_recentmax_window_t out = at.current;

	out.samples += at.previous.samples;
	if (at.previous.longest_us > out.longest_us)
		out.longest_us = at.previous.longest_us;
	return out;
}

/* Whether a backend server is leaving; see leaving.h. */
#include "leaving.h"

/* by how much the clock of a host may be set back while its backend server runs, ms */
#define CLOCK_STEP_MAX_MS 5000

/*
 * lw_leaving_may_concern() - whether the process that started at @born_ms may have given the
 * answer seen at @seen_ms. Both are Unix times in ms of the server's host; an unknown start
 * is 0.
 */
bool lw_leaving_may_concern(uint64_t seen_ms, uint64_t born_ms)
{
	return born_ms <= seen_ms + CLOCK_STEP_MAX_MS;
}

/*
 * lw_leaving_observe() - apply an observation made at @seen_ms, Unix time of the server's
 * host in ms. Observations may arrive in any order, and the newest counts. One without a
 * time can announce that the server is leaving, but not end that.
 */
lw_leaving_change_t lw_leaving_observe(lw_leaving_t *l, bool leaving, uint64_t seen_ms)
{
	bool was_on = l->on;

	if (!seen_ms) {
		l->on |= leaving;
	} else if (seen_ms > l->seen_ms) {
		l->on = leaving;
		l->seen_ms = seen_ms;
	}
	if (l->on == was_on)
		return LW_LEAVING_SAME;
	return l->on ? LW_LEAVING_BEGAN : LW_LEAVING_ENDED;
}

/*
 * lw_leaving_inherit() - apply what is known of another process with the same server id,
 * @from, to the process that started at @born_ms.
 */
void lw_leaving_inherit(lw_leaving_t *l, const lw_leaving_t *from, uint64_t born_ms)
{
	if (from->seen_ms > l->seen_ms &&
	    (!from->on || lw_leaving_may_concern(from->seen_ms, born_ms)))
		*l = *from;
}

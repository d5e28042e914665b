/* Whether a request leaves its availability zone; see zoneplan.h. */
#include "zoneplan.h"

/* requests of a service count as staying if none has left the zone for this time, us */
#define LEFT_RECENTLY_US 1000000
/* shortest time between two reported changes of one service, us */
#define REPORT_INTERVAL_US 10000000

static bool own_too_slow(const lw_zoneplan_input_t *in)
{
	double left_us = in->target_left_ms * 1000.0;

	if (!in->target_left_ms || in->own.best_us <= 0 || in->other.best_us <= 0)
		return false;
	return in->own.best_us > left_us / LW_ZONE_SLOW_PART &&
	       in->own.best_us - in->other.best_us > left_us / LW_ZONE_GAIN_PART;
}

/*
 * The final mix of MurmurHash3, a permutation of the 32-bit numbers. The draw that varies costs
 * and the one that selects exploration use the low bits and the linear sequence of the same
 * random number; after the mix no bit follows from these.
 */
static uint32_t mix(uint32_t x)
{
	x ^= x >> 16;
	x *= 0x85ebca6bu;
	x ^= x >> 13;
	x *= 0xc2b2ae35u;
	return x ^ x >> 16;
}

/* whether the request is in the part that leaves a zone of this use */
static bool drawn_to_leave(const lw_zoneplan_input_t *in)
{
	double use = in->own.slots ? in->own.busy / (double)in->own.slots : 0;

	return use > LW_ZONE_USE_STAY &&
	       mix(in->random) / 4294967296.0 < (use - LW_ZONE_USE_STAY) / use;
}

/*
 * lw_zoneplan() - whether the request leaves its zone, and why. If no zone has a free slot, no
 * zone is better by this rule, and the costs of all hosts decide as without zones.
 */
lw_zoneplan_t lw_zoneplan(const lw_zoneplan_input_t *in)
{
	if (in->own.usable < LW_ZONE_HOSTS_MIN)
		return LW_ZONE_ANY;
	if (!in->other.good)
		return in->own.good ? LW_ZONE_STAY : LW_ZONE_ANY;
	if (!in->own.good)
		return LW_ZONE_LEAVE_UNUSABLE;
	if (!in->own.room)
		return in->other.room ? LW_ZONE_LEAVE_FULL : LW_ZONE_ANY;
	if (!in->other.room)
		return LW_ZONE_STAY;
	if (own_too_slow(in))
		return LW_ZONE_LEAVE_SLOW;
	return drawn_to_leave(in) ? LW_ZONE_LEAVE_SHARE : LW_ZONE_STAY;
}

/* lw_zoneplan_leaves() - whether the request goes to a host of another zone. */
bool lw_zoneplan_leaves(lw_zoneplan_t plan)
{
	return plan > LW_ZONE_STAY;
}

/* lw_zoneplan_name() - name for the metrics page. */
const char *lw_zoneplan_name(lw_zoneplan_t plan)
{
	static const char *const names[] = {
		[LW_ZONE_ANY] = "by_cost",
		[LW_ZONE_STAY] = "stayed",
		[LW_ZONE_LEAVE_SHARE] = "left_share",
		[LW_ZONE_LEAVE_UNUSABLE] = "left_unusable",
		[LW_ZONE_LEAVE_FULL] = "left_full",
		[LW_ZONE_LEAVE_SLOW] = "left_slow",
	};

	return names[plan];
}

/* lw_zonestate_count() - a request was placed by @plan. */
void lw_zonestate_count(lw_zonestate_t *st, lw_zoneplan_t plan, uint64_t now_us)
{
	st->count[plan]++;
	if (lw_zoneplan_leaves(plan)) {
		st->leaving = true;
		st->left_us = now_us;
	} else if (now_us - st->left_us >= LEFT_RECENTLY_US) {
		st->leaving = false;
	}
}

/*
 * lw_zonestate_changed() - whether the requests of the service began to leave the zone or ceased
 * to, and this has not been reported; at most once in 10 s.
 */
bool lw_zonestate_changed(lw_zonestate_t *st, uint64_t now_us)
{
	if (st->leaving == st->reported_leaving)
		return false;
	if (st->reported_us && now_us - st->reported_us < REPORT_INTERVAL_US)
		return false;
	st->reported_leaving = st->leaving;
	st->reported_us = now_us;
	return true;
}

/*
 * Zone plan: whether a request leaves the availability zone of its node. Load pattern: each zone
 * has capacity for its own requests most of the time, so traffic between zones is paid for without
 * need; and the demand of the zones rises and falls at different times. The nodes of a zone follow
 * the same rule without coordination: the part of the requests that leaves grows with the use of
 * the zone, so that no load moves between zones at once. No I/O and no clock.
 */
#ifndef LW_ZONEPLAN_H
#define LW_ZONEPLAN_H

#include <stdbool.h>
#include <stdint.h>

/* With fewer usable hosts in the own zone there is no choice left to avoid a slow one. */
#define LW_ZONE_HOSTS_MIN 3
/* Above this use of the slots of the own zone some requests leave it. */
#define LW_ZONE_USE_STAY 0.7
/*
 * A request leaves if its zone would take more than this part (1/n) of what is left of its
 * objective, and leaving saves more than the second part. A difference in speed alone is no reason:
 * an answer that is in time anyway gains nothing.
 */
#define LW_ZONE_SLOW_PART 2
#define LW_ZONE_GAIN_PART 4

/* The hosts of a service in the own zone, or those in all other zones. */
typedef struct lw_zonehosts {
	uint32_t usable; /* hosts that may get work */
	uint32_t good; /* those of them that are reachable and whose requests do not fail */
	uint32_t slots; /* of the good hosts */
	uint32_t busy; /* requests that execute or wait at the good hosts */
	bool room; /* a good host has a free slot */
	double best_us; /* expected duration at the host that would be chosen; 0: unknown */
} lw_zonehosts_t;

typedef struct lw_zoneplan_input {
	lw_zonehosts_t own;
	lw_zonehosts_t other;
	uint32_t target_left_ms; /* left of the latency objective; 0: unknown or missed */
	uint32_t random;
} lw_zoneplan_input_t;

typedef enum lw_zoneplan {
	LW_ZONE_ANY, /* not in effect: all zones are compared by cost */
	LW_ZONE_STAY,
	LW_ZONE_LEAVE_SHARE, /* drawn, as the use of the zone is high */
	LW_ZONE_LEAVE_UNUSABLE, /* the zone has no good host */
	LW_ZONE_LEAVE_FULL, /* no host of the zone has a free slot */
	LW_ZONE_LEAVE_SLOW, /* the hosts of the zone are slower than the objective allows */
	LW_ZONE_PLAN_COUNT
} lw_zoneplan_t;

/* Plans of one service so far. */
typedef struct lw_zonestate {
	uint64_t count[LW_ZONE_PLAN_COUNT];
	uint64_t left_us; /* when a request last left the zone; 0: never */
	bool leaving; /* a request left the zone recently */
	bool reported_leaving; /* the state that was reported last */
	uint64_t reported_us; /* when that was; 0: never */
} lw_zonestate_t;

lw_zoneplan_t lw_zoneplan(const lw_zoneplan_input_t *in);
bool lw_zoneplan_leaves(lw_zoneplan_t plan);
const char *lw_zoneplan_name(lw_zoneplan_t plan);
void lw_zonestate_count(lw_zonestate_t *st, lw_zoneplan_t plan, uint64_t now_us);
bool lw_zonestate_changed(lw_zonestate_t *st, uint64_t now_us);

#endif

/* State of the limits at one node, shared by quota.c and quotacounts.c. */
#ifndef LW_QUOTA_INT_H
#define LW_QUOTA_INT_H

#include <uthash.h>

#include "quota.h"
#include "quotawindow.h"

/* requests counted for one coordinator but not reported yet */
typedef struct lw_pending {
	uint32_t asked;
	int32_t admitted;
	uint32_t shed;
} lw_pending_t;

/* demand at all nodes as a coordinator reported it */
typedef struct lw_told_demand {
	double per_s;
	uint64_t at_us; /* 0: never */
} lw_told_demand_t;

/* usage of one organisation at this node */
typedef struct lw_orgusage {
	uint64_t org;
	const char *name;
	double rate_per_s;
	double burst;
	lw_pending_t pending[LW_QUOTA_COORDINATORS];
	lw_pending_t sent[LW_QUOTA_COORDINATORS]; /* in the report that awaits its answer */
	uint64_t grant_number; /* number of the last answer that named the organisation */
	uint32_t permille; /* fraction to admit according to that answer */
	double admit_credit; /* accumulated fraction of the next admitted request, 0 to 1 */
	double phase; /* fraction of a request, drawn once: rounds this node's share */
	double demand; /* recent demand at this node, per second */
	uint64_t demand_us;
	double fleet_demand; /* at all nodes, per the last answer that included it; 0: none did */
	lw_told_demand_t told[LW_QUOTA_COORDINATORS];
	double share; /* this node's share of the limit, as of the last answer of a coordinator */
	double tokens; /* of this node's own token bucket, used while it is standalone */
	uint64_t tokens_us;
	lw_quotawindow_t window; /* requests admitted here */
	uint64_t asked;
	uint64_t refused;
	UT_hash_handle hh;
} lw_orgusage_t;

typedef struct lw_reporting {
	uint64_t sent_us; /* time of the report that awaits its answer; 0: none does */
	uint64_t last_us; /* time of the last report */
	bool surge; /* SURGE_REQUESTS were reached since the last report */
} lw_reporting_t;

struct lw_quota {
	lw_quota_tolerance_t tolerance;
	lw_orgusage_t *uses;
	lw_reporting_t to[LW_QUOTA_COORDINATORS];
	uint64_t granted_us; /* time of the last answer of a coordinator; 0: never */
	uint64_t grant_round; /* number of the newest answer */
	size_t nlimited; /* organisations that it named as limited */
	uint32_t nodes; /* number of nodes in the fleet */
	uint64_t seed; /* seed of the phases */
};

uint32_t lw_orgusage_permille(const lw_quota_t *q, const lw_orgusage_t *u);

#endif

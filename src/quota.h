/*
 * Limits of organisations at one node: how many requests of each organisation this node
 * admits. Load pattern: an organisation sends more than its limit, spread over all nodes
 * or to a single one, and no node sees all of its requests.
 *
 * Nodes report the requests that they received and admitted to two coordinators
 * (quotacoord.h), and each answer contains which fraction of an organisation's requests to
 * admit from now on. A node without a coordinator is standalone and applies its own share
 * of the limit: the share of the demand that it had when it last received an answer. No
 * I/O; the caller passes the time.
 */
#ifndef LW_QUOTA_H
#define LW_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "organisation.h"

/* Number of nodes that add up the usage reports; each of them receives all reports. */
#define LW_QUOTA_COORDINATORS 2
/* Time constant of the averages of demand from which nodes compute their shares, s. */
#define LW_QUOTA_DEMAND_MEMORY_S 3.0
/* A node that has had no answer from a coordinator for this long is standalone, us. */
#define LW_QUOTA_STANDALONE_US 800000
/* Interval of reports when many requests arrive, while a limit applies, and otherwise, us. */
#define LW_QUOTA_REPORT_SURGE_US   40000
#define LW_QUOTA_REPORT_LIMITED_US 90000
#define LW_QUOTA_REPORT_IDLE_US	   290000

/* How far the fleet may exceed a limit, as set by operators, in any span of @window_s. */
typedef struct lw_quota_tolerance {
	double window_s;
	double overage; /* fraction by which a limit may be exceeded */
	double slack; /* requests allowed in addition */
} lw_quota_tolerance_t;

/* A coordinator's report about the demand of an organisation counts for this long, us. */
#define LW_QUOTA_DEMAND_STALE_US 3000000

/* Requests of an organisation that a node received and admitted since its last report. */
typedef struct lw_quota_usage {
	uint64_t org; /* id of the organisation */
	uint32_t asked;
	int32_t admitted; /* less the refunded ones; may be negative */
	uint32_t shed; /* refused before the limit was checked; not part of @asked */
} lw_quota_usage_t;

/* What the answer of a coordinator contains about one organisation. */
typedef struct lw_quota_grant {
	uint64_t org;
	uint32_t admit_permille; /* fraction of its requests to admit; 1000: all */
	double demand_per_s; /* at all nodes; 0: not included */
} lw_quota_grant_t;

/* Outcome of the quota check of one request, with the values that it was based on. */
typedef struct lw_quota_decision {
	bool admitted;
	bool standalone; /* decided by this node's own share, without a coordinator */
	uint32_t admit_permille;
	uint32_t grant_age_ms; /* age of the coordinators' last answer */
	uint32_t room_ms; /* if not admitted: delay after which a retry may succeed */
} lw_quota_decision_t;

/* Counters of one organisation since the start of the node. */
typedef struct lw_quota_count {
	const char *name;
	double rate_per_s;
	uint64_t asked;
	uint64_t refused;
	uint32_t admit_permille;
} lw_quota_count_t;

typedef struct lw_quota lw_quota_t;

double lw_quota_share(double here_per_s, double all_per_s, uint32_t nodes);
lw_quota_t *lw_quota_new(const lw_quota_tolerance_t *tolerance, uint64_t seed);
void lw_quota_free(lw_quota_t *q);
void lw_quota_set_tolerance(lw_quota_t *q, const lw_quota_tolerance_t *tolerance);
void lw_quota_set_nodes(lw_quota_t *q, uint32_t nodes);
void lw_quota_admit(lw_quota_t *q, const lw_organisation_t *org, uint64_t now_us,
		    lw_quota_decision_t *out);
void lw_quota_count_shed(lw_quota_t *q, const lw_organisation_t *org, uint64_t now_us);
double lw_quota_fleet_demand(const lw_quota_t *q, uint64_t org, uint64_t now_us);
uint32_t lw_quota_nodes(const lw_quota_t *q);
void lw_quota_refund(lw_quota_t *q, uint64_t org, uint64_t now_us);
bool lw_quota_report_due(const lw_quota_t *q, uint32_t coordinator, uint64_t now_us);
size_t lw_quota_report(lw_quota_t *q, uint32_t coordinator, uint64_t now_us, lw_quota_usage_t *out,
		       size_t most);
void lw_quota_apply_grants(lw_quota_t *q, uint32_t coordinator, const lw_quota_grant_t *grants,
			   size_t n, uint64_t now_us);
void lw_quota_coordinator_lost(lw_quota_t *q, uint32_t coordinator);
bool lw_quota_is_standalone(const lw_quota_t *q, uint64_t now_us);
size_t lw_quota_counts(const lw_quota_t *q, lw_quota_count_t *out, size_t most,
		       lw_quota_count_t *others);

#endif

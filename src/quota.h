/*
 * How many requests of each organisation this node lets in. Load pattern: an
 * organisation asks for more than its limit, spread over all nodes or at one, and
 * no node sees all of it.
 *
 * Nodes report what they were asked for and let in to two keepers (quotakeeper.h),
 * and hear which part of an organisation's requests to let in from now on. A node
 * that hears of no keeper keeps to its own part of the limit: the part of the
 * demand that was its own when it last heard. No I/O; the time is given.
 */
#ifndef LW_QUOTA_H
#define LW_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "organisation.h"

/* Nodes that add up what all nodes report; each of them knows all. */
#define LW_QUOTA_COORDINATORS 2
/* Memory of the demand by which nodes know their parts of it, in seconds. */
#define LW_QUOTA_DEMAND_MEMORY_S 3.0
/* Nothing heard of a keeper for so long: the node is on its own, us. */
#define LW_QUOTA_STANDALONE_US 800000
/* Reports are sent so often when many requests come, while a limit binds, and otherwise, us. */
#define LW_QUOTA_REPORT_SURGE_US   40000
#define LW_QUOTA_REPORT_LIMITED_US 90000
#define LW_QUOTA_REPORT_IDLE_US	   290000

/* What operators hold the fleet to, in any span of @window_s. */
typedef struct lw_quota_tolerance {
	double window_s;
	double overage; /* part by which a limit may be exceeded */
	double slack; /* requests on top */
} lw_quota_tolerance_t;

/* What a node was asked for by an organisation, and let in, since its last report. */
typedef struct lw_quota_usage {
	uint64_t org; /* its id */
	uint32_t asked;
	int32_t admitted; /* less those that came to nothing; may be negative */
} lw_quota_usage_t;

/* What a keeper tells of an organisation. */
typedef struct lw_quota_grant {
	uint64_t org;
	uint32_t admit_permille; /* of its requests; 1000: all */
	double demand_per_s; /* at all nodes; 0: not told */
} lw_quota_grant_t;

/* What has become of one request, with what it was decided by. */
typedef struct lw_quota_decision {
	bool admitted;
	bool standalone; /* by this node's own part, as no keeper was heard of */
	uint32_t admit_permille;
	uint32_t grant_age_ms; /* age of what the keepers told */
	uint32_t room_ms; /* not admitted: room may be expected after this */
} lw_quota_decision_t;

/* Counts of one organisation since the start. */
typedef struct lw_quota_count {
	char name[LW_NAME_MAX];
	double rate_per_s;
	uint64_t asked;
	uint64_t refused;
	uint32_t admit_permille;
} lw_quota_count_t;

typedef struct lw_quota lw_quota_t;

double lw_quota_share(double here_per_s, double all_per_s, uint32_t nodes);
lw_quota_t *lw_quota_new(const lw_quota_tolerance_t *terms, uint64_t seed);
void lw_quota_free(lw_quota_t *q);
void lw_quota_set_tolerance(lw_quota_t *q, const lw_quota_tolerance_t *terms);
void lw_quota_set_nodes(lw_quota_t *q, uint32_t nodes);
void lw_quota_admit(lw_quota_t *q, const lw_organisation_t *org, uint64_t now_us,
		    lw_quota_decision_t *out);
void lw_quota_refund(lw_quota_t *q, uint64_t org, uint64_t now_us);
bool lw_quota_report_due(const lw_quota_t *q, uint32_t keeper, uint64_t now_us);
size_t lw_quota_report(lw_quota_t *q, uint32_t keeper, uint64_t now_us, lw_quota_usage_t *out,
		       size_t most);
void lw_quota_apply_grants(lw_quota_t *q, uint32_t keeper, const lw_quota_grant_t *terms, size_t n,
			   uint64_t now_us);
void lw_quota_coordinator_lost(lw_quota_t *q, uint32_t keeper);
bool lw_quota_is_standalone(const lw_quota_t *q, uint64_t now_us);
size_t lw_quota_counts(const lw_quota_t *q, lw_quota_count_t *out, size_t most,
		       lw_quota_count_t *others);

#endif

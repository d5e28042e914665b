/* Quota coordinator; see quotacoord.h. */
#include "quotacoord.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "quotabucket.h"
#include "xalloc.h"

/* a node that has not reported for this long may be standalone, us */
#define SILENT_US 600000
/*
 * after this time without a report, the shares of a node are no longer reserved; as long as
 * it is in the fleet, it counts as unknown, us
 */
#define FORGET_US 10000000
/* interval at which the reserved shares are added up, us */
#define RESERVE_STEP_US 100000
/* interval at which the fractions to admit are computed, us */
#define COMPUTE_US 30000
/* interval at which the hot organisations are found, us */
#define HOT_STEP_US 250000
/* number of organisations whose demand is included in turn, whichever node gets the answer */
#define ROUND_ROBIN_ORGS 6
/*
 * Organisations whose demand is this many times the average, compared with their limits, are
 * told to all nodes, one in each answer: fair shares (fairshare.h) depend on the demand of
 * those above all, also at nodes that receive none of it.
 */
#define HOT_FACTOR 2.0
/* most organisations that are told for this reason */
#define HOT_ORGS 4

/* demand for one organisation at one node */
typedef struct lw_nodeusage {
	uint64_t org;
	double demand; /* recent demand, per second */
	uint64_t at_us;
	double share; /* share of the limit that is reserved while the node is silent */
	UT_hash_handle hh;
} lw_nodeusage_t;

typedef struct lw_reporter {
	uint64_t node; /* digest of its address */
	uint64_t reported_us;
	bool silent; /* its shares are reserved */
	lw_nodeusage_t *uses;
	UT_hash_handle hh;
} lw_reporter_t;

struct lw_quotacoord {
	lw_quota_tolerance_t tolerance;
	lw_bucket_t *buckets;
	lw_reporter_t *reporters;
	uint32_t nodes; /* number of nodes in the fleet */
	uint32_t nunknown; /* nodes that never reported, or not within FORGET_US */
	uint64_t reserved_us; /* when the reserved shares were last added up */
	uint64_t step; /* number of that update */
	lw_bucket_t **limited; /* buckets of limited organisations, as last computed */
	size_t nlimited;
	lw_bucket_t *hot[HOT_ORGS]; /* those with the most demand for their limits, highest first */
	size_t nhot;
	uint64_t hot_us; /* when they were last found */
	size_t next_hot; /* its demand is included in the next answer */
	uint64_t computed_us;
	lw_bucket_t *next_round_robin; /* its demand is included in the next answer */
};

/* lw_quotacoord_new() - a coordinator without any reports. */
lw_quotacoord_t *lw_quotacoord_new(const lw_quota_tolerance_t *tolerance, uint64_t now_us)
{
	lw_quotacoord_t *c = xcalloc(1, sizeof(*c));

	c->tolerance = *tolerance;
	c->reserved_us = now_us;
	return c;
}

static void free_reporter(lw_quotacoord_t *c, lw_reporter_t *r)
{
	lw_nodeusage_t *u, *next;

	HASH_ITER(hh, r->uses, u, next)
	{
		HASH_DEL(r->uses, u);
		free(u);
	}
	HASH_DEL(c->reporters, r);
	free(r);
}

/* lw_quotacoord_free() - release the coordinator; NULL is fine. */
void lw_quotacoord_free(lw_quotacoord_t *c)
{
	lw_bucket_t *b, *nextb;
	lw_reporter_t *r, *nextr;

	if (!c)
		return;
	HASH_ITER(hh, c->reporters, r, nextr)
	free_reporter(c, r);
	HASH_ITER(hh, c->buckets, b, nextb)
	{
		HASH_DEL(c->buckets, b);
		free(b);
	}
	free(c->limited);
	free(c);
}

/* lw_quotacoord_set_tolerance() - apply changed settings. */
void lw_quotacoord_set_tolerance(lw_quotacoord_t *c, const lw_quota_tolerance_t *tolerance)
{
	c->tolerance = *tolerance;
}

/* lw_quotacoord_set_nodes() - set the number of nodes in the fleet. */
void lw_quotacoord_set_nodes(lw_quotacoord_t *c, uint32_t nodes)
{
	c->nodes = nodes;
}

static lw_bucket_t *bucket_find(const lw_quotacoord_t *c, uint64_t org)
{
	lw_bucket_t *b;

	HASH_FIND(hh, c->buckets, &org, sizeof(org), b);
	return b;
}

/*
 * the share of a limit that is available to reporting nodes: without an equal part for each
 * unknown node and what is reserved for silent ones
 */
static double available_share(const lw_quotacoord_t *c, const lw_bucket_t *b)
{
	double known_fraction = c->nodes ? 1.0 - (double)c->nunknown / c->nodes : 1.0;

	return known_fraction > b->reserved ? known_fraction - b->reserved : 0;
}

static lw_bucket_t *bucket_new(lw_quotacoord_t *c, uint64_t org, uint64_t now_us)
{
	lw_bucket_t *b = xcalloc(1, sizeof(*b));

	b->org = org;
	b->tokens_us = now_us;
	b->demand_us = now_us;
	b->available = available_share(c, b);
	HASH_ADD(hh, c->buckets, org, sizeof(b->org), b);
	return b;
}

/*
 * lw_quotacoord_set_limits() - apply the limits of a new configuration. A new bucket is
 * empty, as it is unknown what was admitted before this node became a coordinator.
 */
void lw_quotacoord_set_limits(lw_quotacoord_t *c, const lw_orgs_t *orgs, uint64_t now_us)
{
	lw_bucket_t *b, *next;

	for (b = c->buckets; b; b = b->hh.next)
		b->configured = false;
	for (size_t i = 0; i < lw_orgs_count(orgs); i++) {
		const lw_organisation_t *org = lw_orgs_at(orgs, i);

		if (org->rate_per_s <= 0)
			continue;
		b = bucket_find(c, org->id);
		if (!b)
			b = bucket_new(c, org->id, now_us);
		lw_bucket_advance(b, &c->tolerance, now_us);
		b->configured = true;
		b->rate_per_s = org->rate_per_s;
		b->burst = org->burst;
	}
	HASH_ITER(hh, c->buckets, b, next)
	{
		if (b->configured)
			continue;
		HASH_DEL(c->buckets, b);
		free(b);
	}
	free(c->limited);
	c->limited = xcalloc(HASH_COUNT(c->buckets) + 1, sizeof(void *));
	c->nlimited = 0;
	c->nhot = 0;
	c->hot_us = 0;
	c->computed_us = 0;
	c->next_round_robin = c->buckets;
}

static lw_reporter_t *reporter_of(lw_quotacoord_t *c, uint64_t node)
{
	lw_reporter_t *r;

	HASH_FIND(hh, c->reporters, &node, sizeof(node), r);
	if (r)
		return r;
	r = xcalloc(1, sizeof(*r));
	r->node = node;
	HASH_ADD(hh, c->reporters, node, sizeof(r->node), r);
	return r;
}

/*
 * Number of requests that a report takes from the bucket. While the node was silent its
 * share was reserved; charging it again would reduce the limit for all nodes after a
 * partition. A first report takes nothing, as the time that it covers is unknown.
 */
static double charge_of(int32_t admitted, double covered_s)
{
	if (covered_s <= 0)
		return 0;
	return covered_s > SILENT_US / 1e6 ? admitted * (SILENT_US / 1e6) / covered_s : admitted;
}

static void count_node_usage(lw_reporter_t *r, const lw_quota_usage_t *use, double covered_s,
			     uint64_t now_us)
{
	lw_nodeusage_t *u;
	double dt;

	HASH_FIND(hh, r->uses, &use->org, sizeof(use->org), u);
	if (!u) {
		u = xcalloc(1, sizeof(*u));
		u->org = use->org;
		HASH_ADD(hh, r->uses, org, sizeof(u->org), u);
	}
	dt = (double)(now_us - u->at_us) / 1e6;
	u->demand =
		u->demand * exp(-dt / LW_QUOTA_DEMAND_MEMORY_S) +
		lw_bucket_demand_rate(use->asked + use->shed, LW_QUOTA_DEMAND_MEMORY_S, covered_s);
	u->at_us = now_us;
}

/*
 * Fixes the shares of the limits that a standalone node applies: its shares of the demand
 * at its last report. The node does not know the demand since then.
 */
static void fix_shares(lw_quotacoord_t *c, lw_reporter_t *r)
{
	for (lw_nodeusage_t *u = r->uses; u; u = u->hh.next) {
		const lw_bucket_t *b = bucket_find(c, u->org);
		double age_s = (double)(r->reported_us - u->at_us) / 1e6;
		double demand = u->demand * exp(-age_s / LW_QUOTA_DEMAND_MEMORY_S);

		if (b)
			u->share = lw_quota_share(
				demand, b->share_history[c->step % LW_BUCKET_HISTORY], c->nodes);
	}
	r->silent = true;
}

static void reserve_for_node(lw_quotacoord_t *c, lw_reporter_t *r)
{
	if (!r->silent)
		fix_shares(c, r);
	for (const lw_nodeusage_t *u = r->uses; u; u = u->hh.next) {
		lw_bucket_t *b = bucket_find(c, u->org);

		if (b)
			b->reserved += u->share;
	}
}

/* add up the shares that are reserved for silent nodes */
static void reserve(lw_quotacoord_t *c, uint64_t now_us)
{
	lw_reporter_t *r, *next;
	uint32_t known = 0;

	if (now_us - c->reserved_us < RESERVE_STEP_US)
		return;
	c->reserved_us = now_us;
	for (lw_bucket_t *b = c->buckets; b; b = b->hh.next) {
		lw_bucket_advance(b, &c->tolerance, now_us);
		b->reserved = 0;
	}
	c->step++;
	HASH_ITER(hh, c->reporters, r, next)
	{
		uint64_t silent_us = now_us - r->reported_us;

		if (silent_us > FORGET_US) {
			free_reporter(c, r);
			continue;
		}
		known++;
		if (silent_us > SILENT_US)
			reserve_for_node(c, r);
	}
	c->nunknown = c->nodes > known ? c->nodes - known : 0;
	for (lw_bucket_t *b = c->buckets; b; b = b->hh.next) {
		b->available = available_share(c, b);
		b->share_history[c->step % LW_BUCKET_HISTORY] = b->shared;
	}
}

/* lw_quotacoord_add_report() - account for a report of the node with the digest @node. */
void lw_quotacoord_add_report(lw_quotacoord_t *c, uint64_t node, const lw_quota_usage_t *uses,
			      size_t n, uint64_t now_us)
{
	lw_reporter_t *r = reporter_of(c, node);
	double covered_s = r->reported_us ? (double)(now_us - r->reported_us) / 1e6 : 0;

	r->reported_us = now_us;
	r->silent = false;
	reserve(c, now_us);
	for (size_t i = 0; i < n; i++) {
		lw_bucket_t *b = bucket_find(c, uses[i].org);

		if (!b)
			continue;
		lw_bucket_advance(b, &c->tolerance, now_us);
		b->tokens -= charge_of(uses[i].admitted, covered_s);
		lw_bucket_add_demand(b, uses[i].asked, uses[i].shed, covered_s);
		count_node_usage(r, &uses[i], covered_s, now_us);
	}
}

/* demand of an organisation compared with its limit; limited ones are in every answer anyway */
static double heat_of(const lw_bucket_t *b)
{
	return b->permille < 1000 || b->rate_per_s <= 0 ? 0 : b->shared / b->rate_per_s;
}

/* inserts @b into the list of hot organisations if it belongs there */
static void add_hot(lw_quotacoord_t *c, lw_bucket_t *b)
{
	size_t at = c->nhot;

	if (at == HOT_ORGS) {
		if (heat_of(c->hot[HOT_ORGS - 1]) >= heat_of(b))
			return;
		at--;
	} else {
		c->nhot++;
	}
	for (; at && heat_of(c->hot[at - 1]) < heat_of(b); at--)
		c->hot[at] = c->hot[at - 1];
	c->hot[at] = b;
}

static void compute_hot(lw_quotacoord_t *c, uint64_t now_us)
{
	double demand = 0, rate = 0;

	if (now_us - c->hot_us < HOT_STEP_US)
		return;
	c->hot_us = now_us;
	for (const lw_bucket_t *b = c->buckets; b; b = b->hh.next) {
		demand += b->shared;
		rate += b->rate_per_s;
	}
	c->nhot = 0;
	for (lw_bucket_t *b = c->buckets; b && rate > 0; b = b->hh.next)
		if (heat_of(b) > HOT_FACTOR * demand / rate)
			add_hot(c, b);
}

/* finds the organisations that are limited now; usually very few of thousands */
static void compute_limited(lw_quotacoord_t *c, uint64_t now_us)
{
	if (now_us - c->computed_us < COMPUTE_US)
		return;
	c->computed_us = now_us;
	c->nlimited = 0;
	for (lw_bucket_t *b = c->buckets; b; b = b->hh.next) {
		lw_bucket_advance(b, &c->tolerance, now_us);
		b->permille = lw_bucket_permille(b, &c->tolerance);
		if (b->permille < 1000)
			c->limited[c->nlimited++] = b;
	}
	compute_hot(c, now_us);
}

static void add_grant(lw_bucket_t *b, lw_quota_grant_t *out, size_t *n, size_t most)
{
	if (*n < most)
		out[(*n)++] = (lw_quota_grant_t){ b->org, b->permille, b->shared };
}

/* include the demand of the next few organisations */
static void add_round_robin_grants(lw_quotacoord_t *c, lw_quota_grant_t *out, size_t *n,
				   size_t most)
{
	for (int i = 0; i < ROUND_ROBIN_ORGS && c->next_round_robin; i++) {
		add_grant(c->next_round_robin, out, n, most);
		c->next_round_robin = c->next_round_robin->hh.next;
	}
	if (!c->next_round_robin)
		c->next_round_robin = c->buckets;
}

/*
 * lw_quotacoord_grants() - fill @out with the answer to a node that reported @uses: every
 * organisation that is limited now, and the demand of these, of the organisations that the
 * node reported and of one with far more demand than others. The demand of some other
 * organisations is included in turn, as a node that rarely gets requests of an organisation
 * would otherwise compute its share from outdated demand. An organisation may be included
 * twice, with the same fraction.
 */
size_t lw_quotacoord_grants(lw_quotacoord_t *c, const lw_quota_usage_t *uses, size_t n,
			    lw_quota_grant_t *out, size_t most, uint64_t now_us)
{
	size_t ngrants = 0;

	if (!c->buckets)
		return 0;
	compute_limited(c, now_us);
	for (size_t i = 0; i < c->nlimited; i++)
		add_grant(c->limited[i], out, &ngrants, most);
	for (size_t i = 0; i < n; i++) {
		lw_bucket_t *b = bucket_find(c, uses[i].org);

		if (b)
			add_grant(b, out, &ngrants, most);
	}
	if (c->nhot)
		add_grant(c->hot[c->next_hot++ % c->nhot], out, &ngrants, most);
	add_round_robin_grants(c, out, &ngrants, most);
	return ngrants;
}

/* Limits of organisations at one node; see quota.h. */
#include "quota_int.h"

#include <math.h>
#include <stdlib.h>
#include <xxhash.h>

#include "name.h"
#include "xalloc.h"

/* a report without an answer counts as lost after this time, us */
#define ANSWER_TIMEOUT_US 700000
/* the answer to a report is late after this time, us */
#define ANSWER_LATE_US 200000
/*
 * from this many requests of one organisation since the last report on, reports are due
 * every LW_QUOTA_REPORT_SURGE_US
 */
#define SURGE_REQUESTS 3
/* fraction of the slack that standalone nodes share in addition to the limit */
#define STANDALONE_SLACK_SHARE 0.5
/*
 * Requests that each node is assumed to have received in addition to the actual ones: at
 * low rates, past requests say little about which node gets the next one.
 */
#define PRIOR_REQUESTS 0.33
/* a node whose share of the burst is at least this uses a token bucket, requests */
#define BUCKET_MIN 2.0
/* lower and upper bound of the retry-after delay of a refused request, ms */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 1000

/* lw_quota_new() - an empty table; @seed must differ between nodes. */
lw_quota_t *lw_quota_new(const lw_quota_tolerance_t *tolerance, uint64_t seed)
{
	lw_quota_t *q = xcalloc(1, sizeof(*q));

	q->tolerance = *tolerance;
	q->nodes = 1;
	q->seed = seed;
	return q;
}

/* lw_quota_free() - release the table. */
void lw_quota_free(lw_quota_t *q)
{
	lw_orgusage_t *u, *next;

	HASH_ITER(hh, q->uses, u, next)
	{
		HASH_DEL(q->uses, u);
		free(u);
	}
	free(q);
}

/* lw_quota_set_tolerance() - apply changed settings. */
void lw_quota_set_tolerance(lw_quota_t *q, const lw_quota_tolerance_t *tolerance)
{
	q->tolerance = *tolerance;
}

/* lw_quota_set_nodes() - set the number of nodes in the fleet. */
void lw_quota_set_nodes(lw_quota_t *q, uint32_t nodes)
{
	q->nodes = nodes ? nodes : 1;
}

static lw_orgusage_t *usage_of(lw_quota_t *q, uint64_t org)
{
	lw_orgusage_t *u;

	HASH_FIND(hh, q->uses, &org, sizeof(org), u);
	if (u)
		return u;
	u = xcalloc(1, sizeof(*u));
	u->org = org;
	u->name = lw_name_none;
	u->phase = (double)(XXH3_64bits_withSeed(&org, sizeof(org), q->seed) >> 11) /
		   (double)(1ull << 53);
	u->admit_credit = u->phase;
	HASH_ADD(hh, q->uses, org, sizeof(u->org), u);
	return u;
}

static void count_demand(lw_orgusage_t *u, uint64_t now_us)
{
	double dt = (double)(now_us - u->demand_us) / 1e6;

	u->demand = u->demand * exp(-dt / LW_QUOTA_DEMAND_MEMORY_S) + 1 / LW_QUOTA_DEMAND_MEMORY_S;
	u->demand_us = now_us;
}

static double demand_now(const lw_orgusage_t *u, uint64_t now_us)
{
	return u->demand * exp(-(double)(now_us - u->demand_us) / 1e6 / LW_QUOTA_DEMAND_MEMORY_S);
}

/*
 * Whether the answers of all coordinators are late. This limits a surge that starts together
 * with a partition before LW_QUOTA_STANDALONE_US have passed.
 */
static bool reports_unanswered(const lw_quota_t *q, uint64_t now_us)
{
	for (uint32_t k = 0; k < LW_QUOTA_COORDINATORS; k++)
		if (!q->to[k].sent_us || now_us - q->to[k].sent_us < ANSWER_LATE_US)
			return false;
	return true;
}

/* lw_quota_is_standalone() - whether this node must decide without a coordinator. */
bool lw_quota_is_standalone(const lw_quota_t *q, uint64_t now_us)
{
	return !q->granted_us || now_us - q->granted_us > LW_QUOTA_STANDALONE_US ||
	       reports_unanswered(q, now_us);
}

/*
 * lw_quota_share() - this node's share of a limit, from the demand at this node and at all
 * nodes. The shares of all nodes add up to one.
 */
double lw_quota_share(double here_per_s, double all_per_s, uint32_t nodes)
{
	double here = here_per_s * LW_QUOTA_DEMAND_MEMORY_S + PRIOR_REQUESTS;
	double all = all_per_s * LW_QUOTA_DEMAND_MEMORY_S + PRIOR_REQUESTS * nodes;

	return here < all ? here / all : 1;
}

/*
 * Shares of a few requests are rounded by a number drawn once per node, so that the shares
 * of all nodes add up to the allowance.
 */
static bool fits_window(lw_quota_t *q, lw_orgusage_t *u, double share, uint64_t now_us)
{
	double all = u->rate_per_s * q->tolerance.window_s + u->burst +
		     STANDALONE_SLACK_SHARE * q->tolerance.slack;

	return lw_quotawindow_sum(&u->window, q->tolerance.window_s, now_us) <
	       floor(all * share + u->phase);
}

/*
 * Token bucket for larger shares. A count over a window would admit the whole share at
 * once, and again right after the window, in addition to what the connected nodes admit in
 * the meantime.
 */
static bool fits_bucket(lw_orgusage_t *u, double share, uint64_t now_us)
{
	double most = u->burst * share;

	u->tokens += u->rate_per_s * share * (double)(now_us - u->tokens_us) / 1e6;
	if (u->tokens > most)
		u->tokens = most;
	u->tokens_us = now_us;
	if (u->tokens < 1)
		return false;
	u->tokens -= 1;
	return true;
}

/* whether one more request is within this node's own share of the limit */
static bool fits_own_share(lw_quota_t *q, lw_orgusage_t *u, uint64_t now_us)
{
	double share = u->fleet_demand > 0 ? u->share : 1.0 / q->nodes;

	return u->burst * share >= BUCKET_MIN ? fits_bucket(u, share, now_us) :
						fits_window(q, u, share, now_us);
}

/* lw_orgusage_permille() - the fraction to admit according to the newest answer. */
uint32_t lw_orgusage_permille(const lw_quota_t *q, const lw_orgusage_t *u)
{
	return u->grant_number == q->grant_round ? u->permille : 1000;
}

/* admits the granted fraction, evenly spread */
static bool fits_grant(lw_orgusage_t *u, uint32_t permille)
{
	if (permille >= 1000)
		return true;
	u->admit_credit += permille / 1000.0;
	if (u->admit_credit < 1)
		return false;
	u->admit_credit -= 1;
	return true;
}

static uint32_t room_ms(uint32_t permille)
{
	uint32_t ms = RETRY_AFTER_MAX_MS * (1000 - permille) / 1000;

	return ms > RETRY_AFTER_MIN_MS ? ms : RETRY_AFTER_MIN_MS;
}

static void count_pending(lw_quota_t *q, lw_orgusage_t *u, bool admitted)
{
	for (uint32_t k = 0; k < LW_QUOTA_COORDINATORS; k++) {
		u->pending[k].asked++;
		u->pending[k].admitted += admitted;
		if (u->pending[k].asked >= SURGE_REQUESTS)
			q->to[k].surge = true;
	}
}

/* lw_quota_admit() - decide whether to admit a request of @org, and count it. */
void lw_quota_admit(lw_quota_t *q, const lw_organisation_t *org, uint64_t now_us,
		    lw_quota_decision_t *out)
{
	lw_orgusage_t *u;

	*out = (lw_quota_decision_t){ .admitted = true, .admit_permille = 1000 };
	if (org->rate_per_s <= 0)
		return;
	u = usage_of(q, org->id);
	u->name = org->name;
	u->rate_per_s = org->rate_per_s;
	u->burst = org->burst;
	u->asked++;
	count_demand(u, now_us);
	out->standalone = lw_quota_is_standalone(q, now_us);
	out->admit_permille = lw_orgusage_permille(q, u);
	out->grant_age_ms =
		q->granted_us ? (uint32_t)((now_us - q->granted_us) / 1000) : UINT32_MAX;
	out->admitted =
		out->standalone ? fits_own_share(q, u, now_us) : fits_grant(u, out->admit_permille);
	count_pending(q, u, out->admitted);
	if (out->admitted) {
		lw_quotawindow_add(&u->window, q->tolerance.window_s, now_us);
		return;
	}
	u->refused++;
	out->room_ms = out->standalone ? RETRY_AFTER_MAX_MS : room_ms(out->admit_permille);
}

/*
 * lw_quota_count_shed() - a request of @org was refused before its limit was checked. It is
 * part of the organisation's demand, but not of what the limit applies to.
 */
void lw_quota_count_shed(lw_quota_t *q, const lw_organisation_t *org, uint64_t now_us)
{
	lw_orgusage_t *u;

	if (org->rate_per_s <= 0)
		return;
	u = usage_of(q, org->id);
	count_demand(u, now_us);
	for (uint32_t k = 0; k < LW_QUOTA_COORDINATORS; k++)
		u->pending[k].shed++;
}

/*
 * lw_quota_fleet_demand() - the demand of an organisation at all nodes, in requests per
 * second, as the coordinators reported it within LW_QUOTA_DEMAND_STALE_US; 0: unknown. If
 * they differ, the larger value counts, as the other coordinator may not have received all
 * reports.
 */
double lw_quota_fleet_demand(const lw_quota_t *q, uint64_t org, uint64_t now_us)
{
	const lw_orgusage_t *u;
	double most = 0;

	HASH_FIND(hh, q->uses, &org, sizeof(org), u);
	for (uint32_t k = 0; u && k < LW_QUOTA_COORDINATORS; k++)
		if (u->told[k].per_s > most &&
		    now_us - u->told[k].at_us <= LW_QUOTA_DEMAND_STALE_US)
			most = u->told[k].per_s;
	return most;
}

/* lw_quota_nodes() - the number of nodes in the fleet. */
uint32_t lw_quota_nodes(const lw_quota_t *q)
{
	return q->nodes;
}

/* lw_quota_refund() - an admitted request was refused later and has not been executed. */
void lw_quota_refund(lw_quota_t *q, uint64_t org, uint64_t now_us)
{
	lw_orgusage_t *u;

	HASH_FIND(hh, q->uses, &org, sizeof(org), u);
	if (!u)
		return;
	lw_quotawindow_remove(&u->window, q->tolerance.window_s, now_us);
	for (uint32_t k = 0; k < LW_QUOTA_COORDINATORS; k++)
		u->pending[k].admitted--;
}

/* count the contents of a lost report again, for the next report */
static void requeue_lost_report(lw_quota_t *q, uint32_t coordinator)
{
	for (lw_orgusage_t *u = q->uses; u; u = u->hh.next) {
		u->pending[coordinator].asked += u->sent[coordinator].asked;
		u->pending[coordinator].admitted += u->sent[coordinator].admitted;
		u->pending[coordinator].shed += u->sent[coordinator].shed;
		u->sent[coordinator] = (lw_pending_t){ 0 };
	}
	q->to[coordinator].sent_us = 0;
}

/* lw_quota_report_due() - whether to send a report to the coordinator now. */
bool lw_quota_report_due(const lw_quota_t *q, uint32_t coordinator, uint64_t now_us)
{
	const lw_reporting_t *to = &q->to[coordinator];
	uint64_t period = q->nlimited ? LW_QUOTA_REPORT_LIMITED_US : LW_QUOTA_REPORT_IDLE_US;

	if (to->surge)
		period = LW_QUOTA_REPORT_SURGE_US;

	if (to->sent_us && now_us - to->sent_us < ANSWER_TIMEOUT_US)
		return false;
	return now_us - to->last_us >= period;
}

/*
 * lw_quota_report() - fill @out with the usage that has not been reported to the
 * coordinator yet, for at most @most organisations; the others follow in the next report.
 * Only one report at a time awaits its answer.
 */
size_t lw_quota_report(lw_quota_t *q, uint32_t coordinator, uint64_t now_us, lw_quota_usage_t *out,
		       size_t most)
{
	size_t n = 0;

	if (q->to[coordinator].sent_us)
		requeue_lost_report(q, coordinator);
	for (lw_orgusage_t *u = q->uses; u && n < most; u = u->hh.next) {
		lw_pending_t *p = &u->pending[coordinator];

		if (!p->asked && !p->admitted && !p->shed)
			continue;
		out[n++] = (lw_quota_usage_t){ u->org, p->asked, p->admitted, p->shed };
		u->sent[coordinator] = *p;
		*p = (lw_pending_t){ 0 };
	}
	q->to[coordinator] = (lw_reporting_t){ .sent_us = now_us, .last_us = now_us };
	return n;
}

static void apply_grant(lw_quota_t *q, uint32_t coordinator, const lw_quota_grant_t *t,
			uint64_t now_us)
{
	lw_orgusage_t *u = usage_of(q, t->org);

	if (u->grant_number != q->grant_round)
		q->nlimited += t->admit_permille < 1000;
	u->grant_number = q->grant_round;
	u->permille = t->admit_permille;
	if (t->demand_per_s <= 0)
		return;
	u->fleet_demand = t->demand_per_s;
	u->told[coordinator] = (lw_told_demand_t){ t->demand_per_s, now_us };
}

/*
 * lw_quota_apply_grants() - apply the coordinator's answer to a report; organisations that
 * it does not name are not limited.
 */
void lw_quota_apply_grants(lw_quota_t *q, uint32_t coordinator, const lw_quota_grant_t *grants,
			   size_t n, uint64_t now_us)
{
	q->to[coordinator].sent_us = 0;
	q->granted_us = now_us;
	q->grant_round++;
	q->nlimited = 0;
	for (size_t i = 0; i < n; i++)
		apply_grant(q, coordinator, &grants[i], now_us);
	for (lw_orgusage_t *u = q->uses; u; u = u->hh.next) {
		u->sent[coordinator] = (lw_pending_t){ 0 };
		u->share = lw_quota_share(demand_now(u, now_us), u->fleet_demand, q->nodes);
	}
}

/*
 * lw_quota_coordinator_lost() - another node has become this coordinator. It has not
 * received the unanswered report, whose contents are added to the next one, due at once.
 */
void lw_quota_coordinator_lost(lw_quota_t *q, uint32_t coordinator)
{
	requeue_lost_report(q, coordinator);
	q->to[coordinator].last_us = 0;
}

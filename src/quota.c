/* Limits of organisations at one node; see quota.h. */
#include "quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "quotawindow.h"
#include "xalloc.h"

/* a report that is not answered after this counts as lost, us */
#define ANSWER_TIMEOUT_US 700000
/* and is late after this, us */
#define ANSWER_LATE_US 200000
/* so many requests of one organisation since the last report are told at once */
#define SURGE_REQUESTS 3
/* the part of the slack that nodes on their own share out beside the limit */
#define STANDALONE_SLACK_SHARE 0.5
/*
 * Requests that each node is taken to have had beside those it had: where few
 * come, who had one of late says little of who gets the next.
 */
#define PRIOR_REQUESTS 0.33
/* a node's part of a burst from which on its own limit is a token bucket, requests */
#define BUCKET_MIN 2.0
/* a refused request may come back after this at least, and at most, ms */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 1000

/* counted for one keeper and not told yet */
typedef struct lw_pending {
	uint32_t asked;
	int32_t admitted;
} lw_pending_t;

/* one organisation as this node sees it */
typedef struct lw_orgusage {
	uint64_t org;
	char name[LW_NAME_MAX];
	double rate_per_s;
	double burst;
	lw_pending_t pending[LW_QUOTA_COORDINATORS];
	lw_pending_t sent[LW_QUOTA_COORDINATORS]; /* with the report that waits for its answer */
	uint64_t terms; /* number of the terms that it was named in last */
	uint32_t permille; /* as told then */
	double admit_credit; /* part of a request that may be let in, 0 to 1 */
	double phase; /* part of a request, drawn once: rounds this node's part */
	double demand; /* here, per second, of late */
	uint64_t demand_us;
	double fleet_demand; /* at all nodes, as last told; 0: not told */
	double part; /* of it that was here when a keeper was last heard */
	double tokens; /* of this node's own bucket, while it is on its own */
	uint64_t tokens_us;
	lw_quotawindow_t window; /* let in here */
	uint64_t asked;
	uint64_t refused;
	UT_hash_handle hh;
} lw_orgusage_t;

typedef struct lw_reporting {
	uint64_t sent_us; /* of the report that waits for its answer; 0: none does */
	uint64_t last_us; /* when the last one was sent */
	bool surge; /* something is to be told at once */
} lw_reporting_t;

struct lw_quota {
	lw_quota_tolerance_t terms;
	lw_orgusage_t *uses;
	lw_reporting_t to[LW_QUOTA_COORDINATORS];
	uint64_t granted_us; /* when a keeper was last heard; 0: never */
	uint64_t grant_round; /* of the newest terms */
	size_t nlimited; /* organisations they named as limited */
	uint32_t nodes; /* of the fleet */
	uint64_t seed; /* of the phases */
};

/* lw_quota_new() - nothing is known; @seed: different on each node. */
lw_quota_t *lw_quota_new(const lw_quota_tolerance_t *terms, uint64_t seed)
{
	lw_quota_t *q = xcalloc(1, sizeof(*q));

	q->terms = *terms;
	q->nodes = 1;
	q->seed = seed;
	return q;
}

/* lw_quota_free() - release it. */
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

/* lw_quota_set_terms() - the terms have changed. */
void lw_quota_set_tolerance(lw_quota_t *q, const lw_quota_tolerance_t *terms)
{
	q->terms = *terms;
}

/* lw_quota_set_nodes() - the fleet has so many nodes. */
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

/* every keeper owes an answer for long: a surge that begins with a cut is seen at once */
static bool reports_unanswered(const lw_quota_t *q, uint64_t now_us)
{
	for (uint32_t k = 0; k < LW_QUOTA_COORDINATORS; k++)
		if (!q->to[k].sent_us || now_us - q->to[k].sent_us < ANSWER_LATE_US)
			return false;
	return true;
}

/* lw_quota_alone() - whether this node has to decide without a keeper. */
bool lw_quota_is_standalone(const lw_quota_t *q, uint64_t now_us)
{
	return !q->granted_us || now_us - q->granted_us > LW_QUOTA_STANDALONE_US ||
	       reports_unanswered(q, now_us);
}

/*
 * lw_quota_part() - the part of a limit that is a node's own: that of the demand
 * that comes to it. The parts of all nodes add up to one.
 */
double lw_quota_share(double here_per_s, double all_per_s, uint32_t nodes)
{
	double here = here_per_s * LW_QUOTA_DEMAND_MEMORY_S + PRIOR_REQUESTS;
	double all = all_per_s * LW_QUOTA_DEMAND_MEMORY_S + PRIOR_REQUESTS * nodes;

	return here < all ? here / all : 1;
}

/*
 * Parts of a few requests are rounded by a number drawn once for each node, so
 * that the parts of all nodes add up to the allowance.
 */
static bool fits_window(lw_quota_t *q, lw_orgusage_t *u, double part, uint64_t now_us)
{
	double all = u->rate_per_s * q->terms.window_s + u->burst +
		     STANDALONE_SLACK_SHARE * q->terms.slack;

	return lw_quotawindow_sum(&u->window, q->terms.window_s, now_us) <
	       (uint32_t)(all * part + u->phase);
}

/*
 * A count over a window would let it all in at once, and again just after the
 * window: as many as the connected nodes let in meanwhile came on top.
 */
static bool fits_bucket(lw_orgusage_t *u, double part, uint64_t now_us)
{
	double most = u->burst * part;

	u->tokens += u->rate_per_s * part * (double)(now_us - u->tokens_us) / 1e6;
	if (u->tokens > most)
		u->tokens = most;
	u->tokens_us = now_us;
	if (u->tokens < 1)
		return false;
	u->tokens -= 1;
	return true;
}

/* whether one more is within the part of the limit that is this node's own */
static bool fits_own_share(lw_quota_t *q, lw_orgusage_t *u, uint64_t now_us)
{
	double part = u->fleet_demand > 0 ? u->part : 1.0 / q->nodes;

	return u->burst * part >= BUCKET_MIN ? fits_bucket(u, part, now_us) :
					       fits_window(q, u, part, now_us);
}

static uint32_t permille_of(const lw_quota_t *q, const lw_orgusage_t *u)
{
	return u->terms == q->grant_round ? u->permille : 1000;
}

/* lets in the told part, evenly spread */
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

/* lw_quota_take() - a request of @org comes: is it let in? */
void lw_quota_admit(lw_quota_t *q, const lw_organisation_t *org, uint64_t now_us,
		    lw_quota_decision_t *out)
{
	lw_orgusage_t *u;

	*out = (lw_quota_decision_t){ .admitted = true, .admit_permille = 1000 };
	if (org->rate_per_s <= 0)
		return;
	u = usage_of(q, org->id);
	if (!u->name[0])
		lw_str_copy(u->name, sizeof(u->name), lw_str_c(org->name));
	u->rate_per_s = org->rate_per_s;
	u->burst = org->burst;
	u->asked++;
	count_demand(u, now_us);
	out->standalone = lw_quota_is_standalone(q, now_us);
	out->admit_permille = permille_of(q, u);
	out->grant_age_ms =
		q->granted_us ? (uint32_t)((now_us - q->granted_us) / 1000) : UINT32_MAX;
	out->admitted =
		out->standalone ? fits_own_share(q, u, now_us) : fits_grant(u, out->admit_permille);
	count_pending(q, u, out->admitted);
	if (out->admitted) {
		lw_quotawindow_add(&u->window, q->terms.window_s, now_us);
		return;
	}
	u->refused++;
	out->room_ms = out->standalone ? RETRY_AFTER_MAX_MS : room_ms(out->admit_permille);
}

/* lw_quota_refund() - a request that was let in is refused after all, and has not run. */
void lw_quota_refund(lw_quota_t *q, uint64_t org, uint64_t now_us)
{
	lw_orgusage_t *u;

	HASH_FIND(hh, q->uses, &org, sizeof(org), u);
	if (!u)
		return;
	lw_quotawindow_remove(&u->window, q->terms.window_s, now_us);
	for (uint32_t k = 0; k < LW_QUOTA_COORDINATORS; k++)
		u->pending[k].admitted--;
}

/* what a lost report told is told again */
static void requeue_lost_report(lw_quota_t *q, uint32_t keeper)
{
	for (lw_orgusage_t *u = q->uses; u; u = u->hh.next) {
		u->pending[keeper].asked += u->sent[keeper].asked;
		u->pending[keeper].admitted += u->sent[keeper].admitted;
		u->sent[keeper] = (lw_pending_t){ 0 };
	}
	q->to[keeper].sent_us = 0;
}

/* lw_quota_due() - whether the keeper is to be sent a report now. */
bool lw_quota_report_due(const lw_quota_t *q, uint32_t keeper, uint64_t now_us)
{
	const lw_reporting_t *to = &q->to[keeper];
	uint64_t period = q->nlimited ? LW_QUOTA_REPORT_LIMITED_US : LW_QUOTA_REPORT_IDLE_US;

	if (to->surge)
		period = LW_QUOTA_REPORT_SURGE_US;

	if (to->sent_us && now_us - to->sent_us < ANSWER_TIMEOUT_US)
		return false;
	return now_us - to->last_us >= period;
}

/*
 * lw_quota_report() - what the keeper has not been told yet, at most @most
 * organisations; the rest comes with the next report. One waits for its answer at
 * a time.
 */
size_t lw_quota_report(lw_quota_t *q, uint32_t keeper, uint64_t now_us, lw_quota_usage_t *out,
		       size_t most)
{
	size_t n = 0;

	if (q->to[keeper].sent_us)
		requeue_lost_report(q, keeper);
	for (lw_orgusage_t *u = q->uses; u && n < most; u = u->hh.next) {
		lw_pending_t *p = &u->pending[keeper];

		if (!p->asked && !p->admitted)
			continue;
		out[n++] = (lw_quota_usage_t){ u->org, p->asked, p->admitted };
		u->sent[keeper] = *p;
		*p = (lw_pending_t){ 0 };
	}
	q->to[keeper] = (lw_reporting_t){ .sent_us = now_us, .last_us = now_us };
	return n;
}

static void apply_grant(lw_quota_t *q, const lw_quota_grant_t *t)
{
	lw_orgusage_t *u = usage_of(q, t->org);

	if (u->terms != q->grant_round)
		q->nlimited += t->admit_permille < 1000;
	u->terms = q->grant_round;
	u->permille = t->admit_permille;
	if (t->demand_per_s > 0)
		u->fleet_demand = t->demand_per_s;
}

/* lw_quota_told() - the keeper has answered a report; what it does not name is not limited. */
void lw_quota_apply_grants(lw_quota_t *q, uint32_t keeper, const lw_quota_grant_t *terms, size_t n,
			   uint64_t now_us)
{
	q->to[keeper].sent_us = 0;
	q->granted_us = now_us;
	q->grant_round++;
	q->nlimited = 0;
	for (size_t i = 0; i < n; i++)
		apply_grant(q, &terms[i]);
	for (lw_orgusage_t *u = q->uses; u; u = u->hh.next) {
		u->sent[keeper] = (lw_pending_t){ 0 };
		u->part = lw_quota_share(demand_now(u, now_us), u->fleet_demand, q->nodes);
	}
}

/* lw_quota_lost() - the keeper is another node now: it has heard nothing of what is pending. */
void lw_quota_coordinator_lost(lw_quota_t *q, uint32_t keeper)
{
	requeue_lost_report(q, keeper);
	q->to[keeper].last_us = 0;
}

static int compare_by_asked(const void *a, const void *b)
{
	const lw_quota_count_t *x = a, *y = b;

	return (x->asked < y->asked) - (x->asked > y->asked);
}

static lw_quota_count_t counts_of(const lw_quota_t *q, const lw_orgusage_t *u)
{
	lw_quota_count_t c = { .rate_per_s = u->rate_per_s,
			       .asked = u->asked,
			       .refused = u->refused,
			       .admit_permille = permille_of(q, u) };

	lw_str_copy(c.name, sizeof(c.name), lw_str_c(u->name));
	return c;
}

/* the one of the @n that asked for least */
static lw_quota_count_t *min_by_asked(lw_quota_count_t *counts, size_t n)
{
	lw_quota_count_t *least = counts;

	for (size_t i = 1; i < n; i++)
		if (counts[i].asked < least->asked)
			least = &counts[i];
	return least;
}

static void add_counts(lw_quota_count_t *others, const lw_quota_count_t *c)
{
	others->asked += c->asked;
	others->refused += c->refused;
}

/*
 * lw_quota_counts() - the @most organisations that asked for most here, the largest
 * first; @others: the sum of all that are left out.
 */
size_t lw_quota_counts(const lw_quota_t *q, lw_quota_count_t *out, size_t most,
		       lw_quota_count_t *others)
{
	size_t n = 0;

	memset(others, 0, sizeof(*others));
	for (const lw_orgusage_t *u = q->uses; u; u = u->hh.next) {
		lw_quota_count_t c = counts_of(q, u);
		lw_quota_count_t *least;

		if (n < most && c.asked) {
			out[n++] = c;
			continue;
		}
		least = n ? min_by_asked(out, n) : NULL;
		if (!least || c.asked <= least->asked) {
			add_counts(others, &c);
			continue;
		}
		add_counts(others, least);
		*least = c;
	}
	qsort(out, n, sizeof(*out), compare_by_asked);
	return n;
}

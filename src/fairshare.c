/* Fair shares among organisations; see fairshare.h. */
#include "fairshare.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "level.h"
#include "xalloc.h"

/* weight of an organisation without a rate limit */
#define WEIGHT_DEFAULT 1.0
/*
 * Least part of the positions for requests within the limits. Requests beyond the limits get
 * the positions above, as many as their part of all requests. Without this minimum, a caller
 * that repeats without bound would compress the positions of the others until levels are too
 * coarse for them. If requests beyond the limits all got the last position, a level that
 * rises above it would admit all of them at once, before the limit takes effect.
 */
#define WITHIN_LIMITS_MIN 0.75
/*
 * Demand below this, in requests per second, means that the organisation has stopped asking:
 * an average of the coordinators decays, but never ends. It is what one request leaves of the
 * average after 3 s.
 */
#define DEMAND_MIN_PER_S 0.12
/* fewest organisations of one priority that have something to share */
#define SHARING_MIN 2

/* an organisation of the configuration */
typedef struct lw_fairorg {
	uint64_t id;
	uint32_t priority;
	double rate_per_s; /* its rate limit; 0: none */
	double local; /* moving average of the requests at this node, per second, at local_us */
	uint64_t local_us; /* time of the last request; 0: never */
	double asked; /* requests per second at all nodes, as of the last step; 0: no share */
	uint32_t group; /* index of the group of its priority plus one; 0: no share */
} lw_fairorg_t;

/*
 * A share in the order of saturation: the organisation gets all it asks for if the common
 * share per weight is at least @saturated.
 */
typedef struct lw_fairitem {
	uint32_t org; /* index in the table of organisations */
	uint32_t priority;
	double saturated; /* demand per weight */
	double demand_before; /* demand of all items before this one in its group */
	double weight_from; /* weight of this item and all later ones in its group */
} lw_fairitem_t;

/* the items of one priority */
typedef struct lw_fairgroup {
	uint32_t from, to; /* half-open range of items */
	double demand; /* of all its items, within their limits */
	double within; /* part of the positions for this demand */
} lw_fairgroup_t;

struct lw_fairshare {
	lw_fairorg_t *orgs; /* sorted by id */
	size_t norgs;
	lw_fairitem_t *items; /* sorted by priority and saturation */
	size_t nitems;
	lw_fairgroup_t *groups;
	size_t ngroups;
	uint64_t started_us; /* since when requests are counted */
	uint64_t stepped_us; /* time of the last step */
	lw_fairshare_state_t state;
};

/* lw_fairshare_new() - no organisations are known. */
lw_fairshare_t *lw_fairshare_new(uint64_t now_us)
{
	lw_fairshare_t *f = xcalloc(1, sizeof(*f));

	f->started_us = now_us;
	return f;
}

/* lw_fairshare_free() - release the state; NULL is fine. */
void lw_fairshare_free(lw_fairshare_t *f)
{
	if (!f)
		return;
	free(f->orgs);
	free(f->items);
	free(f->groups);
	free(f);
}

static int compare_ids(const void *a, const void *b)
{
	const lw_fairorg_t *x = a, *y = b;

	return (x->id > y->id) - (x->id < y->id);
}

static lw_fairorg_t *find(const lw_fairshare_t *f, uint64_t org)
{
	lw_fairorg_t key = { .id = org };

	return f->norgs ? bsearch(&key, f->orgs, f->norgs, sizeof(key), compare_ids) : NULL;
}

/* the entry of @org in a new table, with what the old table @f counted for it */
static lw_fairorg_t entry_of(const lw_fairshare_t *f, const lw_organisation_t *org)
{
	const lw_fairorg_t *old = find(f, org->id);
	lw_fairorg_t e = { .id = org->id };

	if (old) {
		e.local = old->local;
		e.local_us = old->local_us;
	}
	e.priority = org->priority;
	e.rate_per_s = org->rate_per_s > 0 ? org->rate_per_s : 0;
	return e;
}

/*
 * lw_fairshare_set_orgs() - apply the organisations of a new configuration; NULL: it has none.
 * Counts of those that stay are kept. Positions remain unchanged until the next step.
 */
void lw_fairshare_set_orgs(lw_fairshare_t *f, const lw_orgs_t *orgs, uint64_t now_us)
{
	size_t n = orgs ? lw_orgs_count(orgs) : 0;
	lw_fairorg_t *fresh;

	if (n > LW_FAIRSHARE_ORGS_MAX)
		n = LW_FAIRSHARE_ORGS_MAX;
	if (!f->norgs)
		f->started_us = now_us;
	fresh = xcalloc(n + 1, sizeof(*fresh));
	for (size_t i = 0; i < n; i++)
		fresh[i] = entry_of(f, lw_orgs_at(orgs, i));
	free(f->orgs);
	free(f->items);
	free(f->groups);
	f->orgs = fresh;
	f->norgs = n;
	f->items = xcalloc(n + 1, sizeof(*f->items));
	f->groups = xcalloc(n + 1, sizeof(*f->groups));
	f->nitems = 0;
	f->ngroups = 0;
	f->stepped_us = 0;
	qsort(f->orgs, n, sizeof(*f->orgs), compare_ids);
}

static double decay(uint64_t from_us, uint64_t now_us)
{
	return exp(-(double)(now_us - from_us) / 1e6 / LW_FAIRSHARE_MEMORY_S);
}

/* lw_fairshare_count() - a request of @org was received, whether or not it is admitted. */
void lw_fairshare_count(lw_fairshare_t *f, uint64_t org, uint64_t now_us)
{
	lw_fairorg_t *e = find(f, org);

	if (!e)
		return;
	e->local = e->local * decay(e->local_us, now_us) + 1 / LW_FAIRSHARE_MEMORY_S;
	e->local_us = now_us;
}

/* requests per second at this node; @covered: the part of the average that was counted */
static double local_demand(const lw_fairorg_t *e, double covered, uint64_t now_us)
{
	if (!e->local_us || now_us - e->local_us > LW_FAIRSHARE_IDLE_US || covered <= 0)
		return 0;
	return e->local * decay(e->local_us, now_us) / covered;
}

/* determines the demand of @e at all nodes; returns whether a coordinator reported it */
static bool update_demand(lw_fairorg_t *e, const lw_fairshare_source_t *source, double covered,
			  uint64_t now_us)
{
	double local = local_demand(e, covered, now_us);
	double reported = source->told(source->ctx, e->id, now_us);

	e->group = 0;
	if (reported < DEMAND_MIN_PER_S)
		reported = 0;
	if (reported > 0)
		e->asked = reported > local ? reported : local;
	else
		e->asked = local * source->nodes;
	return reported > 0;
}

static double weight_of(const lw_fairorg_t *e)
{
	return e->rate_per_s > 0 ? e->rate_per_s : WEIGHT_DEFAULT;
}

/* the demand that counts for shares: what is beyond the rate limit is refused anyway */
static double demand_of(const lw_fairorg_t *e)
{
	return e->rate_per_s > 0 && e->asked > e->rate_per_s ? e->rate_per_s : e->asked;
}

static int compare_items(const void *a, const void *b)
{
	const lw_fairitem_t *x = a, *y = b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	return (x->saturated > y->saturated) - (x->saturated < y->saturated);
}

/* adds the group of the items from @from up to @to and computes the sums of its items */
static void add_group(lw_fairshare_t *f, uint32_t from, uint32_t to)
{
	lw_fairgroup_t *g = &f->groups[f->ngroups++];
	double weight = 0, asked = 0;

	*g = (lw_fairgroup_t){ .from = from, .to = to };
	for (uint32_t i = from; i < to; i++) {
		lw_fairorg_t *e = &f->orgs[f->items[i].org];

		f->items[i].demand_before = g->demand;
		g->demand += demand_of(e);
		asked += e->asked;
		if (to - from >= SHARING_MIN)
			e->group = (uint32_t)f->ngroups;
	}
	for (uint32_t i = to; i > from; i--) {
		weight += weight_of(&f->orgs[f->items[i - 1].org]);
		f->items[i - 1].weight_from = weight;
	}
	g->within = g->demand / asked;
	if (g->within < WITHIN_LIMITS_MIN)
		g->within = WITHIN_LIMITS_MIN;
	if (to - from >= SHARING_MIN)
		f->state.in_effect = true;
}

static void add_groups(lw_fairshare_t *f)
{
	uint32_t from = 0;

	f->ngroups = 0;
	for (uint32_t i = 1; i <= f->nitems; i++) {
		if (i < f->nitems && f->items[i].priority == f->items[from].priority)
			continue;
		add_group(f, from, i);
		from = i;
	}
}

static void add_items(lw_fairshare_t *f)
{
	f->nitems = 0;
	for (size_t i = 0; i < f->norgs; i++) {
		const lw_fairorg_t *e = &f->orgs[i];

		if (e->asked <= 0)
			continue;
		f->items[f->nitems++] = (lw_fairitem_t){ .org = (uint32_t)i,
							 .priority = e->priority,
							 .saturated = demand_of(e) / weight_of(e) };
	}
	qsort(f->items, f->nitems, sizeof(*f->items), compare_items);
}

/*
 * The part of the average that the time since the start covers; 0 as long as this node has
 * counted for too short a time.
 */
static double covered_part(const lw_fairshare_t *f, uint64_t now_us)
{
	if (now_us - f->started_us < LW_FAIRSHARE_START_US)
		return 0;
	return 1 - decay(f->started_us, now_us);
}

/*
 * lw_fairshare_step() - compute the shares if LW_FAIRSHARE_STEP_US have passed; call at least
 * that often. Returns whether the shares went into or out of effect.
 */
bool lw_fairshare_step(lw_fairshare_t *f, const lw_fairshare_source_t *source, uint64_t now_us)
{
	double covered = covered_part(f, now_us);
	bool before = f->state.in_effect;

	if (f->stepped_us && now_us - f->stepped_us < LW_FAIRSHARE_STEP_US)
		return false;
	f->stepped_us = now_us;
	f->state.in_effect = false;
	f->state.ntold = 0;
	/* while nothing is covered, the demand reported to this node may lack its own requests */
	if (covered > 0)
		for (size_t i = 0; i < f->norgs; i++)
			f->state.ntold += update_demand(&f->orgs[i], source, covered, now_us);
	add_items(f);
	f->state.norgs = (uint32_t)f->nitems;
	add_groups(f);
	return f->state.in_effect != before;
}

/* the first item of @g that is not saturated at the share @share per weight */
static uint32_t first_unsaturated(const lw_fairshare_t *f, const lw_fairgroup_t *g, double share)
{
	uint32_t lo = g->from, hi = g->to;

	while (lo < hi) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (f->items[mid].saturated > share)
			hi = mid;
		else
			lo = mid + 1;
	}
	return lo;
}

/* the part of the demand of @g that is served at the share @share per weight, 0 to 1 */
static double served_part(const lw_fairshare_t *f, const lw_fairgroup_t *g, double share)
{
	uint32_t i = first_unsaturated(f, g, share);

	if (i == g->to)
		return 1;
	return (f->items[i].demand_before + share * f->items[i].weight_from) / g->demand;
}

/*
 * the position, 0 to 1, of a request of @e that comes after @before requests per second of the
 * same organisation
 */
static double position_of(const lw_fairshare_t *f, const lw_fairorg_t *e, double before)
{
	const lw_fairgroup_t *g = &f->groups[e->group - 1];

	if (before <= demand_of(e))
		return g->within * served_part(f, g, before / weight_of(e));
	return g->within + (1 - g->within) * (before - e->rate_per_s) / (e->asked - e->rate_per_s);
}

/*
 * lw_fairshare_rank() - move @rank, which is derived from the request id, within its priority:
 * to the part of the demand that is served when this request of @org is the next one, or
 * beyond, if it exceeds the rate limit of @org. Requests of an organisation that is unknown or shares
 * with no other keep their rank.
 */
uint32_t lw_fairshare_rank(lw_fairshare_t *f, uint64_t org, uint32_t rank)
{
	uint32_t within = rank % LW_RANKS_PER_PRIORITY;
	const lw_fairorg_t *e = f->state.in_effect ? find(f, org) : NULL;
	uint32_t moved;
	double before;

	if (!e || !e->group)
		return rank;
	before = (within + 0.5) / LW_RANKS_PER_PRIORITY * e->asked;
	moved = (uint32_t)(position_of(f, e, before) * LW_RANKS_PER_PRIORITY);
	if (moved >= LW_RANKS_PER_PRIORITY)
		moved = LW_RANKS_PER_PRIORITY - 1;
	f->state.moved_back += moved > within;
	return rank - within + moved;
}

/* lw_fairshare_state() - what the shares were computed from, and the requests moved. */
lw_fairshare_state_t lw_fairshare_state(const lw_fairshare_t *f)
{
	return f->state;
}

/* lw_fairshare_bytes() - memory that the state takes. */
size_t lw_fairshare_bytes(const lw_fairshare_t *f)
{
	return sizeof(*f) +
	       (f->norgs + 1) * (sizeof(*f->orgs) + sizeof(*f->items) + sizeof(*f->groups));
}

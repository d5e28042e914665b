/* Limits the retries of a node; see retrylimit.h. */
#include "retrylimit.h"

#include <math.h>
#include <string.h>

/*
 * Parts of the fleet's allowance that a node decides on. A retry counts again
 * at every service that its calls lead to, so the parts of all depths of a
 * call chain together stay near the whole. The leaf, the last service of the
 * chain, where most faults occur, has the larger part. The depths above share
 * the rest, but only while the calls below use little of the allowance; every
 * answer reports what they use. So a fault of the leaf alone may use nearly
 * all of the allowance.
 */
#define LEAF_PART	  0.92
#define UPPER_DEPTHS_PART 0.30
#define SINGLE_DEPTH_PART 0.38
/*
 * Per mille of the allowance. While the calls below use more, the depths
 * above send no retries: 0.55 and UPPER_DEPTHS_PART together stay below
 * ALL_RETRIES_PART.
 */
#define USED_BELOW_MAX 550
/*
 * The part of the leaf that requests of other than the most urgent priorities
 * may use at least; the lowest ranks go first in any case. What is left serves
 * the most urgent requests until the share of attempts that fail is known. It
 * is less where few or none of the service's requests are of these priorities.
 */
#define LEAF_OTHERS_PART 0.60
/* retries that a request is expected to need in a fault, if half of all attempts fail */
#define NEEDED_IN_FAULT 1.0
/*
 * Below this part of its share a node retries any request. Above it, it
 * retries only the lowest ranks, as many as the share permits. A request of
 * several calls succeeds only if all of them do, so in a fault it needs several
 * retries, and retries that are distributed over all requests save hardly any.
 */
#define ANY_RANK_PART 0.05
/* the part of a slice's share that the lowest ranks together may use */
#define SLICE_TARGET_PART 0.95
/*
 * The share of a slice is larger than the mean by up to this factor while
 * most of the window's share is unused: most faults are shorter than a window.
 */
#define EARLY_USE_FACTOR 1.5
/*
 * What the share of attempts that fail is based on: of the attempts before,
 * each new one keeps the first part, and each new slice the second one. So the
 * share follows within about 30 attempts when a fault begins, and old attempts
 * are discarded within a few slices where few are made.
 */
#define KEPT_PER_ATTEMPT 0.97
#define KEPT_PER_SLICE	 0.5
/* part of the counts of first attempts by rank that each new slice keeps */
#define RANKS_KEPT 0.9
/* highest share of attempts that counts as failing: with all of them no retry would help */
#define FAILING_MAX 0.9
/*
 * A request on which retries were spent counts like one of a rank lower by
 * this factor: the retries are lost if it fails in the end.
 */
#define BEGUN_RANK_DIVISOR 4
/*
 * Per mille of the fleet's allowance up to which a node retries. What is left covers the retries
 * that are sent before the reports of the servers' nodes include them.
 */
#define FLEET_USED_MAX 920
/* limit of all retries, including first requests made by the execution of a retry */
#define ALL_RETRIES_PART 0.95

/*
 * A fault reduces the number of requests of the service behind it, because
 * requests above fail at their first call and make no others. Therefore the
 * allowance is based on the requests of this window, the previous window, or
 * the one half a window before, whichever has most. Older windows count with
 * this factor, as this node may have had a larger share of the fleet's
 * requests then.
 */
#define OLDER_PART 0.9
/* fractional part of the golden ratio: its multiples are evenly distributed modulo 1 */
#define GOLDEN_PART 0.6180339887

static uint32_t bin_of(uint32_t rank)
{
	uint32_t bin = rank / LW_RETRY_BIN;

	return bin < LW_RETRY_BINS ? bin : LW_RETRY_BINS - 1;
}

static lw_retryslice_t *slice_at(lw_retrylimit_t *l, uint64_t number)
{
	return &l->slices[number % LW_RETRY_KEPT];
}

static void count_attempt(lw_retrylimit_t *l)
{
	l->sent = l->sent * KEPT_PER_ATTEMPT + 1;
	l->failed *= KEPT_PER_ATTEMPT;
}

static void begin_slice(lw_retrylimit_t *l)
{
	l->sent *= KEPT_PER_SLICE;
	l->failed *= KEPT_PER_SLICE;
	for (int i = 0; i < LW_RETRY_BINS; i++)
		l->by_rank[i] *= RANKS_KEPT;
}

static void advance(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us)
{
	uint64_t slice = (uint64_t)((double)now_us / (t->window_s * 1e6 / LW_RETRY_SLICES));

	if (slice - l->newest >= LW_RETRY_KEPT) {
		memset(l, 0, sizeof(*l));
		l->newest = slice;
	}
	while (l->newest < slice) {
		l->newest++;
		*slice_at(l, l->newest) = (lw_retryslice_t){ 0 };
		begin_slice(l);
	}
}

/* sums over the window that ended @back slices before the newest one */
static lw_retryslice_t window_sum(lw_retrylimit_t *l, uint32_t back)
{
	lw_retryslice_t sum = { 0 };

	for (uint32_t i = 0; i < LW_RETRY_SLICES; i++) {
		const lw_retryslice_t *s = slice_at(l, l->newest + LW_RETRY_KEPT - back - i);

		sum.requests += s->requests;
		sum.retries += s->retries;
		sum.own += s->own;
	}
	return sum;
}

/*
 * Adds the retries of the slice before a window: a window that begins within that slice must stay
 * within the allowance as well.
 */
static void add_slice_before(lw_retrylimit_t *l, lw_retryslice_t *sum)
{
	const lw_retryslice_t *before = slice_at(l, l->newest + LW_RETRY_KEPT - LW_RETRY_SLICES);

	sum->retries += before->retries;
	sum->own += before->own;
}

/* the number of requests that the allowance is based on */
static double base_requests(lw_retrylimit_t *l, uint32_t now)
{
	uint32_t half = window_sum(l, LW_RETRY_SLICES / 2).requests;
	uint32_t before = window_sum(l, LW_RETRY_SLICES).requests;
	double older = OLDER_PART * (half > before ? half : before);

	return now > older ? now : older;
}

/* lw_retrylimit_count_request() - a request of @rank was sent to the service for the first time. */
void lw_retrylimit_count_request(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t rank,
				 uint64_t now_us)
{
	advance(l, t, now_us);
	slice_at(l, l->newest)->requests++;
	count_attempt(l);
	l->by_rank[bin_of(rank)]++;
}

/*
 * lw_retrylimit_count_retry() - a first request was sent that counts as a
 * retry, because it was made by the execution of a retry. It is not refused,
 * but uses up the share, so that a chain of services does not multiply the
 * retries that each of them allows.
 */
void lw_retrylimit_count_retry(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us)
{
	advance(l, t, now_us);
	slice_at(l, l->newest)->retries++;
}

static double allowance(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t now,
			uint32_t nodes)
{
	return t->ratio * base_requests(l, now) + t->extra / (nodes ? nodes : 1);
}

/* @retries as per mille of @allowed, at most UINT32_MAX; 0 if nothing is allowed */
static uint32_t permille_of(uint32_t retries, double allowed)
{
	double permille = allowed > 0 ? retries * 1000.0 / allowed : 0;

	return permille < UINT32_MAX ? (uint32_t)permille : UINT32_MAX;
}

/*
 * lw_retrylimit_used() - per mille of this node's share of the allowance that
 * the retries of the window ending now have used.
 */
uint32_t lw_retrylimit_used(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t nodes,
			    uint64_t now_us)
{
	lw_retryslice_t sum;

	advance(l, t, now_us);
	sum = window_sum(l, 0);
	return permille_of(sum.retries, allowance(l, t, sum.requests, nodes));
}

/* sums over the kept slices: entry i is that of the newest i slices */
static void sum_up(lw_retrylimit_t *l, lw_retryslice_t total[LW_RETRY_KEPT + 1])
{
	total[0] = (lw_retryslice_t){ 0 };
	for (uint32_t i = 0; i < LW_RETRY_KEPT; i++) {
		const lw_retryslice_t *s = slice_at(l, l->newest + LW_RETRY_KEPT - i);

		total[i + 1].requests = total[i].requests + s->requests;
		total[i + 1].retries = total[i].retries + s->retries;
	}
}

/*
 * What the window that began @back slices ago contains so far, with the retries of the slice in
 * which it began.
 */
static lw_arrivals_t window_since(const lw_retryslice_t *total, uint32_t back)
{
	uint32_t half = LW_RETRY_SLICES / 2;
	uint32_t half_end = back > half ? back - half : 0;

	return (lw_arrivals_t){
		.retries = total[back + 1].retries,
		.requests = { total[back].requests,
			      total[back + half].requests - total[half_end].requests,
			      total[back + LW_RETRY_SLICES].requests - total[back].requests },
	};
}

static uint32_t most_requests(const lw_arrivals_t *a)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < LW_RETRY_WINDOWS; i++)
		most = a->requests[i] > most ? a->requests[i] : most;
	return most;
}

/*
 * lw_retrylimit_arrivals() - @out: what has reached the backend server whose node counts in @l. A
 * retry that is sent now counts in each window that ends within the next ten slices. While the
 * requests become fewer, the allowance of those windows is smaller than that of the one that ends
 * now, and calls of repeated requests, which are never held back, use it up. So the window is
 * reported whose retries are furthest above the part of the allowance that its requests give.
 */
void lw_retrylimit_arrivals(const lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us,
			    lw_arrivals_t *out)
{
	lw_retryslice_t total[LW_RETRY_KEPT + 1];
	lw_retrylimit_t now = *l;
	double most = 0;

	advance(&now, t, now_us);
	sum_up(&now, total);
	for (uint32_t back = LW_RETRY_SLICES; back > 0; back--) {
		lw_arrivals_t w = window_since(total, back);
		double excess = w.retries - t->ratio * most_requests(&w);

		if (back < LW_RETRY_SLICES && excess <= most)
			continue;
		most = excess;
		*out = w;
	}
}

/* lw_arrivals_add() - adds the arrivals at @one server to @sum. */
void lw_arrivals_add(lw_arrivals_t *sum, const lw_arrivals_t *one)
{
	sum->retries += one->retries;
	for (uint32_t i = 0; i < LW_RETRY_WINDOWS; i++)
		sum->requests[i] += one->requests[i];
}

/*
 * lw_arrivals_used() - per mille of the allowance that the retries in @sum have used. @part: the
 * part of the service's servers that it covers.
 */
uint32_t lw_arrivals_used(const lw_arrivals_t *sum, const lw_retryallowance_t *t, double part)
{
	return permille_of(sum->retries, t->ratio * most_requests(sum) + t->extra * part);
}

/* whether @rank has one of the most urgent priorities */
static bool is_urgent(const lw_retryposition_t *at, uint32_t rank)
{
	uint32_t priority = rank / LW_RANKS_PER_PRIORITY;

	return priority < LW_PRIORITIES_MAX && at->urgent_priorities >> priority & 1;
}

/* share of the recent first attempts that have one of the most urgent priorities */
static double urgent_share(const lw_retrylimit_t *l, const lw_retryposition_t *at)
{
	double all = 0, urgent = 0;

	for (uint32_t i = 0; i < LW_RETRY_BINS; i++) {
		all += l->by_rank[i];
		if (is_urgent(at, i * LW_RETRY_BIN))
			urgent += l->by_rank[i];
	}
	return all > 0 ? urgent / all : 1;
}

/* the part of the allowance that a request of the last service of its call chain may use */
static double leaf_part(const lw_retrylimit_t *l, const lw_retryallowance_t *t,
			const lw_retryposition_t *at)
{
	double most = LEAF_PART - LEAF_OTHERS_PART;
	double kept;

	if (is_urgent(at, at->rank))
		return LEAF_PART;
	kept = t->ratio > 0 ? urgent_share(l, at) * NEEDED_IN_FAULT / t->ratio : most;
	return LEAF_PART - (kept < most ? kept : most);
}

static double own_part(const lw_retrylimit_t *l, const lw_retryallowance_t *t,
		       const lw_retryposition_t *at)
{
	uint32_t depths = at->above + 1 + at->below;

	if (depths == 1)
		return SINGLE_DEPTH_PART;
	if (at->below && at->used_below > USED_BELOW_MAX)
		return 0;
	if (at->below)
		return UPPER_DEPTHS_PART / (depths - 1);
	return leaf_part(l, t, at);
}

/* first attempts per slice of requests with a lower rank */
static double sent_below(const lw_retrylimit_t *l, uint32_t rank)
{
	uint32_t bin = bin_of(rank);
	double below = 0;

	for (uint32_t i = 0; i < bin; i++)
		below += l->by_rank[i];
	below += l->by_rank[bin] * (rank % LW_RETRY_BIN) / LW_RETRY_BIN;
	return below * (1 - RANKS_KEPT);
}

/* retries that a request needs until it succeeds, if as many attempts fail as of late */
static double needed_each(const lw_retrylimit_t *l)
{
	double failing = l->sent > 0 ? l->failed / l->sent : 0;

	if (failing > FAILING_MAX)
		failing = FAILING_MAX;
	return failing / (1 - failing);
}

/* whether a rank is among the lowest ones that @share, of one slice, suffices for */
static bool rank_admitted(const lw_retrylimit_t *l, uint32_t rank, double share)
{
	return sent_below(l, rank) * needed_each(l) <= SLICE_TARGET_PART * share;
}

/* the part of the window's @share that this slice may use */
static double slice_share(double share, uint32_t used)
{
	double mean = share / LW_RETRY_SLICES;
	double early = (share - used) * EARLY_USE_FACTOR / LW_RETRY_SLICES;

	return mean > early ? mean : early;
}

/*
 * The number of retries that @share permits. In a large fleet the share of a node is less than
 * one retry. If it were rounded down, no node would ever retry; so a part of the nodes may send
 * one, drawn anew for each window.
 */
static double whole_retries(const lw_retrylimit_t *l, double share, uint32_t lot)
{
	uint64_t window = l->newest / LW_RETRY_SLICES;
	double draw = lot / (UINT32_MAX + 1.0) + GOLDEN_PART * (double)window;

	return floor(share + draw - floor(draw));
}

/*
 * lw_retrylimit_take() - true, and counted, if this node may send a retry at
 * position @at in the window that ends now.
 */
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryallowance_t *t,
			const lw_retryposition_t *at, uint64_t now_us)
{
	lw_retryslice_t sum;
	double allowed, share;

	advance(l, t, now_us);
	l->failed++;
	sum = window_sum(l, 0);
	add_slice_before(l, &sum);
	allowed = allowance(l, t, sum.requests, at->nodes);
	share = allowed * own_part(l, t, at);
	if (at->used_fleet > FLEET_USED_MAX)
		return false;
	if (sum.retries + 1 > whole_retries(l, allowed * ALL_RETRIES_PART, at->lot) ||
	    sum.own + 1 > whole_retries(l, share, at->lot))
		return false;
	if (sum.own > share * ANY_RANK_PART &&
	    !rank_admitted(l, at->begun ? at->rank / BEGUN_RANK_DIVISOR : at->rank,
			   slice_share(share, sum.own)))
		return false;
	count_attempt(l);
	slice_at(l, l->newest)->own++;
	slice_at(l, l->newest)->retries++;
	return true;
}

/* Bounding repeats; see retrylimit.h. */
#include "retrylimit.h"

#include <string.h>

/*
 * Parts of the fleet's allowance that a node decides on. A repeat counts again
 * at every service its calls lead to, so the parts of all levels of a call
 * chain together stay below the whole. The last level, where most faults are
 * felt, has the larger part; the levels above share the rest, but only while
 * the calls below use little: what they use is told with every answer. So a
 * fault of the last level alone may use nearly the whole: in the model of a leaf
 * that sheds half of its calls (shedding_leaf.toml) 90.2% of the urgent requests
 * are in target, with a part of 0.60 85.7% (mean of four seeds).
 */
#define LAST_LEVEL_PART	  0.80
#define UPPER_LEVELS_PART 0.30
#define SINGLE_LEVEL_PART 0.38
/*
 * Per mille of the allowance. While the calls below use more, the levels above
 * repeat nothing: 0.55 and ABOVE_PART together stay below TOTAL_PART.
 */
#define USED_BELOW_MAX 550
/*
 * Of the last level's part, what others than the most urgent requests may use.
 * The lowest ranks go first in any case. While two of three servers lost four
 * answers in ten, 837 of 27,945 requests failed with 0.30 and 612 with 0.75;
 * 0.60 leaves more for the most urgent in the second before ranks decide.
 */
#define LAST_LEVEL_OTHERS_PART 0.60
/*
 * Below this part of its share a node repeats for any request. Above it,
 * repeats go to the lowest ranks only, as many as the share can bear: a
 * request that makes five calls of which half fail needs several repeats to
 * come through, and spread over all requests they save hardly any. In the
 * model (shedding_leaf.toml) 90.3% of the urgent requests are in target,
 * spread over all 84.7% (mean of three seeds).
 */
#define ANY_RANK_PART 0.10
/* the part of a slice's share that is planned for */
#define SLICE_TARGET_PART 0.95
/* weight of one more slice in the averages of what was asked for */
#define WANTED_EWMA 0.5
/* all repeats together, those that follow from repeated runs included */
#define ALL_RETRIES_PART 0.9

/*
 * A fault shrinks the requests of the service behind it: work above fails at
 * its first call and makes no others. The allowance counts on the requests of
 * this window, the one before, or the one half a window before. Of the older
 * ones this part is used, as this node may have had a larger share of the
 * fleet's requests then. In a fault of 8.5 s that turned 55% of a leaf's calls
 * away this raised the repeats from 2187 to 2465.
 */
#define OLDER_PART 0.9

static lw_retryslice_t *slice_at(lw_retrylimit_t *l, uint64_t number)
{
	return &l->slices[number % LW_RETRY_KEPT];
}

static void decay_wanted(lw_retrylimit_t *l)
{
	l->wanted += WANTED_EWMA * (l->wanted_now - l->wanted);
	l->wanted_now = 0;
	for (int i = 0; i < LW_RETRY_BINS; i++)
		l->wanted_by_rank[i] *= (float)(1 - WANTED_EWMA);
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
		decay_wanted(l);
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

/* the requests that the allowance counts on */
static double base_requests(lw_retrylimit_t *l, uint32_t now)
{
	uint32_t half = window_sum(l, LW_RETRY_SLICES / 2).requests;
	uint32_t before = window_sum(l, LW_RETRY_SLICES).requests;
	double older = OLDER_PART * (half > before ? half : before);

	return now > older ? now : older;
}

/* lw_retrylimit_request() - a request of the service was sent for the first time. */
void lw_retrylimit_count_request(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint64_t now_us)
{
	advance(l, t, now_us);
	slice_at(l, l->newest)->requests++;
}

/*
 * lw_retrylimit_repeat() - a first request that counts as a repeat: it was
 * made by a run that was one itself. It is not refused, but uses up the share,
 * so that a chain of services does not multiply what each of them allows.
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

/*
 * lw_retrylimit_used() - per mille of this node's share of the allowance that
 * the repeats of the window that ends now have used.
 */
uint32_t lw_retrylimit_used(lw_retrylimit_t *l, const lw_retryallowance_t *t, uint32_t nodes,
			    uint64_t now_us)
{
	lw_retryslice_t sum;
	double allowed;

	advance(l, t, now_us);
	sum = window_sum(l, 0);
	if (!sum.retries)
		return 0;
	allowed = allowance(l, t, sum.requests, nodes);
	return allowed > 0 ? (uint32_t)(sum.retries * 1000.0 / allowed) : 0;
}

static double own_part(const lw_retryposition_t *at)
{
	uint32_t levels = at->above + 1 + at->below;

	if (levels == 1)
		return SINGLE_LEVEL_PART;
	if (at->below && at->used_below > USED_BELOW_MAX)
		return 0;
	if (at->below)
		return UPPER_LEVELS_PART / (levels - 1);
	return at->urgent ? LAST_LEVEL_PART : LAST_LEVEL_OTHERS_PART;
}

/* the part of the repeats asked for of late that were for lower ranks */
static double part_below(const lw_retrylimit_t *l, uint32_t rank)
{
	uint32_t bin = rank / LW_RETRY_BIN;
	double below = 0, all = 0;

	if (bin >= LW_RETRY_BINS)
		bin = LW_RETRY_BINS - 1;
	for (uint32_t i = 0; i < LW_RETRY_BINS; i++) {
		all += l->wanted_by_rank[i];
		if (i < bin)
			below += l->wanted_by_rank[i];
	}
	below += l->wanted_by_rank[bin] * (rank % LW_RETRY_BIN) / LW_RETRY_BIN;
	return all > 0 ? below / all : 0;
}

/* whether a rank is among the lowest, for which a slice's @share is enough */
static bool rank_admitted(const lw_retrylimit_t *l, uint32_t rank, double share)
{
	double wanted = l->wanted > l->wanted_now ? l->wanted : l->wanted_now;

	return part_below(l, rank) * wanted <= SLICE_TARGET_PART * share;
}

static void count_wanted(lw_retrylimit_t *l, uint32_t rank)
{
	uint32_t bin = rank / LW_RETRY_BIN;

	l->wanted_now++;
	l->wanted_by_rank[bin < LW_RETRY_BINS ? bin : LW_RETRY_BINS - 1]++;
}

/*
 * lw_retrylimit_take() - true, and counted, if this node may send a request
 * at @at again in the window that ends now.
 */
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryallowance_t *t,
			const lw_retryposition_t *at, uint64_t now_us)
{
	lw_retryslice_t sum;
	double allowed, share;

	advance(l, t, now_us);
	count_wanted(l, at->rank);
	sum = window_sum(l, 0);
	allowed = allowance(l, t, sum.requests, at->nodes);
	share = allowed * own_part(at);
	if (sum.retries + 1 > allowed * ALL_RETRIES_PART || sum.own + 1 > share)
		return false;
	if (sum.own > share * ANY_RANK_PART && !rank_admitted(l, at->rank, share / LW_RETRY_SLICES))
		return false;
	slice_at(l, l->newest)->own++;
	slice_at(l, l->newest)->retries++;
	return true;
}

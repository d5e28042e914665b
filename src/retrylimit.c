/* Bounding repeats; see retrylimit.h. */
#include "retrylimit.h"

#include <string.h>

/*
 * Parts of the fleet's allowance that a node decides on. A repeat counts again
 * at every service its calls lead to, so the parts of all levels of a call
 * chain together stay below the whole, even if each level has a fault of its
 * own at the same moment. The last level, where most faults are felt, has the
 * larger part; the levels above share the rest.
 */
#define LAST_PART   0.60
#define ABOVE_PART  0.30
#define SINGLE_PART 0.38
/*
 * Of the last level's part, what others than the most urgent requests may use.
 * When a server turns half of all calls away, a request that makes several
 * needs a repeat nearly always; spread over all, repeats save hardly any.
 */
#define LAST_PLAIN_PART 0.30
/* all repeats together, those that follow from repeated runs included */
#define TOTAL_PART 0.9

static void advance(lw_retrylimit_t *l, const lw_retryterms_t *t, uint64_t now_us)
{
	uint64_t slice = (uint64_t)((double)now_us / (t->window_s * 1e6 / LW_RETRY_SLICES));

	if (slice - l->slice >= LW_RETRY_SLICES) {
		memset(l->requests, 0, sizeof(l->requests));
		memset(l->retries, 0, sizeof(l->retries));
		memset(l->own, 0, sizeof(l->own));
		l->slice = slice;
	}
	while (l->slice < slice) {
		l->slice++;
		l->requests[l->slice % LW_RETRY_SLICES] = 0;
		l->retries[l->slice % LW_RETRY_SLICES] = 0;
		l->own[l->slice % LW_RETRY_SLICES] = 0;
	}
}

/* lw_retrylimit_request() - a request of the service was sent for the first time. */
void lw_retrylimit_request(lw_retrylimit_t *l, const lw_retryterms_t *t, uint64_t now_us)
{
	advance(l, t, now_us);
	l->requests[l->slice % LW_RETRY_SLICES]++;
}

/*
 * lw_retrylimit_repeat() - a first request that counts as a repeat: it was
 * made by a run that was one itself. It is not refused, but uses up the share,
 * so that a chain of services does not multiply what each of them allows.
 */
void lw_retrylimit_repeat(lw_retrylimit_t *l, const lw_retryterms_t *t, uint64_t now_us)
{
	advance(l, t, now_us);
	l->retries[l->slice % LW_RETRY_SLICES]++;
}

static double own_part(const lw_retryplace_t *at)
{
	uint32_t levels = at->above + 1 + at->below;

	if (levels == 1)
		return SINGLE_PART;
	if (at->below)
		return ABOVE_PART / (levels - 1);
	return at->urgent ? LAST_PART : LAST_PLAIN_PART;
}

/*
 * lw_retrylimit_take() - true, and counted, if this node may send a request
 * at @at again in the window that ends now.
 */
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryterms_t *t, const lw_retryplace_t *at,
			uint64_t now_us)
{
	uint32_t requests = 0, retries = 0, own = 0;
	double allowed;

	advance(l, t, now_us);
	for (int i = 0; i < LW_RETRY_SLICES; i++) {
		requests += l->requests[i];
		retries += l->retries[i];
		own += l->own[i];
	}
	allowed = t->ratio * requests + t->extra / (at->nodes ? at->nodes : 1);
	if (retries + 1 > allowed * TOTAL_PART || own + 1 > allowed * own_part(at))
		return false;
	l->own[l->slice % LW_RETRY_SLICES]++;
	l->retries[l->slice % LW_RETRY_SLICES]++;
	return true;
}

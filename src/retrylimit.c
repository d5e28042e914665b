/* Bounding repeats; see retrylimit.h. */
#include "retrylimit.h"

#include <string.h>

/*
 * Part of the fleet's allowance that is used. The rest is for calls whose
 * repetition this node cannot tell and for the edges of the window.
 */
#define USED_PART 0.7
/*
 * Part of the allowance that may go to repeats this node decides on, unless
 * they are for urgent requests. They can
 * be spent at once when a fault begins; the repeats that follow from repeated
 * runs further up come a little later and cannot be refused.
 */
#define OWN_PART 0.4

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

/*
 * lw_retrylimit_take() - true, and counted, if this node may send one request
 * again in the window that ends now, being one of @nodes that share the extra.
 * @urgent: of the highest priority; it may use what others must leave.
 */
bool lw_retrylimit_take(lw_retrylimit_t *l, const lw_retryterms_t *t, uint32_t nodes,
			bool urgent, uint64_t now_us)
{
	uint32_t requests = 0, retries = 0, own = 0;
	double allowed;

	advance(l, t, now_us);
	for (int i = 0; i < LW_RETRY_SLICES; i++) {
		requests += l->requests[i];
		retries += l->retries[i];
		own += l->own[i];
	}
	allowed = t->ratio * requests + t->extra / (nodes ? nodes : 1);
	if (retries + 1 > allowed * USED_PART)
		return false;
	if (!urgent && own + 1 > allowed * OWN_PART)
		return false;
	l->own[l->slice % LW_RETRY_SLICES]++;
	l->retries[l->slice % LW_RETRY_SLICES]++;
	return true;
}

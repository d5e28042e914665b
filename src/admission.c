/* Admission to the local backend server; see admission.h. */
#include "admission.h"

#include <math.h>
#include <string.h>

#define RESERVE_MS	   1000 /* slots stay reserved this long after a more critical request */
#define ESTIMATE_MS	   1000 /* the latency of an idle backend server is valid this long */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 2000

/* lw_admission_init() - admission for a backend server with @slots. */
void lw_admission_init(lw_admission_t *a, uint32_t slots)
{
	memset(a, 0, sizeof(*a));
	lw_limiter_init(&a->limiter, slots);
	a->queue_ms = 20;
	a->share[LW_CLASS_SHEDDABLE] = 0.6;
	a->share[LW_CLASS_DEFAULT] = 0.85;
	a->share[LW_CLASS_CRITICAL] = 1.0;
}

/* lw_admission_preset() - apply the shares and the queue bound of @p. */
void lw_admission_preset(lw_admission_t *a, const lw_preset_t *p)
{
	memcpy(a->share, p->share, sizeof(a->share));
	a->queue_ms = p->queue_ms;
}

/*
 * A class may use its share of the limit. The rest is reserved only while
 * requests of a more critical class have arrived recently: a backend server
 * that never gets critical requests must not keep slots idle for them.
 */
static bool may_start(const lw_admission_t *a, lw_class_t cls, uint64_t now_ms)
{
	double share = 1.0;

	for (int c = (int)cls + 1; c < LW_CLASS_COUNT; c++)
		if (a->seen[c] && now_ms + 1 - a->seen[c] < RESERVE_MS)
			share = a->share[cls];
	/* a limit of 4.9 allows 4 in flight: the fraction is not yet a whole slot */
	return (double)a->inflight < floor(a->limiter.limit * share);
}

static void queue_remove(lw_admission_t *a, size_t i)
{
	memmove(&a->queue[i], &a->queue[i + 1], (a->nqueue - i - 1) * sizeof(a->queue[0]));
	a->nqueue--;
}

/* make room in a full queue: evict the youngest request of the least critical class */
static bool displace(lw_admission_t *a, lw_class_t cls, uint64_t *displaced)
{
	size_t victim = a->nqueue;

	for (size_t i = 0; i < a->nqueue; i++)
		if (a->queue[i].cls < cls &&
		    (victim == a->nqueue || a->queue[i].cls <= a->queue[victim].cls))
			victim = i;
	if (victim == a->nqueue)
		return false;
	*displaced = a->queue[victim].id;
	queue_remove(a, victim);
	return true;
}

/*
 * How long @o may wait for a slot: longer for more critical classes, but only
 * so long that the backend server has at least twice its usual service time
 * left to answer. 0: it may not wait.
 */
static uint32_t queue_bound(const lw_admission_t *a, const lw_offer_t *o, double service_ms)
{
	static const uint32_t patience[LW_CLASS_COUNT] = { 1, 2, 5 };
	double spare = o->deadline_ms - 2.0 * service_ms;
	uint32_t bound = a->queue_ms * patience[o->cls];

	if (spare < 1)
		return 0;
	return bound < spare ? bound : (uint32_t)spare;
}

/*
 * lw_admission_offer() - decide on request @o. *@displaced is set to the id
 * of a less critical queued request that is evicted (to be answered not_run),
 * else 0.
 *
 * A request with a deadline below the usual service time is refused early.
 * The service time is measured on finished requests alone, so refusing all
 * requests would keep an outdated high estimate for ever and the node would
 * never recover. Therefore the estimate of an idle backend server is dropped
 * after a second.
 */
lw_verdict_t lw_admission_offer(lw_admission_t *a, const lw_offer_t *o, uint64_t now_ms,
				uint64_t *displaced)
{
	uint32_t wait_ms;
	double service_ms;

	*displaced = 0;
	a->seen[o->cls] = now_ms + 1;
	if (a->inflight == 0 && now_ms - a->limiter.sampled_ms >= ESTIMATE_MS)
		a->limiter.ewma_ms = 0;
	service_ms = a->limiter.ewma_ms;
	if (o->deadline_ms < service_ms)
		return LW_ADMIT_TOO_LATE;
	if (may_start(a, o->cls, now_ms)) {
		a->inflight++;
		return LW_ADMIT_NOW;
	}
	wait_ms = queue_bound(a, o, service_ms);
	if (wait_ms == 0)
		return LW_ADMIT_OVERLOADED;
	if (a->nqueue == LW_QUEUE_MAX && !displace(a, o->cls, displaced))
		return LW_ADMIT_OVERLOADED;
	a->queue[a->nqueue++] = (lw_waiting_t){
		.id = o->id, .cls = o->cls, .depth = o->depth, .until_ms = now_ms + wait_ms
	};
	return LW_ADMIT_QUEUED;
}

/*
 * Of two waiting requests the more critical precedes, then the deeper one in
 * its call chain (more work is lost with it), then the older.
 */
static bool precedes(const lw_waiting_t *w, const lw_waiting_t *than)
{
	if (w->cls != than->cls)
		return w->cls > than->cls;
	return w->depth > than->depth;
}

/*
 * lw_admission_next() - take the first queued request, in the order of
 * precedes(), that may start now; false if there is none.
 */
bool lw_admission_next(lw_admission_t *a, uint64_t now_ms, uint64_t *id)
{
	size_t best = a->nqueue;

	for (size_t i = 0; i < a->nqueue; i++)
		if (may_start(a, a->queue[i].cls, now_ms) &&
		    (best == a->nqueue || precedes(&a->queue[i], &a->queue[best])))
			best = i;
	if (best == a->nqueue)
		return false;
	*id = a->queue[best].id;
	queue_remove(a, best);
	a->inflight++;
	return true;
}

/* lw_admission_next_expiry() - the time at which the next queued request has waited too long. */
uint64_t lw_admission_next_expiry(const lw_admission_t *a)
{
	uint64_t next = UINT64_MAX;

	for (size_t i = 0; i < a->nqueue; i++)
		if (a->queue[i].until_ms < next)
			next = a->queue[i].until_ms;
	return next;
}

/*
 * lw_admission_expired() - take a queued request that has waited too long;
 * false if there is none.
 */
bool lw_admission_expired(lw_admission_t *a, uint64_t now_ms, uint64_t *id)
{
	for (size_t i = 0; i < a->nqueue; i++) {
		if (a->queue[i].until_ms > now_ms)
			continue;
		*id = a->queue[i].id;
		queue_remove(a, i);
		return true;
	}
	return false;
}

/*
 * lw_admission_done() - an admitted request has left the backend server.
 * @sample: @latency_ms is a valid latency sample (the server answered).
 * @overloaded: the backend server refused the request for lack of capacity.
 */
void lw_admission_done(lw_admission_t *a, uint32_t latency_ms, bool sample, bool overloaded,
		       uint64_t now_ms)
{
	if (a->inflight)
		a->inflight--;
	if (sample || overloaded)
		lw_limiter_sample(&a->limiter, latency_ms, overloaded, now_ms);
}

/*
 * lw_admission_retry_after() - the retry-after delay of a refused request of
 * class @cls, in ms: the time in which the requests in flight and queued are
 * completed, longer for less critical classes so that requests of more
 * critical classes return first.
 */
uint32_t lw_admission_retry_after(const lw_admission_t *a, lw_class_t cls)
{
	double waves = 1.0 + (double)a->nqueue / a->limiter.limit;
	double ms = waves * a->limiter.ewma_ms * (double)(LW_CLASS_COUNT - cls);

	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t)ms;
}

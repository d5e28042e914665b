/* Rate limit of a backend server; see ratelimit.h. */
#include "ratelimit.h"

#include <math.h>

/* the bucket holds the tokens of this time, in seconds, plus one */
#define BURST_S 0.5
/* longest wait that is returned, ms */
#define WAIT_MAX_MS 3600000.0

static double bucket_size(const lw_ratelimit_t *p)
{
	return p->per_s > 0 ? p->per_s * BURST_S + 1 : 0;
}

static void advance(lw_ratelimit_t *p, uint64_t now_us)
{
	if (now_us > p->updated_us)
		p->tokens += p->per_s * (double)(now_us - p->updated_us) / 1e6;
	p->updated_us = now_us;
	if (p->tokens > bucket_size(p))
		p->tokens = bucket_size(p);
}

/*
 * lw_ratelimit_set() - set the limit to @per_s requests per second, or remove
 * it if @on is false. A new bucket is empty: a restarted process does not
 * know how many requests its predecessor admitted.
 */
void lw_ratelimit_set(lw_ratelimit_t *p, bool on, double per_s, uint64_t now_us)
{
	if (!p->on) {
		p->tokens = 0;
		p->updated_us = now_us;
	}
	advance(p, now_us);
	p->on = on;
	p->per_s = on ? per_s : 0;
	advance(p, now_us);
}

/* lw_ratelimit_ready() - whether a request may start now. */
bool lw_ratelimit_ready(lw_ratelimit_t *p, uint64_t now_us)
{
	if (!p->on)
		return true;
	advance(p, now_us);
	return p->tokens >= 1;
}

/* lw_ratelimit_take() - a request starts. */
void lw_ratelimit_take(lw_ratelimit_t *p, uint64_t now_us)
{
	if (!p->on)
		return;
	advance(p, now_us);
	p->tokens -= 1;
}

/* lw_ratelimit_wait_ms() - time until a request with @ahead others in front of it may start. */
uint32_t lw_ratelimit_wait_ms(lw_ratelimit_t *p, uint32_t ahead, uint64_t now_us)
{
	double missing;

	if (!p->on)
		return 0;
	advance(p, now_us);
	missing = ahead + 1 - p->tokens;
	if (missing <= 0)
		return 0;
	return (uint32_t)fmin(p->per_s > 0 ? missing * 1000 / p->per_s : WAIT_MAX_MS, WAIT_MAX_MS);
}

/*
 * lw_ratelimit_slots() - requests that execute concurrently at this rate if
 * each takes @service_us; at least 1.
 */
uint32_t lw_ratelimit_slots(const lw_ratelimit_t *p, double service_us)
{
	double slots = p->on ? ceil(p->per_s * service_us / 1e6) : UINT32_MAX;

	return slots < 1 ? 1 : slots < UINT32_MAX ? (uint32_t)slots : UINT32_MAX;
}

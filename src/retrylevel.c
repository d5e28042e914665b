/* The level that the retry budget can carry; see retrylevel.h. */
#include "retrylevel.h"

#include <string.h>

#include "retryrule.h"

/* weight of one more step in the average: a fault, and its end, shows in 300 ms */
#define SHED_EWMA 0.5
/* below this part the budget carries everything: s / (1 - s) repeats a call */
#define SHED_LEAST 0.12
/* a step with fewer requests says little: the average stays */
#define SENT_LEAST 4
/*
 * Part of the budget that calls to a last level get (retrylimit.c); a little
 * less is planned for, as more requests are let in than end well by chance.
 */
#define BUDGET_PART 0.75
/* older windows count a little less, as in retrylimit.c */
#define OLDER_PART 0.9
/* weight of one more step in the level: the arrivals of a step are few */
#define LEVEL_EWMA 0.5
/* ranks that the level rises by in a step once the budget carries more */
#define RISE 40
/* and once nothing is shed any more */
#define RISE_WELL 1500

/* lw_retrylevel_init() - nothing is shed, nothing is refused. */
void lw_retrylevel_init(lw_retrylevel_t *r)
{
	memset(r, 0, sizeof(*r));
	r->level = LW_LEVEL_OPEN;
}

/* lw_retrylevel_sent() - a request was given to the server; @repeat: not for the first time. */
void lw_retrylevel_sent(lw_retrylevel_t *r, bool repeat)
{
	r->sent_now++;
	r->first_now += !repeat;
}

/* lw_retrylevel_shed() - the server turned one away, not run. */
void lw_retrylevel_shed(lw_retrylevel_t *r)
{
	r->shed_now++;
}

static uint32_t sum_back(const lw_retrylevel_t *r, uint32_t window, uint32_t back)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < window; i++) {
		uint32_t age = back + i;

		if (age < r->steps && age < LW_RETRYLEVEL_KEPT)
			sum += r->first[(r->steps - 1 - age) % LW_RETRYLEVEL_KEPT];
	}
	return sum;
}

/* first requests in a window that the budget counts on: this one or an older one */
static double base_requests(const lw_retrylevel_t *r, uint32_t window)
{
	double now = sum_back(r, window, 0);
	double half = OLDER_PART * sum_back(r, window, window / 2);
	double before = OLDER_PART * sum_back(r, window, window);

	if (half > now)
		now = half;
	return before > now ? before : now;
}

/* repeats that a call needs on average to get through or to run out of tries */
static double repeats_per_call(double shed)
{
	double repeats = 0, again = shed;

	for (int i = 0; i < LW_RETRY_TRIES_SHED - 1; i++) {
		repeats += again;
		again *= shed;
	}
	return repeats;
}

static void take_counts(lw_retrylevel_t *r)
{
	if (r->sent_now >= SENT_LEAST)
		r->shed += SHED_EWMA * ((double)r->shed_now / r->sent_now - r->shed);
	r->first[r->steps % LW_RETRYLEVEL_KEPT] =
		r->first_now < UINT16_MAX ? (uint16_t)r->first_now : UINT16_MAX;
	r->steps++;
	r->sent_now = 0;
	r->first_now = 0;
	r->shed_now = 0;
}

static void rise(lw_retrylevel_t *r, uint32_t by)
{
	r->level = r->level + by < LW_LEVEL_OPEN ? r->level + by : LW_LEVEL_OPEN;
}

/*
 * lw_retrylevel_step() - adjust the level; call every LW_LEVEL_STEP_MS.
 * @arrivals tells the ranks of what came of late.
 */
void lw_retrylevel_step(lw_retrylevel_t *r, const lw_level_t *arrivals,
			const lw_retryterms_t *terms)
{
	uint32_t window = (uint32_t)(terms->window_s * 1000 / LW_LEVEL_STEP_MS);
	double repeats, budget, room;
	uint32_t level;

	take_counts(r);
	if (r->shed < SHED_LEAST) {
		rise(r, RISE_WELL);
		return;
	}
	if (window > LW_RETRYLEVEL_KEPT / 2)
		window = LW_RETRYLEVEL_KEPT / 2;
	repeats = repeats_per_call(r->shed);
	budget = BUDGET_PART * terms->ratio * base_requests(r, window) / window;
	room = budget / repeats * (1 + repeats); /* arrivals in a step, repeats included */
	level = lw_level_of_arrivals(arrivals, room);
	if (level >= LW_LEVEL_OPEN)
		rise(r, RISE);
	else if (r->level >= LW_LEVEL_OPEN)
		r->level = level;
	else
		r->level += (uint32_t)(int32_t)(LEVEL_EWMA * ((double)level - r->level));
	if (r->level < LW_LEVEL_SHUT)
		r->level = LW_LEVEL_SHUT;
}

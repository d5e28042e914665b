/* The admission level of a backend server; see level.h. */
#include "level.h"

#include <string.h>
#include <xxhash.h>

/*
 * Weight of a new step in the moving averages of arrivals by rank, which
 * cover about half a second.
 */
#define STEP_EWMA 0.25f
/*
 * Weight of a new step in the moving average of the demand. It is higher than
 * STEP_EWMA, because at the onset of a burst the queue grows by one second of
 * work per second, and every request started by then is late.
 */
#define DEMAND_EWMA 0.5
/*
 * A longer queueing delay than this means that more requests arrive than can
 * be executed. The threshold is a fixed part in ms plus a part of the service
 * time, as long service times make queues longer by chance alone.
 */
#define WAIT_HIGH_MS	  15.0
#define WAIT_HIGH_SERVICE 0.5
/* below this part of that threshold there is spare capacity */
#define WAIT_LOW_PART 0.35
/* demand that is aimed at after the level was lowered, as a part of the limit */
#define DEMAND_TARGET 0.92
/* time in which a queue is to be worked off in addition to new arrivals, ms */
#define QUEUE_DRAIN_MS 600.0
/*
 * Bounds of the part of the arrivals that is still admitted after the level
 * was lowered in one step.
 */
#define CUT_TO_MIN 0.4
#define CUT_TO_MAX 0.95
/*
 * The usual arrivals of a rank decay with this factor per step, so that they
 * halve in about 30 s without new ones.
 */
#define USUAL_KEPT	  0.9977f
#define BINS_PER_PRIORITY (LW_RANKS_PER_PRIORITY / LW_LEVEL_BIN)
/*
 * Steps until a lower level shows an effect here: requests that were admitted
 * before still make their calls. Lowering the level again earlier would react
 * to the same queue twice.
 */
#define HOLD_STEPS 4

/* lw_rank() - the rank of a user request; requests of lower ranks are refused last. */
uint32_t lw_rank(uint32_t priority, lw_str_t request_id)
{
	uint32_t p = priority < LW_PRIORITIES_MAX ? priority : LW_PRIORITIES_MAX - 1;

	return p * LW_RANKS_PER_PRIORITY +
	       (uint32_t)(XXH3_64bits(request_id.ptr, request_id.len) % LW_RANKS_PER_PRIORITY);
}

/* lw_level_init() - start with a level that admits all requests. */
void lw_level_init(lw_level_t *l)
{
	memset(l, 0, sizeof(*l));
	l->level = LW_LEVEL_ADMIT_ALL;
}

/* lw_level_arrival() - count the arrival of a user request of @rank, or of a call made for it. */
void lw_level_arrival(lw_level_t *l, uint32_t rank)
{
	uint32_t bin = rank / LW_LEVEL_BIN;

	l->arrivals++;
	l->rank_count[bin < LW_LEVEL_BINS ? bin : LW_LEVEL_BINS - 1]++;
}

/*
 * Ranks below the level are all admitted, so their arrivals are the whole demand of these ranks.
 * Of refused ranks nothing new is learned; if their value decayed, they would be admitted all at
 * once at the end of a long overload.
 */
static void update_usual(lw_level_t *l)
{
	uint32_t top = l->level / LW_LEVEL_BIN;

	for (uint32_t i = 0; i < LW_LEVEL_BINS && i < top; i++) {
		l->rank_usual[i] *= USUAL_KEPT;
		if (l->rank_average[i] > l->rank_usual[i])
			l->rank_usual[i] = l->rank_average[i];
	}
}

static void update_averages(lw_level_t *l, const lw_level_input_t *in)
{
	double arrived_us = in->arrived_us > 0 ? in->arrived_us : l->arrivals * in->service_us;
	double need = arrived_us / 1000.0 / LW_LEVEL_STEP_MS;

	for (int i = 0; i < LW_LEVEL_BINS; i++) {
		l->rank_average[i] += STEP_EWMA * ((float)l->rank_count[i] - l->rank_average[i]);
		l->rank_count[i] = 0;
	}
	update_usual(l);
	l->arrivals = 0;
	l->demand += DEMAND_EWMA * (need / in->limit - l->demand);
}

/* the level below which @part of the recent arrivals have their ranks */
static uint32_t level_for(const lw_level_t *l, double part)
{
	double total = 0, sum = 0;
	uint32_t top = l->level / LW_LEVEL_BIN;

	for (uint32_t i = 0; i < LW_LEVEL_BINS; i++)
		total += l->rank_average[i];
	for (uint32_t i = 0; i < LW_LEVEL_BINS && i < top; i++) {
		double next = sum + l->rank_average[i];

		if (next >= total * part && l->rank_average[i] > 0) {
			double inside = (total * part - sum) / l->rank_average[i];

			return (uint32_t)((i + inside) * LW_LEVEL_BIN);
		}
		sum = next;
	}
	return l->level;
}

static void lower_level(lw_level_t *l, double wait_ms)
{
	double demand = l->demand + wait_ms / QUEUE_DRAIN_MS;
	double part = demand > 1 ? DEMAND_TARGET / demand : CUT_TO_MAX;
	uint32_t level;

	if (part < CUT_TO_MIN)
		part = CUT_TO_MIN;
	level = level_for(l, part);
	if (level < LW_LEVEL_MIN)
		level = LW_LEVEL_MIN;
	if (level < l->level)
		l->level = level;
	l->hold_steps = HOLD_STEPS;
}

/* by which part of a priority to raise the level in one step at this demand */
static double raise_by(double demand)
{
	if (demand < 0.5)
		return 0.150;
	if (demand < 0.7)
		return 0.060;
	if (demand < 0.85)
		return 0.025;
	return demand < 1.0 ? 0.015 : 0;
}

/* usual arrivals per step of the priority that has most of them */
static double heaviest_priority(const lw_level_t *l)
{
	double most = 0;

	for (uint32_t p = 0; p < LW_PRIORITIES_MAX; p++) {
		double sum = 0;

		for (uint32_t i = 0; i < BINS_PER_PRIORITY; i++)
			sum += l->rank_usual[p * BINS_PER_PRIORITY + i];
		if (sum > most)
			most = sum;
	}
	return most;
}

/*
 * The level at which the ranks that are admitted in addition usually have @part of the arrivals of
 * the heaviest priority. A priority with few requests is passed quickly, one that no request has
 * at once: ranks that add hardly any load must not be refused while capacity is idle.
 */
static uint32_t level_adding(const lw_level_t *l, double part)
{
	uint32_t at = l->level / LW_LEVEL_BIN;
	double left = part * heaviest_priority(l);

	while (at < LW_LEVEL_BINS && l->rank_usual[at] <= left)
		left -= l->rank_usual[at++];
	return at * LW_LEVEL_BIN;
}

static void raise_level(lw_level_t *l)
{
	double part = raise_by(l->demand);
	uint32_t top = 0, adding;

	if (l->level == LW_LEVEL_ADMIT_ALL || part == 0)
		return;
	adding = level_adding(l, part);
	l->level += (uint32_t)(part * LW_RANKS_PER_PRIORITY);
	if (l->level < adding)
		l->level = adding;
	for (uint32_t i = 0; i < LW_LEVEL_BINS; i++)
		if (l->rank_usual[i] > 0.01f)
			top = (i + 1) * LW_LEVEL_BIN;
	/* above the ranks of all recent arrivals there is nothing left to refuse */
	if (l->level > top + LW_RANKS_PER_PRIORITY)
		l->level = LW_LEVEL_ADMIT_ALL;
}

/* lw_level_step() - adjust the level; call every LW_LEVEL_STEP_MS. */
void lw_level_step(lw_level_t *l, const lw_level_input_t *in)
{
	double wait_ms = in->limit ? in->queued * in->service_us / in->limit / 1000.0 : 0;
	double high = WAIT_HIGH_MS + WAIT_HIGH_SERVICE * in->service_us / 1000.0;

	if (in->wait_high_us > 0) {
		wait_ms = in->wait_us / 1000.0;
		high = in->wait_high_us / 1000.0;
	}
	if (!in->limit)
		return;
	update_averages(l, in);
	if (l->hold_steps)
		l->hold_steps--;
	if (wait_ms > high) {
		if (!l->hold_steps)
			lower_level(l, wait_ms);
	} else if (wait_ms < high * WAIT_LOW_PART) {
		raise_level(l);
	}
}

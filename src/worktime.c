/* Execution times by kind of work; see worktime.h. */
#include "worktime.h"

#include <string.h>
#include <xxhash.h>

/* weight of a new sample in the average execution time of a kind, as for that of all work */
#define SAMPLE_EWMA 0.05
/* a kind without samples for this time is no longer known, us */
#define FORGET_US 30000000
/* time that the average of the arrivals per second covers, us */
#define RATE_SPAN_US 1000000.0
/* weight of a new arrival in the average time left */
#define LEFT_EWMA 0.05
/* the most urgent priority of a kind applies for this long after its latest arrival, us */
#define PRIORITY_KEEP_US 3000000
/*
 * Factor by which the times must still differ for the part to stay in effect. It is lower than
 * LW_WORKTIME_LONG_FACTOR, so that times near that factor do not switch the part at each step.
 */
#define STAY_FACTOR 3

/* lw_worktime_kind() - the digest that identifies the kind of work of @route; never 0. */
uint32_t lw_worktime_kind(const char *route)
{
	uint32_t kind = XXH32(route, strlen(route), 0);

	return kind ? kind : 1;
}

/*
 * lw_worktimes_us() - the execution time of @kind, in microseconds; @average_us, that of all work
 * of the server, if the time of this kind is not known.
 */
uint32_t lw_worktimes_us(const lw_worktimes_t *t, uint32_t kind, uint32_t average_us)
{
	for (uint32_t i = 0; kind && i < t->n; i++)
		if (t->at[i].kind == kind)
			return t->at[i].us;
	return average_us;
}

static lw_workrow_t *row_find(lw_worktable_t *t, uint32_t kind)
{
	for (uint32_t i = 0; i < t->n; i++)
		if (t->row[i].kind == kind)
			return &t->row[i];
	return NULL;
}

/* the row of @kind; a new one takes the place of the least recently seen if the table is full */
static lw_workrow_t *row_get(lw_worktable_t *t, uint32_t kind)
{
	lw_workrow_t *row = row_find(t, kind);

	if (row)
		return row;
	if (t->n < LW_WORKTIME_KINDS_MAX) {
		row = &t->row[t->n++];
	} else {
		row = &t->row[0];
		for (uint32_t i = 1; i < t->n; i++)
			if (t->row[i].seen_us < row->seen_us)
				row = &t->row[i];
	}
	memset(row, 0, sizeof(*row));
	row->kind = kind;
	/* until a request of the kind arrives, it is not taken for an urgent one */
	row->priority = UINT32_MAX;
	return row;
}

static bool row_known(const lw_workrow_t *row)
{
	return row->samples >= LW_WORKTIME_SAMPLES_MIN;
}

static void note_priority(lw_workrow_t *row, uint32_t priority, uint64_t now_us)
{
	if (row->priority_us && priority > row->priority &&
	    now_us - row->priority_us < PRIORITY_KEEP_US)
		return;
	row->priority = priority;
	row->priority_us = now_us;
}

/* lw_worktable_arrival() - count the arrival @a; a request of kind 0 is not counted. */
void lw_worktable_arrival(lw_worktable_t *t, const lw_workarrival_t *a, uint64_t now_us)
{
	lw_workrow_t *row;

	if (!a->kind)
		return;
	row = row_get(t, a->kind);
	if (!row->priority_us)
		row->left_us = (double)a->left_us;
	row->left_us += LEFT_EWMA * ((double)a->left_us - row->left_us);
	row->arrivals++;
	row->seen_us = now_us;
	note_priority(row, a->priority, now_us);
}

/* lw_worktable_sample() - add the execution time @took_us of a request of @kind. */
void lw_worktable_sample(lw_worktable_t *t, uint32_t kind, uint64_t took_us, uint64_t now_us)
{
	lw_workrow_t *row;

	if (!kind)
		return;
	row = row_get(t, kind);
	if (row_known(row)) {
		row->us += SAMPLE_EWMA * ((double)took_us - row->us);
	} else {
		row->samples++;
		row->us += ((double)took_us - row->us) / row->samples;
	}
	row->sampled_us = now_us;
	row->seen_us = now_us;
}

/*
 * lw_worktable_duration() - note that a request of @kind executed for @took_us, whatever its
 * outcome.
 */
void lw_worktable_duration(lw_worktable_t *t, uint32_t kind, uint64_t took_us, uint64_t now_us)
{
	lw_workrow_t *row;

	if (!kind)
		return;
	row = row_get(t, kind);
	lw_recentmax_add(&row->longest, took_us, now_us);
	row->seen_us = now_us;
}

/*
 * lw_worktable_longest_us() - the longest recent execution time of @kind, in microseconds; 0 if it
 * executed too rarely for a bound.
 */
uint64_t lw_worktable_longest_us(const lw_worktable_t *t, uint32_t kind, uint64_t now_us)
{
	for (uint32_t i = 0; kind && i < t->n; i++) {
		lw_recentmax_window_t recent = lw_recentmax_get(&t->row[i].longest, now_us);

		if (t->row[i].kind == kind && recent.samples >= LW_WORKTIME_SAMPLES_MIN)
			return recent.longest_us;
	}
	return 0;
}

/* lw_worktable_step() - update the arrivals per second, drop old values; call every @step_us. */
void lw_worktable_step(lw_worktable_t *t, uint64_t step_us, uint64_t now_us)
{
	double weight = (double)step_us / RATE_SPAN_US;

	for (uint32_t i = 0; i < t->n; i++) {
		lw_workrow_t *row = &t->row[i];

		row->per_s += weight * (row->arrivals * 1e6 / (double)step_us - row->per_s);
		row->arrivals = 0;
		if (now_us - row->sampled_us > FORGET_US) {
			row->samples = 0;
			row->us = 0;
		}
		if (now_us - row->seen_us > FORGET_US)
			t->row[i--] = t->row[--t->n];
	}
}

/* lw_worktable_us() - the execution time of @kind; @average_us if it is not known. */
uint32_t lw_worktable_us(const lw_worktable_t *t, uint32_t kind, uint32_t average_us)
{
	for (uint32_t i = 0; kind && i < t->n; i++)
		if (t->row[i].kind == kind && row_known(&t->row[i]))
			return (uint32_t)t->row[i].us;
	return average_us;
}

/* lw_worktable_shortest_us() - the execution time of the shortest known kind; 0: none known. */
double lw_worktable_shortest_us(const lw_worktable_t *t)
{
	double shortest = 0;

	for (uint32_t i = 0; i < t->n; i++)
		if (row_known(&t->row[i]) && (!shortest || t->row[i].us < shortest))
			shortest = t->row[i].us;
	return shortest;
}

/*
 * lw_worktable_differs() - whether the execution times of the known kinds differ so much that one
 * average describes none of them; @in_effect: whether they did at the previous call.
 */
bool lw_worktable_differs(const lw_worktable_t *t, bool in_effect)
{
	double factor = in_effect ? STAY_FACTOR : LW_WORKTIME_LONG_FACTOR;
	double limit = lw_worktable_shortest_us(t) * factor;

	for (uint32_t i = 0; i < t->n; i++)
		if (row_known(&t->row[i]) && t->row[i].us > limit)
			return true;
	return false;
}

/* lw_worktable_report() - the execution times of the known kinds, for other nodes. */
void lw_worktable_report(const lw_worktable_t *t, lw_worktimes_t *out)
{
	out->n = 0;
	for (uint32_t i = 0; i < t->n; i++)
		if (row_known(&t->row[i]))
			out->at[out->n++] =
				(lw_worktime_t){ t->row[i].kind, (uint32_t)t->row[i].us };
}

/* Slots for long and for short work; see slotshare.h. */
#include "slotshare.h"

#include <math.h>
#include <string.h>

/*
 * Long work starts regardless of its share this long before the end of its useful wait, us. The
 * queue is examined every 20 ms at least, so one delayed examination does not let it expire.
 */
#define START_MARGIN_US 40000
/*
 * A queueing delay above this part of the shortest objective means overload. Beside long work, the
 * queue of short work varies by chance: with a lower part, the level would refuse requests that can
 * be answered in time.
 */
#define OVERLOAD_WAIT_PART 0.6
/* less than this many slots is the remainder of an average of short work that has ended */
#define NEED_MIN 0.01
/* lower bound of an expected execution time, us */
#define WORK_MIN_US 1

/* lw_slotshare_update() - derive the rule from the observations @t; @limit: usable slots. */
void lw_slotshare_update(lw_slotshare_t *s, const lw_worktable_t *t, uint32_t limit)
{
	uint64_t long_from_us = (uint64_t)(lw_worktable_shortest_us(t) * LW_WORKTIME_LONG_FACTOR);
	uint32_t half = limit / 2;
	double need = 0;

	memset(s, 0, sizeof(*s));
	s->short_priority = UINT32_MAX;
	s->long_from_us = long_from_us;
	for (uint32_t i = 0; i < t->n; i++) {
		const lw_workrow_t *row = &t->row[i];

		if (row->samples < LW_WORKTIME_SAMPLES_MIN || row->us > (double)long_from_us)
			continue;
		need += row->per_s * row->us / 1e6;
		if (row->priority < s->short_priority)
			s->short_priority = row->priority;
		if (row->left_us > (double)s->short_left_us)
			s->short_left_us = (uint64_t)row->left_us;
	}
	if (need >= NEED_MIN)
		s->reserved = need < half ? (uint32_t)ceil(need) : half;
}

/*
 * lw_slotshare_is_long() - whether a request that takes @work_us is long work. Work of a more
 * urgent priority than any short kind is not: it starts in the order of the queue.
 */
bool lw_slotshare_is_long(const lw_slotshare_t *s, uint32_t work_us, uint32_t priority,
			  uint64_t left_us)
{
	if (!s->long_from_us || work_us <= s->long_from_us || priority < s->short_priority)
		return false;
	return priority > s->short_priority || left_us > s->short_left_us;
}

/* lw_slotshare_long_max() - how many of the @limit slots long work may hold. */
uint32_t lw_slotshare_long_max(const lw_slotshare_t *s, uint32_t limit)
{
	/* the limit may have been lowered since the rule was derived */
	return s->reserved < limit ? limit - s->reserved : 1;
}

/* lw_slotshare_may_start() - whether @w may take a free slot now. */
bool lw_slotshare_may_start(const lw_slotshare_t *s, const lw_slotuse_t *u, const lw_waiter_t *w,
			    uint32_t limit, uint64_t now_us)
{
	if (!s->long_from_us || !w->is_long)
		return true;
	return u->running_long < lw_slotshare_long_max(s, limit) ||
	       now_us + START_MARGIN_US >= w->expires_us;
}

/* lw_slotshare_next() - the queued request that takes a free slot; NULL if none may. */
lw_waiter_t *lw_slotshare_next(const lw_slotshare_t *s, const lw_slotuse_t *u, const lw_waitq_t *q,
			       uint32_t limit, uint64_t now_us)
{
	for (lw_waiter_t *w = q->first; w; w = w->next)
		if (lw_slotshare_may_start(s, u, w, limit, now_us))
			return w;
	return NULL;
}

static uint32_t slots_beside_long(const lw_slotuse_t *u, uint32_t limit)
{
	return u->running_long < limit ? limit - u->running_long : 1;
}

/*
 * lw_slotshare_wait_us() - expected wait of @w while all slots are in use; @ahead_us: execution
 * time of the requests ahead of it. The first of the running requests ends after the inverse of
 * the rate at which they end together: an average of their remaining times would be that of the
 * long ones, although the short ones end first. The slots that long work holds do not help to
 * work off what is ahead of a short request.
 */
uint64_t lw_slotshare_wait_us(const lw_slotuse_t *u, const lw_waiter_t *w, uint64_t ahead_us,
			      uint32_t limit)
{
	uint32_t slots = w->is_long ? limit : slots_beside_long(u, limit);
	double first_us = u->ends_per_us > 0 ? 1 / u->ends_per_us : 0;

	return ahead_us / slots + (uint64_t)first_us;
}

/*
 * lw_slotshare_level_input() - set the queueing delay in the input of the admission level, and the
 * delay that means overload. Long work counts in proportion to its longer objective @o.
 */
void lw_slotshare_level_input(const lw_slotuse_t *u, const lw_waitq_t *q,
			      const lw_fleet_objectives_t *o, lw_level_input_t *in)
{
	double short_us = (double)(q->work_us - q->long_work_us);
	double part = (double)o->shortest_ms / o->longest_ms;

	in->wait_us = short_us / slots_beside_long(u, in->limit) +
		      (double)q->long_work_us / in->limit * part;
	in->wait_high_us = o->shortest_ms * 1000.0 * OVERLOAD_WAIT_PART;
}

static double rate_of(const lw_waiter_t *w)
{
	return 1.0 / (w->work_us > WORK_MIN_US ? w->work_us : WORK_MIN_US);
}

/* lw_slotuse_start() - @w starts to execute. */
void lw_slotuse_start(lw_slotuse_t *u, const lw_waiter_t *w)
{
	u->running++;
	u->running_long += w->is_long;
	u->work_us += w->work_us;
	u->ends_per_us += rate_of(w);
}

/* lw_slotuse_end() - @w, which was executing, ended. */
void lw_slotuse_end(lw_slotuse_t *u, const lw_waiter_t *w)
{
	u->running--;
	u->running_long -= w->is_long;
	u->work_us -= w->work_us;
	/* also discards rounding errors of the sum */
	u->ends_per_us = u->running ? u->ends_per_us - rate_of(w) : 0;
}

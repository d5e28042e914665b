/* Which queued requests are returned to their senders; see handback.h. */
#include "handback.h"

#include <math.h>
#include <string.h>

#include "level.h"

/* completions after which the average execution time of a new process is reliable */
#define DONE_RELIABLE 64
/* the pace is measured over this many execution times, at least STEPS_MIN steps */
#define WINDOW_EXECUTIONS 4
#define STEPS_MIN	  2
/*
 * A step that took longer than this is not used, us: this node did not run, and the completions
 * that it missed are counted late.
 */
#define STEP_LONGEST_US 300000
/* upper bound of the mean of a Poisson count n: n + 2 sqrt(n) + 3 (one-sided, about 97%) */
#define BOUND_DEVIATIONS 2
#define BOUND_OFFSET	 3
/*
 * A request is returned only while this part (1/n) of its useful wait and this much time are left:
 * with less, a further attempt would only add load.
 */
#define LEFT_MIN_PART 4
#define LEFT_MIN_US   30000
/* its expected start must have moved back by more than this part (1/n) of its useful wait */
#define MOVED_MIN_PART 2

/* lw_handback_reset() - discard what is known; the backend server is another process. */
void lw_handback_reset(lw_handback_t *h)
{
	memset(h, 0, sizeof(*h));
}

/* lw_handback_done() - a request that was executing has ended, and its slot is free. */
void lw_handback_done(lw_handback_t *h)
{
	h->done++;
	if (h->done_total < DONE_RELIABLE)
		h->done_total++;
}

/* lw_handback_queue_empty() - the queue is empty: from here on slots may be free. */
void lw_handback_queue_empty(lw_handback_t *h)
{
	h->queued = false;
}

/*
 * Least time between two completions that is consistent with the newest steps. Requests that were
 * started together end together, so up to @limit completions may be about to follow. Without that
 * allowance a server with long executions would look stopped between two such groups.
 */
static double least_each_us(const lw_handback_t *h, uint32_t limit, double service_us)
{
	double window_us = service_us * WINDOW_EXECUTIONS;
	double took_us = 0, done = 0, spread;

	for (uint32_t i = 0; i < h->nsteps && (i < STEPS_MIN || took_us < window_us); i++) {
		uint32_t at = (h->newest + LW_HANDBACK_STEPS_MAX - i) % LW_HANDBACK_STEPS_MAX;

		took_us += h->steps[at].took_us;
		done += h->steps[at].done;
	}
	spread = BOUND_DEVIATIONS * sqrt(done) + BOUND_OFFSET;
	return took_us / (done + fmax(spread, limit));
}

static void add_step(lw_handback_t *h, uint64_t took_us)
{
	h->newest = (h->newest + 1) % LW_HANDBACK_STEPS_MAX;
	h->steps[h->newest] = (lw_handback_step_t){ h->done, (uint32_t)took_us };
	if (h->nsteps < LW_HANDBACK_STEPS_MAX)
		h->nsteps++;
}

/*
 * lw_handback_step() - end a step of the measurement. @queued: requests are waiting. Steps in which
 * the queue was empty say nothing about the pace that the server can keep.
 */
void lw_handback_step(lw_handback_t *h, bool queued, uint32_t limit, double service_us,
		      uint64_t now_us)
{
	uint64_t took_us = now_us - h->step_began_us;

	if (h->queued && queued && took_us <= STEP_LONGEST_US)
		add_step(h, took_us);
	else
		h->nsteps = 0;
	h->queued = queued;
	h->done = 0;
	h->step_began_us = now_us;
	h->each_us = h->nsteps ? least_each_us(h, limit, service_us) : 0;
}

/*
 * lw_handback_usual_us() - the time between two completions that a request queued now is promised:
 * the longest of what the average execution time, the pace measured now, and the rate limit
 * (@paced_us, 0: none) imply; UINT32_MAX if it is longer. 0: too little is known of the server's
 * process.
 */
uint32_t lw_handback_usual_us(const lw_handback_t *h, uint32_t limit, double service_us,
			      double paced_us)
{
	double usual_us;

	if (h->done_total < DONE_RELIABLE || !limit)
		return 0;
	usual_us = ceil(fmax(fmax(service_us / limit, h->each_us), paced_us));
	return usual_us < UINT32_MAX ? (uint32_t)usual_us : UINT32_MAX;
}

/* lw_handback_returned() - waiter @w was returned; its sender may put it back. */
void lw_handback_returned(lw_handback_t *h, const lw_waiter_t *w)
{
	h->returned_us = w->each_us;
}

/*
 * lw_handback_kept_us() - the time between two completions that a request which is put back was
 * promised when it was first queued: about that of the request returned last.
 */
uint32_t lw_handback_kept_us(const lw_handback_t *h)
{
	return h->returned_us;
}

/*
 * How many requests a step returns: as many as slots were lost by a server that now needs @each_us
 * instead of @usual_us for a completion, or as many as these slots would have completed in a step.
 * So no more is returned than what the fleet lost, and the idle hosts are not flooded.
 */
static size_t returns_max(uint32_t limit, double usual_us, double each_us)
{
	double slots = limit * (1 - usual_us / each_us);
	double completions = LW_LEVEL_STEP_MS * 1000 * (1 / usual_us - 1 / each_us);

	return (size_t)ceil(fmax(slots, completions));
}

/*
 * Whether waiter @w, with @ahead others before it, will not start in time because the server became
 * slower since @w was queued, while there is time to place it elsewhere. Only the part of its
 * expected wait that the lower pace explains counts, so more urgent arrivals alone return nothing.
 */
static bool is_overtaken(const lw_waiter_t *w, double each_us, size_t ahead, uint64_t now_us)
{
	uint64_t useful_us = w->expires_us - w->queued_us;
	uint64_t left_us = w->expires_us > now_us ? w->expires_us - now_us : 0;
	double wait_us = (double)(now_us - w->queued_us) + (double)(ahead + 1) * each_us;
	double moved_us = wait_us * (1 - w->each_us / each_us);

	return w->each_us && left_us >= LEFT_MIN_US && left_us >= useful_us / LEFT_MIN_PART &&
	       moved_us > (double)useful_us / MOVED_MIN_PART;
}

/*
 * lw_handback_choose() - the waiters to return now, in @chosen, which has room for
 * LW_HANDBACK_RETURNS_MAX; returns their number. Those that are returned, or will expire in the
 * queue, free their place for the waiters behind them.
 */
size_t lw_handback_choose(const lw_handback_t *h, const lw_waitq_t *q, uint32_t limit,
			  uint64_t now_us, lw_waiter_t **chosen)
{
	size_t ahead = 0, n = 0;

	if (!h->each_us || h->done_total < DONE_RELIABLE)
		return 0;
	for (lw_waiter_t *w = q->first; w && n < LW_HANDBACK_RETURNS_MAX; w = w->next) {
		double start_us = (double)(ahead + 1) * h->each_us;

		if ((double)now_us + start_us <= (double)w->expires_us) {
			ahead++;
			continue;
		}
		if (is_overtaken(w, h->each_us, ahead, now_us) &&
		    n < returns_max(limit, w->each_us, h->each_us))
			chosen[n++] = w;
	}
	return n;
}

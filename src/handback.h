/*
 * Late binding of queued requests: decides which requests in the queue of the backend server are
 * returned to their senders, so that they can be placed at another server. Load pattern: a server
 * becomes several times slower while requests wait for it, and other servers are idle. A queue that
 * is long because of many arrivals keeps its order; only a lower pace of the server returns
 * requests. No I/O, no allocation and no clock: the caller passes the time.
 */
#ifndef LW_HANDBACK_H
#define LW_HANDBACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "waitq.h"

/* Steps over which the pace of the server is measured at most. */
#define LW_HANDBACK_STEPS_MAX 20
/* Most requests that one step returns, whatever the number of slots. */
#define LW_HANDBACK_RETURNS_MAX 128

typedef struct lw_handback_step {
	uint32_t done; /* requests whose slots became free */
	uint32_t took_us;
} lw_handback_step_t;

/* Pace at which the backend server completes work. */
typedef struct lw_handback {
	lw_handback_step_t steps[LW_HANDBACK_STEPS_MAX]; /* ring; the queue was never empty */
	uint32_t nsteps;
	uint32_t newest; /* index in steps */
	uint32_t done; /* slots that became free in the current step */
	uint32_t done_total; /* since the start of the server's process, up to a maximum */
	bool queued; /* the queue has not been empty in the current step */
	uint64_t step_began_us;
	uint32_t returned_us; /* lw_waiter_t.each_us of the request returned last */
	double each_us; /* least time between two completions now; 0: unknown */
} lw_handback_t;

void lw_handback_reset(lw_handback_t *h);
void lw_handback_done(lw_handback_t *h);
void lw_handback_queue_empty(lw_handback_t *h);
void lw_handback_step(lw_handback_t *h, bool queued, uint32_t limit, double service_us,
		      uint64_t now_us);
uint32_t lw_handback_usual_us(const lw_handback_t *h, uint32_t limit, double service_us,
			      double paced_us);
void lw_handback_returned(lw_handback_t *h, const lw_waiter_t *w);
uint32_t lw_handback_kept_us(const lw_handback_t *h);
size_t lw_handback_choose(const lw_handback_t *h, const lw_waitq_t *q, uint32_t limit,
			  uint64_t now_us, lw_waiter_t **chosen);

#endif

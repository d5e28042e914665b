/*
 * The order in which requests wait for the backend server when the load
 * exceeds its slots. Requests differ in how long they can wait, and some are
 * successive calls for the same user request. The most urgent priority goes
 * first. Within a priority, requests whose user request can still meet its
 * latency objective go before those that are late in any case, then the
 * request whose objective ends soonest: work in progress is completed before
 * new work is started.
 */
#ifndef LW_WAITQ_H
#define LW_WAITQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct lw_waiter {
	uint32_t priority; /* 0 is the most urgent */
	bool late; /* the user request cannot meet its latency objective any more */
	uint64_t target_us; /* end of the latency objective of the user request */
	uint64_t expires_us; /* starting the request after this time is useless */
	uint32_t work_us; /* expected execution time; 0: not used */
	bool is_long; /* long work: may not hold all slots, see slotshare.h */
	uint64_t queued_us;
	/* expected time between two completions when it was queued; 0: it is never returned */
	uint32_t each_us;
	struct lw_waiter *prev;
	struct lw_waiter *next;
} lw_waiter_t;

typedef struct lw_waitq {
	lw_waiter_t *first;
	lw_waiter_t *last;
	size_t len;
	uint64_t work_us; /* sum of the expected execution times */
	uint64_t long_work_us; /* that of long work */
} lw_waitq_t;

bool lw_waiter_before(const lw_waiter_t *a, const lw_waiter_t *b);
void lw_waitq_push(lw_waitq_t *q, lw_waiter_t *w);
lw_waiter_t *lw_waitq_pop(lw_waitq_t *q);
void lw_waitq_remove(lw_waitq_t *q, lw_waiter_t *w);
lw_waiter_t *lw_waitq_expired(const lw_waitq_t *q, uint64_t now_us);
size_t lw_waitq_count_ahead(const lw_waitq_t *q, const lw_waiter_t *w);
uint64_t lw_waitq_work_ahead(const lw_waitq_t *q, const lw_waiter_t *w);

#endif

/*
 * The order in which requests wait for the backend server. Load pattern: more
 * work than slots, of kinds that differ in how long they can wait, and calls
 * made one after another for the same user request. The most urgent priority
 * goes first. Among equals those whose user request can still be in time go
 * before those that are late anyhow, then the one whose objective ends
 * soonest: what was begun is finished before something new is begun.
 */
#ifndef LW_WAITQ_H
#define LW_WAITQ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct lw_waiter {
	uint32_t priority; /* 0 is the most urgent */
	bool late; /* its user request cannot be in time any more */
	uint64_t target_us; /* when that one's latency objective ends */
	uint64_t expires_us; /* no use in starting it later */
	struct lw_waiter *prev;
	struct lw_waiter *next;
} lw_waiter_t;

typedef struct lw_waitq {
	lw_waiter_t *first;
	lw_waiter_t *last;
	size_t len;
} lw_waitq_t;

bool lw_waiter_before(const lw_waiter_t *a, const lw_waiter_t *b);
void lw_waitq_push(lw_waitq_t *q, lw_waiter_t *w);
lw_waiter_t *lw_waitq_pop(lw_waitq_t *q);
void lw_waitq_remove(lw_waitq_t *q, lw_waiter_t *w);
lw_waiter_t *lw_waitq_expired(const lw_waitq_t *q, uint64_t now_us);
size_t lw_waitq_count_ahead(const lw_waitq_t *q, const lw_waiter_t *w);

#endif

/*
 * Which queued request starts next if a backend server executes short and long work side by side,
 * and how many of its slots long work may hold. Load pattern: calls of 40 ms with an objective of
 * 300 ms arrive beside work of 640 ms. If long work takes every slot that is free for a moment,
 * the calls that arrive next wait for its end and are late. Therefore as many slots as the short
 * kinds have needed recently are kept free of long work. Long work starts all the same when it
 * could not start later. No I/O; the caller passes the time.
 */
#ifndef LW_SLOTSHARE_H
#define LW_SLOTSHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleetconf.h"
#include "level.h"
#include "waitq.h"
#include "worktime.h"

/* The rule in force; all zero bytes: none, requests start in the order of the queue. */
typedef struct lw_slotshare {
	uint64_t long_from_us; /* a kind that takes longer is long; 0: no rule in force */
	uint32_t reserved; /* slots that long work may not hold */
	uint32_t short_priority; /* the most urgent one of the short kinds */
	uint64_t short_left_us; /* what is left of the objective of the short kinds on arrival */
} lw_slotshare_t;

/* Requests that the backend server is executing. */
typedef struct lw_slotuse {
	uint32_t running;
	uint32_t running_long;
	uint64_t work_us; /* sum of their expected execution times */
	double ends_per_us; /* expected rate at which they end */
} lw_slotuse_t;

void lw_slotshare_update(lw_slotshare_t *s, const lw_worktable_t *t, uint32_t limit);
bool lw_slotshare_is_long(const lw_slotshare_t *s, uint32_t work_us, uint32_t priority,
			  uint64_t left_us);
uint32_t lw_slotshare_long_max(const lw_slotshare_t *s, uint32_t limit);
bool lw_slotshare_may_start(const lw_slotshare_t *s, const lw_slotuse_t *u, const lw_waiter_t *w,
			    uint32_t limit, uint64_t now_us);
lw_waiter_t *lw_slotshare_next(const lw_slotshare_t *s, const lw_slotuse_t *u, const lw_waitq_t *q,
			       uint32_t limit, uint64_t now_us);
uint64_t lw_slotshare_wait_us(const lw_slotuse_t *u, const lw_waiter_t *w, uint64_t ahead_us,
			      uint32_t limit);
void lw_slotshare_level_input(const lw_slotuse_t *u, const lw_waitq_t *q,
			      const lw_fleet_objectives_t *o, lw_level_input_t *in);
void lw_slotuse_start(lw_slotuse_t *u, const lw_waiter_t *w);
void lw_slotuse_end(lw_slotuse_t *u, const lw_waiter_t *w);

#endif

/*
 * The timer service: one thread that calls each subscriber periodically. Modules
 * subscribe instead of running their own sleeping threads, so that all periodic
 * jobs of a process are in one place.
 */
#ifndef LW_TIMER_H
#define LW_TIMER_H

#include <stdint.h>

typedef void (*lw_timer_fn)(void *ctx, uint64_t now_ms);

typedef struct lw_timer lw_timer_t;

lw_timer_t *lw_timer_start(void);
int lw_timer_subscribe(lw_timer_t *t, uint32_t period_ms, lw_timer_fn fn, void *ctx);
void lw_timer_arm(lw_timer_t *t, int sub, uint64_t at_ms);
void lw_timer_stop(lw_timer_t *t);

#endif

/* Event loop context; see evloop.h. */
#include "evloop.h"

#include <stdlib.h>
#include <string.h>

#include "linux/clock.h"
#include "xalloc.h"

/*
 * A suspended host does not notice the suspend: its monotonic clock stops while its callers
 * time out. A difference between boot time and monotonic time above this value, in us, is a
 * suspend and not a rounding difference of the clocks.
 */
#define SUSPEND_MIN_US 100000
/*
 * A process stopped by a signal sees both clocks advance. The tick limits every wait, so a
 * loop iteration that starts later than this was delayed, in us.
 */
#define ITERATION_MAX_US ((uint64_t)(LW_EVLOOP_TICK_S * 1e6) + 300000)

static void on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	lw_evloop_t *evloop = w->data;
	uint64_t boot = lw_now_boot_us();
	uint64_t mono = lw_now_us();
	uint64_t clock_gap = (boot - evloop->now_us) - (mono - evloop->mono_us);

	(void)loop;
	(void)revents;
	evloop->suspended_us = 0;
	evloop->iterations++;
	if (boot - evloop->now_us > mono - evloop->mono_us && clock_gap > SUSPEND_MIN_US)
		evloop->suspended_us = clock_gap;
	else if (mono - evloop->mono_us > ITERATION_MAX_US)
		evloop->suspended_us = mono - evloop->mono_us;
	evloop->now_us = boot;
	evloop->mono_us = mono;
}

static void record_iteration(lw_evloop_t *evloop)
{
	uint64_t took_us = lw_now_us() - evloop->mono_us;

	if (took_us > evloop->longest_iteration_us)
		evloop->longest_iteration_us = took_us;
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	lw_evloop_t *evloop = w->data;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < evloop->nflush; i++)
		evloop->flush_hooks[i].fn(evloop->flush_hooks[i].ctx);
	for (size_t i = 0; i < evloop->ngarbage; i++)
		free(evloop->garbage[i]);
	evloop->ngarbage = 0;
	record_iteration(evloop);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_evloop_t *evloop = w->data;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < evloop->ntick; i++)
		evloop->tick_hooks[i].fn(evloop->tick_hooks[i].ctx);
}

/*
 * lw_evloop_init() - initialises the event loop context; @seed seeds the random number
 * generator.
 */
void lw_evloop_init(lw_evloop_t *evloop, const lw_proxy_settings_t *set,
		    const lw_wirenames_t *names, uint64_t seed)
{
	memset(evloop, 0, sizeof(*evloop));
	evloop->loop = ev_default_loop(EVBACKEND_EPOLL);
	evloop->set = set;
	evloop->names = names;
	evloop->now_us = lw_now_boot_us();
	evloop->mono_us = lw_now_us();
	evloop->rng = seed | 1;
	ev_prepare_init(&evloop->prepare, on_prepare);
	evloop->prepare.data = evloop;
	ev_prepare_start(evloop->loop, &evloop->prepare);
	ev_check_init(&evloop->check, on_check);
	evloop->check.data = evloop;
	ev_set_priority(&evloop->check, EV_MAXPRI);
	ev_check_start(evloop->loop, &evloop->check);
	ev_timer_init(&evloop->tick, on_tick, LW_EVLOOP_TICK_S, LW_EVLOOP_TICK_S);
	evloop->tick.data = evloop;
	ev_timer_start(evloop->loop, &evloop->tick);
}

/* lw_evloop_on_tick() - calls @fn every LW_EVLOOP_TICK_S seconds. */
void lw_evloop_on_tick(lw_evloop_t *evloop, lw_evloop_fn fn, void *ctx)
{
	evloop->tick_hooks[evloop->ntick++] = (lw_evloop_hook_t){ fn, ctx };
}

/*
 * lw_evloop_on_flush() - calls @fn at the end of each loop iteration, so that many events
 * share one write.
 */
void lw_evloop_on_flush(lw_evloop_t *evloop, lw_evloop_fn fn, void *ctx)
{
	evloop->flush_hooks[evloop->nflush++] = (lw_evloop_hook_t){ fn, ctx };
}

/*
 * lw_evloop_free_later() - frees @ptr at the end of this loop iteration, as callers up the
 * stack may still use it.
 */
void lw_evloop_free_later(lw_evloop_t *evloop, void *ptr)
{
	if (evloop->ngarbage == evloop->garbage_cap) {
		evloop->garbage_cap = evloop->garbage_cap ? evloop->garbage_cap * 2 : 64;
		evloop->garbage =
			xrealloc(evloop->garbage, evloop->garbage_cap * sizeof(*evloop->garbage));
	}
	evloop->garbage[evloop->ngarbage++] = ptr;
}

/* lw_evloop_random() - returns a random number from 0 to @below - 1 (xorshift64*). */
uint32_t lw_evloop_random(lw_evloop_t *evloop, uint32_t below)
{
	evloop->rng ^= evloop->rng >> 12;
	evloop->rng ^= evloop->rng << 25;
	evloop->rng ^= evloop->rng >> 27;
	return below ? (uint32_t)((evloop->rng * 2685821657736338717ULL) >> 32) % below : 0;
}

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
	lw_evloop_t *h = w->data;
	uint64_t boot = lw_now_boot_us();
	uint64_t mono = lw_now_us();
	uint64_t clock_gap = (boot - h->now_us) - (mono - h->mono_us);

	(void)loop;
	(void)revents;
	h->suspended_us = 0;
	if (boot - h->now_us > mono - h->mono_us && clock_gap > SUSPEND_MIN_US)
		h->suspended_us = clock_gap;
	else if (mono - h->mono_us > ITERATION_MAX_US)
		h->suspended_us = mono - h->mono_us;
	h->now_us = boot;
	h->mono_us = mono;
}

static void record_iteration(lw_evloop_t *h)
{
	uint64_t took_us = lw_now_us() - h->mono_us;

	if (took_us > h->longest_iteration_us)
		h->longest_iteration_us = took_us;
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	lw_evloop_t *h = w->data;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < h->nflush; i++)
		h->flush_hooks[i].fn(h->flush_hooks[i].ctx);
	for (size_t i = 0; i < h->ngarbage; i++)
		free(h->garbage[i]);
	h->ngarbage = 0;
	record_iteration(h);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_evloop_t *h = w->data;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < h->ntick; i++)
		h->tick_hooks[i].fn(h->tick_hooks[i].ctx);
}

/*
 * lw_evloop_init() - initialises the event loop context; @seed seeds the random number
 * generator.
 */
void lw_evloop_init(lw_evloop_t *h, const lw_proxy_settings_t *set, const lw_wirenames_t *names,
		    uint64_t seed)
{
	memset(h, 0, sizeof(*h));
	h->loop = ev_default_loop(EVBACKEND_EPOLL);
	h->set = set;
	h->names = names;
	h->now_us = lw_now_boot_us();
	h->mono_us = lw_now_us();
	h->rng = seed | 1;
	ev_prepare_init(&h->prepare, on_prepare);
	h->prepare.data = h;
	ev_prepare_start(h->loop, &h->prepare);
	ev_check_init(&h->check, on_check);
	h->check.data = h;
	ev_set_priority(&h->check, EV_MAXPRI);
	ev_check_start(h->loop, &h->check);
	ev_timer_init(&h->tick, on_tick, LW_EVLOOP_TICK_S, LW_EVLOOP_TICK_S);
	h->tick.data = h;
	ev_timer_start(h->loop, &h->tick);
}

/* lw_evloop_on_tick() - calls @fn every LW_EVLOOP_TICK_S seconds. */
void lw_evloop_on_tick(lw_evloop_t *h, lw_evloop_fn fn, void *ctx)
{
	h->tick_hooks[h->ntick++] = (lw_evloop_hook_t){ fn, ctx };
}

/*
 * lw_evloop_on_flush() - calls @fn at the end of each loop iteration, so that many events
 * share one write.
 */
void lw_evloop_on_flush(lw_evloop_t *h, lw_evloop_fn fn, void *ctx)
{
	h->flush_hooks[h->nflush++] = (lw_evloop_hook_t){ fn, ctx };
}

/*
 * lw_evloop_free_later() - frees @ptr at the end of this loop iteration, as callers up the
 * stack may still use it.
 */
void lw_evloop_free_later(lw_evloop_t *h, void *ptr)
{
	if (h->ngarbage == h->garbage_cap) {
		h->garbage_cap = h->garbage_cap ? h->garbage_cap * 2 : 64;
		h->garbage = xrealloc(h->garbage, h->garbage_cap * sizeof(*h->garbage));
	}
	h->garbage[h->ngarbage++] = ptr;
}

/* lw_evloop_random() - returns a random number from 0 to @below - 1 (xorshift64*). */
uint32_t lw_evloop_random(lw_evloop_t *h, uint32_t below)
{
	h->rng ^= h->rng >> 12;
	h->rng ^= h->rng << 25;
	h->rng ^= h->rng >> 27;
	return below ? (uint32_t)((h->rng * 2685821657736338717ULL) >> 32) % below : 0;
}

/* The event loop's shared state; see hub.h. */
#include "hub.h"

#include <stdlib.h>
#include <string.h>

#include "linux/clock.h"
#include "xalloc.h"

/*
 * A suspended host notices nothing: its monotonic clock stands still while
 * its callers give up. A difference between boot time and monotonic time
 * above this is a suspension and not the clocks' rounding.
 */
#define SUSPEND_MIN_US 100000
/*
 * A process that was stopped by a signal sees both clocks go on. The tick
 * ends every wait, so a turn that comes later than this was held up, us.
 */
#define TURN_MAX_US ((uint64_t)(LW_HUB_TICK_S * 1e6) + 300000)

static void on_check(struct ev_loop *loop, ev_check *w, int revents)
{
	lw_hub_t *h = w->data;
	uint64_t boot = lw_now_boot_us();
	uint64_t mono = lw_now_us();
	uint64_t apart = (boot - h->now_us) - (mono - h->mono_us);

	(void)loop;
	(void)revents;
	h->slept_us = 0;
	if (boot - h->now_us > mono - h->mono_us && apart > SUSPEND_MIN_US)
		h->slept_us = apart;
	else if (mono - h->mono_us > TURN_MAX_US)
		h->slept_us = mono - h->mono_us;
	h->now_us = boot;
	h->mono_us = mono;
}

static void note_turn(lw_hub_t *h)
{
	uint64_t took_us = lw_now_us() - h->mono_us;

	if (took_us > h->longest_turn_us)
		h->longest_turn_us = took_us;
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	lw_hub_t *h = w->data;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < h->nflush; i++)
		h->flush_hooks[i].fn(h->flush_hooks[i].ctx);
	for (size_t i = 0; i < h->ngarbage; i++)
		free(h->garbage[i]);
	h->ngarbage = 0;
	note_turn(h);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_hub_t *h = w->data;

	(void)loop;
	(void)revents;
	for (size_t i = 0; i < h->ntick; i++)
		h->tick_hooks[i].fn(h->tick_hooks[i].ctx);
}

/* lw_hub_init() - prepare the loop; @seed starts the random numbers. */
void lw_hub_init(lw_hub_t *h, const lw_proxy_settings_t *set, const lw_wirenames_t *names,
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
	ev_timer_init(&h->tick, on_tick, LW_HUB_TICK_S, LW_HUB_TICK_S);
	h->tick.data = h;
	ev_timer_start(h->loop, &h->tick);
}

/* lw_hub_on_tick() - call @fn every LW_HUB_TICK_S seconds. */
void lw_hub_on_tick(lw_hub_t *h, lw_hub_fn fn, void *ctx)
{
	h->tick_hooks[h->ntick++] = (lw_hub_hook_t){ fn, ctx };
}

/* lw_hub_on_flush() - call @fn before the loop waits: one write for many events. */
void lw_hub_on_flush(lw_hub_t *h, lw_hub_fn fn, void *ctx)
{
	h->flush_hooks[h->nflush++] = (lw_hub_hook_t){ fn, ctx };
}

/*
 * lw_hub_free_later() - free @ptr when this turn of the loop is over, as
 * callers up the stack may still look at it.
 */
void lw_hub_free_later(lw_hub_t *h, void *ptr)
{
	if (h->ngarbage == h->garbage_cap) {
		h->garbage_cap = h->garbage_cap ? h->garbage_cap * 2 : 64;
		h->garbage = xrealloc(h->garbage, h->garbage_cap * sizeof(*h->garbage));
	}
	h->garbage[h->ngarbage++] = ptr;
}

/* lw_hub_random() - a random number from 0 to @below - 1 (xorshift64*). */
uint32_t lw_hub_random(lw_hub_t *h, uint32_t below)
{
	h->rng ^= h->rng >> 12;
	h->rng ^= h->rng << 25;
	h->rng ^= h->rng >> 27;
	return below ? (uint32_t)((h->rng * 2685821657736338717ULL) >> 32) % below : 0;
}

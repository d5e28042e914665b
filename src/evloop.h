/*
 * What the parts of the request loop share: the event loop, the time, the
 * settings, and objects to be freed once no callback can still hold them.
 */
#ifndef LW_EVLOOP_H
#define LW_EVLOOP_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proxyset.h"
#include "wirenames.h"

typedef void (*lw_evloop_fn)(void *ctx);

/* Called on an event of the loop; subscribed with lw_hub_on_*(). */
typedef struct lw_evloop_hook {
	lw_evloop_fn fn;
	void *ctx;
} lw_evloop_hook_t;

#define LW_EVLOOP_HOOKS_MAX 8

typedef struct lw_evloop {
	struct ev_loop *loop;
	const lw_proxyset_t *set;
	const lw_wirenames_t *names;
	uint64_t now_us; /* boot time at the start of this turn of the loop */
	uint64_t suspended_us; /* how long the host or process stood still before this turn */
	bool leaving; /* SIGTERM came: callers are told not to come */
	uint64_t exit_us; /* the process is gone by then, in boot time; 0: it does not stop */
	bool callers_refused; /* only calls of running requests are still taken on this host */
	bool peers_told; /* other nodes are told to send work elsewhere */
	ev_prepare prepare;
	ev_check check;
	ev_timer tick;
	uint64_t mono_us; /* monotonic time at the start of this turn */
	uint64_t longest_iteration_us; /* since the start of the process */
	lw_evloop_hook_t tick_hooks[LW_EVLOOP_HOOKS_MAX];
	size_t ntick;
	lw_evloop_hook_t flush_hooks[LW_EVLOOP_HOOKS_MAX];
	size_t nflush;
	void **garbage;
	size_t ngarbage;
	size_t garbage_cap;
	uint64_t rng; /* state of the random numbers */
} lw_evloop_t;

/* Period of the tick that parts subscribe to, in seconds. */
#define LW_EVLOOP_TICK_S 0.5

void lw_evloop_init(lw_evloop_t *h, const lw_proxyset_t *set, const lw_wirenames_t *names,
		    uint64_t seed);
void lw_evloop_on_tick(lw_evloop_t *h, lw_evloop_fn fn, void *ctx);
void lw_evloop_on_flush(lw_evloop_t *h, lw_evloop_fn fn, void *ctx);
void lw_evloop_free_later(lw_evloop_t *h, void *ptr);
uint32_t lw_evloop_random(lw_evloop_t *h, uint32_t below);

#endif

/*
 * Event loop context shared by the modules of the request loop: the loop, the current time,
 * the settings, and deferred freeing of objects that callbacks may still use.
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

/* Callback on a loop event, registered with lw_evloop_on_*(). */
typedef struct lw_evloop_hook {
	lw_evloop_fn fn;
	void *ctx;
} lw_evloop_hook_t;

#define LW_EVLOOP_HOOKS_MAX 8

typedef struct lw_evloop {
	struct ev_loop *loop;
	const lw_proxy_settings_t *set;
	const lw_wirenames_t *names;
	uint64_t now_us; /* boot time at the start of this loop iteration */
	/* how long the host or process was suspended before this iteration */
	uint64_t suspended_us;
	bool leaving; /* SIGTERM was received: callers are asked to use other nodes */
	/* time by which the process exits, in boot time; 0: it is not stopping */
	uint64_t exit_us;
	/* only calls made by running requests are still accepted on this host */
	bool callers_refused;
	bool cautious; /* stopping: only requests that surely end before the exit are accepted */
	bool peers_notified; /* other nodes were asked to send requests elsewhere */
	ev_prepare prepare;
	ev_check check;
	ev_timer tick;
	uint64_t mono_us; /* monotonic time at the start of this iteration */
	uint64_t longest_iteration_us; /* since the process started */
	uint64_t iterations; /* since the process started */
	lw_evloop_hook_t tick_hooks[LW_EVLOOP_HOOKS_MAX];
	size_t ntick;
	lw_evloop_hook_t flush_hooks[LW_EVLOOP_HOOKS_MAX];
	size_t nflush;
	void **garbage;
	size_t ngarbage;
	size_t garbage_cap;
	uint64_t rng; /* state of the random number generator */
} lw_evloop_t;

/* Period of the tick callbacks, in seconds. */
#define LW_EVLOOP_TICK_S 0.5

void lw_evloop_init(lw_evloop_t *evloop, const lw_proxy_settings_t *set,
		    const lw_wirenames_t *names, uint64_t seed);
void lw_evloop_on_tick(lw_evloop_t *evloop, lw_evloop_fn fn, void *ctx);
void lw_evloop_on_flush(lw_evloop_t *evloop, lw_evloop_fn fn, void *ctx);
void lw_evloop_free_later(lw_evloop_t *evloop, void *ptr);
uint32_t lw_evloop_random(lw_evloop_t *evloop, uint32_t below);

#endif

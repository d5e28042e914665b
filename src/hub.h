/*
 * What the parts of the request loop share: the event loop, the time, the
 * settings, and objects to be freed once no callback can still hold them.
 */
#ifndef LW_HUB_H
#define LW_HUB_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "proxyset.h"
#include "wirenames.h"

typedef void (*lw_hub_fn)(void *ctx);

/* Called on an event of the loop; subscribed with lw_hub_on_*(). */
typedef struct lw_hub_hook {
	lw_hub_fn fn;
	void *ctx;
} lw_hub_hook_t;

#define LW_HUB_HOOKS_MAX 8

typedef struct lw_hub {
	struct ev_loop *loop;
	const lw_proxy_settings_t *set;
	const lw_wirenames_t *names;
	uint64_t now_us; /* boot time at the start of this turn of the loop */
	uint64_t slept_us; /* how long the host or process stood still before this turn */
	bool leaving; /* SIGTERM came: callers are told not to come */
	uint64_t exit_us; /* the process is gone by then, in boot time; 0: it does not stop */
	bool callers_refused; /* only calls of running requests are still taken on this host */
	bool peers_told; /* other nodes are told to send work elsewhere */
	ev_prepare prepare;
	ev_check check;
	ev_timer tick;
	uint64_t mono_us; /* monotonic time at the start of this turn */
	uint64_t longest_turn_us; /* since the start of the process */
	lw_hub_hook_t tick_hooks[LW_HUB_HOOKS_MAX];
	size_t ntick;
	lw_hub_hook_t flush_hooks[LW_HUB_HOOKS_MAX];
	size_t nflush;
	void **garbage;
	size_t ngarbage;
	size_t garbage_cap;
	uint64_t rng; /* state of the random numbers */
} lw_hub_t;

/* Period of the tick that parts subscribe to, in seconds. */
#define LW_HUB_TICK_S 0.5

void lw_hub_init(lw_hub_t *h, const lw_proxy_settings_t *set, const lw_wirenames_t *names,
		 uint64_t seed);
void lw_hub_on_tick(lw_hub_t *h, lw_hub_fn fn, void *ctx);
void lw_hub_on_flush(lw_hub_t *h, lw_hub_fn fn, void *ctx);
void lw_hub_free_later(lw_hub_t *h, void *ptr);
uint32_t lw_hub_random(lw_hub_t *h, uint32_t below);

#endif

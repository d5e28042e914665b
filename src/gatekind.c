/* The gate's use of execution times by kind of work; see worktime.h and slotshare.h. */
#include "gate_int.h"

#include <string.h>

#include "log.h"

/*
 * Whether decisions use the execution times by kind: only if the objectives of the routes and the
 * times of the kinds both differ. Queued requests keep the times they were queued with.
 */
static void apply_kinds(lw_gate_t *g)
{
	bool by_kind = g->mixed && lw_worktable_differs(&g->work, g->by_kind);

	if (by_kind)
		lw_slotshare_update(&g->share, &g->work, g->limit);
	else
		memset(&g->share, 0, sizeof(g->share));
	if (by_kind == g->by_kind)
		return;
	g->by_kind = by_kind;
	g->arrived_us = 0;
	lw_log(LW_LOG_work_by_kind, "server=%s in_effect=%d kinds=%u service_ms=%u reserved=%u",
	       g->server_id, by_kind, g->work.n, (unsigned)(g->service_us / 1000),
	       g->share.reserved);
}

/* lw_gate_update_kinds() - one step of the observations by kind; every LW_LEVEL_STEP_MS. */
void lw_gate_update_kinds(lw_gate_t *g)
{
	lw_worktable_step(&g->work, LW_LEVEL_STEP_MS * 1000, g->evloop->now_us);
	apply_kinds(g);
}

/* lw_gate_forget_kinds() - the backend server is another process: discard what was observed. */
void lw_gate_forget_kinds(lw_gate_t *g)
{
	memset(&g->work, 0, sizeof(g->work));
	apply_kinds(g);
}

/* lw_gate_set_mixed() - the configuration @fc is in force; the backend server is of @service. */
void lw_gate_set_mixed(lw_gate_t *g, const lw_fleetconf_t *fc, const char *service)
{
	g->mixed = lw_fleetconf_mixed(fc, service, &g->objectives);
	apply_kinds(g);
}

/*
 * lw_gate_starts_at_once() - whether a request that just arrived starts without waiting. It passes
 * only queued requests that may not start: long work that has no slot left.
 */
bool lw_gate_starts_at_once(lw_gate_t *g, const lw_waiter_t *w)
{
	uint64_t now_us = g->evloop->now_us;

	if (lw_gate_busy_slots(g) >= g->limit || !lw_ratelimit_ready(&g->ratelimit, now_us))
		return false;
	return !lw_slotshare_next(&g->share, &g->use, &g->queue, g->limit, now_us) &&
	       lw_slotshare_may_start(&g->share, &g->use, w, g->limit, now_us);
}

/* lw_gate_slot_wait_us() - expected wait of @w for a slot; 0 while kinds are not used. */
uint64_t lw_gate_slot_wait_us(lw_gate_t *g, const lw_waiter_t *w)
{
	if (!g->by_kind || lw_gate_starts_at_once(g, w))
		return 0;
	return lw_slotshare_wait_us(&g->use, w, lw_waitq_work_ahead(&g->queue, w), g->limit);
}

/* lw_gate_count_start() - count in the statistics that @w, queued or just arrived, starts. */
void lw_gate_count_start(lw_gate_t *g, const lw_waiter_t *w)
{
	uint32_t long_max = lw_slotshare_long_max(&g->share, g->limit);

	g->stats.ahead_of_long += g->queue.first && w != g->queue.first;
	g->stats.long_due += g->by_kind && w->is_long && g->use.running_long >= long_max;
}

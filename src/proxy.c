/* The proxy process; see proxy.h. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "linux/clock.h"
#include "linux/fatal.h"
#include "log.h"
#include "proxy_int.h"
#include "proxystats.h"
#include "proxystatus.h"

/*
 * SIGHUP reloads the drain, grace, retry, quota and log settings; all others
 * change only at a restart.
 */
static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_proxy_settings_t fresh;

	(void)loop;
	(void)revents;
	lw_proxy_settings_defaults(&fresh);
	if (lw_proxy_settings_load(p->path, &fresh)) {
		lw_log(LW_LOG_settings_invalid, "signal=1 kept=old why=\"%s\"", lw_error_last());
		return;
	}
	p->set->drain_s = fresh.drain_s;
	p->set->grace_s = fresh.grace_s;
	p->set->retry_ratio = fresh.retry_ratio;
	p->set->retry_extra = fresh.retry_extra;
	p->set->retry_window_s = fresh.retry_window_s;
	p->set->log_request_lines = fresh.log_request_lines;
	lw_log_limit(p->set->log_request_lines);
	p->engine.place.retry_allowance = lw_proxy_settings_retry_allowance(p->set);
	p->set->quota_window_s = fresh.quota_window_s;
	p->set->quota_overage = fresh.quota_overage;
	p->set->quota_slack = fresh.quota_slack;
	lw_proxy_quota_update_settings(p);
	lw_log(LW_LOG_settings_reloaded, "signal=1 grace_s=%.1f retry_ratio=%.2f retry_extra=%.0f",
	       p->set->grace_s, p->set->retry_ratio, p->set->retry_extra);
}

static void publish_stats(lw_proxy_t *p)
{
	lw_proxystats_t s = {
		.engine = p->engine.stats,
		.gate = p->engine.gate.stats,
		.mesh = *lw_mesh_stats(p->engine.mesh),
		.callers = *lw_callers_stats(p->callers),
		.store_reader = p->store_reader.stats,
		.routes = &p->engine.routes,
		.connections = lw_callers_count(p->callers),
		.active = p->engine.active,
		.level = p->engine.gate.level.level,
		.servers = p->engine.place.nhosts,
		.entries_doubted = p->engine.place.doubted,
		.config_version = p->engine.conf ? p->engine.conf->version : 0,
		.servers_revision = p->servers ? p->servers->revision : 0,
		.news_age_ms = lw_proxy_update_age_ms(p),
		.log_dropped = lw_log_dropped(),
		.longest_iteration_us = p->evloop.longest_iteration_us,
		.suspects = lw_quarantine_count(p->engine.quarantine),
		.reader = lw_fanout_is_reader(&p->fanout),
		.ready = p->engine.conf && p->engine.place.nhosts && !p->evloop.leaving,
		.leaving = p->evloop.leaving,
	};

	lw_gate_load(&p->engine.gate, &s.load);
	s.norgs = lw_quota_counts(p->engine.quota, s.orgs, LW_PROXYSTATS_ORGS, &s.other_orgs);
	s.quota_alone = p->quota_alone;
	lw_place_zone_plans(&p->engine.place, s.zone_plans);
	s.shares = lw_fairshare_state(p->engine.fairshare);
	lw_proxystats_publish(&s);
}

static void write_status(lw_proxy_t *p)
{
	lw_proxystatus_t s = {
		.engine = &p->engine,
		.servers_revision = p->servers ? p->servers->revision : 0,
		.news_age_ms = lw_proxy_update_age_ms(p),
		.ready = p->engine.conf && p->engine.place.nhosts && !p->evloop.leaving,
		.reader = lw_fanout_is_reader(&p->fanout),
		.reads_store = p->reads_store,
		.reads_why = p->reads_why,
		.peer_read_from = p->peer_read_from,
		.fanout = &p->fanout,
		.quota_coordinator = p->quota_coordinator,
		.mesh = lw_mesh_stats(p->engine.mesh),
		.store_reader = &p->store_reader.stats,
	};
	size_t len = 0;
	char *text = NULL;
	FILE *f = open_memstream(&text, &len);

	lw_proxystatus_print(f, &s);
	fclose(f);
	lw_proxystats_set_status(text, len);
}

static void on_tick(void *ctx)
{
	lw_proxy_t *p = ctx;

	lw_proxy_reconnect_lost(p);
	publish_stats(p);
	lw_proxy_summary_tick(p);
	if (lw_proxystats_status_wanted())
		write_status(p);
}

/*
 * lw_proxy_mask_signals() - blocks or unblocks the signals that the event loop
 * handles; @how is SIG_BLOCK or SIG_UNBLOCK. main() blocks them first of all: a
 * signal that arrives before the event loop runs then stops the process in order
 * instead of killing it, and threads started meanwhile never receive one.
 */
void lw_proxy_mask_signals(int how)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(how, &set, NULL);
}

static void watch_signals(lw_proxy_t *p)
{
	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&p->term, lw_proxy_on_term, SIGTERM);
	ev_signal_init(&p->interrupt, lw_proxy_on_term, SIGINT);
	ev_signal_init(&p->hangup, on_hangup, SIGHUP);
	p->term.data = p;
	p->interrupt.data = p;
	p->hangup.data = p;
	ev_signal_start(p->evloop.loop, &p->term);
	ev_signal_start(p->evloop.loop, &p->interrupt);
	ev_signal_start(p->evloop.loop, &p->hangup);
}

static lw_status_t listen_all(lw_proxy_t *p)
{
	char mesh[LW_NAME_MAX + 8];
	lw_status_t st;

	snprintf(mesh, sizeof(mesh), "%s:%u", p->set->ip, p->set->mesh_port);
	st = lw_mesh_listen(p->engine.mesh, mesh);
	if (!st && p->set->metrics[0])
		st = lw_proxystats_serve(p->set->metrics);
	if (!st)
		st = lw_callers_listen(p->callers, p->set->ready, true);
	if (!st)
		st = lw_callers_listen(p->callers, p->set->callers, false);
	return st;
}

/* called in the handler of a fatal signal */
static void log_interrupted(void *ctx)
{
	const lw_proxy_t *p = ctx;

	lw_engine_log_interrupted(&p->engine);
}

/*
 * lw_proxy_run() - runs until SIGTERM and until the requests in progress have
 * ended. Fails only during startup, with the reason in lw_error_last().
 */
lw_status_t lw_proxy_run(lw_proxy_settings_t *set, const char *path, const lw_platform_t *platform)
{
	static lw_proxy_t proxy;
	lw_proxy_t *p = &proxy;
	lw_status_t st;

	p->set = set;
	p->path = path;
	p->platform = platform;
	lw_evloop_init(&p->evloop, set, platform->names, lw_now_us() ^ (uint64_t)getpid() << 32);
	p->engine.evloop = &p->evloop;
	p->engine.lot = lw_evloop_random(&p->evloop, UINT32_MAX);
	p->engine.on_stale_list = lw_proxy_refresh_list;
	p->engine.news_age_ms = lw_proxy_update_age_ms;
	p->engine.ctx = p;
	lw_place_node_addr(p->mesh_addr, sizeof(p->mesh_addr), set->backend, set->mesh_port);
	lw_proxy_lease_init(p);
	lw_proxy_quota_init(p);
	lw_place_init(&p->engine.place, set->zone, set->backend, set->mesh_port,
		      lw_proxy_settings_retry_allowance(set));
	lw_proxy_news_init(p);
	p->engine.quarantine = lw_quarantine_new();
	lw_gate_init(&p->engine.gate, &p->evloop, p->engine.quarantine,
		     &p->engine.place.retry_allowance);
	lw_proxy_notice_init(p);
	lw_proxy_crash_init(p);
	p->engine.overload = lw_overload_new();
	p->engine.mesh = lw_mesh_new(&p->evloop, &p->engine.gate, &lw_proxy_mesh_ops, p);
	p->callers = lw_callers_new(&p->engine);
	lw_proxy_summary_init(p);
	watch_signals(p);
	lw_evloop_on_tick(&p->evloop, on_tick, p);
	st = listen_all(p);
	if (!st)
		st = lw_proxy_start_store_reader(p);
	if (st)
		return st;
	lw_log(LW_LOG_started, "service=%s zone=%s callers=%s backend=%s", set->service, set->zone,
	       set->callers, set->backend);
	lw_fatal_install(log_interrupted, p);
	lw_proxy_mask_signals(SIG_UNBLOCK);
	ev_run(p->evloop.loop, 0);
	lw_proxy_summary_log(p);
	lw_log(LW_LOG_stopped, "active=%u cut_off=%llu", p->engine.active,
	       (unsigned long long)p->engine.gate.stats.cut_off);
	lw_log_flush();
	return LW_OK;
}

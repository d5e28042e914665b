/* The proxy as a whole; see proxy.h. */
#include "proxy.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "caller.h"
#include "exchange.h"
#include "linux/clock.h"
#include "log.h"
#include "proxystats.h"
#include "proxystatus.h"
#include "readers.h"
#include "stopplan.h"

/* the store is asked out of turn at most so often: its calls are few, us */
#define HURRY_AGAIN_US 200000

typedef struct lw_proxy {
	lw_proxyset_t *set;
	const char *path; /* of the settings file */
	const lw_platform_t *platform;
	lw_hub_t hub;
	lw_engine_t engine;
	lw_callers_t *callers;
	lw_feed_t feed;
	ev_async fed;
	ev_signal term;
	ev_signal interrupt;
	ev_signal hangup;
	uint64_t leaving_us;
	ev_timer stopping; /* runs from then on */
	bool had_self; /* the list has had the backend server on this host */
	lw_serverlist_t *servers; /* in use; NULL before the first */
	uint64_t news_us; /* when the store was last known to have been read */
	uint64_t hurried_us; /* when the store was last asked out of turn */
	uint64_t reading_us; /* when this node last had to read the store itself */
	bool reader; /* this node reads the store for others */
} lw_proxy_t;

static void apply_config(lw_proxy_t *p, lw_fleetconf_t *fc, const char *from)
{
	lw_fleetconf_t *old = p->engine.conf;

	if (old && fc->version <= old->version) {
		lw_fleetconf_free(fc);
		return;
	}
	p->engine.conf = fc;
	lw_log(LW_LOG_config_accepted, "version=%llu routes=%zu from=%s",
	       (unsigned long long)fc->version, fc->nroutes, from);
	lw_fleetconf_free(old);
}

static void apply_servers(lw_proxy_t *p, lw_serverlist_t *sl)
{
	const lw_place_host_t *self;
	bool known;

	if (p->servers && sl->revision <= p->servers->revision) {
		lw_serverlist_free(sl);
		return;
	}
	lw_place_update(&p->engine.place, sl, p->hub.now_us);
	self = lw_place_self(&p->engine.place, &known);
	lw_log(LW_LOG_servers_changed, "servers=%zu self=%s draining=%d", sl->nservers,
	       known ? self->id : "", known && self->draining);
	if (known)
		lw_gate_set_server(&p->engine.gate, self->id, self->slots, self->draining);
	else if (p->had_self)
		lw_gate_set_server(&p->engine.gate, p->engine.gate.server_id, 0, true);
	p->had_self |= known;
	lw_serverlist_free(p->servers);
	p->servers = sl;
	p->reader = lw_readers_include(sl, p->set->backend);
}

static void update_ready(lw_proxy_t *p)
{
	lw_callers_set_ready(p->callers, p->engine.conf && p->engine.place.nhosts);
}

static void on_fed(struct ev_loop *loop, ev_async *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_fleetconf_t *fc = lw_mailbox_take(&p->feed.conf);
	lw_serverlist_t *sl = lw_mailbox_take(&p->feed.servers);

	(void)loop;
	(void)revents;
	if (fc)
		apply_config(p, fc, "store");
	if (sl)
		apply_servers(p, sl);
	update_ready(p);
	if (lw_feed_last_read_us(&p->feed) > p->news_us) {
		p->news_us = lw_feed_last_read_us(&p->feed);
		if (p->reader)
			lw_mesh_spread(p->engine.mesh);
	}
}

/* what the mesh asks and tells */

static void mesh_load(void *ctx, const char *node, const lw_load_t *load)
{
	lw_proxy_t *p = ctx;

	lw_place_node_told(&p->engine.place, node, load, p->hub.now_us);
}

static void mesh_lost(void *ctx, const char *node)
{
	lw_proxy_t *p = ctx;

	lw_log(LW_LOG_node_lost, "node=%s", node);
	lw_place_node_lost(&p->engine.place, node, p->hub.now_us);
}

static uint64_t mesh_config_version(void *ctx)
{
	const lw_proxy_t *p = ctx;

	return p->engine.conf ? p->engine.conf->version : 0;
}

static lw_str_t mesh_config_text(void *ctx)
{
	const lw_proxy_t *p = ctx;

	if (!p->engine.conf)
		return (lw_str_t){ NULL, 0 };
	return (lw_str_t){ p->engine.conf->text, p->engine.conf->textlen };
}

static void mesh_config_received(void *ctx, lw_str_t text)
{
	lw_proxy_t *p = ctx;
	lw_fleetconf_t *fc;

	if (p->platform->parse_config(text.ptr, text.len, &fc)) {
		lw_log(LW_LOG_config_rejected, "from=peer why=\"%s\"", lw_error_last());
		return;
	}
	apply_config(p, fc, "peer");
	update_ready(p);
}

static const lw_serverlist_t *mesh_servers(void *ctx)
{
	const lw_proxy_t *p = ctx;

	return p->servers;
}

static void mesh_servers_received(void *ctx, lw_serverlist_t *sl)
{
	lw_proxy_t *p = ctx;

	apply_servers(p, sl);
	update_ready(p);
}

static uint32_t mesh_news_age_ms(void *ctx)
{
	const lw_proxy_t *p = ctx;
	uint64_t age_us = lw_now_boot_us() - p->news_us;

	return age_us / 1000 < UINT32_MAX ? (uint32_t)(age_us / 1000) : UINT32_MAX;
}

static void mesh_news(void *ctx, uint32_t age_ms)
{
	lw_proxy_t *p = ctx;
	uint64_t age_us = (uint64_t)age_ms * 1000;
	uint64_t at = p->hub.now_us > age_us ? p->hub.now_us - age_us : 0;

	if (at > p->news_us)
		p->news_us = at;
	lw_feed_others_read(&p->feed, at);
}

static const lw_mesh_ops_t mesh_ops = {
	.load = mesh_load,
	.lost = mesh_lost,
	.config_version = mesh_config_version,
	.config_text = mesh_config_text,
	.config_received = mesh_config_received,
	.servers = mesh_servers,
	.servers_received = mesh_servers_received,
	.news_age_ms = mesh_news_age_ms,
	.news = mesh_news,
};

/* age of the oldest request under way, of callers or of other nodes; 0: there is none */
static uint64_t oldest_request_us(const lw_proxy_t *p)
{
	uint64_t theirs = lw_gate_oldest_us(&p->engine.gate);
	uint64_t ours = lw_engine_oldest_us(&p->engine);

	return ours > theirs ? ours : theirs;
}

/* the next steps of a stop */
static void go_on_stopping(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_stopstate_t state = {
		.since_us = p->hub.now_us - p->leaving_us,
		.grace_us = (uint64_t)(p->set->grace_s * 1e6),
		.oldest_us = oldest_request_us(p),
	};
	lw_stopplan_t plan = lw_stopplan(&state);

	(void)revents;
	if (plan.tell_peers && !p->hub.peers_told) {
		p->hub.peers_told = true;
		lw_mesh_announce(p->engine.mesh);
	}
	if (plan.close_idle)
		lw_callers_close_idle(p->callers);
	if (plan.refuse && !p->engine.gate.refusing) {
		lw_gate_refuse(&p->engine.gate);
		lw_mesh_announce(p->engine.mesh);
	}
	if (plan.close_listeners)
		lw_callers_close_listeners(p->callers);
	if (plan.exit)
		ev_break(loop, EVBREAK_ALL);
}

/*
 * A server has started anew and its old entry is all that is known. The next
 * look at the store would come 0.7 s later; after a power failure all calls to
 * the service failed until then.
 */
static void list_is_old(void *ctx)
{
	lw_proxy_t *p = ctx;

	if (p->hub.now_us - p->hurried_us < HURRY_AGAIN_US)
		return;
	p->hurried_us = p->hub.now_us;
	p->reading_us = p->hub.now_us;
	lw_feed_want(&p->feed, true);
	lw_feed_hurry(&p->feed);
}

/* SIGTERM: callers are told not to come; the rest follows by stopplan.c */
static void on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	lw_proxy_t *p = w->data;

	(void)revents;
	if (p->hub.leaving)
		return;
	lw_log(LW_LOG_stopping, "signal=%d active=%u running=%u", w->signum, p->engine.active,
	       p->engine.gate.ncalls);
	p->hub.leaving = true;
	p->leaving_us = p->hub.now_us;
	ev_timer_init(&p->stopping, go_on_stopping, LW_STOPPLAN_STEP_S, LW_STOPPLAN_STEP_S);
	p->stopping.data = p;
	ev_timer_start(loop, &p->stopping);
}

static lw_retryterms_t retry_terms(const lw_proxyset_t *set)
{
	return (lw_retryterms_t){ set->retry_ratio, set->retry_extra, set->retry_window_s };
}

/* SIGHUP: the terms may have changed; addresses stay as they are until a restart */
static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_proxyset_t fresh;

	(void)loop;
	(void)revents;
	lw_proxyset_defaults(&fresh);
	if (lw_proxyset_load(p->path, &fresh)) {
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
	p->engine.place.terms = retry_terms(p->set);
	lw_log(LW_LOG_settings_reloaded, "signal=1 grace_s=%.1f retry_ratio=%.2f retry_extra=%.0f",
	       p->set->grace_s, p->set->retry_ratio, p->set->retry_extra);
}

/* try to reach a node that was lost; its first status clears it */
static void contact(void *ctx, const char *node)
{
	lw_proxy_t *p = ctx;

	lw_mesh_contact(p->engine.mesh, node);
}

/*
 * A reader reads always. Any other node reads while the readers' news is old,
 * and a while longer, so that it does not change its mind with each message.
 */
static void decide_reading(lw_proxy_t *p)
{
	uint64_t now = p->hub.now_us;
	bool old = now > p->news_us + LW_NEWS_OLD_MS * 1000;
	bool lately;

	if (old || !p->servers || !p->engine.conf)
		p->reading_us = now;
	lately = now - p->reading_us < LW_READ_LEAST_MS * 1000;
	lw_feed_want(&p->feed, p->reader || lately);
	if (p->reader)
		lw_place_each(&p->engine.place, contact, p);
}

static void publish_stats(const lw_proxy_t *p)
{
	lw_proxystats_t s = {
		.engine = p->engine.stats,
		.gate = p->engine.gate.stats,
		.mesh = *lw_mesh_stats(p->engine.mesh),
		.callers = *lw_callers_stats(p->callers),
		.feed = p->feed.stats,
		.routes = &p->engine.routes,
		.connections = lw_callers_count(p->callers),
		.active = p->engine.active,
		.level = p->engine.gate.level.level,
		.servers = p->engine.place.nhosts,
		.config_version = p->engine.conf ? p->engine.conf->version : 0,
		.servers_revision = p->servers ? p->servers->revision : 0,
		.news_age_ms = mesh_news_age_ms((void *)(uintptr_t)p),
		.log_dropped = lw_log_dropped(),
		.reader = p->reader,
		.ready = p->engine.conf && p->engine.place.nhosts && !p->hub.leaving,
		.leaving = p->hub.leaving,
	};

	lw_gate_load(&p->engine.gate, &s.load);
	lw_proxystats_publish(&s);
}

static void write_status(lw_proxy_t *p)
{
	lw_proxystatus_t s = {
		.engine = &p->engine,
		.servers_revision = p->servers ? p->servers->revision : 0,
		.news_age_ms = mesh_news_age_ms(p),
		.ready = p->engine.conf && p->engine.place.nhosts && !p->hub.leaving,
		.reader = p->reader,
	};
	size_t len = 0;
	char *text = NULL;
	FILE *f = open_memstream(&text, &len);

	lw_proxystatus_print(f, &s);
	fclose(f);
	lw_proxystats_put_status(text, len);
}

static void on_tick(void *ctx)
{
	lw_proxy_t *p = ctx;

	lw_place_each_lost(&p->engine.place, contact, p);
	decide_reading(p);
	publish_stats(p);
	if (lw_proxystats_status_wanted())
		write_status(p);
}

/*
 * lw_proxy_mask_signals() - block or unblock the signals the loop handles;
 * @how is SIG_BLOCK or SIG_UNBLOCK. Blocked from the start of main() on, a
 * signal that comes before the loop runs stops it in order instead of killing
 * it, and threads begun meanwhile never take one.
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
	ev_signal_init(&p->term, on_term, SIGTERM);
	ev_signal_init(&p->interrupt, on_term, SIGINT);
	ev_signal_init(&p->hangup, on_hangup, SIGHUP);
	p->term.data = p;
	p->interrupt.data = p;
	p->hangup.data = p;
	ev_signal_start(p->hub.loop, &p->term);
	ev_signal_start(p->hub.loop, &p->interrupt);
	ev_signal_start(p->hub.loop, &p->hangup);
}

static void free_conf(void *fc)
{
	lw_fleetconf_free(fc);
}

static void free_servers(void *sl)
{
	lw_serverlist_free(sl);
}

static lw_status_t start_feed(lw_proxy_t *p)
{
	ev_async_init(&p->fed, on_fed);
	p->fed.data = p;
	ev_async_start(p->hub.loop, &p->fed);
	lw_feed_init(&p->feed, p->set);
	p->feed.conf = (lw_mailbox_t){ .release = free_conf, .loop = p->hub.loop, .wake = &p->fed };
	p->feed.servers =
		(lw_mailbox_t){ .release = free_servers, .loop = p->hub.loop, .wake = &p->fed };
	return p->platform->start_feed(&p->feed);
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

/*
 * lw_proxy_run() - run until SIGTERM and the end of what was under way. Fails
 * only at the start, with the reason in lw_error_last().
 */
lw_status_t lw_proxy_run(lw_proxyset_t *set, const char *path, const lw_platform_t *platform)
{
	static lw_proxy_t proxy;
	lw_proxy_t *p = &proxy;
	lw_status_t st;

	p->set = set;
	p->path = path;
	p->platform = platform;
	lw_hub_init(&p->hub, set, platform->names, lw_now_us() ^ (uint64_t)getpid() << 32);
	p->engine.hub = &p->hub;
	p->engine.list_is_old = list_is_old;
	p->engine.ctx = p;
	lw_place_init(&p->engine.place, set->zone, set->backend, set->mesh_port, retry_terms(set));
	lw_gate_init(&p->engine.gate, &p->hub);
	p->engine.hotpath = lw_hotpath_new();
	p->engine.mesh = lw_mesh_new(&p->hub, &p->engine.gate, &mesh_ops, p);
	p->callers = lw_callers_new(&p->engine);
	watch_signals(p);
	lw_hub_on_tick(&p->hub, on_tick, p);
	st = listen_all(p);
	if (!st)
		st = start_feed(p);
	if (st)
		return st;
	lw_log(LW_LOG_started, "service=%s zone=%s callers=%s backend=%s", set->service, set->zone,
	       set->callers, set->backend);
	lw_proxy_mask_signals(SIG_UNBLOCK);
	ev_run(p->hub.loop, 0);
	lw_log(LW_LOG_stopped, "active=%u", p->engine.active);
	lw_log_flush();
	return LW_OK;
}

/*
 * What the proxy learns and passes on: configurations and lists of backend
 * servers, from the store or from other nodes, and who has to read the store.
 */
#include "linux/clock.h"
#include "log.h"
#include "proxy_int.h"
#include "readers.h"

/* the store is asked out of turn at most so often: its calls are few, us */
#define HURRY_AGAIN_US 200000
/*
 * A server that left gets its last new work this much before its drain time
 * ends, in seconds: what waits in front of it must still reach it in time.
 */
#define LAPSED_MARGIN_S 0.45

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

/*
 * Until when an entry that is missing now may still be a lapsed one, us. It
 * was there when the store was last read; a server that left just after that
 * may have work until its drain time is over.
 */
static uint64_t lapsed_until_us(const lw_proxy_t *p)
{
	double use_s = p->set->drain_s - LAPSED_MARGIN_S;

	return use_s > 0 ? p->news_us + (uint64_t)(use_s * 1e6) : 0;
}

static void apply_servers(lw_proxy_t *p, lw_serverlist_t *sl)
{
	const lw_place_host_t *self;
	bool known;

	if (p->servers && sl->revision <= p->servers->revision) {
		lw_serverlist_free(sl);
		return;
	}
	lw_place_update(&p->engine.place, sl, p->hub.now_us, lapsed_until_us(p));
	self = lw_place_self(&p->engine.place, &known);
	lw_log(LW_LOG_servers_changed, "servers=%zu self=%s draining=%d", sl->nservers,
	       known ? self->id : "", known && self->draining);
	if (known) {
		lw_gate_set_server(&p->engine.gate, self);
		lw_proxy_lease_found(p, self->born_ms);
	} else if (p->had_self && p->engine.gate.leaving) {
		/* it drained before its entry went */
	} else if (p->had_self) {
		lw_proxy_lease_missing(p);
	}
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

static void mesh_vouched(void *ctx, const char *node, const char *server, uint64_t born_ms)
{
	lw_proxy_t *p = ctx;

	if (lw_place_vouched(&p->engine.place, node, server, born_ms, p->hub.now_us))
		lw_log(LW_LOG_server_vouched, "server=%s node=%s", server, node);
}

static uint32_t mesh_levels(void *ctx, lw_heard_t *out, uint32_t most)
{
	const lw_proxy_t *p = ctx;

	return lw_hotpath_tell(p->engine.hotpath, p->hub.now_us, out, most);
}

static void mesh_heard(void *ctx, const lw_heard_t *heard)
{
	lw_proxy_t *p = ctx;

	lw_hotpath_heard(p->engine.hotpath, heard, p->hub.now_us);
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

/* lw_proxy_news_age_ms() - since the store was last read, here or by another node. */
uint32_t lw_proxy_news_age_ms(const lw_proxy_t *p)
{
	uint64_t age_us = lw_now_boot_us() - p->news_us;

	return age_us / 1000 < UINT32_MAX ? (uint32_t)(age_us / 1000) : UINT32_MAX;
}

static uint32_t mesh_news_age_ms(void *ctx)
{
	return lw_proxy_news_age_ms(ctx);
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

const lw_mesh_ops_t lw_proxy_mesh_ops = {
	.load = mesh_load,
	.vouched = mesh_vouched,
	.lost = mesh_lost,
	.levels = mesh_levels,
	.heard = mesh_heard,
	.config_version = mesh_config_version,
	.config_text = mesh_config_text,
	.config_received = mesh_config_received,
	.servers = mesh_servers,
	.servers_received = mesh_servers_received,
	.news_age_ms = mesh_news_age_ms,
	.news = mesh_news,
};

/*
 * lw_proxy_list_is_old() - A server has started anew and its old entry is all that is known. The next
 * look at the store would come 0.7 s later; after a power failure all calls to
 * the service failed until then.
 */
void lw_proxy_list_is_old(void *ctx)
{
	lw_proxy_t *p = ctx;

	if (p->hub.now_us - p->hurried_us < HURRY_AGAIN_US)
		return;
	p->hurried_us = p->hub.now_us;
	p->reading_us = p->hub.now_us;
	lw_feed_want(&p->feed, true);
	lw_feed_hurry(&p->feed);
}

/* try to reach a node that was lost; its first status clears it */
static void contact(void *ctx, const char *node)
{
	lw_proxy_t *p = ctx;

	lw_mesh_contact(p->engine.mesh, node);
}

/* lw_proxy_contact_lost() - try to reach the nodes that were lost. */
void lw_proxy_contact_lost(lw_proxy_t *p)
{
	lw_place_each_lost(&p->engine.place, contact, p);
}

/*
 * lw_proxy_decide_reading() - A reader reads always. Any other node reads while the readers' news is old,
 * and a while longer, so that it does not change its mind with each message.
 */
void lw_proxy_decide_reading(lw_proxy_t *p)
{
	uint64_t now = p->hub.now_us;
	bool old = now > p->news_us + LW_NEWS_OLD_MS * 1000;
	bool lately;

	if (old || !p->servers || !p->engine.conf)
		p->reading_us = now;
	lately = now - p->reading_us < LW_READ_LEAST_MS * 1000;
	lw_feed_want(&p->feed, p->reader || lately);
	if (p->reader)
		lw_place_each(&p->engine.place, contact, p, now);
}

static void free_conf(void *fc)
{
	lw_fleetconf_free(fc);
}

static void free_servers(void *sl)
{
	lw_serverlist_free(sl);
}

/* lw_proxy_start_feed() - start the thread that reads the store. */
lw_status_t lw_proxy_start_feed(lw_proxy_t *p)
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

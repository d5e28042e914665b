/*
 * Puts configurations and lists of backend servers in force, from the store or from other nodes,
 * and forwards updates to other nodes.
 */
#include "linux/clock.h"
#include "log.h"
#include "proxy_int.h"
#include "meshframe.h"
#include "storepos.h"

/* the documents, as numbered in mesh frames */
#define DOCUMENT_CONFIG	 LW__DOCUMENT_KIND__DOCUMENT_CONFIG
#define DOCUMENT_SERVERS LW__DOCUMENT_KIND__DOCUMENT_SERVERS
/*
 * A server that left gets its last new request this long before its drain time
 * ends, in seconds: a request that waits in its queue must still reach it in
 * time.
 */
#define LAPSED_MARGIN_S 0.45

/*
 * lw_proxy_update_age_ms() - milliseconds since the store was last read, by this
 * node or by another one.
 */
uint32_t lw_proxy_update_age_ms(void *ctx)
{
	const lw_proxy_t *p = ctx;
	uint64_t age_us = lw_now_boot_us() - p->store_read_us;

	return age_us / 1000 < UINT32_MAX ? (uint32_t)(age_us / 1000) : UINT32_MAX;
}

static void send_state_to(lw_proxy_t *p, const char (*backend)[LW_NAME_MAX], size_t n)
{
	char node[LW_NAME_MAX];

	for (size_t i = 0; i < n; i++) {
		lw_place_node_addr(node, sizeof(node), backend[i], p->set->mesh_port);
		lw_mesh_send_state(p->engine.mesh, node);
	}
}

/*
 * lw_proxy_forward_update() - forwards the update to this node's children in the fan-out trees; to the
 * roots of all trees as well if this node reads the store for others, as an
 * elected reader or in place of one.
 */
void lw_proxy_forward_update(lw_proxy_t *p)
{
	bool reads = p->reads_store && p->reads_why <= LW_STOREREADER_STALE;

	p->forwarded_us = p->store_read_us;
	if (reads)
		send_state_to(p, p->fanout.root, p->fanout.nroots);
	send_state_to(p, p->fanout.child, p->fanout.nchildren);
}

/*
 * Keeps the list as a document to send to other nodes; returns false if it has
 * the same servers as the list in use.
 */
static bool store_server_document(lw_proxy_t *p, const lw_serverlist_t *sl)
{
	lw_bytebuf_t bytes = { 0 };
	bool changed;

	lw_meshframe_pack_servers(&bytes, sl);
	changed = lw_revdoc_put(&p->documents[DOCUMENT_SERVERS], sl->revision,
				(lw_str_t){ lw_bytebuf_head(&bytes), lw_bytebuf_len(&bytes) });
	lw_bytebuf_free(&bytes);
	return changed;
}

/* lw_proxy_apply_config() - puts @fc in force if it is newer; takes ownership of it. */
void lw_proxy_apply_config(lw_proxy_t *p, lw_fleetconf_t *fc, const char *from)
{
	lw_fleetconf_t *old = p->engine.conf;

	if (old && fc->version <= old->version) {
		lw_fleetconf_free(fc);
		return;
	}
	p->engine.conf = fc;
	lw_revdoc_put(&p->documents[DOCUMENT_CONFIG], fc->version,
		      (lw_str_t){ fc->text, fc->textlen });
	lw_log(LW_LOG_config_accepted, "version=%llu routes=%zu from=%s",
	       (unsigned long long)fc->version, fc->nroutes, from);
	lw_gate_set_mixed(&p->engine.gate, fc, p->set->service);
	lw_proxy_quota_update_config(p);
	lw_fleetconf_free(old);
	lw_proxy_forward_update(p);
}

/*
 * Time until which a server whose entry is missing now may still be used, as
 * the entry may have expired although the server is running, us. The entry was
 * present when the store was last read; a server that left just after that may
 * receive requests until its drain time is over.
 */
static uint64_t lapsed_until_us(const lw_proxy_t *p)
{
	double use_s = p->set->drain_s - LAPSED_MARGIN_S;

	return use_s > 0 ? p->store_read_us + (uint64_t)(use_s * 1e6) : 0;
}

/* the list has the entry of another process of a server that is leaving */
static void on_leaving_entry(void *ctx, const lw_place_host_t *known, const lw_place_host_t *entry)
{
	const lw_proxy_t *p = ctx;

	lw_log(LW_LOG_leaving_entry_changed,
	       "server=%s at=placement born_ms=%llu entry_born_ms=%llu age_ms=%llu kept=%d",
	       known->id, (unsigned long long)known->born_ms, (unsigned long long)entry->born_ms,
	       (unsigned long long)((p->evloop.now_us - known->draining_us) / 1000),
	       entry->draining);
}

/* a server that the list before had not is listed again */
static void on_back(void *ctx, const lw_place_host_t *h)
{
	lw_proxy_t *p = ctx;

	p->local_in_doubt |= h->self && h->doubt_until_us;
	lw_log(LW_LOG_entry_back, "server=%s born_ms=%llu away_ms=%llu draining=%d in_doubt=%d",
	       h->id, (unsigned long long)h->born_ms,
	       (unsigned long long)(h->removed_us ? (p->evloop.now_us - h->removed_us) / 1000 : 0),
	       h->draining, h->doubt_until_us != 0);
}

static void on_doubt_ended(void *ctx, const lw_place_host_t *h)
{
	(void)ctx;
	lw_log(LW_LOG_entry_accepted, "server=%s born_ms=%llu draining=%d", h->id,
	       (unsigned long long)h->born_ms, h->draining);
}

/* the local server gets requests again once its entry is no longer in doubt */
static void update_local_server(lw_proxy_t *p)
{
	bool known;
	const lw_place_host_t *self = lw_place_self(&p->engine.place, &known);

	if (known && self->doubt_until_us)
		return;
	p->local_in_doubt = false;
	if (known)
		lw_gate_set_server(&p->engine.gate, self);
}

static void on_tick(void *ctx)
{
	lw_proxy_t *p = ctx;

	lw_place_end_doubts(&p->engine.place, p->evloop.now_us);
	if (p->local_in_doubt)
		update_local_server(p);
}

/* lw_proxy_news_init() - call after the placement has been initialised. */
void lw_proxy_news_init(lw_proxy_t *p)
{
	p->engine.place.on_leaving_entry = on_leaving_entry;
	p->engine.place.on_leaving_entry_ctx = p;
	p->engine.place.on_back = on_back;
	p->engine.place.on_doubt_ended = on_doubt_ended;
	p->engine.place.on_back_ctx = p;
	lw_evloop_on_tick(&p->evloop, on_tick, p);
}

/* lw_proxy_apply_servers() - uses the list @sl if it is newer; takes ownership of it. */
void lw_proxy_apply_servers(lw_proxy_t *p, lw_serverlist_t *sl, const char *from)
{
	const lw_place_host_t *self;
	lw_fanout_t before;
	bool known;

	if (p->servers && sl->revision <= p->servers->revision) {
		if (sl->revision < p->servers->revision)
			lw_log(LW_LOG_list_not_newer,
			       "era=%u revision=%llu in_use_era=%u in_use_revision=%llu from=%s",
			       lw_storepos_era(sl->revision),
			       (unsigned long long)lw_storepos_revision(sl->revision),
			       lw_storepos_era(p->servers->revision),
			       (unsigned long long)lw_storepos_revision(p->servers->revision),
			       from);
		lw_serverlist_free(sl);
		return;
	}
	if (!store_server_document(p, sl)) {
		p->servers->revision = sl->revision;
		lw_serverlist_free(sl);
		return;
	}
	lw_place_update(&p->engine.place, sl, p->evloop.now_us, lapsed_until_us(p));
	self = lw_place_self(&p->engine.place, &known);
	lw_log(LW_LOG_servers_changed,
	       "servers=%zu era=%u revision=%llu from=%s self=%s draining=%d", sl->nservers,
	       lw_storepos_era(sl->revision),
	       (unsigned long long)lw_storepos_revision(sl->revision), from, known ? self->id : "",
	       known && self->draining);
	/* what follows may start to read the store, which begins with the list in use */
	lw_serverlist_free(p->servers);
	p->servers = sl;
	if (known) {
		lw_gate_set_server(&p->engine.gate, self);
		lw_proxy_check_process_in_doubt(p);
		lw_proxy_lease_entry_found(p, self->born_ms);
	} else if (p->server_was_listed && lw_gate_leaving(&p->engine.gate)) {
		/*
		 * the server drained before its entry was removed, so the lease
		 * was not lost
		 */
	} else if (p->server_was_listed) {
		lw_proxy_lease_entry_missing(p, sl);
	}
	p->server_was_listed |= known;
	before = p->fanout;
	lw_fanout_plan(sl, p->set->backend, p->set->zone, &p->fanout);
	lw_fanout_keep_turn(&p->fanout, &before);
	lw_proxy_quota_update_servers(p, sl);
	lw_proxy_forward_update(p);
}

/* lw_proxy_update_ready() - the documents have changed: updates what waits for them. */
void lw_proxy_update_ready(lw_proxy_t *p)
{
	lw_callers_set_ready(p->callers, p->engine.conf && p->engine.place.nhosts);
	lw_proxy_join_update(p);
}

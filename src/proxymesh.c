/* What other nodes report and ask for: the callbacks of the mesh, and lost nodes. */
#include "leavinglog.h"
#include "log.h"
#include "meshframe.h"
#include "proxy_int.h"

/*
 * an update is forwarded if the store read is newer by this than the last one
 * forwarded, us
 */
#define FORWARD_INTERVAL_US 300000
/* the list of servers, as numbered in mesh frames */
#define DOCUMENT_SERVERS LW__DOCUMENT_KIND__DOCUMENT_SERVERS

static void mesh_load(void *ctx, const char *node, const lw_load_t *load)
{
	lw_proxy_t *p = ctx;

	const lw_place_host_t *changed =
		lw_place_node_load_reported(&p->engine.place, node, load, p->evloop.now_us);

	if (changed)
		lw_leavinglog_host(
			changed, changed->leaving.on ? LW_LEAVING_BEGAN : LW_LEAVING_ENDED, "node");
}

static uint64_t ms_since(const lw_proxy_t *p, uint64_t us)
{
	return (p->evloop.now_us - us) / 1000;
}

static void mesh_liveness_asserted(void *ctx, const char *node, const lw_liveness_t *said)
{
	lw_proxy_t *p = ctx;
	uint64_t now_us = p->evloop.now_us;

	if (!said->server[0]) {
		lw_place_end_assertion(&p->engine.place, node);
		return;
	}
	if (!lw_place_assert_alive(&p->engine.place, node, said->server, said->born_ms, now_us))
		return;
	lw_log(LW_LOG_server_vouched, "server=%s node=%s missing_ms=%llu read_ms=%llu news_ms=%u",
	       said->server, node, (unsigned long long)ms_since(p, said->missing_us),
	       (unsigned long long)ms_since(p, said->read_us), lw_proxy_update_age_ms(p));
}

static uint32_t mesh_list_levels(void *ctx, lw_level_report_t *out, uint32_t most)
{
	const lw_proxy_t *p = ctx;

	return lw_overload_report(p->engine.overload, p->evloop.now_us, out, most);
}

static void mesh_level_received(void *ctx, const lw_level_report_t *heard)
{
	lw_proxy_t *p = ctx;

	lw_overload_on_report(p->engine.overload, heard, p->evloop.now_us);
}

static void mesh_node_lost(void *ctx, const char *node, bool used)
{
	lw_proxy_t *p = ctx;

	lw_log(LW_LOG_node_lost, "node=%s used=%d leaving=%d", node, used,
	       lw_place_node_leaving(&p->engine.place, node));
	lw_place_node_lost(&p->engine.place, node, used, p->evloop.now_us);
	lw_place_end_assertion(&p->engine.place, node);
	lw_proxy_quota_node_lost(p, node);
	lw_proxy_join_node_lost(p, node);
}

static uint64_t mesh_config_version(void *ctx)
{
	const lw_proxy_t *p = ctx;

	return p->engine.conf ? p->engine.conf->version : 0;
}

static lw_revdoc_t *mesh_document(void *ctx, int kind)
{
	lw_proxy_t *p = ctx;

	return &p->documents[kind];
}

static void mesh_config_received(void *ctx, lw_str_t text)
{
	lw_proxy_t *p = ctx;
	lw_fleetconf_t *fc;

	if (p->platform->parse_config(text.ptr, text.len, &fc)) {
		lw_log(LW_LOG_config_rejected, "from=peer in_force=%llu why=\"%s\"",
		       (unsigned long long)mesh_config_version(p), lw_error_last());
		return;
	}
	lw_proxy_apply_config(p, fc, "peer");
	lw_proxy_update_ready(p);
}

static const lw_serverlist_t *mesh_servers(void *ctx)
{
	const lw_proxy_t *p = ctx;

	return p->servers;
}

static void mesh_servers_received(void *ctx, lw_serverlist_t *sl)
{
	lw_proxy_t *p = ctx;

	lw_proxy_apply_servers(p, sl, "peer");
	lw_proxy_update_ready(p);
}

static void mesh_servers_confirmed(void *ctx, uint64_t revision)
{
	lw_proxy_t *p = ctx;

	lw_revdoc_put(&p->documents[DOCUMENT_SERVERS], revision,
		      lw_revdoc_text(&p->documents[DOCUMENT_SERVERS]));
	p->servers->revision = revision;
}

static void mesh_store_read(void *ctx, const char *node, uint64_t at_us)
{
	lw_proxy_t *p = ctx;

	if (at_us > p->peer_read_us) {
		p->peer_read_us = at_us;
		lw_str_copy(p->peer_read_from, sizeof(p->peer_read_from), lw_str_c(node));
	}
	lw_storereader_note_remote_read(&p->store_reader, at_us);
	if (at_us <= p->store_read_us)
		return;
	p->store_read_us = at_us;
	if (at_us - p->forwarded_us > FORWARD_INTERVAL_US)
		lw_proxy_forward_update(p);
}

static void mesh_status_received(void *ctx, const char *node, bool read_store)
{
	lw_proxy_t *p = ctx;

	p->peer_heard_us = p->evloop.now_us;
	lw_proxy_join_status(p, node, read_store);
}

const lw_mesh_ops_t lw_proxy_mesh_ops = {
	.load = mesh_load,
	.server_alive = mesh_liveness_asserted,
	.node_lost = mesh_node_lost,
	.known_levels = mesh_list_levels,
	.level_received = mesh_level_received,
	.config_version = mesh_config_version,
	.document = mesh_document,
	.config_received = mesh_config_received,
	.servers = mesh_servers,
	.servers_received = mesh_servers_received,
	.servers_confirmed = mesh_servers_confirmed,
	.news_age_ms = lw_proxy_update_age_ms,
	.store_read = mesh_store_read,
	.status_received = mesh_status_received,
	.quota_report = lw_proxy_quota_on_report,
	.quota_terms = lw_proxy_quota_on_reply,
	.suspect_received = lw_proxy_merge_suspect,
	.known_suspects = lw_proxy_list_suspects,
};

/* Tries to reach a lost node; the node is usable again after its first status frame. */
static void reconnect(void *ctx, const char *node)
{
	lw_proxy_t *p = ctx;

	lw_mesh_connect(p->engine.mesh, node);
}

/*
 * lw_proxy_reconnect_lost() - tries to reach the nodes that were lost, and nodes of servers whose
 * leases expired.
 */
void lw_proxy_reconnect_lost(lw_proxy_t *p)
{
	lw_place_each_suspect(&p->engine.place, reconnect, p);
	lw_place_each_lapsed(&p->engine.place, reconnect, p);
}

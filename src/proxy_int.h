/* Shared by the files of the proxy module only; others use proxy.h. */
#ifndef LW_PROXY_INT_H
#define LW_PROXY_INT_H

#include <ev.h>

#include "caller.h"
#include "exchange.h"
#include "lease.h"
#include "probe.h"
#include "proxy.h"
#include "quotakeeper.h"
#include "revdoc.h"
#include "spread.h"

typedef struct lw_proxy {
	lw_proxy_settings_t *set;
	const char *path; /* of the settings file */
	const lw_platform_t *platform;
	lw_hub_t hub;
	lw_engine_t engine;
	lw_callers_t *callers;
	lw_feed_t feed;
	ev_async feed_wakeup;
	ev_signal term;
	ev_signal interrupt;
	ev_signal hangup;
	uint64_t stop_began_us;
	uint64_t refusing_us; /* others were told that nothing is taken; 0: they were not */
	uint64_t stop_grace_us; /* from SIGTERM to SIGKILL, as it was at SIGTERM */
	ev_timer stop_timer; /* runs from then on */
	bool server_was_listed; /* the list has had the backend server on this host */
	lw_serverlist_t *servers; /* in use; NULL before the first */
	uint64_t store_read_us; /* when the store was last known to have been read */
	uint64_t urgent_read_us; /* when the store was last asked out of turn */
	uint64_t peer_read_us; /* when another node last read it, as far as told */
	char peer_read_from[LW_NAME_MAX]; /* the node that told so */
	uint64_t forwarded_us; /* the news that was passed on last */
	uint64_t read_until_us; /* this node reads the store itself until then */
	bool reads_store; /* this node reads the store itself */
	lw_feed_why_t reads_why;
	ev_timer query_timer;
	lw_spread_t spread; /* this node's part in spreading news */
	lw_revdoc_t documents[2]; /* the configuration, the list of backend servers */
	char mesh_addr[LW_NAME_MAX]; /* of this node, as others know it */
	lw_lease_t lease; /* of the backend server on this host */
	lw_probe_t probe; /* while its entry is missing */
	ev_timer lease_timer; /* likewise */
	uint64_t last_check_us; /* when the server was last asked and others told */
	lw_probe_t limit_probe; /* while the server names a limit and is not heard */
	uint64_t limit_probe_us; /* when it was last asked for that */
	lw_notice_limit_t announced_limit; /* as others and the log heard it last */
	uint64_t logged_invalid; /* answers with a limit that is no number, as logged last */
	lw_quotakeeper_t *coordinator; /* of limits, should other nodes take this one for one */
	char quota_coordinator[LW_QUOTA_KEEPERS][LW_NAME_MAX]; /* mesh addresses; empty: none */
	uint64_t quota_node; /* digest of this node's address */
	uint32_t quota_number[LW_QUOTA_KEEPERS]; /* of the newest report */
	bool quota_alone; /* none is heard of, as logged last */
	ev_timer quota_timer; /* runs while organisations are known */
	uint64_t born_ms; /* start of the server's process; 0: not told */
} lw_proxy_t;

extern const lw_mesh_ops_t lw_proxy_mesh_ops;
lw_status_t lw_proxy_start_feed(lw_proxy_t *p);
void lw_proxy_refresh_list(void *ctx);
const lw_suspect_t *lw_proxy_merge_suspect(void *ctx, const lw_suspect_t *told);
size_t lw_proxy_list_suspects(void *ctx, const lw_suspect_t **out, size_t most);
void lw_proxy_crash_init(lw_proxy_t *p);
void lw_proxy_lease_init(lw_proxy_t *p);
void lw_proxy_lease_entry_missing(lw_proxy_t *p);
void lw_proxy_announce(void *ctx);
void lw_proxy_on_server_notice(void *ctx, const lw_notice_said_t *said, uint64_t sent_us);
void lw_proxy_notice_init(lw_proxy_t *p);
const char *lw_proxy_health_path(const lw_proxy_t *p);
void lw_proxy_lease_entry_found(lw_proxy_t *p, uint64_t born_ms);
void lw_proxy_quota_init(lw_proxy_t *p);
void lw_proxy_quota_update_settings(lw_proxy_t *p);
void lw_proxy_quota_update_config(lw_proxy_t *p);
void lw_proxy_quota_update_servers(lw_proxy_t *p, const lw_serverlist_t *sl);
void lw_proxy_quota_node_lost(lw_proxy_t *p, const char *node);
size_t lw_proxy_quota_on_report(void *ctx, uint64_t node, const lw_quota_use_t *reported, size_t n,
				lw_quota_term_t *out, size_t most);
void lw_proxy_quota_on_reply(void *ctx, const char *node, uint32_t number,
			     const lw_quota_term_t *told, size_t n);
void lw_proxy_read_store_for(lw_proxy_t *p, uint64_t us, lw_feed_why_t why);
void lw_proxy_reconnect_lost(lw_proxy_t *p);
uint32_t lw_proxy_update_age_ms(void *ctx);
void lw_proxy_on_term(struct ev_loop *loop, ev_signal *w, int revents);

#endif

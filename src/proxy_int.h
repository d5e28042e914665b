/* Internal state and functions of the proxy module; other modules use proxy.h. */
#ifndef LW_PROXY_INT_H
#define LW_PROXY_INT_H

#include <ev.h>

#include "caller.h"
#include "exchange.h"
#include "lease.h"
#include "probe.h"
#include "proxy.h"
#include "quotacoord.h"
#include "revdoc.h"
#include "fanout.h"
#include "join.h"

typedef struct lw_proxy {
	lw_proxy_settings_t *set;
	const char *path; /* path of the settings file */
	const lw_platform_t *platform;
	lw_evloop_t evloop;
	lw_engine_t engine;
	lw_callers_t *callers;
	lw_storereader_t store_reader;
	ev_async reader_wakeup;
	ev_signal term;
	ev_signal interrupt;
	ev_signal hangup;
	uint64_t stop_began_us;
	uint64_t refusing_us; /* time when the node began to refuse requests; 0: not yet */
	uint64_t stop_grace_us; /* time from SIGTERM to SIGKILL, as set when SIGTERM arrived */
	ev_timer stop_timer; /* runs from SIGTERM on */
	bool server_was_listed; /* a previous list contained the backend server on this host */
	lw_serverlist_t *servers; /* list in use; NULL before the first one */
	uint64_t store_read_us; /* time of the last known store read, by this or another node */
	uint64_t urgent_read_us; /* time of the last urgent read of the store */
	uint64_t peer_read_us; /* time of the last reported store read by another node */
	char peer_read_from[LW_NAME_MAX]; /* the node that reported the read at peer_read_us */
	uint64_t peer_heard_us; /* time of the last status of another node */
	lw_join_t join; /* until the first documents are there */
	ev_timer join_timer; /* runs until then */
	uint64_t forwarded_us; /* store_read_us when it was last forwarded to other nodes */
	uint64_t read_until_us; /* this node keeps reading the store at least until then */
	bool reads_store; /* this node reads the store at present */
	lw_storereader_reason_t reads_why;
	ev_timer query_timer;
	lw_fanout_t fanout; /* this node's place in the fan-out of store updates */
	lw_revdoc_t documents[2]; /* the configuration and the list of backend servers */
	char mesh_addr[LW_NAME_MAX]; /* mesh address of this node, as other nodes know it */
	lw_lease_t lease; /* lease of the backend server on this host */
	lw_probe_t probe; /* health check, used while the entry of the server is missing */
	ev_timer lease_timer; /* runs while the entry is missing */
	uint64_t last_check_us; /* time of the last health check and liveness assertion */
	lw_probe_t limit_probe; /* health check, used while an announced limit is unconfirmed */
	uint64_t limit_probe_us; /* time of the last limit_probe */
	lw_probe_t process_probe; /* health check, used while the server's process is in doubt */
	uint64_t process_check_us; /* time of the last process_probe */
	lw_notice_limit_t announced_limit; /* limit as last logged and reported to other nodes */
	uint64_t logged_invalid; /* number of answers with an invalid limit, as last logged */
	lw_quotacoord_t *coordinator; /* used if other nodes choose this node */
	char quota_coordinator[LW_QUOTA_COORDINATORS]
			      [LW_NAME_MAX]; /* mesh addresses; empty: none */
	uint64_t quota_node; /* digest of this node's address */
	uint32_t quota_number[LW_QUOTA_COORDINATORS]; /* number of the newest report to each */
	bool quota_alone; /* no coordinator replies, as last logged */
	ev_timer quota_timer; /* runs while the configuration has organisations */
	uint64_t started_us; /* boot time */
	uint64_t summary_us; /* boot time of the last summary in the log */
	uint64_t born_ms; /* start of the backend server's process, Unix time; 0: unknown */
	bool local_in_doubt; /* it gets no requests, as its entry may be an old one */
} lw_proxy_t;

extern const lw_mesh_ops_t lw_proxy_mesh_ops;
void lw_proxy_forward_update(lw_proxy_t *p);
void lw_proxy_apply_config(lw_proxy_t *p, lw_fleetconf_t *fc, const char *from);
void lw_proxy_apply_servers(lw_proxy_t *p, lw_serverlist_t *sl, const char *from);
void lw_proxy_update_ready(lw_proxy_t *p);
lw_status_t lw_proxy_start_store_reader(lw_proxy_t *p);
void lw_proxy_update_reading(lw_proxy_t *p);
void lw_proxy_join_init(lw_proxy_t *p);
void lw_proxy_join_update(lw_proxy_t *p);
void lw_proxy_join_status(lw_proxy_t *p, const char *node, bool read_store);
void lw_proxy_join_node_lost(lw_proxy_t *p, const char *node);
bool lw_proxy_joined(const lw_proxy_t *p);
void lw_proxy_refresh_list(void *ctx);
const lw_suspect_t *lw_proxy_merge_suspect(void *ctx, const lw_suspect_t *told);
size_t lw_proxy_list_suspects(void *ctx, const lw_suspect_t **out, size_t most);
void lw_proxy_crash_init(lw_proxy_t *p);
void lw_proxy_lease_init(lw_proxy_t *p);
void lw_proxy_lease_entry_missing(lw_proxy_t *p, const lw_serverlist_t *sl);
void lw_proxy_announce(void *ctx);
void lw_proxy_on_server_notice(void *ctx, const lw_notice_fields_t *said, bool healthy,
			       uint64_t sent_us);
void lw_proxy_news_init(lw_proxy_t *p);
void lw_proxy_check_process_in_doubt(lw_proxy_t *p);
void lw_proxy_notice_init(lw_proxy_t *p);
const char *lw_proxy_health_path(const lw_proxy_t *p);
void lw_proxy_lease_entry_found(lw_proxy_t *p, uint64_t born_ms);
void lw_proxy_quota_init(lw_proxy_t *p);
void lw_proxy_quota_update_settings(lw_proxy_t *p);
void lw_proxy_quota_update_config(lw_proxy_t *p);
void lw_proxy_quota_update_servers(lw_proxy_t *p, const lw_serverlist_t *sl);
void lw_proxy_quota_node_lost(lw_proxy_t *p, const char *node);
size_t lw_proxy_quota_on_report(void *ctx, uint64_t node, const lw_quota_usage_t *reported,
				size_t n, lw_quota_grant_t *out, size_t most);
void lw_proxy_quota_on_reply(void *ctx, const char *node, uint32_t number,
			     const lw_quota_grant_t *told, size_t n);
void lw_proxy_read_store_for(lw_proxy_t *p, uint64_t us, lw_storereader_reason_t why);
void lw_proxy_reconnect_lost(lw_proxy_t *p);
void lw_proxy_summary_init(lw_proxy_t *p);
void lw_proxy_summary_tick(lw_proxy_t *p);
void lw_proxy_summary_log(lw_proxy_t *p);
uint32_t lw_proxy_update_age_ms(void *ctx);
void lw_proxy_on_term(struct ev_loop *loop, ev_signal *w, int revents);

#endif

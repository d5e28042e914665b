/* Settings of lwproxy, from a TOML file. */
#ifndef LW_PROXYSET_H
#define LW_PROXYSET_H

#include <stdint.h>

#include "retrylimit.h"
#include "status.h"
#include "tomlkeys.h"

typedef struct lw_proxy_settings {
	/* [host] */
	char ip[LW_NAME_MAX];
	const char *zone;
	const char *service; /* service of the backend server on this host */
	char backend[LW_NAME_MAX]; /* "ip:port" of that backend server */
	uint32_t memory_mb; /* memory limit of this process */
	uint32_t max_fds; /* limit of open file descriptors */
	/* [listen] */
	char callers[LW_NAME_MAX]; /* for callers and for the backend server's own calls */
	char ready[LW_NAME_MAX]; /* readiness checks of the platform */
	char metrics[LW_NAME_MAX]; /* empty: not served */
	uint32_t mesh_port; /* for frames from other nodes; the same on all hosts */
	/* nodes to ask at the start, "ip:port"; the port is not used: mesh_port is the same */
	lw_names_t seeds;
	/* [store] */
	char store[LW_NAME_MAX]; /* "ip:port" */
	/* [terms] */
	double heartbeat_s; /* interval at which a backend server renews its entry */
	double drain_s; /* how long a leaving backend server may still receive requests */
	double grace_s; /* from SIGTERM to SIGKILL */
	double retry_ratio; /* retries per request of a service, fleet-wide */
	double retry_extra; /* additional retries in each window, fleet-wide */
	double retry_window_s;
	double quota_window_s; /* window over which limits of organisations are checked */
	double quota_overage; /* fraction by which a limit may be exceeded in the window */
	double quota_slack; /* additional requests allowed in the window */
	/* [log] */
	uint32_t log_request_lines; /* lines per second about single requests; 0: none */
} lw_proxy_settings_t;

lw_retryallowance_t lw_proxy_settings_retry_allowance(const lw_proxy_settings_t *s);
void lw_proxy_settings_defaults(lw_proxy_settings_t *s);
lw_status_t lw_proxy_settings_load(const char *path, lw_proxy_settings_t *s);
lw_status_t lw_proxy_settings_parse(const char *name, const char *text, size_t len,
				    lw_proxy_settings_t *s);
lw_status_t lw_proxy_settings_check(const char *name, const lw_proxy_settings_t *s);

#endif

/* Settings of lwproxy, from a TOML file. */
#ifndef LW_PROXYSET_H
#define LW_PROXYSET_H

#include <stdint.h>

#include "platconf.h"
#include "retrylimit.h"
#include "status.h"

typedef struct lw_proxy_settings {
	/* [host] */
	char ip[LW_NAME_MAX];
	char zone[LW_NAME_MAX];
	char service[LW_NAME_MAX]; /* of the backend server on this host */
	char backend[LW_NAME_MAX]; /* "ip:port" of that backend server */
	uint32_t memory_mb; /* most this process may use */
	uint32_t max_fds; /* most descriptors it may hold */
	/* [listen] */
	char callers[LW_NAME_MAX]; /* callers and the backend server's own calls */
	char ready[LW_NAME_MAX]; /* the platform asks whether callers may come */
	char metrics[LW_NAME_MAX]; /* empty: not served */
	uint32_t mesh_port; /* frames from other nodes; the same on all hosts */
	/* [store] */
	char store[LW_NAME_MAX]; /* "ip:port" */
	/* [terms] */
	double heartbeat_s; /* period of a backend server's entry */
	double drain_s; /* a leaving backend server may get work so much longer */
	double grace_s; /* from SIGTERM to SIGKILL */
	double retry_ratio; /* retries for each request of a service, fleet-wide */
	double retry_extra; /* retries allowed on top in each window, fleet-wide */
	double retry_window_s;
	double quota_window_s; /* span in which limits of organisations are checked */
	double quota_overage; /* part by which one may be exceeded then */
	double quota_slack; /* and requests on top */
	/* [log] */
	uint32_t log_request_lines; /* about single requests, a second; 0: none */
} lw_proxy_settings_t;

lw_retryterms_t lw_proxy_settings_retryterms(const lw_proxy_settings_t *s);
void lw_proxy_settings_defaults(lw_proxy_settings_t *s);
lw_status_t lw_proxy_settings_load(const char *path, lw_proxy_settings_t *s);
lw_status_t lw_proxy_settings_parse(const char *name, const char *text, size_t len,
				    lw_proxy_settings_t *s);
lw_status_t lw_proxy_settings_check(const char *name, const lw_proxy_settings_t *s);

#endif

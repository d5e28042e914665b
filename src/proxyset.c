/* Loading and checking the settings of lwproxy; see proxyset.h. */
#include "proxyset.h"

#include <stddef.h>
#include <string.h>

#include "log.h"

#include "settings.h"

#define KS(t, k, kind, field)                                    \
	{                                                        \
		t, k, kind, offsetof(lw_proxy_settings_t, field) \
	}
#define NKEYS (sizeof(keys) / sizeof(keys[0]))
/* bounds of a time, s */
#define TIME_MIN_S 0.01
#define TIME_MAX_S 86400
/* largest ratio or number of requests */
#define NUMBER_MAX 1e9

/* the range of one setting */
typedef struct lw_range {
	const char *key;
	double value;
	double least;
	double most;
} lw_range_t;

static const lw_key_spec_t keys[] = {
	KS("host", "ip", LW_KEY_NAME, ip),
	KS("host", "zone", LW_KEY_TEXT, zone),
	KS("host", "service", LW_KEY_TEXT, service),
	KS("host", "backend", LW_KEY_NAME, backend),
	KS("host", "memory_mb", LW_KEY_U32, memory_mb),
	KS("host", "max_fds", LW_KEY_U32, max_fds),
	KS("listen", "callers", LW_KEY_NAME, callers),
	KS("listen", "ready", LW_KEY_NAME, ready),
	KS("listen", "metrics", LW_KEY_NAME, metrics),
	KS("listen", "mesh_port", LW_KEY_U32, mesh_port),
	KS("listen", "seeds", LW_KEY_NAMES, seeds),
	KS("store", "address", LW_KEY_NAME, store),
	KS("terms", "heartbeat_s", LW_KEY_DOUBLE, heartbeat_s),
	KS("terms", "drain_s", LW_KEY_DOUBLE, drain_s),
	KS("terms", "grace_s", LW_KEY_DOUBLE, grace_s),
	KS("terms", "retry_ratio", LW_KEY_DOUBLE, retry_ratio),
	KS("terms", "retry_extra", LW_KEY_DOUBLE, retry_extra),
	KS("terms", "retry_window_s", LW_KEY_DOUBLE, retry_window_s),
	KS("terms", "quota_window_s", LW_KEY_DOUBLE, quota_window_s),
	KS("terms", "quota_overage", LW_KEY_DOUBLE, quota_overage),
	KS("terms", "quota_slack", LW_KEY_DOUBLE, quota_slack),
	KS("log", "request_lines_per_s", LW_KEY_U32, log_request_lines),
};

/* lw_proxy_settings_retry_allowance() - the fleet-wide limits on retries. */
lw_retryallowance_t lw_proxy_settings_retry_allowance(const lw_proxy_settings_t *s)
{
	return (lw_retryallowance_t){ s->retry_ratio, s->retry_extra, s->retry_window_s };
}

/* lw_proxy_settings_defaults() - the settings before a file is read. */
void lw_proxy_settings_defaults(lw_proxy_settings_t *s)
{
	memset(s, 0, sizeof(*s));
	s->zone = s->service = lw_name_none;
	s->memory_mb = 256;
	s->max_fds = 4096;
	s->heartbeat_s = 1.5;
	s->drain_s = 2;
	s->grace_s = 6;
	s->retry_ratio = 0.2;
	s->retry_extra = 40;
	s->retry_window_s = 10;
	s->quota_window_s = 5;
	s->quota_overage = 0.25;
	s->quota_slack = 20;
	s->log_request_lines = LW_LOG_REQUEST_LINES;
}

/*
 * lw_proxy_settings_load() - applies the file at @path on top of @s and checks
 * the result. LW_ERR_SETTINGS with a message that names the key and the remedy.
 */
lw_status_t lw_proxy_settings_load(const char *path, lw_proxy_settings_t *s)
{
	lw_status_t st = lw_tomlkeys_load(path, keys, NKEYS, s);

	return st ? st : lw_proxy_settings_check(path, s);
}

/*
 * lw_proxy_settings_parse() - like lw_proxy_settings_load(), from memory; @name
 * is used in messages.
 */
lw_status_t lw_proxy_settings_parse(const char *name, const char *text, size_t len,
				    lw_proxy_settings_t *s)
{
	lw_status_t st = lw_tomlkeys_parse(name, text, len, keys, NKEYS, s);

	return st ? st : lw_proxy_settings_check(name, s);
}

static lw_status_t check_addresses(const char *name, const lw_proxy_settings_t *s)
{
	const char *const addrs[] = { s->backend, s->callers, s->ready, s->store };
	char host[LW_NAME_MAX];
	int port;

	if (s->metrics[0] && lw_addr_split(s->metrics, host, sizeof(host), &port))
		return lw_error(LW_ERR_SETTINGS, "%s: %s", name, lw_error_last());
	for (size_t i = 0; i < sizeof(addrs) / sizeof(addrs[0]); i++)
		if (lw_addr_split(addrs[i], host, sizeof(host), &port))
			return lw_error(LW_ERR_SETTINGS, "%s: %s", name, lw_error_last());
	for (uint32_t i = 0; i < s->seeds.n; i++)
		if (lw_addr_split(s->seeds.at[i], host, sizeof(host), &port))
			return lw_error(LW_ERR_SETTINGS, "%s: %s", name, lw_error_last());
	return LW_OK;
}

/*
 * The numbers of [terms] are finite and in a range in which all times and counts that are computed
 * from them fit into their types.
 */
static lw_status_t check_terms(const char *name, const lw_proxy_settings_t *s)
{
	const lw_range_t terms[] = {
		{ "grace_s", s->grace_s, 1, TIME_MAX_S },
		{ "drain_s", s->drain_s, TIME_MIN_S, TIME_MAX_S },
		{ "heartbeat_s", s->heartbeat_s, TIME_MIN_S, TIME_MAX_S },
		{ "retry_window_s", s->retry_window_s, TIME_MIN_S, TIME_MAX_S },
		{ "quota_window_s", s->quota_window_s, 1, TIME_MAX_S },
		{ "quota_overage", s->quota_overage, 0, NUMBER_MAX },
		{ "quota_slack", s->quota_slack, 0, NUMBER_MAX },
		/* 0 and 0 turn retries off */
		{ "retry_ratio", s->retry_ratio, 0, NUMBER_MAX },
		{ "retry_extra", s->retry_extra, 0, NUMBER_MAX },
	};

	for (size_t i = 0; i < sizeof(terms) / sizeof(terms[0]); i++)
		/* false for NaN, too */
		if (!(terms[i].value >= terms[i].least && terms[i].value <= terms[i].most))
			return lw_error(LW_ERR_SETTINGS,
					"%s: [terms] %s must be a number from %g to %g; correct it",
					name, terms[i].key, terms[i].least, terms[i].most);
	return LW_OK;
}

/* lw_proxy_settings_check() - checks the values, whatever source they came from. */
lw_status_t lw_proxy_settings_check(const char *name, const lw_proxy_settings_t *s)
{
	if (!s->ip[0] || !s->zone[0] || !s->service[0])
		return lw_error(
			LW_ERR_SETTINGS,
			"%s: [host] ip, zone and service are required; set them to this host's",
			name);
	if (check_addresses(name, s))
		return LW_ERR_SETTINGS;
	if (s->mesh_port == 0 || s->mesh_port > 65535)
		return lw_error(LW_ERR_SETTINGS,
				"%s: [listen] mesh_port must be 1..65535; choose a free port",
				name);
	if (s->memory_mb < 32 || s->max_fds < 256)
		return lw_error(LW_ERR_SETTINGS,
				"%s: [host] memory_mb is below 32 or max_fds below 256; raise them",
				name);
	if (check_terms(name, s))
		return LW_ERR_SETTINGS;
	if (s->log_request_lines > LW_LOG_REQUEST_LINES_MAX)
		return lw_error(
			LW_ERR_SETTINGS,
			"%s: [log] request_lines_per_s above %d; each line costs CPU time of the host",
			name, LW_LOG_REQUEST_LINES_MAX);
	return LW_OK;
}

/* Loading and checking node settings; see settings.h. */
#include "settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "tomlkeys.h"

#define KS(t, k, kind, field)                              \
	{                                                  \
		t, k, kind, offsetof(lw_settings_t, field) \
	}
#define NKEYS (sizeof(keys) / sizeof(keys[0]))

static const lw_key_spec_t keys[] = {
	KS("node", "service", LW_KEY_NAME, service),
	KS("node", "zone", LW_KEY_NAME, zone),
	KS("node", "listen", LW_KEY_NAME, listen),
	KS("node", "peer_listen", LW_KEY_NAME, peer_listen),
	KS("node", "advertise", LW_KEY_NAME, advertise),
	KS("node", "admin", LW_KEY_NAME, admin),
	KS("node", "backend", LW_KEY_NAME, backend),
	KS("node", "backend_slots", LW_KEY_U32, backend_slots),
	KS("node", "policy", LW_KEY_NAME, policy),
	KS("node", "log_level", LW_KEY_NAME, log_level),
	KS("node", "drain_timeout_ms", LW_KEY_U32, drain_timeout_ms),
	KS("config_service", "address", LW_KEY_NAME, config_service),
	KS("config_service", "key", LW_KEY_NAME, config_key),
};

/* lw_settings_defaults() - the settings before a file is read. */
void lw_settings_defaults(lw_settings_t *s)
{
	memset(s, 0, sizeof(*s));
	strcpy(s->listen, "127.0.0.1:7100");
	strcpy(s->peer_listen, "127.0.0.1:7101");
	strcpy(s->admin, "127.0.0.1:7102");
	strcpy(s->backend, "127.0.0.1:7103");
	s->backend_slots = 16;
	strcpy(s->config_service, "127.0.0.1:7000");
	strcpy(s->config_key, "lavenderward");
	strcpy(s->policy, "guard");
	strcpy(s->log_level, "info");
	s->drain_timeout_ms = 10000;
}

/*
 * lw_settings_parse() - applies the TOML @text (named @name in messages) on top
 * of @s and checks the result. LW_ERR_SETTINGS with a message that names file,
 * line, key and remedy.
 */
lw_status_t lw_settings_parse(const char *name, const char *text, size_t len, lw_settings_t *s)
{
	lw_status_t st = lw_tomlkeys_parse(name, text, len, keys, NKEYS, s);

	return st ? st : lw_settings_check(name, s);
}

/*
 * lw_settings_load() - reads the file at @path and applies it to @s, like
 * lw_settings_parse().
 */
lw_status_t lw_settings_load(const char *path, lw_settings_t *s)
{
	lw_status_t st = lw_tomlkeys_load(path, keys, NKEYS, s);

	return st ? st : lw_settings_check(path, s);
}

/*
 * lw_addr_split() - splits "ip:port" into @host and @port. LW_ERR_SETTINGS if the
 * address is invalid.
 */
lw_status_t lw_addr_split(const char *addr, char *host, size_t hostlen, int *port)
{
	const char *colon = strrchr(addr, ':');
	char *end;
	long p;

	if (!colon || colon == addr || (size_t)(colon - addr) >= hostlen)
		return lw_error(LW_ERR_SETTINGS,
				"address '%s' is not ip:port; write e.g. 127.0.0.1:7100", addr);
	p = strtol(colon + 1, &end, 10);
	if (*end || p <= 0 || p > 65535)
		return lw_error(LW_ERR_SETTINGS, "address '%s' has no valid port; use 1..65535",
				addr);
	memcpy(host, addr, (size_t)(colon - addr));
	host[colon - addr] = '\0';
	*port = (int)p;
	return LW_OK;
}

/* lw_settings_check() - checks the values, whatever source they came from. */
lw_status_t lw_settings_check(const char *name, const lw_settings_t *s)
{
	const char *addrs[] = { s->listen, s->peer_listen, s->admin, s->backend,
				s->config_service };
	char host[LW_NAME_MAX];
	int port;

	if (!s->service[0] || !s->zone[0])
		return lw_error(
			LW_ERR_SETTINGS,
			"%s: [node] service and zone are required; set them to this host's service and availability zone",
			name);
	for (size_t i = 0; i < sizeof(addrs) / sizeof(addrs[0]); i++)
		if (lw_addr_split(addrs[i], host, sizeof(host), &port))
			return lw_error(LW_ERR_SETTINGS, "%s: %s", name, lw_error_last());
	if (s->backend_slots == 0)
		return lw_error(LW_ERR_SETTINGS,
				"%s: [node] backend_slots must be >= 1; set the backend's slots",
				name);
	if (strcmp(s->policy, "guard") && strcmp(s->policy, "naive"))
		return lw_error(LW_ERR_SETTINGS,
				"%s: [node] policy '%s' is unknown; use guard or naive", name,
				s->policy);
	if (lw_log_level_parse(s->log_level) < 0)
		return lw_error(
			LW_ERR_SETTINGS,
			"%s: [node] log_level '%s' is unknown; use error, warning, notice, info or debug",
			name, s->log_level);
	return LW_OK;
}

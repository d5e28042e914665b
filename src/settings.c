/*
 * Loading and checking node settings. Unknown keys are errors: a typo in a
 * key would otherwise leave a default in force that nobody chose.
 */
#include "settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "tomlshim.h"
#include "xalloc.h"

typedef enum { KEY_STR, KEY_U32 } key_kind_t;

typedef struct key_spec {
	const char *table;
	const char *key;
	key_kind_t kind;
	size_t off;
} key_spec_t;

#define KS(t, k, kind, field)                              \
	{                                                  \
		t, k, kind, offsetof(lw_settings_t, field) \
	}

static const key_spec_t keys[] = {
	KS("node", "service", KEY_STR, service),
	KS("node", "zone", KEY_STR, zone),
	KS("node", "listen", KEY_STR, listen),
	KS("node", "peer_listen", KEY_STR, peer_listen),
	KS("node", "advertise", KEY_STR, advertise),
	KS("node", "admin", KEY_STR, admin),
	KS("node", "backend", KEY_STR, backend),
	KS("node", "backend_slots", KEY_U32, backend_slots),
	KS("node", "policy", KEY_STR, policy),
	KS("node", "log_level", KEY_STR, log_level),
	KS("node", "drain_timeout_ms", KEY_U32, drain_timeout_ms),
	KS("config_service", "address", KEY_STR, config_service),
	KS("config_service", "key", KEY_STR, config_key),
};

/* lw_settings_defaults() - the settings a node has before any file is read. */
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

static lw_status_t set_key(const char *name, const key_spec_t *k, const lw_toml_node_t *v,
			   lw_settings_t *s)
{
	char *field = (char *)s + k->off;
	int64_t n;
	lw_str_t str;

	if (k->kind == KEY_U32) {
		if (!lw_toml_int(v, &n) || n < 0 || n > UINT32_MAX)
			return lw_error(
				LW_ERR_SETTINGS,
				"%s line %d: [%s] %s must be a whole number >= 0; write e.g. %s = 16",
				name, lw_toml_line(v), k->table, k->key, k->key);
		*(uint32_t *)(void *)field = (uint32_t)n;
		return LW_OK;
	}
	if (!lw_toml_str(v, &str.ptr, &str.len) || str.len == 0 || str.len >= LW_NAME_MAX)
		return lw_error(
			LW_ERR_SETTINGS,
			"%s line %d: [%s] %s must be a quoted string of 1..63 bytes; quote it",
			name, lw_toml_line(v), k->table, k->key);
	lw_str_copy(field, LW_NAME_MAX, str);
	return LW_OK;
}

struct walk {
	const char *name;
	const char *table;
	lw_settings_t *s;
	lw_status_t st;
};

static void key_cb(const char *key, size_t keylen, const lw_toml_node_t *val, void *ctx)
{
	struct walk *w = ctx;
	lw_str_t k = { key, keylen };

	if (w->st)
		return;
	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		if (strcmp(keys[i].table, w->table) == 0 && lw_str_eq_c(k, keys[i].key)) {
			w->st = set_key(w->name, &keys[i], val, w->s);
			return;
		}
	w->st = lw_error(LW_ERR_SETTINGS,
			 "%s line %d: unknown key [%s] %.*s; remove it or fix its spelling",
			 w->name, lw_toml_line(val), w->table, (int)keylen, key);
}

static void table_cb(const char *key, size_t keylen, const lw_toml_node_t *val, void *ctx)
{
	struct walk *w = ctx;
	lw_str_t k = { key, keylen };

	if (w->st)
		return;
	if ((!lw_str_eq_c(k, "node") && !lw_str_eq_c(k, "config_service")) ||
	    lw_toml_type(val) != LW_TOML_TABLE) {
		w->st = lw_error(
			LW_ERR_SETTINGS,
			"%s line %d: unknown table %.*s; only [node] and [config_service] are read",
			w->name, lw_toml_line(val), (int)keylen, key);
		return;
	}
	w->table = lw_str_eq_c(k, "node") ? "node" : "config_service";
	lw_toml_each(val, key_cb, w);
}

/*
 * lw_settings_parse() - apply the TOML @text (named @name in messages) on
 * top of @s, then check the result. LW_ERR_SETTINGS names file, line, key
 * and remedy.
 */
lw_status_t lw_settings_parse(const char *name, const char *text, size_t len, lw_settings_t *s)
{
	char err[256];
	lw_toml_doc_t *doc = lw_toml_parse(text, len, err, sizeof(err));
	struct walk w = { name, NULL, s, LW_OK };

	if (!doc)
		return lw_error(LW_ERR_SETTINGS, "%s: not TOML: %s; fix the syntax there", name,
				err);
	lw_toml_each(lw_toml_root(doc), table_cb, &w);
	lw_toml_free(doc);
	if (w.st)
		return w.st;
	return lw_settings_check(name, s);
}

/* lw_settings_load() - read the file at @path and apply it to @s. */
lw_status_t lw_settings_load(const char *path, lw_settings_t *s)
{
	FILE *f = fopen(path, "rb");
	char *buf;
	size_t n;
	lw_status_t st;

	if (!f)
		return lw_error(LW_ERR_SETTINGS,
				"%s: cannot open: %s; give the right path with --config", path,
				strerror(errno));
	buf = xmalloc(1024 * 1024);
	n = fread(buf, 1, 1024 * 1024, f);
	fclose(f);
	st = lw_settings_parse(path, buf, n, s);
	free(buf);
	return st;
}

/* lw_addr_split() - split "ip:port" into @host and @port. */
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

/* lw_settings_check() - the checks that do not depend on the file's shape. */
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

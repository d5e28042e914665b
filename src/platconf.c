/*
 * Parses and checks the platform's configuration document. A document that fails
 * any check is rejected as a whole, so that a node never runs with half of an
 * invalid configuration; the message names the key, the line and the remedy.
 */
#include "platconf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "tomlshim.h"
#include "xalloc.h"

static const char *const class_names[LW_CLASS_COUNT] = { "sheddable", "default", "critical" };

/* lw_class_name() - the configuration name of @cls. */
const char *lw_class_name(lw_class_t cls)
{
	return cls < LW_CLASS_COUNT ? class_names[cls] : "?";
}

/* lw_class_parse() - the class named @s, or -1 if there is none. */
int lw_class_parse(lw_str_t s)
{
	for (int i = 0; i < LW_CLASS_COUNT; i++)
		if (lw_str_eq_c(s, class_names[i]))
			return i;
	return -1;
}

static lw_status_t bad(const lw_toml_node_t *at, const char *key, const char *why,
		       const char *remedy)
{
	return lw_error(LW_ERR_CONFIG, "configuration line %d, key '%s': %s; %s", lw_toml_line(at),
			key, why, remedy);
}

static lw_status_t get_name(const lw_toml_node_t *tbl, const char *key, char *dst, bool need)
{
	const lw_toml_node_t *n = lw_toml_get(tbl, key);
	lw_str_t s;

	if (!n) {
		if (!need)
			return LW_OK;
		return bad(tbl, key, "missing", "add it");
	}
	if (!lw_toml_str(n, &s.ptr, &s.len))
		return bad(n, key, "not a string", "quote the value");
	if (s.len == 0 || s.len >= LW_NAME_MAX)
		return bad(n, key, "empty or longer than 63 bytes", "shorten it");
	lw_str_copy(dst, LW_NAME_MAX, s);
	return LW_OK;
}

static lw_status_t get_num(const lw_toml_node_t *tbl, const char *key, double lo, double hi,
			   double *out)
{
	const lw_toml_node_t *n = lw_toml_get(tbl, key);

	if (!n)
		return LW_OK; /* keep the default */
	if (!lw_toml_float(n, out))
		return bad(n, key, "not a number", "write a number");
	if (*out < lo || *out > hi) {
		char why[96];

		snprintf(why, sizeof(why), "%g is outside %g..%g", *out, lo, hi);
		return bad(n, key, why, "choose a value in range");
	}
	return LW_OK;
}

static lw_status_t parse_route(const lw_toml_node_t *n, lw_route_t *r)
{
	const lw_toml_node_t *cls;
	lw_str_t s;
	lw_status_t st;

	if (lw_toml_type(n) != LW_TOML_TABLE)
		return bad(n, "routes", "item is not a table",
			   "write { route = \"svc/name\", class = \"critical\" }");
	st = get_name(n, "route", r->name, true);
	if (st)
		return st;
	if (!strchr(r->name, '/'))
		return bad(n, "route", "not of the form service/name", "write \"service/name\"");
	cls = lw_toml_get(n, "class");
	if (!cls || !lw_toml_str(cls, &s.ptr, &s.len) || lw_class_parse(s) < 0)
		return bad(cls ? cls : n, "class", "missing or unknown",
			   "use sheddable, default or critical");
	r->cls = (lw_class_t)lw_class_parse(s);
	r->idempotent = false; /* only a route marked idempotent may be retried after execution */
	if (lw_toml_get(n, "idempotent") &&
	    !lw_toml_bool(lw_toml_get(n, "idempotent"), &r->idempotent))
		return bad(n, "idempotent", "not a boolean", "write true or false");
	return LW_OK;
}

struct preset_walk {
	lw_platconf_t *pc;
	lw_status_t st;
};

static lw_status_t parse_preset(const char *name, size_t namelen, const lw_toml_node_t *t,
				lw_preset_t *p)
{
	const lw_toml_node_t *routes = lw_toml_get(t, "routes");
	double v;
	lw_status_t st;

	if (lw_toml_type(t) != LW_TOML_TABLE)
		return bad(t, "presets", "preset is not a table", "write [presets.NAME]");
	if (namelen >= LW_NAME_MAX)
		return bad(t, "presets", "preset name too long", "shorten it");
	lw_str_copy(p->name, sizeof(p->name), (lw_str_t){ name, namelen });
	p->retry_budget = 2;
	p->retry_ratio = 0.1;
	p->queue_ms = 20;
	p->timeout_ms = 1000;
	p->share[LW_CLASS_SHEDDABLE] = 0.6;
	p->share[LW_CLASS_DEFAULT] = 0.85;
	p->share[LW_CLASS_CRITICAL] = 1.0;
	v = p->retry_budget;
	if ((st = get_num(t, "retry_budget", 0, 10, &v)))
		return st;
	p->retry_budget = (uint32_t)v;
	if ((st = get_num(t, "retry_ratio", 0, 1, &p->retry_ratio)))
		return st;
	v = p->queue_ms;
	if ((st = get_num(t, "queue_ms", 0, 10000, &v)))
		return st;
	p->queue_ms = (uint32_t)v;
	v = p->timeout_ms;
	if ((st = get_num(t, "timeout_ms", 1, 600000, &v)))
		return st;
	p->timeout_ms = (uint32_t)v;
	if ((st = get_num(t, "sheddable_share", 0, 1, &p->share[LW_CLASS_SHEDDABLE])))
		return st;
	if ((st = get_num(t, "default_share", 0, 1, &p->share[LW_CLASS_DEFAULT])))
		return st;
	if (p->share[LW_CLASS_SHEDDABLE] > p->share[LW_CLASS_DEFAULT])
		return bad(t, "sheddable_share", "larger than default_share",
			   "sheddable work must be shed before default work");
	if (routes && lw_toml_type(routes) != LW_TOML_ARRAY)
		return bad(routes, "routes", "not an array", "write routes = [ {...}, ... ]");
	p->nroutes = lw_toml_len(routes);
	p->routes = xcalloc(p->nroutes, sizeof(*p->routes));
	for (size_t i = 0; i < p->nroutes; i++)
		if ((st = parse_route(lw_toml_at(routes, i), &p->routes[i])))
			return st;
	return LW_OK;
}

static void preset_cb(const char *key, size_t keylen, const lw_toml_node_t *val, void *ctx)
{
	struct preset_walk *w = ctx;
	lw_platconf_t *pc = w->pc;

	if (w->st)
		return;
	pc->presets = xrealloc(pc->presets, (pc->npresets + 1) * sizeof(*pc->presets));
	memset(&pc->presets[pc->npresets], 0, sizeof(*pc->presets));
	w->st = parse_preset(key, keylen, val, &pc->presets[pc->npresets]);
	pc->npresets++;
}

static lw_status_t parse_host(const lw_toml_node_t *n, lw_host_t *h)
{
	char state[LW_NAME_MAX] = "live";
	lw_status_t st;

	if (lw_toml_type(n) != LW_TOML_TABLE)
		return bad(n, "hosts", "item is not a table", "write [[hosts]] tables");
	if ((st = get_name(n, "service", h->service, true)) ||
	    (st = get_name(n, "node", h->addr, true)) ||
	    (st = get_name(n, "zone", h->zone, true)) || (st = get_name(n, "state", state, false)))
		return st;
	if (!strchr(h->addr, ':'))
		return bad(n, "node", "not of the form ip:port", "write \"10.0.0.5:7101\"");
	if (strcmp(state, "live") && strcmp(state, "leaving"))
		return bad(n, "state", "unknown", "use live or leaving");
	h->leaving = strcmp(state, "leaving") == 0;
	return LW_OK;
}

static lw_status_t parse_doc(const lw_toml_node_t *root, lw_platconf_t *pc)
{
	const lw_toml_node_t *ver = lw_toml_get(root, "version");
	const lw_toml_node_t *hosts = lw_toml_get(root, "hosts");
	struct preset_walk w = { pc, LW_OK };
	char preset[LW_NAME_MAX];
	int64_t v;
	lw_status_t st;

	if (!ver || !lw_toml_int(ver, &v) || v <= 0)
		return bad(ver ? ver : root, "version", "missing or not a positive integer",
			   "publish version = N, larger than the last one");
	pc->version = (uint64_t)v;
	if ((st = get_name(root, "preset", preset, true)))
		return st;
	if (lw_toml_type(lw_toml_get(root, "presets")) != LW_TOML_TABLE)
		return bad(root, "presets", "missing", "add [presets.NAME] tables");
	lw_toml_each(lw_toml_get(root, "presets"), preset_cb, &w);
	if (w.st)
		return w.st;
	for (size_t i = 0; i < pc->npresets; i++)
		if (strcmp(pc->presets[i].name, preset) == 0)
			pc->in_force = &pc->presets[i];
	if (!pc->in_force)
		return bad(lw_toml_get(root, "preset"), "preset", "names no preset of [presets]",
			   "name one of the presets defined");
	if (hosts && lw_toml_type(hosts) != LW_TOML_ARRAY)
		return bad(hosts, "hosts", "not an array of tables", "write [[hosts]]");
	pc->nhosts = lw_toml_len(hosts);
	pc->hosts = xcalloc(pc->nhosts, sizeof(*pc->hosts));
	for (size_t i = 0; i < pc->nhosts; i++)
		if ((st = parse_host(lw_toml_at(hosts, i), &pc->hosts[i])))
			return st;
	return LW_OK;
}

/*
 * lw_platconf_parse() - parses and checks a configuration document.
 * @text, @len: the TOML bytes, at most 1 MiB (the platform's value limit).
 * @out: set to a new document on success; free with lw_platconf_free().
 *
 * Returns LW_OK, or LW_ERR_CONFIG with a message that names line, key and remedy.
 */
lw_status_t lw_platconf_parse(const char *text, size_t len, lw_platconf_t **out)
{
	char err[256];
	lw_toml_doc_t *doc;
	lw_platconf_t *pc;
	lw_status_t st;

	*out = NULL;
	if (len > 1024 * 1024)
		return lw_error(LW_ERR_CONFIG,
				"configuration is %zu bytes, over 1 MiB; split the host list", len);
	doc = lw_toml_parse(text, len, err, sizeof(err));
	if (!doc)
		return lw_error(LW_ERR_CONFIG,
				"configuration is not TOML: %s; fix the syntax there", err);
	pc = xcalloc(1, sizeof(*pc));
	st = parse_doc(lw_toml_root(doc), pc);
	lw_toml_free(doc);
	if (st) {
		lw_platconf_free(pc);
		return st;
	}
	pc->text = xstrndup(text, len);
	pc->textlen = len;
	pc->hash = XXH64(text, len, 0);
	*out = pc;
	return LW_OK;
}

/* lw_platconf_free() - releases @pc; NULL is allowed. */
void lw_platconf_free(lw_platconf_t *pc)
{
	if (!pc)
		return;
	for (size_t i = 0; i < pc->npresets; i++)
		free(pc->presets[i].routes);
	free(pc->presets);
	free(pc->hosts);
	free(pc->text);
	free(pc);
}

/*
 * lw_platconf_route() - the route "service/name" in the preset in force; NULL if
 * the preset does not list it (callers then use the default class).
 */
const lw_route_t *lw_platconf_route(const lw_platconf_t *pc, lw_str_t route)
{
	const lw_preset_t *p = pc ? pc->in_force : NULL;

	for (size_t i = 0; p && i < p->nroutes; i++)
		if (lw_str_eq_c(route, p->routes[i].name))
			return &p->routes[i];
	return NULL;
}

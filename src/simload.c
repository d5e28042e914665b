/* Reads the deployment and load of lwsim from a TOML file. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lwstr.h"
#include "simfleet.h"
#include "tomlshim.h"
#include "xalloc.h"

#define FILE_MAX_BYTES 65536
#define LATENCIES_MAX  200000

static double number(const lw_toml_node_t *t, const char *key, double fallback)
{
	const lw_toml_node_t *v = lw_toml_get(t, key);
	int64_t i;
	double d;

	if (v && lw_toml_float(v, &d))
		return d;
	return v && lw_toml_int(v, &i) ? (double)i : fallback;
}

static void text(const lw_toml_node_t *t, const char *key, char *dst)
{
	const lw_toml_node_t *v = lw_toml_get(t, key);
	lw_str_t s;

	if (v && lw_toml_str(v, &s.ptr, &s.len))
		lw_str_copy(dst, LW_NAME_MAX, s);
}

static void read_service(lw_sim_t *s, const lw_toml_node_t *t)
{
	lw_sim_service_t *sv = &s->services[s->nservices++];
	const lw_toml_node_t *speeds = lw_toml_get(t, "speeds");

	text(t, "name", sv->name);
	sv->servers = (uint32_t)number(t, "servers", 1);
	if (sv->servers > LW_SIM_SERVERS_MAX)
		sv->servers = LW_SIM_SERVERS_MAX;
	sv->slots = (uint32_t)number(t, "slots", 16);
	sv->knee = number(t, "knee", 0);
	sv->knee_x = number(t, "knee_x", 1);
	for (uint32_t i = 0; i < sv->servers; i++) {
		int64_t whole;

		sv->speed[i] = 1;
		if (!speeds || !lw_toml_len(speeds))
			continue;
		if (!lw_toml_float(lw_toml_at(speeds, i % lw_toml_len(speeds)), &sv->speed[i]) &&
		    lw_toml_int(lw_toml_at(speeds, i % lw_toml_len(speeds)), &whole))
			sv->speed[i] = (double)whole;
	}
}

static void read_kind(lw_sim_t *s, const lw_toml_node_t *t)
{
	lw_sim_kind_t *k = &s->kinds[s->nkinds++];
	const lw_toml_node_t *idempotent = lw_toml_get(t, "idempotent");

	text(t, "name", k->name);
	text(t, "service", k->service);
	text(t, "call", k->call);
	k->calls = (uint32_t)number(t, "calls", 1);
	k->rate = number(t, "rate", 0);
	k->work_ms = number(t, "work_ms", 20);
	k->priority = (uint32_t)number(t, "priority", 1);
	k->target_ms = (uint32_t)number(t, "target_ms", 1000);
	k->deadline_ms = (uint32_t)number(t, "deadline_ms", 5000);
	k->timeout_ms = (uint32_t)number(t, "timeout_ms", k->deadline_ms);
	k->retries = (uint32_t)number(t, "retries", 1);
	k->idempotent = true;
	if (idempotent)
		lw_toml_bool(idempotent, &k->idempotent);
	k->latency_ms = xcalloc(LATENCIES_MAX, sizeof(*k->latency_ms));
}

static lw_status_t check(const char *path, const lw_sim_t *s)
{
	if (!s->nservices || !s->nkinds)
		return lw_error(LW_ERR_SETTINGS, "%s: needs [[service]] and [[kind]] tables", path);
	for (size_t i = 0; i < s->nkinds; i++) {
		bool service = false, call = !s->kinds[i].call[0];

		for (size_t k = 0; k < s->nservices; k++)
			service |= strcmp(s->services[k].name, s->kinds[i].service) == 0;
		for (size_t k = 0; k < s->nkinds; k++)
			call |= strcmp(s->kinds[k].name, s->kinds[i].call) == 0;
		if (!service || !call)
			return lw_error(LW_ERR_SETTINGS,
					"%s: kind '%s' has an undefined service or call; define it",
					path, s->kinds[i].name);
	}
	return LW_OK;
}

static lw_status_t parse(const char *path, const char *buf, size_t len, lw_sim_t *s)
{
	char err[256];
	lw_toml_doc_t *doc = lw_toml_parse(buf, len, err, sizeof(err));
	const lw_toml_node_t *root, *list;

	if (!doc)
		return lw_error(LW_ERR_SETTINGS, "%s: invalid TOML: %s; correct the syntax", path,
				err);
	root = lw_toml_root(doc);
	s->length_s = number(root, "length_s", 30);
	s->burst = number(root, "burst", 1);
	s->burst_at_s = number(root, "burst_at_s", 5);
	s->burst_for_s = number(root, "burst_for_s", 10);
	s->net_ms = number(root, "net_ms", 0.5);
	s->retry_extra = number(root, "retry_extra", 47);
	s->slow_x = number(root, "slow_x", 1);
	text(root, "slow_service", s->slow_service);
	s->shed_part = number(root, "shed_part", 0);
	s->shed_at_s = number(root, "shed_at_s", 0);
	s->shed_for_s = number(root, "shed_for_s", 0);
	text(root, "shed_service", s->shed_service);
	list = lw_toml_get(root, "service");
	for (size_t i = 0; list && i < lw_toml_len(list) && i < LW_SIM_SERVICES_MAX; i++)
		read_service(s, lw_toml_at(list, i));
	list = lw_toml_get(root, "kind");
	for (size_t i = 0; list && i < lw_toml_len(list) && i < LW_SIM_KINDS_MAX; i++)
		read_kind(s, lw_toml_at(list, i));
	lw_toml_free(doc);
	return check(path, s);
}

/* lw_sim_load() - read a deployment and its load from the TOML file at @path. */
lw_status_t lw_sim_load(const char *path, lw_sim_t **out)
{
	FILE *f = fopen(path, "rb");
	char *buf;
	size_t len;
	lw_status_t st;

	if (!f)
		return lw_error(LW_ERR_SETTINGS, "%s: cannot open: %s; check the path", path,
				strerror(errno));
	buf = xmalloc(FILE_MAX_BYTES);
	len = fread(buf, 1, FILE_MAX_BYTES, f);
	fclose(f);
	*out = xcalloc(1, sizeof(**out));
	st = parse(path, buf, len, *out);
	free(buf);
	if (st)
		lw_sim_free(*out);
	return st;
}

/* lw_sim_set_without() - disable the mechanism @name. */
lw_status_t lw_sim_set_without(lw_sim_t *s, const char *name)
{
	static const char *const names[LW_SIM_MECHANISMS] = {
		"levels",	  "objective-order", "weighed-ranks",	"lowest-ranks", "resends",
		"inherited-rank", "knee-margin",     "idempotent-last", "work-kinds",
	};

	for (size_t i = 0; i < LW_SIM_MECHANISMS; i++)
		if (strcmp(names[i], name) == 0) {
			s->without[i] = true;
			return LW_OK;
		}
	return lw_error(
		LW_ERR_ARGS,
		"mechanism '%s' is unknown; use levels, objective-order, weighed-ranks, "
		"lowest-ranks, resends, inherited-rank, knee-margin, idempotent-last or work-kinds",
		name);
}

/* lw_sim_has_mechanism() - whether the selected policy has mechanism @m and it is enabled. */
bool lw_sim_has_mechanism(const lw_sim_t *s, lw_sim_mechanism_t m)
{
	/* the last policy that has the mechanism; all policies before it in the enum have it too */
	static const lw_sim_policy_t last[LW_SIM_MECHANISMS] = {
		[LW_SIM_LEVELS] = LW_SIM_SPREAD,      [LW_SIM_OBJECTIVE_ORDER] = LW_SIM_NO_LEVELS,
		[LW_SIM_WEIGHED_RANKS] = LW_SIM_FULL, [LW_SIM_LOWEST_RANKS] = LW_SIM_FULL,
		[LW_SIM_RESENDS] = LW_SIM_FULL,	      [LW_SIM_INHERITED_RANK] = LW_SIM_NAIVE,
		[LW_SIM_KNEE_MARGIN] = LW_SIM_NAIVE,  [LW_SIM_IDEMPOTENT_LAST] = LW_SIM_NAIVE,
		[LW_SIM_WORK_KINDS] = LW_SIM_FULL,
	};

	return !s->without[m] && s->policy <= last[m];
}

/* lw_sim_set_policy() - select the policy @name. */
lw_status_t lw_sim_set_policy(lw_sim_t *s, const char *name)
{
	static const char *const names[] = { "full", "spread", "no-levels", "fifo", "naive" };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcmp(names[i], name) == 0) {
			s->policy = (lw_sim_policy_t)i;
			return LW_OK;
		}
	return lw_error(LW_ERR_ARGS,
			"policy '%s' is unknown; use full, spread, no-levels, fifo or naive", name);
}

/* lw_sim_free() - release a deployment. */
void lw_sim_free(lw_sim_t *s)
{
	for (size_t i = 0; i < s->nkinds; i++)
		free(s->kinds[i].latency_ms);
	free(s);
}

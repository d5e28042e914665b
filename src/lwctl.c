/*
 * lwctl: the command-line client for operators.
 *   lwctl check FILE            check a configuration document offline: presets (TOML) or
 *                               the platform's document (JSON)
 *   lwctl check-settings FILE   check a node settings file offline
 *   lwctl status ADMIN          print preset, config version, limits and peers of a node
 *   lwctl metrics ADMIN         print the counters of a node
 *   lwctl drain ADMIN           start a graceful stop of a node
 *   lwctl explain ID LOG...     trace one request through the logs of nodes ("-": standard input)
 *   lwctl events                print the log event catalogue
 * ADMIN is the admin address ip:port of the node, for lwproxy the address of
 * its metrics. --json prints the result of explain as JSON. Exit status: 0 on
 * success, 1 on a negative result (invalid file, no log line of the request,
 * node unreachable or request rejected), 2 on wrong usage or if check or
 * explain cannot open a file.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/documents.h"
#include "cli.h"
#include "explain.h"
#include "httpc.h"
#include "log.h"
#include "platconf.h"
#include "proxyset.h"
#include "settings.h"
#include "xalloc.h"

/* most arguments of a command; allows for the logs of a large fleet */
#define ARGS_MAX 4096

static int read_file(const char *path, char **buf, size_t *len)
{
	FILE *f = fopen(path, "rb");

	if (!f) {
		fprintf(stderr, "lwctl: cannot open %s; check the path\n", path);
		return -1;
	}
	*buf = xmalloc(1024 * 1024 + 1);
	*len = fread(*buf, 1, 1024 * 1024 + 1, f);
	fclose(f);
	return 0;
}

typedef struct args {
	const char *const *operands; /* arguments that follow the command */
	int n;
	bool json;
} args_t;

/* check the platform's configuration document, in the format of its store */
static int check_document(const char *path, const char *text, size_t len)
{
	lw_fleetconf_t *fc;

	if (lw_document_config(text, len, &fc)) {
		fprintf(stderr, "%s: %s\n", path, lw_error_last());
		return 1;
	}
	printf("%s: ok: version %llu, %zu routes, %zu services, %zu organisations\n", path,
	       (unsigned long long)fc->version, fc->nroutes, fc->nservices,
	       fc->orgs ? lw_orgs_count(fc->orgs) : 0);
	lw_fleetconf_free(fc);
	return 0;
}

static int cmd_check(const args_t *a)
{
	const char *path = a->operands[0];
	char *buf;
	size_t len;
	lw_platconf_t *pc;

	if (read_file(path, &buf, &len))
		return 2;
	if (len && buf[0] == '{') {
		int rc = check_document(path, buf, len);

		free(buf);
		return rc;
	}
	if (lw_platconf_parse(buf, len, &pc)) {
		fprintf(stderr, "%s: %s\n", path, lw_error_last());
		free(buf);
		return 1;
	}
	printf("%s: ok: version %llu, preset %s in force, %zu presets, %zu hosts\n", path,
	       (unsigned long long)pc->version, pc->in_force->name, pc->npresets, pc->nhosts);
	lw_platconf_free(pc);
	free(buf);
	return 0;
}

/* only settings of lwproxy have a [host] table */
static bool is_proxy_settings(const char *path)
{
	char *buf = NULL;
	size_t len;
	bool found;

	if (read_file(path, &buf, &len))
		return false;
	buf[len] = '\0';
	found = strncmp(buf, "[host]", 6) == 0 || strstr(buf, "\n[host]") != NULL;
	free(buf);
	return found;
}

static int check_proxy_settings(const char *path)
{
	lw_proxy_settings_t s;

	lw_proxy_settings_defaults(&s);
	if (lw_proxy_settings_load(path, &s)) {
		fprintf(stderr, "%s\n", lw_error_last());
		return 1;
	}
	printf("%s: ok: lwproxy beside service %s in %s, callers at %s\n", path, s.service, s.zone,
	       s.callers);
	return 0;
}

static int cmd_check_settings(const args_t *a)
{
	const char *path = a->operands[0];
	lw_settings_t s;

	if (is_proxy_settings(path))
		return check_proxy_settings(path);
	lw_settings_defaults(&s);
	if (lw_settings_load(path, &s)) {
		fprintf(stderr, "%s\n", lw_error_last());
		return 1;
	}
	printf("%s: ok: service %s in %s, listen %s\n", path, s.service, s.zone, s.listen);
	return 0;
}

static int call_admin(const char *admin, const char *method, const char *path)
{
	return lw_httpc_command("lwctl", admin, method, path, (lw_str_t){ NULL, 0 });
}

static int cmd_status(const args_t *a)
{
	return call_admin(a->operands[0], "GET", "/status");
}

static int cmd_metrics(const args_t *a)
{
	return call_admin(a->operands[0], "GET", "/metrics");
}

static int cmd_drain(const args_t *a)
{
	return call_admin(a->operands[0], "POST", "/drain");
}

static int read_log(lw_explain_t *e, const char *path)
{
	bool standard = strcmp(path, "-") == 0;
	FILE *f = standard ? stdin : fopen(path, "r");
	const char *slash = strrchr(path, '/');
	char *line = NULL;
	size_t cap = 0;

	if (!f) {
		fprintf(stderr, "lwctl: cannot open %s; check the path\n", path);
		return 2;
	}
	while (getline(&line, &cap, f) > 0)
		lw_explain_add(e, slash ? slash + 1 : path, line);
	free(line);
	if (!standard)
		fclose(f);
	return 0;
}

static int cmd_explain(const args_t *a)
{
	lw_explain_t e;
	int rc = 0;

	lw_explain_init(&e, a->operands[0]);
	for (int i = 1; i < a->n && !rc; i++)
		rc = read_log(&e, a->operands[i]);
	if (!rc && !e.nlines) {
		fprintf(stderr,
			"lwctl: no line of request %s; served requests leave none, and "
			"%llu lines were left out for volume\n",
			a->operands[0], (unsigned long long)e.dropped);
		rc = 1;
	}
	if (!rc) {
		lw_explain_sort(&e);
		if (a->json)
			lw_explain_json(&e, stdout);
		else
			lw_explain_print(&e, stdout);
	}
	lw_explain_free(&e);
	return rc;
}

static int cmd_events(const args_t *a)
{
	(void)a;
	lw_log_catalogue();
	return 0;
}

static const struct {
	const char *name;
	int (*run)(const args_t *a);
	int min_operands;
	const char *usage;
} commands[] = {
	{ "check", cmd_check, 1, "check FILE" },
	{ "check-settings", cmd_check_settings, 1, "check-settings FILE" },
	{ "status", cmd_status, 1, "status ADMIN" },
	{ "metrics", cmd_metrics, 1, "metrics ADMIN" },
	{ "drain", cmd_drain, 1, "drain ADMIN" },
	{ "explain", cmd_explain, 2, "explain ID LOG..." },
	{ "events", cmd_events, 0, "events" },
};

static int run(const char *name, const args_t *a)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, name) != 0)
			continue;
		if (a->n >= commands[i].min_operands)
			return commands[i].run(a);
		fprintf(stderr, "lwctl: usage: lwctl %s\n", commands[i].usage);
		return 2;
	}
	fprintf(stderr, "lwctl: unknown command '%s'; see 'lwctl --help'\n", name);
	return 2;
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwctl");
	struct arg_str *cmd =
		arg_str0(NULL, NULL, "COMMAND",
			 "check, check-settings, status, metrics, drain, explain, events");
	struct arg_str *what = arg_strn(NULL, NULL, "ARG", 0, ARGS_MAX,
					"FILE, admin ip:port of a node, or request id and logs");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the result of explain as JSON");
	void *table[] = { cli.help, cli.version, json, cmd, what, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	args_t a;

	if (rc != LW_CLI_RUN)
		return rc;
	if (!cmd->count) {
		fprintf(stderr, "lwctl: missing command; see 'lwctl --help'\n");
		return 2;
	}
	a = (args_t){ what->sval, what->count, json->count > 0 };
	return run(cmd->sval[0], &a);
}

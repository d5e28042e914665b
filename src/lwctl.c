/*
 * lwctl: the command-line client for operators.
 *   lwctl check FILE            check a configuration document offline: presets (TOML) or
 *                               the platform's document (JSON)
 *   lwctl check-settings FILE   check a node settings file offline
 *   lwctl status ADMIN          print preset, config version, limits and peers of a node
 *   lwctl metrics ADMIN         print the counters of a node
 *   lwctl drain ADMIN           start a graceful stop of a node
 *   lwctl explain ID LOG...     trace one request through the logs of nodes ("-": standard input)
 *   lwctl account LOG...        count the lost requests in the logs of nodes by second,
 *                               service, cause, route and organisation ("-": standard input)
 *   lwctl events                print the log event catalogue
 * ADMIN is the admin address ip:port of the node, for lwproxy the address of
 * its metrics. --json prints the result of explain as JSON. account counts
 * attempts: a request that a caller repeats has a new id; calls that servers make
 * for a request are counted apart. --csv prints its rows as CSV, --rows N at most
 * N rows and the sum of the others (default: 40 in text, all in CSV; 0: all),
 * --by LIST selects the columns. Exit status: 0 on success, 1 on a negative result
 * (invalid file, no log line of the request or of a node, node unreachable or
 * request rejected), 2 on wrong usage or if a file cannot be opened.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/documents.h"
#include "account.h"
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
/* rows of the account in text unless --rows is given */
#define ACCOUNT_ROWS_TEXT 40

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
	bool csv;
	int rows; /* -1: not given */
	const char *by; /* columns; NULL: all */
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

/* adds a line of the log @source to the result of a command */
typedef void (*add_line_t)(void *to, const char *source, const char *line);

static int read_log(void *to, add_line_t add, const char *path)
{
	bool standard = strcmp(path, "-") == 0;
	FILE *f = standard ? stdin : fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	if (!f) {
		fprintf(stderr, "lwctl: cannot open %s; check the path\n", path);
		return 2;
	}
	while (getline(&line, &cap, f) > 0)
		add(to, path, line);
	free(line);
	if (!standard)
		fclose(f);
	return 0;
}

static void add_to_explain(void *to, const char *source, const char *line)
{
	const char *slash = strrchr(source, '/');

	lw_explain_add(to, slash ? slash + 1 : source, line);
}

static int cmd_explain(const args_t *a)
{
	lw_explain_t e;
	int rc = 0;

	lw_explain_init(&e, a->operands[0]);
	for (int i = 1; i < a->n && !rc; i++)
		rc = read_log(&e, add_to_explain, a->operands[i]);
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

static void add_to_account(void *to, const char *source, const char *line)
{
	lw_account_add(to, source, line);
}

static void print_account(lw_account_t *account, const args_t *a)
{
	size_t rows = a->csv ? 0 : ACCOUNT_ROWS_TEXT;

	if (a->rows >= 0)
		rows = (size_t)a->rows;
	if (a->csv)
		lw_account_csv(account, rows, stdout);
	else
		lw_account_print(account, rows, stdout);
	lw_account_warn(account, a->csv ? stderr : stdout);
}

static int cmd_account(const args_t *a)
{
	lw_account_t account;
	int rc = 0;

	lw_account_init(&account, LW_ACCOUNT_ROWS_MAX);
	if (a->by && !lw_accountrows_set_columns(&account.rows, a->by)) {
		fprintf(stderr, "lwctl: --by takes second,service,cause,route,org\n");
		rc = 2;
	}
	for (int i = 0; i < a->n && !rc; i++)
		rc = read_log(&account, add_to_account, a->operands[i]);
	lw_account_finish(&account);
	if (!rc && !account.sums.processes) {
		fprintf(stderr, "lwctl: no line of a node; give it the logs of lwproxy\n");
		rc = 1;
	}
	if (!rc)
		print_account(&account, a);
	lw_account_free(&account);
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
	{ "account", cmd_account, 1, "account [--csv] [--rows N] [--by LIST] LOG..." },
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
			 "check, check-settings, status, metrics, drain, explain, account, events");
	struct arg_str *what =
		arg_strn(NULL, NULL, "ARG", 0, ARGS_MAX,
			 "FILE, admin ip:port of a node, request id and logs, or logs");
	struct arg_lit *json = arg_lit0(NULL, "json", "print the result of explain as JSON");
	struct arg_lit *csv = arg_lit0(NULL, "csv", "print the rows of account as CSV");
	struct arg_int *rows = arg_int0(NULL, "rows", "N",
					"most rows of account, then the sum of the others; 0: all");
	struct arg_str *by = arg_str0(NULL, "by", "LIST",
				      "columns of account: second,service,cause,route,org; it "
				      "counts attempts, as a repeated request has a new id");
	void *table[] = { cli.help, cli.version, json, csv, rows, by, cmd, what, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	args_t a;

	if (rc != LW_CLI_RUN)
		return rc;
	if (!cmd->count) {
		fprintf(stderr, "lwctl: missing command; see 'lwctl --help'\n");
		return 2;
	}
	a = (args_t){ .operands = what->sval,
		      .n = what->count,
		      .json = json->count > 0,
		      .csv = csv->count > 0,
		      .rows = rows->count ? rows->ival[0] : -1,
		      .by = by->count ? by->sval[0] : NULL };
	return run(cmd->sval[0], &a);
}

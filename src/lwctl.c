/*
 * lwctl: the operators' client.
 *   lwctl check FILE            check a configuration document offline
 *   lwctl check-settings FILE   check a node settings file offline
 *   lwctl status ADMIN          preset, config version, limits, peers of a node
 *   lwctl metrics ADMIN         a node's counters
 *   lwctl drain ADMIN           start a graceful stop of a node
 *   lwctl events                the log event catalogue
 * ADMIN is the node's admin address, ip:port.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "httpc.h"
#include "log.h"
#include "platconf.h"
#include "settings.h"
#include "xalloc.h"

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

static int cmd_check(const char *path)
{
	char *buf;
	size_t len;
	lw_platconf_t *pc;

	if (read_file(path, &buf, &len))
		return 2;
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

static int cmd_check_settings(const char *path)
{
	lw_settings_t s;

	lw_settings_defaults(&s);
	if (lw_settings_load(path, &s)) {
		fprintf(stderr, "%s\n", lw_error_last());
		return 1;
	}
	printf("%s: ok: service %s in %s, listen %s\n", path, s.service, s.zone, s.listen);
	return 0;
}

static int cmd_http(const char *admin, const char *method, const char *path)
{
	return lw_httpc_command("lwctl", admin, method, path, (lw_str_t){ NULL, 0 });
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwctl");
	struct arg_str *cmd = arg_str0(NULL, NULL, "COMMAND",
				       "check, check-settings, status, metrics, drain, events");
	struct arg_str *what =
		arg_str0(NULL, NULL, "FILE|ADMIN", "file to check or node admin ip:port");
	void *table[] = { cli.help, cli.version, cmd, what, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	const char *c, *w;

	if (rc != LW_CLI_RUN)
		return rc;
	if (!cmd->count) {
		fprintf(stderr, "lwctl: give a command; see 'lwctl --help'\n");
		return 2;
	}
	c = cmd->sval[0];
	w = what->count ? what->sval[0] : NULL;
	if (strcmp(c, "events") == 0) {
		lw_log_catalogue();
		return 0;
	}
	if (!w) {
		fprintf(stderr, "lwctl: %s needs an argument; see 'lwctl --help'\n", c);
		return 2;
	}
	if (strcmp(c, "check") == 0)
		return cmd_check(w);
	if (strcmp(c, "check-settings") == 0)
		return cmd_check_settings(w);
	if (strcmp(c, "status") == 0)
		return cmd_http(w, "GET", "/status");
	if (strcmp(c, "metrics") == 0)
		return cmd_http(w, "GET", "/metrics");
	if (strcmp(c, "drain") == 0)
		return cmd_http(w, "POST", "/drain");
	fprintf(stderr, "lwctl: unknown command '%s'; see 'lwctl --help'\n", c);
	return 2;
}

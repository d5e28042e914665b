/*
 * lwfleet: what the logs of all nodes of a fleet say together.
 *   lwfleet [--csv FILE] [--plot FILE] LOG...   ("-": standard input)
 * A log is that of one host, or of many if each line has the host's name before it. Exit
 * status: 0 on success, 1 if no line of a node is found or a file cannot be written, 2 on
 * wrong usage or if a log cannot be opened.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "fleetlog.h"
#include "fleetplot.h"

/* most logs; allows for one of each host of a large fleet */
#define LOGS_MAX 4096

static int read_log(lw_fleetlog_t *f, const char *path)
{
	bool standard = strcmp(path, "-") == 0;
	FILE *in = standard ? stdin : fopen(path, "r");
	const char *slash = strrchr(path, '/');
	char *line = NULL;
	size_t cap = 0;

	if (!in) {
		fprintf(stderr, "lwfleet: cannot open %s; check the path\n", path);
		return 2;
	}
	while (getline(&line, &cap, in) > 0)
		lw_fleetlog_add(f, slash ? slash + 1 : path, line);
	free(line);
	if (!standard)
		fclose(in);
	return 0;
}

static int write_csv(const lw_fleetlog_t *f, const char *path)
{
	FILE *out = fopen(path, "w");

	if (!out) {
		fprintf(stderr, "lwfleet: cannot write %s; use a writable path\n", path);
		return 1;
	}
	lw_fleetlog_csv(f, out);
	fclose(out);
	return 0;
}

static int write_plot(const lw_fleetlog_t *f, const char *path)
{
	if (!lw_fleet_plot(f, path))
		return 0;
	fprintf(stderr, "lwfleet: %s\n", lw_error_last());
	return 1;
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwfleet");
	struct arg_file *csv = arg_file0(NULL, "csv", "FILE", "also write one row a process");
	struct arg_file *png =
		arg_file0(NULL, "plot", "FILE", "also write a PNG of the spread of configurations");
	struct arg_file *logs = arg_filen(NULL, NULL, "LOG", 1, LOGS_MAX, "logs of nodes");
	void *table[] = { cli.help, cli.version, csv, png, logs, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	lw_fleetlog_t f = { 0 };

	if (rc != LW_CLI_RUN)
		return rc;
	rc = 0;
	for (int i = 0; i < logs->count && !rc; i++)
		rc = read_log(&f, logs->filename[i]);
	if (!rc && !f.nprocesses) {
		fprintf(stderr, "lwfleet: no line of a node; give it the logs of lwproxy\n");
		rc = 1;
	}
	lw_fleetlog_sort(&f);
	if (!rc)
		lw_fleetlog_print(&f, stdout);
	if (!rc && csv->count)
		rc = write_csv(&f, csv->filename[0]);
	if (!rc && png->count)
		rc = write_plot(&f, png->filename[0]);
	lw_fleetlog_free(&f);
	return rc;
}

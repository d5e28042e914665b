/*
 * lwburn: reports how fast services use up their error budgets. It reads the
 * nodes' counters several times (lwnode: lw_requests_total by service, class
 * and outcome; lwproxy: lw_route_requests_total by route, kind and outcome)
 * and prints the burn rate per service and class, or per route and kind, over
 * the last interval between reads (short window) and the whole run of the nodes
 * (long window). The burn rate is the share of requests that were not done
 * divided by the share that the objective allows (the multiwindow burn-rate
 * alert of Google's SRE Workbook, ch. 5).
 * Output: a text table, optional CSV, optional PNG bar chart (cairo).
 */
#include <cairo.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "httpc.h"
#include "platconf.h"
#include "xalloc.h"

#define ROWS_MAX  1024 /* services times classes, or routes times kinds */
#define NODES_MAX 2048

typedef struct row {
	char service[LW_NAME_MAX];
	char cls[16];
	double first[3], prev[3], last[3];
	bool seen;
} row_t;

static row_t rows[ROWS_MAX];
static int nrows;

static row_t *row_get(const char *svc, const char *cls)
{
	for (int i = 0; i < nrows; i++)
		if (!strcmp(rows[i].service, svc) && !strcmp(rows[i].cls, cls))
			return &rows[i];
	if (nrows == ROWS_MAX)
		return NULL;
	snprintf(rows[nrows].service, LW_NAME_MAX, "%s", svc);
	snprintf(rows[nrows].cls, sizeof(rows[0].cls), "%s", cls);
	return &rows[nrows++];
}

static int outcome_index(const char *o)
{
	return !strcmp(o, "done") ? 0 : !strcmp(o, "not_run") ? 1 : !strcmp(o, "unknown") ? 2 : -1;
}

/* outcomes of lwproxy's routes; requests whose caller disconnected are not counted */
static int route_outcome_index(const char *o)
{
	static const struct {
		const char *name;
		int index;
	} outcomes[] = { { "answered", 0 }, { "refused", 1 }, { "server_failed", 2 },
			 { "failed", 2 },   { "timeout", 2 }, { "cut", 2 } };

	for (size_t i = 0; i < sizeof(outcomes) / sizeof(outcomes[0]); i++)
		if (strcmp(outcomes[i].name, o) == 0)
			return outcomes[i].index;
	return -1;
}

/* add the counters in one node's /metrics text to @acc[row][outcome] */
static void parse_metrics(const char *text, double acc[ROWS_MAX][3])
{
	const char *line = text;

	while (line && *line) {
		char svc[LW_NAME_MAX], cls[16], out[16];
		double v;

		if (sscanf(line,
			   "lw_requests_total{service=\"%63[^\"]\",class=\"%15[^\"]\",outcome=\"%15[^\"]\"} %lf",
			   svc, cls, out, &v) == 4) {
			row_t *r = row_get(svc, cls);
			int o = outcome_index(out);

			if (r && o >= 0)
				acc[r - rows][o] += v;
		} else if (
			sscanf(line,
			       "lw_route_requests_total{route=\"%63[^\"]\",kind=\"%15[^\"]\",outcome=\"%15[^\"]\"} %lf",
			       svc, cls, out, &v) == 4) {
			row_t *r = row_get(svc, cls);
			int o = route_outcome_index(out);

			if (r && o >= 0)
				acc[r - rows][o] += v;
		}
		line = strchr(line, '\n');
		if (line)
			line++;
	}
}

static int scrape(char **admins, int nadmins, double acc[ROWS_MAX][3])
{
	int ok = 0;

	memset(acc, 0, sizeof(double) * ROWS_MAX * 3);
	for (int i = 0; i < nadmins; i++) {
		lw_httpc_t *c = lw_httpc_new(admins[i]);
		lw_http_reply_t r;

		if (!c)
			continue;
		lw_httpc_call(c, "GET", "/metrics", NULL, 0, (lw_str_t){ NULL, 0 }, 2000, true, &r);
		lw_httpc_free(c);
		if (!r.fail && r.status == 200 && r.body) {
			parse_metrics(r.body, acc);
			ok++;
		} else {
			fprintf(stderr,
				"lwburn: no metrics from %s; check that the node is running\n",
				admins[i]);
		}
		free(r.body);
	}
	return ok;
}

static double burn_rate(const double *a, const double *b, double slo)
{
	double done = b[0] - a[0], bad = (b[1] - a[1]) + (b[2] - a[2]);
	double total = done + bad;

	return total > 0 ? (bad / total) / (1.0 - slo) : 0;
}

static void plot(const char *path, double slo)
{
	int w = 120 + 90 * nrows, h = 360;
	cairo_surface_t *s = cairo_image_surface_create(CAIRO_FORMAT_RGB24, w, h);
	cairo_t *cr = cairo_create(s);
	double maxb = 1;

	for (int i = 0; i < nrows; i++) {
		double b = burn_rate(rows[i].first, rows[i].last, slo);

		if (b > maxb)
			maxb = b;
	}
	cairo_set_source_rgb(cr, 1, 1, 1);
	cairo_paint(cr);
	cairo_set_source_rgb(cr, 0, 0, 0);
	cairo_set_font_size(cr, 12);
	cairo_move_to(cr, 10, 20);
	cairo_show_text(cr, "error-budget burn rate, long window (1.0 = exactly the budget)");
	for (int i = 0; i < nrows; i++) {
		double b = burn_rate(rows[i].first, rows[i].last, slo);
		double bh = (h - 110) * b / maxb, x = 60 + 90.0 * i;

		cairo_set_source_rgb(cr, b > 1 ? 0.8 : 0.3, b > 1 ? 0.2 : 0.5, 0.3);
		cairo_rectangle(cr, x, h - 70 - bh, 60, bh);
		cairo_fill(cr);
		cairo_set_source_rgb(cr, 0, 0, 0);
		cairo_move_to(cr, x, h - 50);
		cairo_show_text(cr, rows[i].service);
		cairo_move_to(cr, x, h - 35);
		cairo_show_text(cr, rows[i].cls);
		char lbl[32];

		snprintf(lbl, sizeof(lbl), "%.2f", b);
		cairo_move_to(cr, x, h - 75 - bh);
		cairo_show_text(cr, lbl);
	}
	double y1 = h - 70 - (h - 110) / maxb;

	cairo_set_source_rgb(cr, 0.2, 0.2, 0.8);
	cairo_move_to(cr, 40, y1);
	cairo_line_to(cr, w - 10, y1);
	cairo_stroke(cr);
	cairo_surface_write_to_png(s, path);
	cairo_destroy(cr);
	cairo_surface_destroy(s);
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwburn");
	struct arg_str *nodes =
		arg_strn(NULL, "node", "ADMIN", 1, NODES_MAX, "admin ip:port of a node");
	struct arg_dbl *slo =
		arg_dbl0(NULL, "slo", "RATIO", "objective, e.g. 0.999 (default 0.99)");
	struct arg_int *interval =
		arg_int0(NULL, "interval", "S", "seconds between reads (default 1)");
	struct arg_int *samples = arg_int0(NULL, "samples", "N", "number of reads (default 2)");
	struct arg_file *csv = arg_file0(NULL, "csv", "FILE", "also write the table as CSV");
	struct arg_file *png = arg_file0(NULL, "plot", "FILE", "also write a PNG bar chart");
	void *table[] = { cli.help, cli.version, nodes, slo, interval, samples, csv, png, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	static double acc[ROWS_MAX][3];
	double objective;
	int n;

	if (rc != LW_CLI_RUN)
		return rc;
	objective = slo->count ? slo->dval[0] : 0.99;
	if (objective <= 0 || objective >= 1) {
		fprintf(stderr, "lwburn: --slo must be between 0 and 1, e.g. 0.999\n");
		return 2;
	}
	n = samples->count ? samples->ival[0] : 2;
	for (int k = 0; k < n; k++) {
		if (k)
			sleep((unsigned)(interval->count ? interval->ival[0] : 1));
		if (!scrape((char **)nodes->sval, nodes->count, acc))
			return 1;
		for (int i = 0; i < nrows; i++) {
			row_t *r = &rows[i];

			/* the long window begins when the nodes start, with counters at zero */
			if (!r->seen)
				memset(r->first, 0, sizeof(r->first));
			memcpy(r->prev, r->seen ? r->last : acc[i], sizeof(r->prev));
			memcpy(r->last, acc[i], sizeof(r->last));
			r->seen = true;
		}
	}
	FILE *c = csv->count ? fopen(csv->filename[0], "w") : NULL;

	printf("%-20s %-10s %10s %10s %10s %10s\n", "service", "class", "requests", "not_done",
	       "burn_short", "burn_long");
	if (c)
		fprintf(c, "service,class,requests,not_done,burn_short,burn_long\n");
	for (int i = 0; i < nrows; i++) {
		row_t *r = &rows[i];
		double req = (r->last[0] + r->last[1] + r->last[2]) -
			     (r->first[0] + r->first[1] + r->first[2]);
		double bad = (r->last[1] + r->last[2]) - (r->first[1] + r->first[2]);

		if (req == 0)
			continue;

		printf("%-20s %-10s %10.0f %10.0f %10.2f %10.2f\n", r->service, r->cls, req, bad,
		       burn_rate(r->prev, r->last, objective),
		       burn_rate(r->first, r->last, objective));
		if (c)
			fprintf(c, "%s,%s,%.0f,%.0f,%.4f,%.4f\n", r->service, r->cls, req, bad,
				burn_rate(r->prev, r->last, objective),
				burn_rate(r->first, r->last, objective));
	}
	if (c)
		fclose(c);
	if (png->count)
		plot(png->filename[0], objective);
	return 0;
}

/* Evaluation of the logs of a fleet; see fleetlog.h. */
#include "fleetlog.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fanout.h"
#include "logline.h"
#include "xalloc.h"

#define CAP_FIRST 64
#define KEY_MAX	  64

static const char *const role_names[LW_FLEET_ROLES] = { "reader", "substitute", "inner", "leaf",
							"unlisted" };

/*
 * Where a figure comes from in a summary. With @per_s it is a sum since the start, of which
 * the growth per second counts.
 */
static const struct {
	const char *name;
	const char *key;
	const char *key2; /* added to it; NULL: none */
	double factor;
	bool per_s;
} figures[LW_FLEET_FIGURES] = {
	[LW_FLEET_BYTES] = { "kB_s", "bytes_out", NULL, 1e-3, true },
	[LW_FLEET_CONTROL] = { "control_kB_s", "control_bytes", NULL, 1e-3, true },
	[LW_FLEET_WAKEUPS] = { "wakeups_s", "wakeups", NULL, 1, true },
	[LW_FLEET_PROCESSOR] = { "processor_%", "cpu_ms", NULL, 0.1, true },
	[LW_FLEET_HEAP] = { "heap_MB", "heap_kb", NULL, 1.0 / 1024, false },
	[LW_FLEET_LINKS] = { "links", "links_out", "links_in", 1, false },
	[LW_FLEET_OPENED] = { "links_opened_s", "links_opened", NULL, 1, true },
	[LW_FLEET_CHILDREN] = { "children", "children", NULL, 1, false },
};

/* lw_fleet_role_name() - the role's name in the output. */
const char *lw_fleet_role_name(lw_fleet_role_t role)
{
	return role_names[role];
}

/* lw_fleet_figure_name() - the figure's name and unit in the output. */
const char *lw_fleet_figure_name(lw_fleet_figure_t figure)
{
	return figures[figure].name;
}

/*
 * Returns whether @p wrote a line of process @pid in the log @source. A line without a host
 * belongs to whoever has the process number in that log.
 */
static bool is_process(const lw_fleet_process_t *p, const char *source, lw_str_t host, uint32_t pid)
{
	return p->pid == pid && strcmp(p->source, source) == 0 &&
	       (!host.len || lw_str_eq_c(host, p->host));
}

static lw_fleet_process_t *process_of(lw_fleetlog_t *f, const char *source, const lw_logline_t *l)
{
	lw_fleet_process_t *p;

	for (size_t i = f->nprocesses; i-- > 0;)
		if (is_process(&f->processes[i], source, l->host, l->pid))
			return &f->processes[i];
	if (f->nprocesses == f->processes_cap) {
		f->processes_cap = f->processes_cap ? f->processes_cap * 2 : CAP_FIRST;
		f->processes = xrealloc(f->processes, f->processes_cap * sizeof(*f->processes));
	}
	p = &f->processes[f->nprocesses++];
	memset(p, 0, sizeof(*p));
	lw_str_copy(p->host, sizeof(p->host), l->host.len ? l->host : lw_str_c(source));
	lw_str_copy(p->source, sizeof(p->source), lw_str_c(source));
	p->pid = l->pid;
	return p;
}

static void add_in_force(lw_fleetlog_t *f, uint64_t version, uint64_t at_ms)
{
	if (f->nin_force == f->in_force_cap) {
		f->in_force_cap = f->in_force_cap ? f->in_force_cap * 2 : CAP_FIRST;
		f->in_force = xrealloc(f->in_force, f->in_force_cap * sizeof(*f->in_force));
	}
	f->in_force[f->nin_force++] = (lw_fleet_in_force_t){ version, at_ms };
}

static lw_fleet_role_t role_of(const char *fields)
{
	char rank[KEY_MAX] = "-1";
	long number;

	lw_logline_field(fields, "rank", rank, sizeof(rank));
	number = strtol(rank, NULL, 10);
	if (number < 0)
		return LW_FLEET_UNLISTED;
	if (number < LW_FANOUT_READERS)
		return LW_FLEET_READER;
	if (number < LW_FANOUT_READERS + LW_FANOUT_SUBSTITUTES)
		return LW_FLEET_SUBSTITUTE;
	return lw_logline_number(fields, "children") ? LW_FLEET_INNER : LW_FLEET_LEAF;
}

static void read_figure(lw_fleet_process_t *p, const char *fields, lw_fleet_figure_t i,
			double seconds)
{
	double now = (double)lw_logline_number(fields, figures[i].key) * figures[i].factor;

	if (figures[i].key2)
		now += (double)lw_logline_number(fields, figures[i].key2) * figures[i].factor;
	if (!figures[i].per_s)
		p->figure[i] = now;
	else if (seconds > 0)
		p->figure[i] = (now - p->total[i]) / seconds;
	p->total[i] = now;
}

static void read_summary(lw_fleet_process_t *p, const char *fields)
{
	uint64_t uptime_ms = lw_logline_number(fields, "uptime_ms");
	double seconds = ((double)uptime_ms - (double)p->summary_ms) / 1000;

	for (int i = 0; i < LW_FLEET_FIGURES; i++)
		read_figure(p, fields, (lw_fleet_figure_t)i, seconds);
	for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++) {
		char key[KEY_MAX];

		snprintf(key, sizeof(key), "calls_%s",
			 lw_storereader_reason_name((lw_storereader_reason_t)i));
		p->calls[i] = lw_logline_number(fields, key);
	}
	p->role = role_of(fields);
	p->summary_ms = uptime_ms;
}

/*
 * lw_fleetlog_add() - adds a line of the log @source. The host is the one named before the
 * line, else the log. Lines in another format and of other events are ignored.
 */
void lw_fleetlog_add(lw_fleetlog_t *f, const char *source, const char *line)
{
	lw_logline_t l;
	lw_fleet_process_t *p;

	if (!lw_logline_parse(&l, line))
		return;
	if (lw_str_eq_c(l.event, "started")) {
		process_of(f, source, &l)->started_ms = l.at_ms;
	} else if (lw_str_eq_c(l.event, "config_accepted")) {
		p = process_of(f, source, &l);
		if (p->config_ms)
			add_in_force(f, lw_logline_number(l.fields, "version"), l.at_ms);
		else
			p->config_ms = l.at_ms;
	} else if (lw_str_eq_c(l.event, "servers_changed")) {
		p = process_of(f, source, &l);
		p->servers_ms = p->servers_ms ? p->servers_ms : l.at_ms;
	} else if (lw_str_eq_c(l.event, "node_summary")) {
		read_summary(process_of(f, source, &l), l.fields);
	}
}

static int by_version(const void *a, const void *b)
{
	const lw_fleet_in_force_t *x = a, *y = b;

	if (x->version != y->version)
		return x->version < y->version ? -1 : 1;
	return x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms;
}

/* lw_fleetlog_sort() - sorts what was added; needed before anything is read. */
void lw_fleetlog_sort(lw_fleetlog_t *f)
{
	if (f->nin_force)
		qsort(f->in_force, f->nin_force, sizeof(*f->in_force), by_version);
}

/*
 * lw_fleetlog_version() - the number of entries of the configuration version whose first
 * entry is in_force[@from].
 */
size_t lw_fleetlog_version(const lw_fleetlog_t *f, size_t from)
{
	size_t to = from;

	while (to < f->nin_force && f->in_force[to].version == f->in_force[from].version)
		to++;
	return to - from;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* sorts and frees @values */
static lw_fleet_spread_t spread_of(double *values, size_t n)
{
	lw_fleet_spread_t s = { .n = n };

	if (n) {
		qsort(values, n, sizeof(*values), by_value);
		s.first = values[0];
		s.middle = values[n / 2];
		s.last = values[n - 1];
	}
	free(values);
	return s;
}

/*
 * lw_fleetlog_starts() - the time from the start of a process until it had a configuration
 * and a list of servers, in seconds.
 */
lw_fleet_spread_t lw_fleetlog_starts(const lw_fleetlog_t *f)
{
	double *values = xcalloc(f->nprocesses + 1, sizeof(*values));
	size_t n = 0;

	for (size_t i = 0; i < f->nprocesses; i++) {
		const lw_fleet_process_t *p = &f->processes[i];
		uint64_t ready = p->config_ms > p->servers_ms ? p->config_ms : p->servers_ms;

		if (p->started_ms && p->config_ms && p->servers_ms)
			values[n++] = ((double)ready - (double)p->started_ms) / 1000;
	}
	return spread_of(values, n);
}

/*
 * lw_fleetlog_figure() - a figure of all processes of a role. @host is set to the host with
 * the highest value.
 */
lw_fleet_spread_t lw_fleetlog_figure(const lw_fleetlog_t *f, lw_fleet_role_t role,
				     lw_fleet_figure_t figure, const char **host)
{
	double *values = xcalloc(f->nprocesses + 1, sizeof(*values));
	double most = -1;
	size_t n = 0;

	*host = "";
	for (size_t i = 0; i < f->nprocesses; i++) {
		const lw_fleet_process_t *p = &f->processes[i];

		if (!p->summary_ms || p->role != role)
			continue;
		values[n++] = p->figure[figure];
		if (p->figure[figure] > most) {
			most = p->figure[figure];
			*host = p->host;
		}
	}
	return spread_of(values, n);
}

/* lw_fleetlog_calls() - the calls to the store for @reason, up to the newest summaries. */
uint64_t lw_fleetlog_calls(const lw_fleetlog_t *f, lw_storereader_reason_t reason)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < f->nprocesses; i++)
		sum += f->processes[i].calls[reason];
	return sum;
}

static void print_calls(const lw_fleetlog_t *f, FILE *out)
{
	uint64_t all = 0;

	fprintf(out, "store calls:");
	for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++) {
		uint64_t calls = lw_fleetlog_calls(f, (lw_storereader_reason_t)i);

		fprintf(out, " %s=%" PRIu64, lw_storereader_reason_name((lw_storereader_reason_t)i),
			calls);
		all += calls;
	}
	fprintf(out, " all=%" PRIu64 "\n", all);
}

static void print_configs(const lw_fleetlog_t *f, FILE *out)
{
	size_t n;

	fprintf(out, "%-14s %6s %10s %10s\n", "configuration", "n", "middle_s", "last_s");
	for (size_t i = 0; i < f->nin_force; i += n) {
		const lw_fleet_in_force_t *at = &f->in_force[i];
		size_t middle;

		n = lw_fleetlog_version(f, i);
		middle = n / 2;
		fprintf(out, "%-14" PRIu64 " %6zu %10.3f %10.3f\n", at->version, n,
			(double)(at[middle].at_ms - at->at_ms) / 1000,
			(double)(at[n - 1].at_ms - at->at_ms) / 1000);
	}
}

static void print_role(const lw_fleetlog_t *f, lw_fleet_role_t role, FILE *out)
{
	const char *host;

	for (int i = 0; i < LW_FLEET_FIGURES; i++) {
		lw_fleet_spread_t s = lw_fleetlog_figure(f, role, (lw_fleet_figure_t)i, &host);

		if (s.n)
			fprintf(out, "%-11s %6zu  %-15s %10.2f %10.2f  %s\n", role_names[role], s.n,
				figures[i].name, s.middle, s.last, host);
	}
}

/*
 * lw_fleetlog_print() - prints a table. The times of a configuration count from the first
 * process that replaced its older one.
 */
void lw_fleetlog_print(const lw_fleetlog_t *f, FILE *out)
{
	lw_fleet_spread_t starts = lw_fleetlog_starts(f);

	fprintf(out, "processes: %zu\n", f->nprocesses);
	print_calls(f, out);
	fprintf(out, "starts until ready, s: n=%zu first=%.3f middle=%.3f last=%.3f\n", starts.n,
		starts.first, starts.middle, starts.last);
	print_configs(f, out);
	fprintf(out, "%-11s %6s  %-15s %10s %10s  %s\n", "role", "n", "figure", "middle", "most",
		"host");
	for (int role = 0; role < LW_FLEET_ROLES; role++)
		print_role(f, (lw_fleet_role_t)role, out);
}

/* lw_fleetlog_csv() - prints the figures by role and host as CSV, one process a row. */
void lw_fleetlog_csv(const lw_fleetlog_t *f, FILE *out)
{
	fprintf(out, "host,pid,role,uptime_ms");
	for (int i = 0; i < LW_FLEET_FIGURES; i++)
		fprintf(out, ",%s", figures[i].name);
	for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++)
		fprintf(out, ",calls_%s", lw_storereader_reason_name((lw_storereader_reason_t)i));
	fprintf(out, "\n");
	for (size_t p = 0; p < f->nprocesses; p++) {
		const lw_fleet_process_t *at = &f->processes[p];

		if (!at->summary_ms)
			continue;
		fprintf(out, "%s,%u,%s,%" PRIu64, at->host, at->pid, role_names[at->role],
			at->summary_ms);
		for (int i = 0; i < LW_FLEET_FIGURES; i++)
			fprintf(out, ",%.3f", at->figure[i]);
		for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++)
			fprintf(out, ",%" PRIu64, at->calls[i]);
		fprintf(out, "\n");
	}
}

/* lw_fleetlog_free() - releases the memory held by @f. */
void lw_fleetlog_free(lw_fleetlog_t *f)
{
	free(f->processes);
	free(f->in_force);
	memset(f, 0, sizeof(*f));
}

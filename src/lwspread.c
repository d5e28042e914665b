/*
 * lwspread: plays the start, changes and failures of a fleet's control plane on a model with
 * lwproxy's own decisions, at sizes that no test machine can run, and prints what each role
 * costs and how long updates take. The same size and seed give the same figures.
 *   lwspread HOSTS...
 */
#include <stdio.h>
#include <stdlib.h>

#include "cli.h"
#include "fanout.h"
#include "spreadsim.h"
#include "xalloc.h"

#define SIZES_MAX 16
#define S_US	  1000000ULL
/* ends of the phases of a run, us */
#define STARTED_US	(12 * S_US)
#define CALM_US		(22 * S_US)
#define CHANGED_US	(25 * S_US)
#define READERS_AWAY_US (30 * S_US) /* before they start again */
#define READERS_GONE_US (36 * S_US)
#define OUTAGE_US	((uint64_t)(40.5 * 1e6))
#define RECOVERED_US	(46 * S_US)
#define RESTARTED_US	(52 * S_US)
/* a process that ended starts again after this time, us */
#define RESTART_US	 1000000
#define READER_BACK_US	 6000000
#define STORE_AWAY_US	 (9 * S_US)
#define STORE_RETURNS_US (14 * S_US)

typedef enum role { ROLE_READER, ROLE_SUBSTITUTE, ROLE_INNER, ROLE_LEAF, ROLES } role_t;

static const char *const role_names[ROLES] = { "reader", "substitute", "inner", "leaf" };

static void print_times(const char *what, lw_spread_times_t t)
{
	printf("  %-34s n %4u first %7.1f middle %7.1f last %7.1f ms\n", what, t.n, t.first,
	       t.middle, t.last);
}

static void print_calls(const lw_spread_t *s, const char *what, double seconds)
{
	uint64_t all = 0;

	printf("  %-34s", what);
	for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++) {
		uint64_t calls = lw_spread_calls(s, (lw_storereader_reason_t)i);

		all += calls;
		if (calls)
			printf(" %s %llu", lw_storereader_reason_name((lw_storereader_reason_t)i),
			       (unsigned long long)calls);
	}
	printf(" all %llu in %.1f s\n", (unsigned long long)all, seconds);
}

static role_t role_of(const lw_spread_t *s, uint32_t host)
{
	if (lw_spread_has_rank_below(s, host, LW_FANOUT_READERS))
		return ROLE_READER;
	if (lw_spread_has_rank_below(s, host, LW_FANOUT_READERS + LW_FANOUT_SUBSTITUTES))
		return ROLE_SUBSTITUTE;
	return lw_spread_forwards(s, host) ? ROLE_INNER : ROLE_LEAF;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* prints the middle and the highest of @n values */
static void print_spread(const char *name, double *v, uint32_t n)
{
	qsort(v, n, sizeof(*v), by_value);
	printf(" %s %.1f %.1f", name, v[n / 2], v[n - 1]);
}

static void print_role(lw_spread_t *s, uint32_t hosts, role_t role, const char *what,
		       double seconds)
{
	double *v[3];
	uint32_t n = 0;

	for (int k = 0; k < 3; k++)
		v[k] = xcalloc(hosts, sizeof(double));
	for (uint32_t i = 0; i < hosts; i++) {
		lw_spread_counts_t c;

		if (role != ROLES && role_of(s, i) != role)
			continue;
		c = lw_spread_count(s, i);
		v[0][n] = (double)c.messages / seconds;
		v[1][n] = (double)c.bytes / seconds / 1000;
		v[2][n++] = c.links;
	}
	if (n) {
		printf("  %-34s n %4u", what, n);
		print_spread("messages_s", v[0], n);
		print_spread("kB_s", v[1], n);
		print_spread("links", v[2], n);
		printf("\n");
	}
	for (int k = 0; k < 3; k++)
		free(v[k]);
}

static void play_start(lw_spread_t *s, uint32_t hosts)
{
	lw_spread_run_until(s, STARTED_US);
	print_times("start until ready", lw_spread_start_times(s, 0));
	print_calls(s, "start, store calls", STARTED_US / 1e6);
	print_role(s, hosts, ROLES, "start, middle and busiest", STARTED_US / 1e6);
}

static void play_calm(lw_spread_t *s, uint32_t hosts)
{
	char what[64];

	lw_spread_reset_counts(s);
	lw_spread_run_until(s, CALM_US);
	print_calls(s, "calm, store calls", (CALM_US - STARTED_US) / 1e6);
	for (int role = 0; role < ROLES; role++) {
		snprintf(what, sizeof(what), "calm, %s", role_names[role]);
		print_role(s, hosts, (role_t)role, what, (CALM_US - STARTED_US) / 1e6);
	}
	print_role(s, hosts, ROLES, "calm, middle and busiest", (CALM_US - STARTED_US) / 1e6);
}

static void play_change(lw_spread_t *s)
{
	lw_spread_change_config(s);
	lw_spread_run_until(s, CHANGED_US);
	print_times("configuration, calm", lw_spread_config_times(s));
}

static void play_readers_gone(lw_spread_t *s, uint32_t hosts)
{
	lw_spread_reset_counts(s);
	for (uint32_t i = 0; i < hosts; i++)
		if (lw_spread_has_rank_below(s, i, LW_FANOUT_READERS + LW_FANOUT_SUBSTITUTES))
			lw_spread_kill(s, i, READER_BACK_US);
	lw_spread_change_config(s);
	lw_spread_run_until(s, READERS_AWAY_US);
	print_times("configuration, readers gone", lw_spread_config_times(s));
	lw_spread_run_until(s, READERS_GONE_US);
	print_calls(s, "readers gone, store calls", (READERS_GONE_US - CHANGED_US) / 1e6);
}

static void play_outage(lw_spread_t *s)
{
	lw_spread_reset_counts(s);
	lw_spread_set_store(s, false);
	lw_spread_run_until(s, OUTAGE_US);
	print_calls(s, "outage, store calls", (OUTAGE_US - READERS_GONE_US) / 1e6);
	lw_spread_set_store(s, true);
	lw_spread_change_config(s);
	lw_spread_run_until(s, RECOVERED_US);
	print_times("configuration, outage over", lw_spread_config_times(s));
}

static void play_half_killed(lw_spread_t *s, uint32_t hosts)
{
	lw_spread_reset_counts(s);
	for (uint32_t i = 0; i < hosts; i += 2)
		lw_spread_kill(s, i, RESTART_US);
	lw_spread_run_until(s, RESTARTED_US);
	print_times("half killed, start until ready", lw_spread_start_times(s, RECOVERED_US));
	print_calls(s, "half killed, store calls", (RESTARTED_US - RECOVERED_US) / 1e6);
}

static void play_store_away(uint32_t hosts, uint64_t seed)
{
	lw_spread_t *s = lw_spread_new(hosts, seed);

	lw_spread_set_store(s, false);
	lw_spread_run_until(s, STORE_AWAY_US);
	print_calls(s, "store away at start, store calls", STORE_AWAY_US / 1e6);
	lw_spread_set_store(s, true);
	lw_spread_run_until(s, STORE_RETURNS_US);
	print_times("store away at start, until ready", lw_spread_start_times(s, 0));
	lw_spread_free(s);
}

static void play(uint32_t hosts, uint64_t seed)
{
	lw_spread_t *s = lw_spread_new(hosts, seed);

	printf("hosts %u\n", hosts);
	play_start(s, hosts);
	play_calm(s, hosts);
	play_change(s);
	play_readers_gone(s, hosts);
	play_outage(s);
	play_half_killed(s, hosts);
	lw_spread_free(s);
	play_store_away(hosts, seed);
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwspread");
	struct arg_int *seed = arg_int0("s", "seed", "N", "random seed (default 1)");
	struct arg_int *hosts = arg_intn(NULL, NULL, "HOSTS", 1, SIZES_MAX, "sizes of the fleet");
	void *table[] = { cli.help, cli.version, seed, hosts, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);

	if (rc != LW_CLI_RUN)
		return rc;
	for (int i = 0; i < hosts->count; i++) {
		if (hosts->ival[i] < LW_SPREAD_SEEDS || hosts->ival[i] > LW_SPREAD_HOSTS_MAX) {
			fprintf(stderr, "lwspread: HOSTS must be %d to %d\n", LW_SPREAD_SEEDS,
				LW_SPREAD_HOSTS_MAX);
			return 2;
		}
		play((uint32_t)hosts->ival[i], seed->count ? (uint64_t)seed->ival[0] : 1);
	}
	return 0;
}

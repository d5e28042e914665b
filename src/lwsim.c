/*
 * lwsim: simulates a load on a fleet in virtual time. It runs the decision
 * modules of lwproxy unchanged (placement, queue, admission, admission levels,
 * retries, retry-after delay) against modelled servers. The same settings and
 * seed give the same results, so that a change can be tried in a second and
 * its gain can be kept as a test.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "simfleet.h"
#include "simplot.h"

static void print_kind(const lw_sim_kind_t *k)
{
	const lw_sim_count_t *c = &k->count;
	double requests = c->asked ? c->asked : 1;

	printf("%-14s asked %6u  in_target %6u (%5.1f%%)  late %5u  refused %5u  failed %5u  "
	       "p50 %4u ms  p99 %4u ms\n",
	       k->name, c->asked, c->in_target, 100.0 * c->in_target / requests, c->late,
	       c->refused, c->failed, lw_sim_percentile(k, 0.5), lw_sim_percentile(k, 0.99));
}

static void print_result(const lw_sim_t *s)
{
	const lw_sim_total_t *t = &s->total;

	for (size_t i = 0; i < s->nkinds; i++)
		if (s->kinds[i].rate > 0)
			print_kind(&s->kinds[i]);
	printf("goodput %.1f%%  wasted server time %.1f%%  retries %u  refusals %u  "
	       "bottleneck used %.1f%%  recovery %.1f s\n",
	       100 * lw_sim_goodput(s), 100 * lw_sim_wasted(s), t->retries, t->refusals,
	       100 * lw_sim_bottleneck(s), lw_sim_recovery_s(s));
}

static void print_seconds(const lw_sim_t *s)
{
	for (uint32_t t = 0; t < LW_SIM_SECONDS_MAX && t < (uint32_t)s->length_s; t++)
		printf("second %3u  asked %5u  in_target %5u (%5.1f%%)\n", t, s->asked_at[t],
		       s->good_at[t], s->asked_at[t] ? 100.0 * s->good_at[t] / s->asked_at[t] : 0);
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwsim");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "deployment and load (TOML)");
	struct arg_int *seed = arg_int0("s", "seed", "N", "random seed (default 1)");
	struct arg_str *policy = arg_str0("p", "policy", "NAME",
					  "full, spread, no-levels, fifo or naive (default full)");
	struct arg_str *without = arg_strn(NULL, "without", "NAME", 0, LW_SIM_MECHANISMS,
					   "disable a mechanism: levels, objective-order, "
					   "weighed-ranks, lowest-ranks, resends, inherited-rank, "
					   "knee-margin, work-kinds");
	struct arg_dbl *burst = arg_dbl0("b", "burst", "X", "factor on the load during the burst");
	struct arg_lit *seconds = arg_lit0(
		NULL, "seconds", "print user requests sent and answered in time by second");
	struct arg_file *plot = arg_file0(NULL, "plot", "PNG", "plot goodput by second");
	void *table[] = { cli.help, cli.version, file,	  seed, policy,
			  without,  burst,	 seconds, plot, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	lw_sim_t *s;

	if (rc != LW_CLI_RUN)
		return rc;
	if (lw_sim_load(file->filename[0], &s)) {
		fprintf(stderr, "lwsim: %s\n", lw_error_last());
		return 2;
	}
	if (policy->count && lw_sim_set_policy(s, policy->sval[0])) {
		fprintf(stderr, "lwsim: %s\n", lw_error_last());
		return 2;
	}
	for (int i = 0; i < without->count; i++)
		if (lw_sim_set_without(s, without->sval[i])) {
			fprintf(stderr, "lwsim: %s\n", lw_error_last());
			return 2;
		}
	if (burst->count)
		s->burst = burst->dval[0];
	lw_sim_run(s, seed->count ? (uint64_t)seed->ival[0] : 1);
	print_result(s);
	if (seconds->count)
		print_seconds(s);
	if (plot->count && lw_sim_plot(s, plot->filename[0])) {
		fprintf(stderr, "lwsim: %s\n", lw_error_last());
		return 1;
	}
	lw_sim_free(s);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}

/* Figures of the model; see spreadsim.h. */
#include "spreadsim_int.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/* lw_spread_has_rank_below() - whether the rank of @host is below @rank. */
bool lw_spread_has_rank_below(const lw_spread_t *s, uint32_t host, uint32_t rank)
{
	return s->node[host].up && s->node[host].plan.rank < rank;
}

/* lw_spread_forwards() - whether @host forwards updates to other nodes. */
bool lw_spread_forwards(const lw_spread_t *s, uint32_t host)
{
	return s->node[host].up && s->node[host].plan.nchildren;
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* sorts and frees @ms */
static lw_spread_times_t times_of(double *ms, uint32_t n)
{
	lw_spread_times_t t = { .n = n };

	if (n) {
		qsort(ms, n, sizeof(*ms), by_value);
		t.first = ms[0];
		t.middle = ms[n / 2];
		t.last = ms[n - 1];
	}
	free(ms);
	return t;
}

/* lw_spread_config_times() - from the writing of the newest configuration until nodes have it. */
lw_spread_times_t lw_spread_config_times(const lw_spread_t *s)
{
	double *ms = xcalloc(s->hosts, sizeof(*ms));
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->hosts; i++)
		if (s->node[i].up && s->node[i].config == s->newest_config)
			ms[n++] = (double)(s->node[i].config_us - s->config_us) / 1000;
	return times_of(ms, n);
}

/*
 * lw_spread_start_times() - from the start of each process that started at @since_us or later
 * until it had both documents.
 */
lw_spread_times_t lw_spread_start_times(const lw_spread_t *s, uint64_t since_us)
{
	double *ms = xcalloc(s->hosts, sizeof(*ms));
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->hosts; i++)
		if (s->node[i].up && s->node[i].joined_us && s->node[i].started_us >= since_us)
			ms[n++] = (double)(s->node[i].joined_us - s->node[i].started_us) / 1000;
	return times_of(ms, n);
}

/* lw_spread_calls() - calls to the store for the reason @why. */
uint64_t lw_spread_calls(const lw_spread_t *s, lw_storereader_reason_t why)
{
	return s->calls[why];
}

/* lw_spread_reset_counts() - all counts of nodes and of calls to the store start anew. */
void lw_spread_reset_counts(lw_spread_t *s)
{
	for (uint32_t i = 0; i < s->hosts; i++)
		s->node[i].counts = (lw_spread_counts_t){ 0 };
	memset(s->calls, 0, sizeof(s->calls));
}

/* lw_spread_count() - what @host did since the counts were reset. */
lw_spread_counts_t lw_spread_count(lw_spread_t *s, uint32_t host)
{
	lw_spread_counts_t *c = &s->node[host].counts;

	c->links = 0;
	for (const link_t *l = s->links; l; l = l->hh.next)
		if ((l->key >> 32 == host || (uint32_t)l->key == host) && lw_spread_is_open(s, l))
			c->links++;
	return *c;
}

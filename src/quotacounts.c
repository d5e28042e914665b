/* Counters of organisations at one node, for the metrics and status pages; see quota.h. */
#include "quota_int.h"

#include <stdlib.h>
#include <string.h>

static int compare_by_asked(const void *a, const void *b)
{
	const lw_quota_count_t *x = a, *y = b;

	return (x->asked < y->asked) - (x->asked > y->asked);
}

static lw_quota_count_t counts_of(const lw_quota_t *q, const lw_orgusage_t *u)
{
	lw_quota_count_t c = { .name = u->name,
			       .rate_per_s = u->rate_per_s,
			       .asked = u->asked,
			       .refused = u->refused,
			       .admit_permille = lw_orgusage_permille(q, u) };

	return c;
}

/* the one with the fewest requests among the @n entries of @counts */
static lw_quota_count_t *min_by_asked(lw_quota_count_t *counts, size_t n)
{
	lw_quota_count_t *least = counts;

	for (size_t i = 1; i < n; i++)
		if (counts[i].asked < least->asked)
			least = &counts[i];
	return least;
}

static void add_counts(lw_quota_count_t *others, const lw_quota_count_t *c)
{
	others->asked += c->asked;
	others->refused += c->refused;
}

/*
 * lw_quota_counts() - the @most organisations with the most requests at this node, in
 * descending order; @others: the sum of all remaining ones.
 */
size_t lw_quota_counts(const lw_quota_t *q, lw_quota_count_t *out, size_t most,
		       lw_quota_count_t *others)
{
	size_t n = 0;

	memset(others, 0, sizeof(*others));
	for (const lw_orgusage_t *u = q->uses; u; u = u->hh.next) {
		lw_quota_count_t c = counts_of(q, u);
		lw_quota_count_t *least;

		if (n < most && c.asked) {
			out[n++] = c;
			continue;
		}
		least = n ? min_by_asked(out, n) : NULL;
		if (!least || c.asked <= least->asked) {
			add_counts(others, &c);
			continue;
		}
		add_counts(others, least);
		*least = c;
	}
	qsort(out, n, sizeof(*out), compare_by_asked);
	return n;
}

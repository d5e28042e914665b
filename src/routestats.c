/* Request counters by route; see routestats.h. */
#include "routestats.h"

#include <string.h>

#include "name.h"

/* name of the row for routes beyond the limit */
#define OTHERS "others"

static const char *const outcome_names[LW_ROUTE_OUTCOMES] = {
	"answered", "server_failed", "refused", "failed", "timeout", "cut", "left",
};

/*
 * lw_routestats_get() - the row of @route, added if it is new; the shared row if the table
 * is full.
 */
lw_routestat_t *lw_routestats_get(lw_routestats_t *s, const char *route)
{
	for (size_t i = 0; i < s->n; i++)
		if (strcmp(s->at[i].route, route) == 0)
			return &s->at[i];
	if (s->n > LW_ROUTESTATS_MAX)
		return &s->at[LW_ROUTESTATS_MAX];
	s->at[s->n].route = s->n == LW_ROUTESTATS_MAX ? OTHERS : lw_name_c(route);
	return &s->at[s->n++];
}

/*
 * lw_routestat_count() - count the outcome of a request of the route; @nested: of a call
 * that was made for such a request.
 */
void lw_routestat_count(lw_routestat_t *r, bool nested, lw_route_outcome_t outcome)
{
	if (nested)
		r->nested[outcome]++;
	else
		r->user[outcome]++;
}

static void print_row(FILE *f, const char *route, const char *kind, const uint64_t *count)
{
	for (int i = 0; i < LW_ROUTE_OUTCOMES; i++)
		if (count[i])
			fprintf(f,
				"lw_route_requests_total{route=\"%s\",kind=\"%s\",outcome=\"%s\"} "
				"%llu\n",
				route, kind, outcome_names[i], (unsigned long long)count[i]);
}

/* lw_routestats_print() - write the rows in the Prometheus text format. */
void lw_routestats_print(FILE *f, const lw_routestats_t *s)
{
	fprintf(f, "# HELP lw_route_requests_total how the requests of each route ended\n"
		   "# TYPE lw_route_requests_total counter\n");
	for (size_t i = 0; i < s->n; i++) {
		print_row(f, s->at[i].route, "user", s->at[i].user);
		print_row(f, s->at[i].route, "nested", s->at[i].nested);
	}
}

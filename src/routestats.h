/*
 * Outcomes of the requests of each route, for the metrics page and the burn report. The
 * number of routes is bounded: a configuration may contain hundreds, and each label costs
 * memory on every node and in every metrics reader.
 */
#ifndef LW_ROUTESTATS_H
#define LW_ROUTESTATS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "platconf.h"

/* Maximum number of routes with their own counters; all others share one row. */
#define LW_ROUTESTATS_MAX 256

typedef enum lw_route_outcome {
	LW_ROUTE_ANSWERED, /* by a backend server, without a 5xx status */
	LW_ROUTE_SERVER_FAILED, /* a backend server answered 5xx */
	LW_ROUTE_REFUSED, /* certainly not executed */
	LW_ROUTE_FAILED, /* may have been executed */
	LW_ROUTE_TIMEOUT,
	LW_ROUTE_CUT, /* the response was truncated */
	LW_ROUTE_LEFT, /* the caller disconnected first */
	LW_ROUTE_OUTCOMES
} lw_route_outcome_t;

typedef struct lw_routestat {
	const char *route;
	uint64_t user[LW_ROUTE_OUTCOMES];
	uint64_t nested[LW_ROUTE_OUTCOMES];
} lw_routestat_t;

typedef struct lw_routestats {
	lw_routestat_t at[LW_ROUTESTATS_MAX + 1]; /* the last row: all other routes */
	size_t n;
} lw_routestats_t;

lw_routestat_t *lw_routestats_get(lw_routestats_t *s, const char *route);
void lw_routestat_count(lw_routestat_t *r, bool nested, lw_route_outcome_t outcome);
void lw_routestats_print(FILE *f, const lw_routestats_t *s);

#endif

/*
 * Private to the files of the overload module; others use overload.h.
 */
#ifndef LW_OVERLOAD_INT_H
#define LW_OVERLOAD_INT_H

#include <uthash.h>

#include "overload.h"
#include "level.h"

/* a route no longer leads to a service after no request has reached it for this time, us */
#define ROUTE_EXPIRES_US 3000000

typedef struct lw_overload_service {
	const char *name; /* interned */
	double level;
	uint64_t updated_us;
	bool known; /* a level has been reported */
	struct { /* by priority: the route whose requests cause the most work at the service */
		const struct lw_overload_route *route;
		double work_us;
		uint64_t seen_us;
	} heaviest[LW_PRIORITIES_MAX];
	bool at_min; /* the last report said LW_LEVEL_MIN or less */
	UT_hash_handle hh;
} lw_overload_service_t;

typedef struct lw_overload_route {
	const char *name; /* interned */
	uint32_t depth; /* deepest level of calls below a request seen so far */
	uint32_t retry_used; /* per mille of the retry allowance that its calls use */
	struct {
		lw_overload_service_t *service;
		uint64_t seen_us;
		double work_us; /* moving average: time a request and its calls execute there */
	} downstream[LW_PATH_LEVELS_MAX];
	UT_hash_handle hh;
} lw_overload_route_t;

struct lw_overload {
	lw_overload_service_t *services;
	lw_overload_route_t *routes;
};

void lw_overload_route_add_service(lw_overload_route_t *r, lw_overload_service_t *s,
				   uint64_t now_us);
lw_overload_service_t *lw_overload_service_get(lw_overload_t *p, const char *name);

#endif

/* Shared by the files of the hotpath module only; others use hotpath.h. */
#ifndef LW_OVERLOAD_INT_H
#define LW_OVERLOAD_INT_H

#include <uthash.h>

#include "overload.h"
#include "level.h"

/* a route that was not led to a service for so long does not lead there, us */
#define ROUTE_EXPIRES_US 3000000

typedef struct lw_overload_service {
	char name[LW_NAME_MAX];
	double level;
	uint64_t updated_us;
	bool known; /* a level was told */
	struct { /* by priority: the route that makes the most work there */
		const struct lw_overload_route *route;
		double work_us;
		uint64_t seen_us;
	} most[LW_PRIORITIES_MAX];
	bool at_min; /* as told last */
	UT_hash_handle hh;
} lw_overload_service_t;

typedef struct lw_overload_route {
	char name[LW_NAME_MAX];
	uint32_t depth; /* levels of calls below a request, the most seen */
	uint32_t retry_used; /* per mille of the repeats allowed that its calls use */
	struct {
		lw_overload_service_t *service;
		uint64_t seen_us;
		double work_us; /* moving average: time a request and its calls run there */
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

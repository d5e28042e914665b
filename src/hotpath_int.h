/* Shared by the files of the hotpath module only; others use hotpath.h. */
#ifndef LW_HOTPATH_INT_H
#define LW_HOTPATH_INT_H

#include <uthash.h>

#include "hotpath.h"
#include "level.h"

/* a route that was not led to a service for so long does not lead there, us */
#define ROUTE_FORGETS_US 3000000

typedef struct lw_hot_service {
	char name[LW_NAME_MAX];
	double level;
	uint64_t told_us;
	bool known; /* a level was told */
	struct { /* by priority: the route that makes the most work there */
		const struct lw_hot_route *route;
		double work_us;
		uint64_t seen_us;
	} most[LW_PRIORITIES_MAX];
	bool shut; /* as told last */
	UT_hash_handle hh;
} lw_hot_service_t;

typedef struct lw_hot_route {
	char name[LW_NAME_MAX];
	uint32_t depth; /* levels of calls below a request, the most seen */
	uint32_t retry_used; /* per mille of the repeats allowed that its calls use */
	struct {
		lw_hot_service_t *service;
		uint64_t seen_us;
		double work_us; /* moving average: time a request and its calls run there */
	} leads_to[LW_HOTS_MAX];
	UT_hash_handle hh;
} lw_hot_route_t;

struct lw_hotpath {
	lw_hot_service_t *services;
	lw_hot_route_t *routes;
};

void lw_hot_leads_to(lw_hot_route_t *r, lw_hot_service_t *s, uint64_t now_us);
lw_hot_service_t *lw_hot_service_of(lw_hotpath_t *p, const char *name);

#endif

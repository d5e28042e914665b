/*
 * Overload of the services behind each route: the admission levels of
 * services, the services that the requests of a route lead to, and the depth
 * of its call graph. The node where a user request enters refuses the request
 * if one of these services could not complete it. No I/O; the caller passes
 * the time.
 */
#ifndef LW_OVERLOAD_H
#define LW_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"
#include "name.h"

/* Admission level of a service on the call path: the lowest rank that it refuses. */
typedef struct lw_service_level {
	const char *service; /* interned */
	uint32_t level;
	uint32_t work_us; /* execution time of the request and its calls at the service */
} lw_service_level_t;

/* Maximum number of services in lw_path_levels_t; those with the highest levels are left out. */
#define LW_PATH_LEVELS_MAX 8

typedef struct lw_path_levels {
	lw_service_level_t hot[LW_PATH_LEVELS_MAX];
	uint32_t n;
} lw_path_levels_t;

/* An admission level as one node reports it to other nodes, with the age of the report. */
typedef struct lw_level_report {
	const char *service; /* interned */
	uint32_t level;
	uint32_t age_ms;
} lw_level_report_t;

typedef struct lw_overload lw_overload_t;

void lw_path_levels_add(lw_path_levels_t *h, const lw_service_level_t *hot);
lw_overload_t *lw_overload_new(void);
void lw_overload_on_answer(lw_overload_t *p, const char *route, const lw_path_levels_t *hots,
			   uint32_t depth, uint64_t now_us);
void lw_overload_add_work(lw_overload_t *p, const char *route, uint32_t priority,
			  const lw_path_levels_t *hots, uint64_t now_us);
uint32_t lw_overload_weighted_rank(const lw_overload_t *p, const char *route, uint32_t rank,
				   uint64_t now_us);
uint32_t lw_overload_report(const lw_overload_t *p, uint64_t now_us, lw_level_report_t *out,
			    uint32_t most);
void lw_overload_on_report(lw_overload_t *p, const lw_level_report_t *h, uint64_t now_us);
uint32_t lw_overload_call_depth(const lw_overload_t *p, const char *route);
void lw_overload_add_retry_used(lw_overload_t *p, const char *route, uint32_t permille);
uint32_t lw_overload_retry_used(const lw_overload_t *p, const char *route);
bool lw_overload_admits(const lw_overload_t *p, const char *route, uint32_t rank, uint64_t now_us,
			lw_service_level_t *by);

#endif

/*
 * What a node knows of the admission levels of services, which routes lead to
 * them, and how deep a route's calls go. A node where requests begin refuses one there that the
 * services behind it could not finish. No I/O; the time is given.
 */
#ifndef LW_HOTPATH_H
#define LW_HOTPATH_H

#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"
#include "platconf.h"

/* The first rank that a service on a path refuses. */
typedef struct lw_hot {
	char service[LW_NAME_MAX];
	uint32_t level;
	uint32_t work_us; /* time that the request and its calls ran there */
} lw_hot_t;

/* More levels than these on one path are left out, the highest first. */
#define LW_HOTS_MAX 8

typedef struct lw_hots {
	lw_hot_t hot[LW_HOTS_MAX];
	uint32_t n;
} lw_hots_t;

/* A level as one node tells it to others, with the age of its news. */
typedef struct lw_heard {
	char service[LW_NAME_MAX];
	uint32_t level;
	uint32_t age_ms;
} lw_heard_t;

typedef struct lw_hotpath lw_hotpath_t;

void lw_hots_add(lw_hots_t *h, const lw_hot_t *hot);
lw_hotpath_t *lw_hotpath_new(void);
void lw_hotpath_told(lw_hotpath_t *p, const char *route, const lw_hots_t *hots, uint32_t depth,
		     uint64_t now_us);
void lw_hotpath_worked(lw_hotpath_t *p, const char *route, uint32_t priority, const lw_hots_t *hots,
		       uint64_t now_us);
uint32_t lw_hotpath_weighed(const lw_hotpath_t *p, const char *route, uint32_t rank,
			    uint64_t now_us);
uint32_t lw_hotpath_tell(const lw_hotpath_t *p, uint64_t now_us, lw_heard_t *out, uint32_t most);
void lw_hotpath_heard(lw_hotpath_t *p, const lw_heard_t *h, uint64_t now_us);
uint32_t lw_hotpath_depth(const lw_hotpath_t *p, const char *route);
void lw_hotpath_used(lw_hotpath_t *p, const char *route, uint32_t permille);
uint32_t lw_hotpath_retry_used(const lw_hotpath_t *p, const char *route);
bool lw_hotpath_admits(const lw_hotpath_t *p, const char *route, uint32_t rank, uint64_t now_us,
		       lw_hot_t *by);

#endif

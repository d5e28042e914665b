/* Admission levels of the services behind each route; see overload.h. */
#include "overload_int.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/*
 * Weight of a newly reported level; each server of a service reports its own.
 * Reports that arrive seldom weigh more, according to the time since the last
 * one (LEVEL_HALF_US): a node that admits two requests per second would
 * otherwise lag five seconds behind. A lower level weighs more (LEVEL_FAST),
 * because requests that are admitted in excess end late or are lost.
 */
#define LEVEL_EWMA    0.2
#define LEVEL_FAST    0.5
#define LEVEL_HALF_US 400000
/*
 * Without reports a level rises again, so that a route of which no request is
 * admitted is tried after a while. A report older than REPORT_STALE_US counts
 * as none; from then on the level rises by RISE_PER_MS ranks per millisecond.
 */
#define REPORT_STALE_US 300000
#define RISE_PER_MS	1
/* after this time without a report the next level reported replaces the stored one, us */
#define REPORT_EXPIRED_US 1000000
/*
 * A service that had no reachable server at all is available at once when its
 * node is back, and nothing reports that: its level rises this many times as
 * fast.
 */
#define RISE_FROM_MIN_FACTOR 6
/*
 * A report of another node is used only if it is newer than the stored one by
 * this much, as reported ages are whole milliseconds. In microseconds.
 */
#define REPORT_NEWER_US 2000
/*
 * Maximum number of routes whose levels are kept; requests of further routes
 * are refused by the servers only.
 */
#define ROUTES_MAX 4096

/* lw_overload_new() - an empty state, which refuses nothing. */
lw_overload_t *lw_overload_new(void)
{
	return xcalloc(1, sizeof(lw_overload_t));
}

/* lw_overload_service_get() - the service @name, created if it does not exist. */
lw_overload_service_t *lw_overload_service_get(lw_overload_t *p, const char *name)
{
	lw_overload_service_t *s;

	HASH_FIND_STR(p->services, name, s);
	if (s)
		return s;
	s = xcalloc(1, sizeof(*s));
	s->name = lw_name_c(name);
	s->level = LW_LEVEL_ADMIT_ALL;
	HASH_ADD_STR(p->services, name, s);
	return s;
}

static lw_overload_route_t *route_get(lw_overload_t *p, const char *name)
{
	lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, name, r);
	if (r || HASH_COUNT(p->routes) >= ROUTES_MAX)
		return r;
	r = xcalloc(1, sizeof(*r));
	r->name = lw_name_c(name);
	HASH_ADD_STR(p->routes, name, r);
	return r;
}

/* the slot for one more service: a free one, an expired one, or the one with the highest level */
static int slot_on_route(const lw_overload_route_t *r, uint64_t now_us)
{
	int highest = 0;

	for (int i = 0; i < LW_PATH_LEVELS_MAX; i++) {
		if (!r->downstream[i].service ||
		    now_us - r->downstream[i].seen_us >= ROUTE_EXPIRES_US)
			return i;
		if (r->downstream[i].service->level > r->downstream[highest].service->level)
			highest = i;
	}
	return highest;
}

/* lw_overload_route_add_service() - record that requests of the route lead to the service. */
void lw_overload_route_add_service(lw_overload_route_t *r, lw_overload_service_t *s,
				   uint64_t now_us)
{
	int slot;

	for (int i = 0; i < LW_PATH_LEVELS_MAX; i++) {
		if (r->downstream[i].service != s)
			continue;
		r->downstream[i].seen_us = now_us;
		return;
	}
	slot = slot_on_route(r, now_us);
	r->downstream[slot].service = s;
	r->downstream[slot].seen_us = now_us;
	r->downstream[slot].work_us = 0;
}

/* the level at @now_us; it rises without reports */
static double current_level(const lw_overload_service_t *s, uint64_t now_us)
{
	uint64_t age = now_us - s->updated_us;
	double level = s->level;

	if (age > REPORT_STALE_US)
		level += (double)(age - REPORT_STALE_US) / 1000.0 * RISE_PER_MS *
			 (s->at_min ? RISE_FROM_MIN_FACTOR : 1);
	return level;
}

static double report_weight(const lw_overload_service_t *s, bool falls, uint64_t now_us)
{
	uint64_t age = now_us - s->updated_us;
	double by_age = (double)age / (double)(age + LEVEL_HALF_US);
	double least = falls ? LEVEL_FAST : LEVEL_EWMA;

	if (!s->known || age > REPORT_EXPIRED_US)
		return 1;
	return by_age > least ? by_age : least;
}

/*
 * The reported level. A report of LW_LEVEL_ADMIT_ALL counts as a level at
 * most one priority above the current one, because the caller of the service
 * that reports it may have seen only a small part of the service.
 */
static double capped_level(const lw_service_level_t *hot, double level)
{
	double most = level + LW_RANKS_PER_PRIORITY;

	if (hot->level < LW_LEVEL_ADMIT_ALL || most > LW_LEVEL_ADMIT_ALL)
		return hot->level;
	return most;
}

static void set_level(lw_overload_service_t *s, double level, bool at_min, uint64_t updated_us)
{
	s->level = level;
	s->updated_us = updated_us;
	s->known = true;
	s->at_min = at_min;
}

/*
 * lw_overload_report() - write to @out the levels below LW_LEVEL_ADMIT_ALL
 * that were reported to this node lately, for other nodes; at most @most of
 * them. Returns how many.
 */
uint32_t lw_overload_report(const lw_overload_t *p, uint64_t now_us, lw_level_report_t *out,
			    uint32_t most)
{
	uint32_t n = 0;

	for (const lw_overload_service_t *s = p->services; s && n < most; s = s->hh.next) {
		uint64_t age = now_us - s->updated_us;

		if (!s->known || age > REPORT_STALE_US || s->level >= LW_LEVEL_ADMIT_ALL)
			continue;
		memset(&out[n], 0, sizeof(out[n]));
		out[n].service = s->name;
		out[n].level = (uint32_t)s->level;
		out[n].age_ms = (uint32_t)(age / 1000);
		n++;
	}
	return n;
}

/*
 * lw_overload_on_report() - another node reported a level. A newer report
 * replaces an older one, so that it reaches other nodes with any answer that
 * is sent next. If only the answers of the requests that reached the
 * overloaded service reported its level, an entry node four services above
 * that service would learn of the overload only when those requests end,
 * after a second and a half in a full queue.
 */
void lw_overload_on_report(lw_overload_t *p, const lw_level_report_t *h, uint64_t now_us)
{
	uint64_t updated_us = now_us - (uint64_t)h->age_ms * 1000;
	lw_overload_service_t *s = lw_overload_service_get(p, h->service);

	if (h->age_ms * 1000 > REPORT_STALE_US ||
	    (s->known && updated_us <= s->updated_us + REPORT_NEWER_US))
		return;
	set_level(s, h->level, h->level <= LW_LEVEL_MIN, updated_us);
}

/*
 * lw_overload_on_answer() - an answer on @route reported the levels of the
 * services on its call path and @depth, the number of levels of calls below
 * it.
 */
void lw_overload_on_answer(lw_overload_t *p, const char *route, const lw_path_levels_t *hots,
			   uint32_t depth, uint64_t now_us)
{
	lw_overload_route_t *r = hots->n || depth ? route_get(p, route) : NULL;

	if (r && depth > r->depth)
		r->depth = depth;
	for (uint32_t i = 0; i < hots->n; i++) {
		lw_overload_service_t *s = lw_overload_service_get(p, hots->hot[i].service);
		double level = current_level(s, now_us);
		double weight = report_weight(s, hots->hot[i].level < level, now_us);

		set_level(s, level + weight * (capped_level(&hots->hot[i], level) - level),
			  hots->hot[i].level <= LW_LEVEL_MIN, now_us);
		if (r)
			lw_overload_route_add_service(r, s, now_us);
	}
}

/*
 * lw_overload_admits() - false if a service that @route leads to could not
 * complete a request of @rank; @by is then set to that service and its level.
 */
bool lw_overload_admits(const lw_overload_t *p, const char *route, uint32_t rank, uint64_t now_us,
			lw_service_level_t *by)
{
	const lw_overload_route_t *r;

	HASH_FIND_STR(p->routes, route, r);
	if (!r)
		return true;
	for (int i = 0; i < LW_PATH_LEVELS_MAX; i++) {
		const lw_overload_service_t *s = r->downstream[i].service;

		if (!s || now_us - r->downstream[i].seen_us >= ROUTE_EXPIRES_US ||
		    rank < current_level(s, now_us))
			continue;
		by->service = s->name;
		by->level = (uint32_t)current_level(s, now_us);
		return false;
	}
	return true;
}

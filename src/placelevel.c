/*
 * Placement: the admission level of a service as a whole, and the retries that reach it; see
 * place.h.
 */
#include <math.h>
#include <string.h>

#include "level.h"
#include "place.h"

/*
 * Hosts that refuse nothing raise the level of their service by up to this
 * many priorities: if they are a third of its capacity, nearly one more
 * priority is admitted.
 */
#define OPEN_LIFT_PRIORITIES 3

/* older reports of arrivals are not used, us */
#define ARRIVALS_STALE_US 1000000

/* requests per microsecond that @h can execute */
static double capacity_of(const lw_place_host_t *h)
{
	double by_slots = h->load.limit / (double)h->load.service_us;

	return h->load.notice.limited ? fmin(by_slots, h->load.notice.limit_per_s / 1e6) : by_slots;
}

/*
 * lw_place_level() - the lowest rank that the service as a whole refuses: the
 * mean of the levels of its hosts, weighted by their capacity. If one host is
 * full while others admit all, placement is uneven and the service is not
 * overloaded.
 */
uint32_t lw_place_level(const lw_place_service_t *s, uint64_t now_us)
{
	double sum = 0, open = 0, all = 0;
	double level;

	for (const lw_place_host_t *h = s->hosts; h; h = h->next) {
		double capacity;

		if (!lw_place_usable(h, now_us) || h->draining || !h->load_us ||
		    !h->load.service_us || now_us - h->load_us > LW_PLACE_LOAD_STALE_US)
			continue;
		capacity = capacity_of(h);
		all += capacity;
		if (h->load.level >= LW_LEVEL_ADMIT_ALL)
			open += capacity;
		else
			sum += capacity * h->load.level;
	}
	if (all <= open)
		return LW_LEVEL_ADMIT_ALL;
	level = sum / (all - open) + OPEN_LIFT_PRIORITIES * LW_RANKS_PER_PRIORITY * open / all;
	return level < LW_LEVEL_ADMIT_ALL ? (uint32_t)level : LW_LEVEL_ADMIT_ALL;
}

/*
 * lw_place_has_rate_limit() - whether a server of @service announced a limit
 * of requests per second.
 */
bool lw_place_has_rate_limit(const lw_place_t *p, const char *service, uint64_t now_us)
{
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (strcmp(s->name, service) == 0 && lw_place_usable(h, now_us) &&
			    h->load.notice.limited)
				return true;
	return false;
}

/*
 * lw_place_add_level() - add the level of @s to the levels that are passed up
 * the call graph by a request that executed there for @work_us.
 */
void lw_place_add_level(const lw_place_service_t *s, uint32_t work_us, uint64_t now_us,
			lw_path_levels_t *out)
{
	lw_service_level_t hot = { .service = s->name,
				   .level = lw_place_level(s, now_us),
				   .work_us = work_us };

	lw_path_levels_add(out, &hot);
}

/*
 * lw_place_retries_used() - per mille of the retry allowance of @s that all nodes use, estimated
 * from the recent reports of its hosts. 0: there is none.
 */
uint32_t lw_place_retries_used(const lw_place_service_t *s, const lw_retryallowance_t *t,
			       uint64_t now_us)
{
	lw_arrivals_t sum = { 0 };
	uint32_t usable = 0, known = 0;

	for (const lw_place_host_t *h = s->hosts; h; h = h->next) {
		if (!lw_place_usable(h, now_us))
			continue;
		usable++;
		if (!h->load_us || now_us - h->load_us > ARRIVALS_STALE_US)
			continue;
		known++;
		lw_arrivals_add(&sum, &h->load.arrivals);
	}
	return known ? lw_arrivals_used(&sum, t, (double)known / usable) : 0;
}

/* lw_place_zone_plans() - first choices of a server, by zone plan, over all services. */
void lw_place_zone_plans(const lw_place_t *p, uint64_t sum[LW_ZONE_PLAN_COUNT])
{
	memset(sum, 0, LW_ZONE_PLAN_COUNT * sizeof(sum[0]));
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (int i = 0; i < LW_ZONE_PLAN_COUNT; i++)
			sum[i] += s->zone.count[i];
}

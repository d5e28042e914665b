/* Placement: how much of its work a service refuses; see place.h. */
#include <math.h>
#include <string.h>

#include "level.h"
#include "place.h"

/*
 * The open part of a service lifts its level by so many priorities: with a
 * third of it open nearly a whole priority more is admitted.
 */
#define OPEN_LIFT_PRIORITIES 3

/* requests that @h can run in a microsecond */
static double capacity_of(const lw_place_host_t *h)
{
	double by_slots = h->load.limit / (double)h->load.service_us;

	return h->load.notice.limited ? fmin(by_slots, h->load.notice.limit_per_s / 1e6) : by_slots;
}

/*
 * lw_place_level() - the first rank the service as a whole refuses: the mean
 * of its hosts' levels by the work they can do. One host that is full while
 * others are open shows that work is placed badly, not that there is too much.
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

/* lw_place_limited() - whether a server of @service names how many requests a second it takes. */
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
 * lw_place_tell() - add the level of @s to what is passed on up the call graph
 * by a request that ran there for @work_us.
 */
void lw_place_add_level(const lw_place_service_t *s, uint32_t work_us, uint64_t now_us,
			lw_path_levels_t *out)
{
	lw_service_level_t hot = { .level = lw_place_level(s, now_us), .work_us = work_us };

	lw_str_copy(hot.service, sizeof(hot.service), lw_str_c(s->name));
	lw_path_levels_add(out, &hot);
}

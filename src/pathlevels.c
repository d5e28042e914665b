/* The admission levels of the services on one call path; see overload.h. */
#include <string.h>

#include "overload.h"

static lw_service_level_t *find_level(lw_path_levels_t *h, const lw_service_level_t *hot)
{
	for (uint32_t i = 0; i < h->n; i++)
		if (strcmp(h->hot[i].service, hot->service) == 0)
			return &h->hot[i];
	return NULL;
}

/* a free slot, or that of the highest level if it is higher than @level; NULL if there is none */
static lw_service_level_t *slot_for(lw_path_levels_t *h, uint32_t level)
{
	lw_service_level_t *highest = &h->hot[0];

	if (h->n < LW_PATH_LEVELS_MAX)
		return &h->hot[h->n++];
	for (uint32_t i = 1; i < h->n; i++)
		if (h->hot[i].level > highest->level)
			highest = &h->hot[i];
	return highest->level > level ? highest : NULL;
}

/*
 * lw_path_levels_add() - add the level of a service on the call path.
 * Services that refuse nothing are added as well, so that entry nodes know
 * which routes lead to a service before it is overloaded. If the service is
 * present already, the lower level is kept and the work is added up.
 */
void lw_path_levels_add(lw_path_levels_t *h, const lw_service_level_t *hot)
{
	lw_service_level_t *known = find_level(h, hot);

	if (known) {
		known->work_us += hot->work_us;
		if (hot->level < known->level)
			known->level = hot->level;
		return;
	}
	known = slot_for(h, hot->level);
	if (known)
		*known = *hot;
}

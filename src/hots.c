/* The levels of the services on one path; see hotpath.h. */
#include <string.h>

#include "hotpath.h"

static lw_hot_t *find_hot(lw_hots_t *h, const lw_hot_t *hot)
{
	for (uint32_t i = 0; i < h->n; i++)
		if (strcmp(h->hot[i].service, hot->service) == 0)
			return &h->hot[i];
	return NULL;
}

/* the place for one more: where there is none, that of the highest level */
static lw_hot_t *place_for(lw_hots_t *h, uint32_t level)
{
	lw_hot_t *highest = &h->hot[0];

	if (h->n < LW_HOTS_MAX)
		return &h->hot[h->n++];
	for (uint32_t i = 1; i < h->n; i++)
		if (h->hot[i].level > highest->level)
			highest = &h->hot[i];
	return highest->level > level ? highest : NULL;
}

/*
 * lw_hots_add() - note the level of a service on the path, also one that
 * refuses nothing: before it does, the roots know what leads to it. Of one that
 * is noted already the lower level counts, and the work adds up.
 */
void lw_hots_add(lw_hots_t *h, const lw_hot_t *hot)
{
	lw_hot_t *known = find_hot(h, hot);

	if (known) {
		known->work_us += hot->work_us;
		if (hot->level < known->level)
			known->level = hot->level;
		return;
	}
	known = place_for(h, hot->level);
	if (known)
		*known = *hot;
}

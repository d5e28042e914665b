/* Selection of the quota coordinators; see quotachoice.h. */
#include "quotachoice.h"

#include <string.h>
#include <xxhash.h>

/* a separate hash seed, so that the coordinators are rarely the nodes that read the store */
#define CHOICE_SEED 0x71756f7461ull

/* whether @a precedes @b in the order in which nodes become coordinators */
static bool before(const lw_server_entry_t *a, const lw_server_entry_t *b)
{
	uint64_t x = XXH3_64bits_withSeed(a->addr, strlen(a->addr), CHOICE_SEED);
	uint64_t y = XXH3_64bits_withSeed(b->addr, strlen(b->addr), CHOICE_SEED);

	return x != y ? x > y : strcmp(a->addr, b->addr) < 0;
}

/* the first candidate that is not draining and not @other, nor in its zone if @other_zone */
static const lw_server_entry_t *best_candidate(const lw_serverlist_t *sl,
					       const lw_server_entry_t *other, bool other_zone)
{
	const lw_server_entry_t *best = NULL;

	for (size_t i = 0; i < sl->nservers; i++) {
		const lw_server_entry_t *e = &sl->servers[i];

		if (e->draining || (other && strcmp(e->addr, other->addr) == 0))
			continue;
		if (other && other_zone && strcmp(e->zone, other->zone) == 0)
			continue;
		if (!best || before(e, best))
			best = e;
	}
	return best;
}

/*
 * lw_quotachoice_coordinators() - the addresses of the backend servers on whose hosts the
 * coordinators run: at most LW_QUOTA_COORDINATORS, in different zones if possible. Returns
 * their number.
 */
uint32_t lw_quotachoice_coordinators(const lw_serverlist_t *sl, char out[][LW_NAME_MAX])
{
	const lw_server_entry_t *first = best_candidate(sl, NULL, false);
	const lw_server_entry_t *second = first ? best_candidate(sl, first, true) : NULL;

	if (first && !second)
		second = best_candidate(sl, first, false);
	if (first)
		lw_str_copy(out[0], LW_NAME_MAX, lw_str_c(first->addr));
	if (second)
		lw_str_copy(out[1], LW_NAME_MAX, lw_str_c(second->addr));
	return (first != NULL) + (second != NULL);
}

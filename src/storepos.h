/*
 * A place in the store's history as one number that only grows. Revisions alone go
 * back and are given out again when the store returns from an older copy; it tells so
 * by its era, which rises then. Nodes of a version that knew revisions only have
 * places below all others.
 */
#ifndef LW_STOREPOS_H
#define LW_STOREPOS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bits of a place, from the highest: the era plus one, the revision, and an edition:
 * what follows from a revision changes with time, too, as when entries lapse.
 */
#define LW_STOREPOS_REVISION_BITS 40
#define LW_STOREPOS_REVISION_MASK ((1ULL << LW_STOREPOS_REVISION_BITS) - 1)
#define LW_STOREPOS_EDITION_BITS  8
#define LW_STOREPOS_EDITION_MASK  ((1ULL << LW_STOREPOS_EDITION_BITS) - 1)
#define LW_STOREPOS_ERA_SHIFT	  (LW_STOREPOS_REVISION_BITS + LW_STOREPOS_EDITION_BITS)

/* lw_storepos() - the place of @revision in @era; 0 for a store that tells none. */
static inline uint64_t lw_storepos(uint32_t era, uint64_t revision)
{
	return ((uint64_t)era + 1) << LW_STOREPOS_ERA_SHIFT | (revision & LW_STOREPOS_REVISION_MASK)
								      << LW_STOREPOS_EDITION_BITS;
}

/* lw_storepos_next() - the place of the next edition at the revision of @pos. */
static inline uint64_t lw_storepos_next(uint64_t pos)
{
	return (pos & LW_STOREPOS_EDITION_MASK) < LW_STOREPOS_EDITION_MASK ? pos + 1 : pos;
}

/* lw_storepos_first() - the place of the first edition at the revision of @pos. */
static inline uint64_t lw_storepos_first(uint64_t pos)
{
	return pos & ~LW_STOREPOS_EDITION_MASK;
}

/* lw_storepos_era() - the era of a place; 0 also for one of a node without eras. */
static inline uint32_t lw_storepos_era(uint64_t pos)
{
	uint64_t above = pos >> LW_STOREPOS_ERA_SHIFT;

	return above ? (uint32_t)(above - 1) : 0;
}

/* lw_storepos_revision() - the revision of a place. */
static inline uint64_t lw_storepos_revision(uint64_t pos)
{
	return pos >> LW_STOREPOS_EDITION_BITS & LW_STOREPOS_REVISION_MASK;
}

/* lw_storepos_same_era() - whether two places are comparable by their revisions. */
static inline bool lw_storepos_same_era(uint64_t a, uint64_t b)
{
	return a >> LW_STOREPOS_ERA_SHIFT == b >> LW_STOREPOS_ERA_SHIFT;
}

#endif

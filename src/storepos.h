/*
 * A position in the store's history as one number that only grows. Revisions alone
 * decrease and are assigned again when the store is restored from an older copy; the store
 * then increments its era. Positions from nodes whose software knows only revisions are
 * below all others.
 */
#ifndef LW_STOREPOS_H
#define LW_STOREPOS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bits of a position, from the highest: the era plus one, the revision, and an edition.
 * The edition is needed because what follows from a revision also changes with time, for
 * example when entries expire.
 */
#define LW_STOREPOS_REVISION_BITS 40
#define LW_STOREPOS_REVISION_MASK ((1ULL << LW_STOREPOS_REVISION_BITS) - 1)
#define LW_STOREPOS_EDITION_BITS  8
#define LW_STOREPOS_EDITION_MASK  ((1ULL << LW_STOREPOS_EDITION_BITS) - 1)
#define LW_STOREPOS_ERA_SHIFT	  (LW_STOREPOS_REVISION_BITS + LW_STOREPOS_EDITION_BITS)

/* lw_storepos() - the position of @revision in @era, which is 0 for a store without eras. */
static inline uint64_t lw_storepos(uint32_t era, uint64_t revision)
{
	return ((uint64_t)era + 1) << LW_STOREPOS_ERA_SHIFT | (revision & LW_STOREPOS_REVISION_MASK)
								      << LW_STOREPOS_EDITION_BITS;
}

/* lw_storepos_next() - the next edition at the revision of @pos; @pos itself if it is the last. */
static inline uint64_t lw_storepos_next(uint64_t pos)
{
	return (pos & LW_STOREPOS_EDITION_MASK) < LW_STOREPOS_EDITION_MASK ? pos + 1 : pos;
}

/* lw_storepos_first() - the position of the first edition at the revision of @pos. */
static inline uint64_t lw_storepos_first(uint64_t pos)
{
	return pos & ~LW_STOREPOS_EDITION_MASK;
}

/* lw_storepos_era() - the era of a position; 0 also for a position of a node without eras. */
static inline uint32_t lw_storepos_era(uint64_t pos)
{
	uint64_t above = pos >> LW_STOREPOS_ERA_SHIFT;

	return above ? (uint32_t)(above - 1) : 0;
}

/* lw_storepos_revision() - the revision of a position. */
static inline uint64_t lw_storepos_revision(uint64_t pos)
{
	return pos >> LW_STOREPOS_EDITION_BITS & LW_STOREPOS_REVISION_MASK;
}

/* lw_storepos_same_era() - whether two positions can be compared by their revisions. */
static inline bool lw_storepos_same_era(uint64_t a, uint64_t b)
{
	return a >> LW_STOREPOS_ERA_SHIFT == b >> LW_STOREPOS_ERA_SHIFT;
}

#endif

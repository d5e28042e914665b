/* Longest recent execution times by kind of work; see longruns.h. */
#include "longruns.h"

/* the row of @kind, or the one that gives way to it */
static lw_longrun_t *row_of(lw_longruns_t *t, uint32_t kind)
{
	lw_longrun_t *oldest = &t->at[0];

	for (uint32_t i = 0; i < LW_LONGRUNS_MAX; i++) {
		if (t->at[i].kind == kind)
			return &t->at[i];
		if (t->at[i].seen_us < oldest->seen_us)
			oldest = &t->at[i];
	}
	*oldest = (lw_longrun_t){ .kind = kind };
	return oldest;
}

/* lw_longruns_add() - a request of @kind executed for @took_us; neither counts if it is 0. */
void lw_longruns_add(lw_longruns_t *t, uint32_t kind, uint32_t took_us, uint64_t now_us)
{
	lw_longrun_t *row;

	if (!kind || !took_us)
		return;
	row = row_of(t, kind);
	row->seen_us = now_us;
	lw_recentmax_add(&row->longest, took_us, now_us);
}

/* lw_longruns_get() - the longest recent execution time of @kind, us; 0: none is known. */
uint32_t lw_longruns_get(const lw_longruns_t *t, uint32_t kind, uint64_t now_us)
{
	for (uint32_t i = 0; kind && i < LW_LONGRUNS_MAX; i++)
		if (t->at[i].kind == kind)
			return (uint32_t)lw_recentmax_get(&t->at[i].longest, now_us).longest_us;
	return 0;
}

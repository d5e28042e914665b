/*
 * Longest recent execution time of each kind of work, as the answers from all servers have shown
 * it. A node that stops must know whether a request ends before its exit; one that has just
 * started has seen few requests, while the nodes that send them have seen more. No I/O; the
 * caller passes the time.
 */
#ifndef LW_LONGRUNS_H
#define LW_LONGRUNS_H

#include <stdint.h>

#include "recentmax.h"

/* Kinds that are remembered; the one not seen for longest gives way to a new one. */
#define LW_LONGRUNS_MAX 64

typedef struct lw_longrun {
	uint32_t kind; /* see worktime.h */
	uint64_t seen_us;
	lw_recentmax_t longest;
} lw_longrun_t;

/* All zero bytes: nothing is known. */
typedef struct lw_longruns {
	lw_longrun_t at[LW_LONGRUNS_MAX];
} lw_longruns_t;

void lw_longruns_add(lw_longruns_t *t, uint32_t kind, uint32_t took_us, uint64_t now_us);
uint32_t lw_longruns_get(const lw_longruns_t *t, uint32_t kind, uint64_t now_us);

#endif

/*
 * Whether a backend server is leaving. A server that leaves says so in every answer, and the
 * process that said so never accepts work again. A server may be restarted under its id, and
 * answers name no process: the server list alone tells processes apart, by their start times,
 * and it may be late or restored from an old copy. So an announcement holds for every process
 * that may have made it, until a later answer shows that another process runs. No I/O; the
 * caller passes the times.
 */
#ifndef LW_LEAVING_H
#define LW_LEAVING_H

#include <stdbool.h>
#include <stdint.h>

/* The newest observation of a server id. Zero: none. */
typedef struct lw_leaving {
	bool on;
	/* time of the observation, Unix time of the server's host, ms; 0: unknown */
	uint64_t seen_ms;
} lw_leaving_t;

typedef enum lw_leaving_change {
	LW_LEAVING_SAME = 0,
	LW_LEAVING_BEGAN,
	LW_LEAVING_ENDED
} lw_leaving_change_t;

bool lw_leaving_may_concern(uint64_t seen_ms, uint64_t born_ms);
lw_leaving_change_t lw_leaving_observe(lw_leaving_t *l, bool leaving, uint64_t seen_ms);
void lw_leaving_inherit(lw_leaving_t *l, const lw_leaving_t *from, uint64_t born_ms);

#endif

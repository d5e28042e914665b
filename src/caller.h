/*
 * HTTP/1.1 server for callers. Handles the requests of a connection strictly one after the other,
 * streams bodies in both directions, and detects callers that disconnect.
 */
#ifndef LW_CALLER_H
#define LW_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "exchange.h"
#include "evloop.h"

typedef struct lw_callers lw_callers_t;

typedef struct lw_callers_stats {
	uint64_t accepted;
	uint64_t malformed;
	uint64_t too_large;
	uint64_t head_timeouts;
	uint64_t idle_closed;
	uint64_t left; /* callers that disconnected while their request was in progress */
} lw_callers_stats_t;

lw_callers_t *lw_callers_new(lw_engine_t *engine);
lw_status_t lw_callers_listen(lw_callers_t *cs, const char *addr, bool ready_only);
void lw_callers_set_ready(lw_callers_t *cs, bool ready);
void lw_callers_close_listeners(lw_callers_t *cs);
void lw_callers_close_idle(lw_callers_t *cs);
bool lw_callers_unwritten(const lw_callers_t *cs);
void lw_callers_close_all(lw_callers_t *cs);
uint32_t lw_callers_count(const lw_callers_t *cs);
const lw_callers_stats_t *lw_callers_stats(const lw_callers_t *cs);

#endif

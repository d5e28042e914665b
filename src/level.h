/*
 * The admission level of a backend server: which new requests of the fleet
 * may still be started although their work ends up here. Load pattern: a
 * service deep in the call graph is the bottleneck. A request refused there
 * has already cost everything above it, so it must be refused at its root,
 * and urgent ones last.
 *
 * Every user request has a rank: its priority, and within it a number drawn
 * from its id, so that all nodes rank it alike. The level is the first rank
 * that is refused. It is told with every answer and passed on up the call
 * graph to the nodes where requests begin (overload control for microservices
 * by Zhou et al., SoCC 2018, without its fixed user priorities). No I/O.
 */
#ifndef LW_LEVEL_H
#define LW_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"

/* Ranks within one priority. */
#define LW_RANKS_PER_PRIORITY 1000
#define LW_PRIORITIES_MAX     8
/* This level refuses nothing. */
#define LW_LEVEL_ADMIT_ALL (LW_RANKS_PER_PRIORITY * LW_PRIORITIES_MAX)

/* Nothing but a few of the most urgent is admitted: they show when room is back. */
#define LW_LEVEL_MIN 100

/* Width of a histogram bin, in ranks. */
#define LW_LEVEL_BIN  50
#define LW_LEVEL_BINS (LW_LEVEL_ADMIT_ALL / LW_LEVEL_BIN)

/* Period of lw_level_step(), in milliseconds. */
#define LW_LEVEL_STEP_MS 100

typedef struct lw_level {
	uint32_t level;
	float rank_average[LW_LEVEL_BINS]; /* recent arrivals by rank, per step */
	uint32_t arrivals; /* in this step */
	uint16_t rank_count[LW_LEVEL_BINS]; /* the same by rank */
	double demand; /* moving average: slots that the arrivals need, over the limit */
	uint32_t hold_steps; /* steps before the level may be lowered again */
} lw_level_t;

/* What a step looks at. */
typedef struct lw_level_input {
	uint32_t queued;
	uint32_t running;
	uint32_t limit;
	double service_us;
} lw_level_input_t;

uint32_t lw_rank(uint32_t priority, lw_str_t request_id);
void lw_level_init(lw_level_t *l);
void lw_level_arrival(lw_level_t *l, uint32_t rank);
void lw_level_step(lw_level_t *l, const lw_level_input_t *in);

#endif

/*
 * The admission level of a backend server, for load whose bottleneck is a
 * service deep in the call graph. A request that is refused at such a service
 * has already cost work at every service above it. Therefore it is refused at
 * the node where the user request enters, and requests of urgent priorities
 * are refused last.
 *
 * Every user request has a rank: its priority, and within the priority a
 * number derived from the request id, so that all nodes assign the same rank.
 * The level is the lowest rank that is refused. Answers report it, and it is
 * passed up the call graph to the nodes where user requests enter (overload
 * control for microservices by Zhou et al., SoCC 2018, without its fixed user
 * priorities). No I/O.
 */
#ifndef LW_LEVEL_H
#define LW_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"

/* Number of ranks within one priority. */
#define LW_RANKS_PER_PRIORITY 1000
#define LW_PRIORITIES_MAX     8
/* This level admits all requests. */
#define LW_LEVEL_ADMIT_ALL (LW_RANKS_PER_PRIORITY * LW_PRIORITIES_MAX)

/*
 * Lowest level. It still admits a few of the most urgent requests, which show
 * when capacity is available again.
 */
#define LW_LEVEL_MIN 100

/* Width of a histogram bin, in ranks. */
#define LW_LEVEL_BIN  50
#define LW_LEVEL_BINS (LW_LEVEL_ADMIT_ALL / LW_LEVEL_BIN)

/* Period of lw_level_step(), in milliseconds. */
#define LW_LEVEL_STEP_MS 100

typedef struct lw_level {
	uint32_t level;
	float rank_average[LW_LEVEL_BINS]; /* moving average of arrivals per step, by rank */
	/* the same, while all of the rank were admitted: what raising the level would add */
	float rank_usual[LW_LEVEL_BINS];
	uint32_t arrivals; /* arrivals in the current step */
	uint16_t rank_count[LW_LEVEL_BINS]; /* arrivals in the current step, by rank */
	double demand; /* moving average: slots that the arrivals need, divided by the limit */
	uint32_t hold_steps; /* steps until the level may be lowered again */
} lw_level_t;

/* Input of lw_level_step(). */
typedef struct lw_level_input {
	uint32_t queued;
	uint32_t running;
	uint32_t limit;
	double service_us;
	double wait_us; /* queueing delay; used with wait_high_us */
	double wait_high_us; /* delay that means overload; 0: derived from service_us */
	double arrived_us; /* execution time of the arrivals; 0: their number times service_us */
} lw_level_input_t;

uint32_t lw_rank(uint32_t priority, lw_str_t request_id);
void lw_level_init(lw_level_t *l);
void lw_level_arrival(lw_level_t *l, uint32_t rank);
void lw_level_step(lw_level_t *l, const lw_level_input_t *in);

#endif

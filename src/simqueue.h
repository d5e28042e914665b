/* Event queue of lwsim, ordered by time. */
#ifndef LW_SIMQUEUE_H
#define LW_SIMQUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "call.h"

struct req;
struct lw_sim_kind;

typedef enum lw_simevent_kind {
	LW_SIM_ARRIVE, /* a user request enters the fleet */
	LW_SIM_AT_NODE, /* a request reaches the node of its server */
	LW_SIM_WORK_DONE, /* the server has done its own work; nested calls follow */
	LW_SIM_ANSWER, /* an answer reaches the node where the request began */
	LW_SIM_TIMEOUT,
	LW_SIM_RETRY, /* the user of a rejected request tries again */
	LW_SIM_STEP, /* admission levels are adjusted */
} lw_simevent_kind_t;

typedef struct lw_simevent {
	uint64_t at_us;
	uint64_t seq; /* order of events with the same time */
	lw_simevent_kind_t kind;
	struct req *req;
	struct lw_sim_kind *request_kind;
	lw_fail_t why; /* LW_SIM_ANSWER: LW_FAIL_NONE if the server answered */
	uint32_t retry_after_ms;
	bool server_failed; /* LW_SIM_ANSWER: the server answered with an error */
	lw_load_t load;
} lw_simevent_t;

typedef struct lw_simqueue {
	lw_simevent_t *heap;
	size_t len;
	size_t cap;
	uint64_t seq;
} lw_simqueue_t;

lw_simevent_t *lw_simqueue_push(lw_simqueue_t *q, lw_simevent_kind_t kind, uint64_t at_us);
lw_simevent_t lw_simqueue_pop(lw_simqueue_t *q);
void lw_simqueue_free(lw_simqueue_t *q);

#endif

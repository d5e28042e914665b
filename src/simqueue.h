/* The events of lwsim in the order of their time. */
#ifndef LW_SIMQUEUE_H
#define LW_SIMQUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "call.h"

struct req;
struct lw_sim_kind;

typedef enum lw_simevent_kind {
	LW_SIM_ARRIVE, /* a user request of a kind */
	LW_SIM_AT_NODE, /* a request reaches the node of its server */
	LW_SIM_WORK_DONE, /* the own work of a request is done */
	LW_SIM_ANSWER, /* an answer reaches the origin */
	LW_SIM_TIMEOUT,
	LW_SIM_RETRY, /* a refused caller comes back */
	LW_SIM_STEP, /* levels are adjusted */
} lw_simevent_kind_t;

typedef struct lw_simevent {
	uint64_t at_us;
	uint64_t seq; /* orders events of the same time */
	lw_simevent_kind_t kind;
	struct req *req;
	struct lw_sim_kind *request_kind;
	lw_fail_t why; /* LW_SIM_ANSWER: LW_FAIL_NONE is an answer */
	uint32_t retry_after_ms;
	bool server_failed; /* LW_SIM_ANSWER: the server answered with a failure */
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

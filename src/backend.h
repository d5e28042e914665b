/*
 * HTTP calls to the local backend server by a bounded set of worker threads, each with its own
 * persistent connection. The caller's thread does not wait on the socket, so a hanging backend
 * server cannot block a caller past its deadline.
 */
#ifndef LW_BACKEND_H
#define LW_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "answer.h"
#include "policy.h"
#include "request.h"

typedef struct lw_backend lw_backend_t;

/* Result of a call; @answer is set (with one reference) if the outcome is LW_DONE. */
typedef struct lw_backend_result {
	lw_outcome_t outcome;
	lw_reason_t reason;
	uint32_t retries_used;
	uint32_t latency_ms;
	lw_answer_t *answer;
} lw_backend_result_t;

typedef void (*lw_backend_done_fn)(void *ctx, uint64_t id, const lw_backend_result_t *res);

lw_backend_t *lw_backend_new(const char *addr, uint32_t workers_max, lw_backend_done_fn done,
			     void *ctx);
void lw_backend_run(lw_backend_t *b, uint64_t id, const lw_request_t *rq, uint32_t retry_budget,
		    uint64_t deadline_at_ms);

#endif

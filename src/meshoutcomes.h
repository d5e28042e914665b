/*
 * Outcomes of requests of other nodes, retained for a short time after they were sent. A
 * connection can go silent with a response on it, which neither the sending nor the
 * executing node can detect. When the sending node queries the outcome, the executing node
 * sends it again.
 */
#ifndef LW_MESHOUTCOMES_H
#define LW_MESHOUTCOMES_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "call.h"

/*
 * Identifies a request on both nodes even after it moved to another connection: the
 * connection it was first sent over, and its stream id there.
 */
typedef struct lw_stream_origin {
	uint64_t link;
	uint64_t id;
} lw_stream_origin_t;

/* One outcome: a response, or the reason why there is none. */
typedef struct lw_retained_outcome {
	lw_stream_origin_t origin;
	uint64_t added_us;
	lw_fail_t why; /* LW_FAIL_NONE: the request was answered */
	uint32_t retry_after_ms;
	lw_answer_t answer;
	lw_str_t body;
	struct lw_retained_outcome *newer;
	UT_hash_handle hh;
	char bytes[]; /* head and body of the response */
} lw_retained_outcome_t;

typedef struct lw_meshoutcomes {
	lw_retained_outcome_t *by_origin;
	lw_retained_outcome_t *oldest, *newest;
	size_t bytes;
} lw_meshoutcomes_t;

void lw_meshoutcomes_add_answer(lw_meshoutcomes_t *k, const lw_stream_origin_t *origin,
				const lw_answer_t *a, lw_str_t body, uint64_t now_us);
void lw_meshoutcomes_add_failure(lw_meshoutcomes_t *k, const lw_stream_origin_t *origin,
				 lw_fail_t why, uint32_t retry_after_ms, uint64_t now_us);
const lw_retained_outcome_t *lw_meshoutcomes_find(const lw_meshoutcomes_t *k, uint64_t link,
						  uint32_t id);

#endif

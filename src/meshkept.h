/*
 * Outcomes of requests of other nodes, kept for a moment after they were sent. A
 * connection can go silent with an answer on it, which its sender and the host
 * both cannot see; asked after the request, the host sends the outcome once more.
 */
#ifndef LW_MESHKEPT_H
#define LW_MESHKEPT_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "call.h"

/*
 * Names a request for both sides, wherever it moves: the connection it was sent
 * over and its id there.
 */
typedef struct lw_origin {
	uint64_t link;
	uint64_t id;
} lw_origin_t;

/* One outcome: an answer, or why there is none. */
typedef struct lw_kept {
	lw_origin_t origin;
	uint64_t kept_us;
	lw_fail_t why; /* LW_FAIL_NONE: it was answered */
	uint32_t retry_after_ms;
	lw_answer_t answer;
	lw_str_t body;
	struct lw_kept *newer;
	UT_hash_handle hh;
	char bytes[]; /* head and body of the answer */
} lw_kept_t;

typedef struct lw_meshkept {
	lw_kept_t *by_origin;
	lw_kept_t *oldest, *newest;
	size_t bytes;
} lw_meshkept_t;

void lw_meshkept_answer(lw_meshkept_t *k, const lw_origin_t *origin, const lw_answer_t *a,
			lw_str_t body, uint64_t now_us);
void lw_meshkept_failure(lw_meshkept_t *k, const lw_origin_t *origin, lw_fail_t why,
			 uint32_t retry_after_ms, uint64_t now_us);
const lw_kept_t *lw_meshkept_find(const lw_meshkept_t *k, uint64_t link, uint32_t id);

#endif

/*
 * Records of requests that a node has received, by 128-bit key: running, done with the
 * complete answer, possibly executed, or refused permanently. There are two tables: one by
 * idempotency key (a retried registration gets the stored answer and is executed once),
 * one by attempt (a caller whose connection went silent queries the outcome of its
 * request).
 *
 * Bounds: at most max_records records and max_bytes of stored answers. The oldest answers
 * are dropped first while their keys stay: a retry whose answer was dropped gets the
 * answer "unknown" and is never executed again. Running records are never dropped.
 */
#ifndef LW_RECORDS_H
#define LW_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct lw_key {
	uint64_t hi, lo; /* both 0: no key */
} lw_key_t;

typedef enum lw_record_state {
	LW_REC_NONE = 0, /* never received, or expired */
	LW_REC_RUNNING, /* queued or being executed by the backend server */
	LW_REC_DONE, /* executed; the answer may have been dropped for space */
	LW_REC_UNCERTAIN, /* may have been executed: the backend server gave no answer */
	LW_REC_REFUSED, /* never executed and never will be: a later copy is refused */
} lw_record_state_t;

typedef struct lw_records lw_records_t;

typedef void (*lw_record_release_fn)(void *ctx, void *answer);

lw_records_t *lw_records_new(size_t max_records, size_t max_bytes, uint32_t keep_ms);
void lw_records_free(lw_records_t *r, lw_record_release_fn release, void *ctx);
lw_record_state_t lw_records_find(const lw_records_t *r, lw_key_t key, void **answer);
bool lw_records_begin(lw_records_t *r, lw_key_t key, lw_record_release_fn release, void *ctx);
bool lw_records_settle(lw_records_t *r, lw_key_t key, lw_record_state_t state, void *answer,
		       size_t bytes, uint64_t now_ms, lw_record_release_fn release, void *ctx);
void lw_records_forget(lw_records_t *r, lw_key_t key);
void lw_records_expire(lw_records_t *r, uint64_t now_ms, lw_record_release_fn release, void *ctx);
size_t lw_records_count(const lw_records_t *r);
size_t lw_records_bytes(const lw_records_t *r);
bool lw_key_is_set(lw_key_t key);

#endif

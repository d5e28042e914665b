/*
 * Records of requests a node has seen, by 128-bit key: running, done with
 * its whole answer, maybe run, or refused for good. Two tables use it: one
 * by idempotency key (a repeated registration gets the stored answer and
 * runs once), one by attempt (a caller whose connection went silent asks
 * what became of its request).
 *
 * Bounds: at most max_records records and max_bytes of stored answers. The
 * oldest answers go first, their keys stay: a repeat whose answer is gone
 * is answered "unknown", never run again. Running records are never dropped.
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
	LW_REC_NONE = 0, /* never seen, or forgotten */
	LW_REC_RUNNING, /* queued or at the backend server now */
	LW_REC_DONE, /* ran; the answer may have been dropped for room */
	LW_REC_UNCERTAIN, /* may have run: the backend server gave no answer */
	LW_REC_REFUSED, /* never ran and never will: a later copy is refused */
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

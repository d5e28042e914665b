/* Records of requests by key; see records.h. */
#include "records.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "xalloc.h"

typedef struct record {
	lw_key_t key;
	lw_record_state_t state;
	void *answer;
	size_t bytes;
	uint64_t expires;
	struct record *prev, *next; /* settled records, oldest first */
	UT_hash_handle hh;
} record_t;

struct lw_records {
	record_t *by_key;
	record_t *settled;
	record_t *with_answer; /* oldest settled record that may still hold an answer */
	size_t max_records, max_bytes, bytes;
	uint32_t keep_ms;
};

/* lw_key_is_set() - false for the zero key, which stands for "no key". */
bool lw_key_is_set(lw_key_t key)
{
	return key.hi || key.lo;
}

/*
 * lw_records_new() - an empty table.
 * @max_records: records kept at most, running ones included.
 * @max_bytes: bytes of stored answers at most.
 * @keep_ms: how long a settled record is kept.
 */
lw_records_t *lw_records_new(size_t max_records, size_t max_bytes, uint32_t keep_ms)
{
	lw_records_t *r = xcalloc(1, sizeof(*r));

	r->max_records = max_records;
	r->max_bytes = max_bytes;
	r->keep_ms = keep_ms;
	return r;
}

static void drop_answer(lw_records_t *r, record_t *rec, lw_record_release_fn release, void *ctx)
{
	if (!rec->answer)
		return;
	r->bytes -= rec->bytes;
	release(ctx, rec->answer);
	rec->answer = NULL;
	rec->bytes = 0;
}

static void drop_oldest(lw_records_t *r, lw_record_release_fn release, void *ctx)
{
	record_t *rec = r->settled;

	drop_answer(r, rec, release, ctx);
	if (r->with_answer == rec)
		r->with_answer = rec->next;
	DL_DELETE(r->settled, rec);
	/* the analyzer cannot know that a hashed record's table is not NULL */
	HASH_DEL(r->by_key, rec); /* NOLINT(clang-analyzer-core.NullDereference) */
	free(rec);
}

/* lw_records_free() - drop all records, passing each stored answer to @release. */
void lw_records_free(lw_records_t *r, lw_record_release_fn release, void *ctx)
{
	record_t *rec, *tmp;

	while (r->settled)
		drop_oldest(r, release, ctx);
	HASH_ITER(hh, r->by_key, rec, tmp)
	{
		HASH_DEL(r->by_key, rec);
		free(rec);
	}
	free(r);
}

static record_t *find(const lw_records_t *r, lw_key_t key)
{
	record_t *rec = NULL;

	HASH_FIND(hh, r->by_key, &key, sizeof(key), rec);
	return rec;
}

/*
 * lw_records_find() - the state of @key; *@answer is the stored answer of a done record
 * (still owned by the table) or NULL.
 */
lw_record_state_t lw_records_find(const lw_records_t *r, lw_key_t key, void **answer)
{
	record_t *rec = lw_key_is_set(key) ? find(r, key) : NULL;

	*answer = rec ? rec->answer : NULL;
	return rec ? rec->state : LW_REC_NONE;
}

/*
 * lw_records_begin() - record that the execution of @key starts. False if the table is
 * full of running records: the caller must then refuse the request, since without a record
 * it could be executed twice.
 */
bool lw_records_begin(lw_records_t *r, lw_key_t key, lw_record_release_fn release, void *ctx)
{
	record_t *rec;

	while (HASH_COUNT(r->by_key) >= r->max_records && r->settled)
		drop_oldest(r, release, ctx);
	if (HASH_COUNT(r->by_key) >= r->max_records)
		return false;
	rec = xcalloc(1, sizeof(*rec));
	rec->key = key;
	rec->state = LW_REC_RUNNING;
	HASH_ADD(hh, r->by_key, key, sizeof(rec->key), rec);
	return true;
}

/*
 * lw_records_settle() - @key reached its final @state. True if the table took ownership of
 * @answer, whose size is @bytes. An unknown @key is added first if @state is refused, to
 * refuse a request that has not been received yet.
 */
bool lw_records_settle(lw_records_t *r, lw_key_t key, lw_record_state_t state, void *answer,
		       size_t bytes, uint64_t now_ms, lw_record_release_fn release, void *ctx)
{
	record_t *rec = find(r, key);

	if (!rec && state == LW_REC_REFUSED && lw_records_begin(r, key, release, ctx))
		rec = find(r, key);
	if (!rec || rec->state != LW_REC_RUNNING)
		return false;
	rec->state = state;
	rec->expires = now_ms + r->keep_ms;
	rec->answer = bytes <= r->max_bytes ? answer : NULL;
	rec->bytes = rec->answer ? bytes : 0;
	r->bytes += rec->bytes;
	DL_APPEND(r->settled, rec);
	if (!r->with_answer)
		r->with_answer = rec;
	while (r->bytes > r->max_bytes && r->with_answer) {
		drop_answer(r, r->with_answer, release, ctx);
		r->with_answer = r->with_answer->next;
	}
	return rec->answer != NULL;
}

/* lw_records_forget() - @key was not executed; a retry may be executed. */
void lw_records_forget(lw_records_t *r, lw_key_t key)
{
	record_t *rec = lw_key_is_set(key) ? find(r, key) : NULL;

	if (!rec || rec->state != LW_REC_RUNNING)
		return;
	HASH_DEL(r->by_key, rec);
	free(rec);
}

/* lw_records_expire() - drop the settled records that have expired. */
void lw_records_expire(lw_records_t *r, uint64_t now_ms, lw_record_release_fn release, void *ctx)
{
	while (r->settled && r->settled->expires <= now_ms)
		drop_oldest(r, release, ctx);
}

/* lw_records_count() - number of records, running and settled. */
size_t lw_records_count(const lw_records_t *r)
{
	return HASH_COUNT(r->by_key);
}

/* lw_records_bytes() - bytes of stored answers. */
size_t lw_records_bytes(const lw_records_t *r)
{
	return r->bytes;
}

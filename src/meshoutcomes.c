/* Outcomes retained after they were sent; see meshoutcomes.h. */
#include "meshoutcomes.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/*
 * How long an outcome is retained, in us: a silent connection is detected after 500 ms, and
 * its sender repeats the query while this host is suspended.
 */
#define RETENTION_US 3000000
/* limit for all retained outcomes, in bytes; beyond it the oldest are dropped */
#define TOTAL_MAX_BYTES (1024 * 1024)
/* longer responses are not retained, in bytes */
#define ANSWER_MAX_BYTES 16384

static size_t size_of(const lw_retained_outcome_t *o)
{
	return sizeof(*o) + o->answer.head.len + o->body.len;
}

static void drop_oldest(lw_meshoutcomes_t *k)
{
	lw_retained_outcome_t *o = k->oldest;

	if (!o || !k->by_origin)
		return;
	k->oldest = o->newer;
	if (!k->oldest)
		k->newest = NULL;
	HASH_DEL(k->by_origin, o);
	k->bytes -= size_of(o);
	free(o);
}

static void add(lw_meshoutcomes_t *k, lw_retained_outcome_t *o, uint64_t now_us)
{
	o->added_us = now_us;
	if (k->newest)
		k->newest->newer = o;
	else
		k->oldest = o;
	k->newest = o;
	HASH_ADD(hh, k->by_origin, origin, sizeof(o->origin), o);
	k->bytes += size_of(o);
	while (k->oldest &&
	       (k->bytes > TOTAL_MAX_BYTES || now_us - k->oldest->added_us > RETENTION_US))
		drop_oldest(k);
}

/* lw_meshoutcomes_add_answer() - retains the response @a with its complete @body. */
void lw_meshoutcomes_add_answer(lw_meshoutcomes_t *k, const lw_stream_origin_t *origin,
				const lw_answer_t *a, lw_str_t body, uint64_t now_us)
{
	size_t len = a->head.len + body.len;
	lw_retained_outcome_t *o;

	if (!origin->link || len > ANSWER_MAX_BYTES)
		return;
	o = xcalloc(1, sizeof(*o) + len);
	o->origin = *origin;
	if (a->head.len)
		memcpy(o->bytes, a->head.ptr, a->head.len);
	if (body.len)
		memcpy(o->bytes + a->head.len, body.ptr, body.len);
	o->answer = *a;
	o->answer.head.ptr = o->bytes;
	o->body = (lw_str_t){ o->bytes + a->head.len, body.len };
	add(k, o, now_us);
}

/*
 * lw_meshoutcomes_add_failure() - retains that the request ended without a response because
 * of @why.
 */
void lw_meshoutcomes_add_failure(lw_meshoutcomes_t *k, const lw_stream_origin_t *origin,
				 lw_fail_t why, uint32_t retry_after_ms, uint64_t now_us)
{
	lw_retained_outcome_t *o;

	if (!origin->link)
		return;
	o = xcalloc(1, sizeof(*o));
	o->origin = *origin;
	o->why = why;
	o->retry_after_ms = retry_after_ms;
	add(k, o, now_us);
}

/*
 * lw_meshoutcomes_find() - returns the outcome of the request sent over @link as @id; NULL
 * if it is not retained.
 */
const lw_retained_outcome_t *lw_meshoutcomes_find(const lw_meshoutcomes_t *k, uint64_t link,
						  uint32_t id)
{
	lw_retained_outcome_t key, *o;

	memset(&key, 0, sizeof(key));
	key.origin = (lw_stream_origin_t){ link, id };
	HASH_FIND(hh, k->by_origin, &key.origin, sizeof(key.origin), o);
	return o;
}

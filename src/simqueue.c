/* Event queue as a binary heap; see simqueue.h. */
#include "simqueue.h"

#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

#define CAP_FIRST 1024

static bool earlier(const lw_simevent_t *a, const lw_simevent_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static void swap(lw_simevent_t *a, lw_simevent_t *b)
{
	lw_simevent_t t = *a;

	*a = *b;
	*b = t;
}

/*
 * lw_simqueue_push() - add an event at time @at_us. The caller may fill in the
 * returned event until the next push, but must not change its time.
 */
lw_simevent_t *lw_simqueue_push(lw_simqueue_t *q, lw_simevent_kind_t kind, uint64_t at_us)
{
	size_t i = q->len++;

	if (q->len > q->cap) {
		q->cap = q->cap ? q->cap * 2 : CAP_FIRST;
		q->heap = xrealloc(q->heap, q->cap * sizeof(*q->heap));
	}
	memset(&q->heap[i], 0, sizeof(q->heap[i]));
	q->heap[i].at_us = at_us;
	q->heap[i].seq = q->seq++;
	q->heap[i].kind = kind;
	while (i && earlier(&q->heap[i], &q->heap[(i - 1) / 2])) {
		swap(&q->heap[i], &q->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	return &q->heap[i];
}

/* lw_simqueue_pop() - remove and return the earliest event; the queue must not be empty. */
lw_simevent_t lw_simqueue_pop(lw_simqueue_t *q)
{
	lw_simevent_t first = q->heap[0];
	size_t i = 0;

	q->heap[0] = q->heap[--q->len];
	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= q->len)
			break;
		if (k + 1 < q->len && earlier(&q->heap[k + 1], &q->heap[k]))
			k++;
		if (!earlier(&q->heap[k], &q->heap[i]))
			break;
		swap(&q->heap[k], &q->heap[i]);
		i = k;
	}
	return first;
}

/* lw_simqueue_free() - release the memory; the queue is empty afterwards. */
void lw_simqueue_free(lw_simqueue_t *q)
{
	free(q->heap);
	memset(q, 0, sizeof(*q));
}

/* A binary heap of events; see simqueue.h. */
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
 * lw_simqueue_push() - an event at @at_us. The result may be filled in until
 * the next push; its time must stay.
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

/* lw_simqueue_pop() - take out the earliest event; there must be one. */
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

/* lw_simqueue_free() - release what the queue holds. */
void lw_simqueue_free(lw_simqueue_t *q)
{
	free(q->heap);
	memset(q, 0, sizeof(*q));
}

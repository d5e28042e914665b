/* Events of the model in order of time; see spreadsim_int.h. */
#include "spreadsim_int.h"

#include "xalloc.h"

#define QUEUE_MIN 4096

static bool earlier(const event_t *a, const event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

void lw_spread_push(lw_spread_t *s, event_t e)
{
	size_t i = s->nevents++;

	if (s->nevents > s->cap) {
		s->cap = s->cap ? s->cap * 2 : QUEUE_MIN;
		s->heap = xrealloc(s->heap, s->cap * sizeof(*s->heap));
	}
	e.seq = s->seq++;
	while (i && earlier(&e, &s->heap[(i - 1) / 2])) {
		s->heap[i] = s->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	s->heap[i] = e;
}

event_t lw_spread_pop(lw_spread_t *s)
{
	event_t first = s->heap[0];
	event_t last = s->heap[--s->nevents];
	size_t i = 0;

	for (;;) {
		size_t k = 2 * i + 1;

		if (k >= s->nevents)
			break;
		if (k + 1 < s->nevents && earlier(&s->heap[k + 1], &s->heap[k]))
			k++;
		if (!earlier(&s->heap[k], &last))
			break;
		s->heap[i] = s->heap[k];
		i = k;
	}
	s->heap[i] = last;
	return first;
}

void lw_spread_at_node(lw_spread_t *s, event_kind_t kind, uint32_t i, uint64_t after_us)
{
	lw_spread_push(s, (event_t){ .kind = kind,
				     .node = i,
				     .incarnation = s->node[i].incarnation,
				     .reading = s->node[i].reading_number,
				     .at_us = s->now_us + after_us });
}

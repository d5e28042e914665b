/* The wait queue in front of the backend server; see waitq.h. */
#include "waitq.h"

/* lw_waiter_before() - true if @a starts before @b whichever of them arrived first. */
bool lw_waiter_before(const lw_waiter_t *a, const lw_waiter_t *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->late != b->late)
		return b->late;
	if (a->target_us != b->target_us)
		return a->target_us < b->target_us;
	return a->expires_us < b->expires_us;
}

/* lw_waitq_push() - insert @w behind all waiters that precede it or are equal to it. */
void lw_waitq_push(lw_waitq_t *q, lw_waiter_t *w)
{
	lw_waiter_t *after = q->last;

	while (after && lw_waiter_before(w, after))
		after = after->prev;
	w->prev = after;
	w->next = after ? after->next : q->first;
	if (w->next)
		w->next->prev = w;
	else
		q->last = w;
	if (after)
		after->next = w;
	else
		q->first = w;
	q->len++;
	q->work_us += w->work_us;
	q->long_work_us += w->is_long ? w->work_us : 0;
}

/* lw_waitq_remove() - take @w out of the queue, whatever its position. */
void lw_waitq_remove(lw_waitq_t *q, lw_waiter_t *w)
{
	if (w->prev)
		w->prev->next = w->next;
	else
		q->first = w->next;
	if (w->next)
		w->next->prev = w->prev;
	else
		q->last = w->prev;
	w->prev = NULL;
	w->next = NULL;
	q->len--;
	q->work_us -= w->work_us;
	q->long_work_us -= w->is_long ? w->work_us : 0;
}

/* lw_waitq_pop() - take out the first waiter; NULL if the queue is empty. */
lw_waiter_t *lw_waitq_pop(lw_waitq_t *q)
{
	lw_waiter_t *w = q->first;

	if (w)
		lw_waitq_remove(q, w);
	return w;
}

/* lw_waitq_expired() - a waiter whose time to start has passed; NULL if there is none. */
lw_waiter_t *lw_waitq_expired(const lw_waitq_t *q, uint64_t now_us)
{
	for (lw_waiter_t *w = q->first; w; w = w->next)
		if (w->expires_us <= now_us)
			return w;
	return NULL;
}

/* lw_waitq_count_ahead() - how many waiters would precede @w if it were pushed now. */
size_t lw_waitq_count_ahead(const lw_waitq_t *q, const lw_waiter_t *w)
{
	size_t behind = 0;

	for (const lw_waiter_t *x = q->last; x && lw_waiter_before(w, x); x = x->prev)
		behind++;
	return q->len - behind;
}

/* lw_waitq_work_ahead() - expected execution time of the waiters that would precede @w, us. */
uint64_t lw_waitq_work_ahead(const lw_waitq_t *q, const lw_waiter_t *w)
{
	uint64_t behind = 0;

	for (const lw_waiter_t *x = q->last; x && lw_waiter_before(w, x); x = x->prev)
		behind += x->work_us;
	return q->work_us - behind;
}

/* Removed entries of backend servers; see removal.h. */
#include "removal.h"

#include <string.h>

/* an entry expires after this many heartbeats without a write */
#define EXPIRY_HEARTBEATS 3
/*
 * How much sooner an entry may expire than by this host's clock: the store's clock and timers
 * are others. Unit us.
 */
#define TOLERANCE_US 300000
/*
 * How long a withdrawn entry is remembered, as the list that told of it may be replaced before a
 * node has read it: as long as nodes remember a host that is not listed, us
 */
#define REMEMBER_US 30000000

/* lw_expiry() - how long entries live whose servers write them every @heartbeat_s seconds. */
lw_expiry_t lw_expiry(double heartbeat_s)
{
	uint64_t heartbeat_us = (uint64_t)(heartbeat_s * 1e6);

	return (lw_expiry_t){ .after_us = heartbeat_us * EXPIRY_HEARTBEATS,
			      .heartbeat_us = heartbeat_us };
}

/*
 * lw_expiry_withdrawn() - whether an entry that was seen to be @written and @removed was withdrawn:
 * it cannot have expired so soon.
 */
bool lw_expiry_withdrawn(const lw_expiry_t *x, lw_span_t written, lw_span_t removed)
{
	return written.from_us && removed.to_us &&
	       removed.to_us + TOLERANCE_US < written.from_us + x->after_us;
}

/*
 * lw_expiry_possible() - whether an entry that was removed by @removed_us can have expired although
 * its server runs, whose host reached the store at @reached_us (0: not known): the server wrote it
 * one heartbeat before that at the earliest.
 */
bool lw_expiry_possible(const lw_expiry_t *x, uint64_t reached_us, uint64_t removed_us)
{
	return !reached_us || !x->after_us ||
	       removed_us + TOLERANCE_US >= reached_us + x->after_us - x->heartbeat_us;
}

static void remove_at(lw_withdrawnlist_t *l, size_t i)
{
	l->n--;
	memmove(&l->entry[i], &l->entry[i + 1], (l->n - i) * sizeof(l->entry[0]));
}

/* lw_withdrawnlist_add() - remembers @w; the oldest one is dropped if there are too many. */
void lw_withdrawnlist_add(lw_withdrawnlist_t *l, const lw_withdrawn_t *w)
{
	lw_withdrawnlist_forget(l, w->id);
	if (l->n == LW_WITHDRAWN_MAX)
		remove_at(l, 0);
	l->entry[l->n++] = *w;
}

/* lw_withdrawnlist_forget() - the entry of the server @id is in the store again. */
void lw_withdrawnlist_forget(lw_withdrawnlist_t *l, const char *id)
{
	for (size_t i = l->n; i-- > 0;)
		if (strcmp(l->entry[i].id, id) == 0)
			remove_at(l, i);
}

/* lw_withdrawnlist_expire() - drops the entries that need no longer be remembered. */
void lw_withdrawnlist_expire(lw_withdrawnlist_t *l, uint64_t now_us)
{
	while (l->n && now_us > l->entry[0].at_us + REMEMBER_US)
		remove_at(l, 0);
}

/*
 * lw_withdrawn_has() - whether the @n entries of @list have that of the process of the server @id
 * that started at @born_ms. An unknown start time matches any.
 */
bool lw_withdrawn_has(const lw_withdrawn_t *list, size_t n, const char *id, uint64_t born_ms)
{
	for (size_t i = 0; i < n; i++) {
		if (strcmp(list[i].id, id) != 0)
			continue;
		if (!list[i].born_ms || !born_ms || list[i].born_ms == born_ms)
			return true;
	}
	return false;
}

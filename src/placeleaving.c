/* Placement: which hosts get no new work because their backend servers are leaving. */
#include <string.h>

#include "place.h"

static void update_draining(lw_place_host_t *h, uint64_t now_us)
{
	bool was_draining = h->draining;

	h->draining = h->list_draining || h->leaving.on;
	if (h->draining && !was_draining)
		h->draining_us = now_us;
}

/* applies to @h what is known of @other, which has the same id and another start time */
static void inherit(lw_place_host_t *h, const lw_place_host_t *other, uint64_t now_us)
{
	bool was_on = h->leaving.on;

	lw_leaving_inherit(&h->leaving, &other->leaving, h->born_ms);
	h->leaving_in_doubt = h->leaving.on && (h->leaving_in_doubt || !was_on);
	update_draining(h, now_us);
}

/* lw_place_list_draining() - the process of @h is draining according to the server list. */
void lw_place_list_draining(lw_place_host_t *h, uint64_t now_us)
{
	h->list_draining = true;
	update_draining(h, now_us);
}

/* applies an observation of the server @h to all hosts with its id that it may concern */
static lw_leaving_change_t observe(lw_place_host_t *h, bool leaving, uint64_t seen_ms,
				   uint64_t now_us)
{
	lw_leaving_change_t change;

	if (seen_ms && seen_ms <= h->leaving.seen_ms)
		return LW_LEAVING_SAME;
	change = lw_leaving_observe(&h->leaving, leaving, seen_ms);
	h->leaving_in_doubt &= h->leaving.on;
	update_draining(h, now_us);
	for (lw_place_host_t *other = h->service->hosts; other; other = other->next) {
		if (other != h && strcmp(other->id, h->id) == 0)
			inherit(other, h, now_us);
	}
	return change;
}

/*
 * lw_place_mark_leaving() - an answer from @h announced at @seen_ms (Unix time of its host)
 * that its backend server is leaving: the host gets no new work, whatever its store entry says.
 * False if this was known already.
 */
bool lw_place_mark_leaving(lw_place_host_t *h, uint64_t seen_ms, uint64_t now_us)
{
	return observe(h, true, seen_ms, now_us) == LW_LEAVING_BEGAN;
}

/*
 * lw_place_notice_reported() - the node of @h reported what its backend server announces.
 * Returns what this changes.
 */
lw_leaving_change_t lw_place_notice_reported(lw_place_host_t *h, const lw_notice_t *n,
					     uint64_t now_us)
{
	if (!lw_notice_matches(n, h->id, h->born_ms))
		return LW_LEAVING_SAME;
	return observe(h, n->leaving, n->seen_ms, now_us);
}

/*
 * lw_place_inherit_leaving() - @h has been listed: apply what is known of @other, which has the
 * same id. The processes of a server follow each other, so one that started before a draining
 * one has ended, and its entry is from an old copy of the store.
 */
void lw_place_inherit_leaving(lw_place_host_t *h, const lw_place_host_t *other, uint64_t now_us)
{
	inherit(h, other, now_us);
	h->list_draining |= other->list_draining && h->born_ms && h->born_ms < other->born_ms;
	update_draining(h, now_us);
}

/*
 * Placement: which hosts get no new work because their backend servers are leaving, or may have
 * left.
 */
#include <string.h>

#include "place.h"

/*
 * How long an entry is in doubt: within three heartbeats one that is old expires, or the server
 * writes what is true. Unit us.
 */
#define DOUBT_US 5000000

static void update_draining(lw_place_host_t *h, uint64_t now_us)
{
	bool was_draining = h->draining;

	h->draining = h->list_draining || h->leaving.on || h->doubt_until_us;
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

/*
 * A server that drained, and tells the node beside it that it accepts work, has been started anew.
 * One whose entry was removed may go on with a good health check although it left.
 */
static void end_doubt(lw_place_host_t *h, bool leaving)
{
	if (!leaving && !h->removed_in_doubt)
		h->doubt_until_us = 0;
}

/* applies an observation of the server @h to all hosts with its id that it may concern */
static lw_leaving_change_t observe(lw_place_host_t *h, bool leaving, uint64_t seen_ms,
				   uint64_t now_us)
{
	lw_leaving_change_t change;

	if (seen_ms && seen_ms <= h->leaving.seen_ms)
		return LW_LEAVING_SAME;
	change = lw_leaving_observe(&h->leaving, leaving, seen_ms);
	end_doubt(h, leaving);
	h->leaving_in_doubt &= h->leaving.on;
	update_draining(h, now_us);
	for (lw_place_host_t *other = h->service->hosts; other; other = other->next) {
		if (other == h || strcmp(other->id, h->id) != 0)
			continue;
		end_doubt(other, leaving);
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

/* lw_place_inherit_leaving() - @h has been listed: apply what is known of @other, of the same id. */
void lw_place_inherit_leaving(lw_place_host_t *h, const lw_place_host_t *other, uint64_t now_us)
{
	inherit(h, other, now_us);
}

/*
 * lw_place_note_return() - add to @r what the host @other tells of the server of @h, which a list
 * has and the list before had not. Both have the same id.
 */
void lw_place_note_return(lw_place_return_t *r, const lw_place_host_t *h,
			  const lw_place_host_t *other)
{
	bool later = other->born_ms > h->born_ms;

	r->former |= later;
	r->drained |= (r->returns || later) && other->list_draining;
	r->replaces |= !other->removed_us && !other->doubt_until_us;
}

/*
 * lw_place_judge_return() - the list has @h, with a @proven entry or not: the server may have left,
 * and the entry may come from a copy of the store, or be a late write of a process that has ended.
 * A node that reads such an entry and has not known the server before reports it to all others. So
 * a server that drained or was removed gets no work for DOUBT_US unless a later process has
 * replaced it, or its entry was written after the removal.
 */
void lw_place_judge_return(lw_place_t *p, lw_place_host_t *h, const lw_place_return_t *r,
			   bool proven, uint64_t now_us)
{
	bool former = r->former || (r->returns && h->superseded);
	bool gone = !r->replaces && (former || (r->returns && !proven));

	h->superseded = false;
	if (!r->drained && !gone)
		return;
	h->doubt_until_us = now_us + DOUBT_US;
	h->removed_in_doubt = !proven && !r->drained && !h->leaving.on;
	update_draining(h, now_us);
	p->doubted++;
}

/* lw_place_end_doubts() - entries that have been in doubt for long enough are in force. */
void lw_place_end_doubts(lw_place_t *p, uint64_t now_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (!h->doubt_until_us || !h->listed || now_us < h->doubt_until_us)
				continue;
			h->doubt_until_us = 0;
			update_draining(h, now_us);
			if (p->on_doubt_ended)
				p->on_doubt_ended(p->on_back_ctx, h);
		}
}

/* Entries of backend servers; see serverset.h. */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "serverset_int.h"
#include "storepos.h"
#include "xalloc.h"

/*
 * A live server re-registers within about two seconds of the store's return; a server that
 * is missing after that is gone. Unit us.
 */
#define REREGISTER_US 2100000
/*
 * A single failed call is not an outage, as entries expire only after several missed
 * heartbeats. If it were, a server that left while one call failed would count as present
 * for two more seconds on every node, longer than a leaving server may get requests. The
 * store must have answered no node for this long. Unit us.
 */
#define OUTAGE_MIN_US 2000000

/* lw_serverset_new() - an empty set. */
lw_serverset_t *lw_serverset_new(void)
{
	return xcalloc(1, sizeof(lw_serverset_t));
}

/* lw_serverset_member_free() - removes @m from the set. */
void lw_serverset_member_free(lw_serverset_t *s, lw_member_t *m)
{
	HASH_DEL(s->members, m);
	free(m);
}

/* lw_serverset_free() - release the set. */
void lw_serverset_free(lw_serverset_t *s)
{
	lw_member_t *m, *tmp;

	HASH_ITER(hh, s->members, m, tmp)
	{
		lw_serverset_member_free(s, m);
	}
	lw_fleetconf_free(s->known_services);
	free(s);
}

/* lw_serverset_set_expiry() - sets how long entries live; without, it is not known. */
void lw_serverset_set_expiry(lw_serverset_t *s, lw_expiry_t expiry)
{
	s->expiry = expiry;
}

/* lw_serverset_on_removed() - calls @fn for each entry that is found to be removed. */
void lw_serverset_on_removed(lw_serverset_t *s, lw_serverset_removed_fn fn, void *ctx)
{
	s->on_removed = fn;
	s->on_removed_ctx = ctx;
}

/* lw_serverset_observe() - what is put or removed from now on happened within @when. */
void lw_serverset_observe(lw_serverset_t *s, lw_span_t when)
{
	s->observed = when;
}

/* lw_serverset_member_gone() - @m does not count any more. */
void lw_serverset_member_gone(lw_serverset_t *s, lw_member_t *m)
{
	lw_withdrawn_t w = { .id = m->entry.id,
			     .born_ms = m->entry.born_ms,
			     .at_us = s->observed.to_us };

	if (m->withdrawn && !m->entry.draining)
		lw_withdrawnlist_add(&s->withdrawn, &w);
	lw_serverset_member_free(s, m);
	s->changed = true;
}

/*
 * lw_serverset_set_services() - from now on, entries count only if @fc contains their
 * service. Otherwise a foreign entry with the address of a live server and a service that
 * does not exist would replace that server.
 */
void lw_serverset_set_services(lw_serverset_t *s, const lw_fleetconf_t *fc)
{
	lw_fleetconf_free(s->known_services);
	s->known_services = lw_fleetconf_new();
	for (size_t i = 0; i < fc->nservices; i++)
		lw_fleetconf_add_service(s->known_services, lw_str_c(fc->services[i].name),
					 lw_str_c(fc->services[i].health));
	s->changed = true;
}

/* whether the parts that matter differ; a heartbeat rewrites the whole entry */
static bool differs(const lw_server_entry_t *a, const lw_server_entry_t *b)
{
	return strcmp(a->addr, b->addr) || strcmp(a->service, b->service) ||
	       strcmp(a->zone, b->zone) || a->slots != b->slots || a->draining != b->draining ||
	       a->born_ms != b->born_ms;
}

/* unknown start times match any */
static bool same_process(const lw_server_entry_t *a, const lw_server_entry_t *b)
{
	return !a->born_ms || !b->born_ms || a->born_ms == b->born_ms;
}

/*
 * Whether it is in doubt that @e, of another process than @m, is newer. The store orders the
 * writes of an entry, so start times need not: they are claims of a clock that may step, or of
 * any writer. Two cases have no order: what a restored copy contains was written at some earlier
 * time, and a process that has ended may have a write under way when the next one drains.
 */
static bool is_contested(const lw_serverset_t *s, const lw_member_t *m, const lw_server_entry_t *e)
{
	if (same_process(&m->entry, e))
		return false;
	return s->restoring || (m->entry.draining && !e->draining && e->born_ms < m->entry.born_ms);
}

static lw_serverset_overruled_t overrule(lw_member_t *m, const lw_server_entry_t *e)
{
	bool again = m->overruled.id && !differs(&m->overruled, e);

	m->overruled = *e;
	return (lw_serverset_overruled_t){ .by = &m->entry, .again = again };
}

/* @e waits until it is written again, or has remained for UNPROVEN_US */
static lw_serverset_overruled_t contend(lw_serverset_t *s, lw_member_t *m,
					const lw_server_entry_t *e)
{
	if (!m->contender.id || m->contender.born_ms != e->born_ms)
		m->contender_us = 0;
	m->contender = *e;
	m->missing = false;
	m->seen = true;
	s->any_contender = true;
	return overrule(m, e);
}

/* lw_member_drop_contender() - the entry of another process does not count any more. */
void lw_member_drop_contender(lw_member_t *m)
{
	m->contender = (lw_server_entry_t){ .id = NULL };
	m->overruled = (lw_server_entry_t){ .id = NULL };
}

/* @e was written after what is known, and not before the store was restored */
static bool is_news(const lw_serverset_t *s, const lw_server_entry_t *e)
{
	return lw_storepos_same_era(e->written, s->complete) && e->written > s->complete;
}

/*
 * When @e, known as @m, was written. Writes that a restored copy lacks are lost, and when it was
 * made is not known.
 */
static lw_span_t written_span(const lw_serverset_t *s, const lw_member_t *m,
			      const lw_server_entry_t *e)
{
	if (is_news(s, e) && !s->restoring)
		return s->observed;
	if (m->written.to_us && !s->restoring)
		return m->written;
	return (lw_span_t){ .to_us = s->observed.to_us };
}

static lw_member_t *member_add(lw_serverset_t *s, const lw_server_entry_t *e)
{
	lw_member_t *m = xcalloc(1, sizeof(*m));

	m->entry = *e;
	HASH_ADD_STR(s->members, entry.id, m);
	return m;
}

/* lw_serverset_accept() - the entry @m, which only a copy of the store had, is in force. */
void lw_serverset_accept(lw_serverset_t *s, lw_member_t *m, bool proven)
{
	m->unproven = false;
	m->entry.proven = proven;
	s->changed = true;
}

/*
 * lw_serverset_put() - an entry was written. A process that is draining remains so; another
 * process under the same id starts without that state.
 */
lw_serverset_overruled_t lw_serverset_put(lw_serverset_t *s, const lw_server_entry_t *e)
{
	lw_server_entry_t next = *e;
	lw_member_t *m;

	lw_withdrawnlist_forget(&s->withdrawn, e->id);
	HASH_FIND_STR(s->members, e->id, m);
	if (m)
		m->written = written_span(s, m, e);
	if (m && is_contested(s, m, e))
		return contend(s, m, e);
	if (!m) {
		m = member_add(s, e);
		m->unproven = s->restoring;
		m->entry.proven = is_news(s, e);
		m->written = written_span(s, m, e);
		s->changed = true;
	}
	/* it runs, or a process that has ended wrote late; or it runs and has left */
	if (m->unproven && !s->restoring)
		lw_serverset_accept(s, m, false);
	if (same_process(&m->entry, e)) {
		next.draining |= m->entry.draining;
		next.born_ms = e->born_ms ? e->born_ms : m->entry.born_ms;
	}
	next.proven = m->entry.proven;
	if (differs(&m->entry, e) || m->missing)
		s->changed = true;
	m->entry = next;
	m->missing = false;
	m->seen = true;
	lw_member_drop_contender(m);
	return (lw_serverset_overruled_t){ .by = NULL };
}

/* the entry @m is no longer in the store; @removed: it was seen to be removed */
static void note_removal(lw_serverset_t *s, lw_member_t *m, bool removed)
{
	m->withdrawn = removed && lw_expiry_withdrawn(&s->expiry, m->written, s->observed);
	if (s->on_removed)
		s->on_removed(s->on_removed_ctx, &m->entry, m->withdrawn, m->written, s->observed);
}

static void remove_entry(lw_serverset_t *s, const char *id, uint64_t revision, bool removed)
{
	lw_member_t *m;

	HASH_FIND_STR(s->members, id, m);
	if (!m || m->missing)
		return;
	note_removal(s, m, removed);
	if (m->withdrawn || revision > s->reachable_revision) {
		lw_serverset_member_gone(s, m);
		return;
	}
	m->missing = true;
	s->any_missing = true;
}

/*
 * lw_serverset_remove() - an entry was removed from the store at @revision. An entry that
 * is removed after the store's return, or was withdrawn, did not expire because of the outage.
 */
void lw_serverset_remove(lw_serverset_t *s, const char *id, uint64_t revision)
{
	remove_entry(s, id, revision, true);
}

/*
 * lw_serverset_invalidate() - an entry was overwritten at @revision by one that is invalid, which
 * does not show that its server has left.
 */
void lw_serverset_invalidate(lw_serverset_t *s, const char *id, uint64_t revision)
{
	remove_entry(s, id, revision, false);
}

/*
 * lw_serverset_complete() - all writes up to @pos, a position in the store's history, have been
 * put or removed.
 */
void lw_serverset_complete(lw_serverset_t *s, uint64_t pos)
{
	s->complete = pos;
}

/* lw_serverset_begin_read() - a complete read of all entries starts. */
void lw_serverset_begin_read(lw_serverset_t *s)
{
	for (lw_member_t *m = s->members; m; m = m->hh.next)
		m->seen = false;
}

/*
 * lw_serverset_end_read() - the read is complete: entries not found in it are missing. Those that
 * cannot have expired are gone.
 */
void lw_serverset_end_read(lw_serverset_t *s)
{
	lw_member_t *m, *tmp;

	HASH_ITER(hh, s->members, m, tmp)
	{
		if (m->seen || m->missing)
			continue;
		/* a restored copy lacks what was written since */
		note_removal(s, m, !s->restoring);
		if (m->withdrawn) {
			lw_serverset_member_gone(s, m);
			continue;
		}
		m->missing = true;
		s->any_missing = true;
	}
}

/*
 * lw_serverset_replace() - discard all entries, which are outdated, and start from @in_use,
 * the list that the fleet uses, including which servers are draining.
 */
void lw_serverset_replace(lw_serverset_t *s, const lw_serverlist_t *in_use, uint64_t now_us)
{
	lw_member_t *m, *tmp;

	HASH_ITER(hh, s->members, m, tmp)
	{
		lw_serverset_member_free(s, m);
	}
	for (size_t i = 0; i < in_use->nservers; i++) {
		m = member_add(s, &in_use->servers[i]);
		m->entry.created = 0;
	}
	s->withdrawn.n = 0;
	for (size_t i = 0; i < in_use->nwithdrawn; i++) {
		lw_withdrawn_t w = in_use->withdrawn[i];

		w.at_us = now_us;
		lw_withdrawnlist_add(&s->withdrawn, &w);
	}
	s->any_missing = false;
	s->any_contender = false;
	s->complete = in_use->revision;
}

/* lw_serverset_begin_restore() - the store was restored from an older copy, which is read now. */
void lw_serverset_begin_restore(lw_serverset_t *s)
{
	s->restoring = true;
}

/*
 * lw_serverset_end_restore() - the copy has been read, at @revision. Entries that it lacks
 * still count while their servers may re-register; entries that were not known before
 * count only once they are written again or have remained for UNPROVEN_US.
 */
void lw_serverset_end_restore(lw_serverset_t *s, uint64_t now_us, uint64_t revision)
{
	s->restoring = false;
	s->hold_until_us = now_us + REREGISTER_US;
	s->reachable_revision = revision;
	s->unproven_until_us = now_us + UNPROVEN_US;
}

/*
 * lw_serverset_resume() - this node reads the store again after a time in which it did
 * not. Other nodes have read the store meanwhile, so any outage is over, and entries that
 * are missing now are gone.
 */
void lw_serverset_resume(lw_serverset_t *s)
{
	s->unreachable_since_us = 0;
	s->hold_until_us = 0;
	s->reachable_revision = 0;
}

/*
 * lw_serverset_store_unreachable() - a call to the store failed; as far as known, the
 * store last answered any node at @last_us. A node that starts to read during an outage
 * sees only the end of the outage.
 */
void lw_serverset_store_unreachable(lw_serverset_t *s, uint64_t last_us)
{
	if (!s->unreachable_since_us)
		s->unreachable_since_us = last_us;
}

/* lw_serverset_store_reachable() - the store answers, at @revision, possibly after an outage. */
void lw_serverset_store_reachable(lw_serverset_t *s, uint64_t now_us, uint64_t revision)
{
	if (s->unreachable_since_us && now_us - s->unreachable_since_us >= OUTAGE_MIN_US) {
		s->hold_until_us = now_us + REREGISTER_US;
		s->reachable_revision = revision;
	}
	s->unreachable_since_us = 0;
}

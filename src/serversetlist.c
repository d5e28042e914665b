/* The list of backend servers that count as present; see serverset.h. */
#include <stdlib.h>
#include <string.h>

#include "serverset_int.h"
#include "storepos.h"
#include "xalloc.h"

static bool counts(const lw_serverset_t *s, const lw_member_t *m)
{
	if (m->unproven)
		return false;
	return !s->known_services || !s->known_services->nservices ||
	       lw_fleetconf_service(s->known_services, m->entry.service);
}

static void remove_missing(lw_serverset_t *s)
{
	lw_member_t *m, *tmp;

	HASH_ITER(hh, s->members, m, tmp)
	{
		if (m->missing)
			lw_serverset_member_gone(s, m);
	}
	s->any_missing = false;
}

static void accept_unproven(lw_serverset_t *s)
{
	for (lw_member_t *m = s->members; m; m = m->hh.next)
		if (m->unproven)
			lw_serverset_accept(s, m, true);
	s->unproven_until_us = 0;
}

/* entries that have remained for UNPROVEN_US are in force */
static void accept_contenders(lw_serverset_t *s, uint64_t now_us)
{
	s->any_contender = false;
	for (lw_member_t *m = s->members; m; m = m->hh.next) {
		if (!m->contender.id)
			continue;
		if (!m->contender_us)
			m->contender_us = now_us;
		if (now_us - m->contender_us < UNPROVEN_US) {
			s->any_contender = true;
			continue;
		}
		m->entry = m->contender;
		lw_member_drop_contender(m);
		s->changed = true;
	}
}

/*
 * Whether @a was written before @b. Entries from before and after a restore of the store
 * have no common order; the start times of the servers decide then.
 */
static bool written_before(const lw_server_entry_t *a, const lw_server_entry_t *b)
{
	if (!lw_storepos_same_era(a->created, b->created) && a->born_ms && b->born_ms)
		return a->born_ms < b->born_ms;
	return a->created < b->created;
}

/*
 * The newest entry of each address. The entry of a crashed server remains until it
 * expires, seconds after another server has started at its address, and requests sent
 * according to it are rejected. After a power failure of the whole fleet, this can affect
 * half of all requests for two seconds.
 */
static lw_member_t *newest_by_addr(lw_serverset_t *s)
{
	lw_member_t *newest = NULL, *m, *other;

	for (m = s->members; m; m = m->hh.next) {
		if (!counts(s, m))
			continue;
		HASH_FIND(by_addr, newest, m->entry.addr, strlen(m->entry.addr), other);
		if (other && !written_before(&other->entry, &m->entry))
			continue;
		if (other)
			HASH_DELETE(by_addr, newest, other);
		HASH_ADD_KEYPTR(by_addr, newest, m->entry.addr, strlen(m->entry.addr), m);
	}
	return newest;
}

/* lw_serverset_empty() - no entry was read yet, or all have been removed. */
bool lw_serverset_empty(const lw_serverset_t *s)
{
	return !s->members;
}

/*
 * lw_serverset_take_changes() - the servers that count as present, if they differ from the
 * last list returned; else NULL. The caller owns the list.
 */
lw_serverlist_t *lw_serverset_take_changes(lw_serverset_t *s, uint64_t now_us)
{
	lw_serverlist_t *sl;
	lw_member_t *newest, *m, *tmp;

	if (s->any_missing && now_us >= s->hold_until_us)
		remove_missing(s);
	if (s->unproven_until_us && now_us >= s->unproven_until_us)
		accept_unproven(s);
	if (s->any_contender)
		accept_contenders(s, now_us);
	if (!s->changed)
		return NULL;
	s->changed = false;
	lw_withdrawnlist_expire(&s->withdrawn, now_us);
	sl = xcalloc(1, sizeof(*sl));
	sl->servers = xcalloc(HASH_COUNT(s->members) + 1, sizeof(*sl->servers));
	lw_serverlist_set_withdrawn(sl, s->withdrawn.entry, s->withdrawn.n);
	newest = newest_by_addr(s);
	HASH_ITER(by_addr, newest, m, tmp)
	{
		sl->servers[sl->nservers++] = m->entry;
		HASH_DELETE(by_addr, newest, m);
	}
	return sl;
}

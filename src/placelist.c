/* Placement: the list of hosts; see place.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit.h"
#include "place.h"
#include "xalloc.h"

/*
 * How long the assertion of a node that its server is alive holds. It is
 * repeated twice a second, so that one lost message does not end it. In microseconds.
 */
#define ALIVE_ASSERTED_US 1300000
/* a host that is not listed is kept for this time, as its lease may have expired, us */
#define FORGET_US 30000000
/* lw_place_free() - release the hosts and services. No request may be in flight. */
void lw_place_free(lw_place_t *p)
{
	lw_place_service_t *s, *next;
	lw_place_host_t *h, *after;

	for (s = p->services; s; s = next) {
		next = s->next;
		for (h = s->hosts; h; h = after) {
			after = h->next;
			free(h);
		}
		free(s);
	}
	p->services = NULL;
}

/* lw_place_service() - the service @name, created if it does not exist. */
lw_place_service_t *lw_place_service(lw_place_t *p, const char *name)
{
	lw_place_service_t *s;

	for (s = p->services; s; s = s->next)
		if (strcmp(s->name, name) == 0)
			return s;
	s = xcalloc(1, sizeof(*s));
	lw_str_copy(s->name, sizeof(s->name), lw_str_c(name));
	s->next = p->services;
	p->services = s;
	return s;
}

/* an unknown start time matches any */
static bool same_process(const lw_place_host_t *h, const char *id, uint64_t born_ms)
{
	return strcmp(h->id, id) == 0 && (!h->born_ms || !born_ms || h->born_ms == born_ms);
}

static lw_place_host_t *host_find(lw_place_service_t *s, const lw_server_entry_t *e)
{
	for (lw_place_host_t *h = s->hosts; h; h = h->next)
		if (same_process(h, e->id, e->born_ms))
			return h;
	return NULL;
}

/*
 * lw_place_node_addr() - mesh address of the node of @backend: the same IP
 * address with the mesh port of the fleet.
 */
void lw_place_node_addr(char *dst, size_t len, const char *backend, uint32_t mesh_port)
{
	const char *colon = strrchr(backend, ':');
	int ip = colon ? (int)(colon - backend) : (int)strlen(backend);

	snprintf(dst, len, "%.*s:%u", ip, backend, mesh_port);
}

static lw_place_host_t *host_add(lw_place_t *p, const lw_server_entry_t *e)
{
	lw_place_service_t *s = lw_place_service(p, e->service);
	lw_place_host_t *h = xcalloc(1, sizeof(*h));

	lw_str_copy(h->id, sizeof(h->id), lw_str_c(e->id));
	h->born_ms = e->born_ms;
	lw_place_node_addr(h->node, sizeof(h->node), e->addr, p->mesh_port);
	h->service = s;
	h->self = strcmp(e->addr, p->backend) == 0;
	h->same_zone = strcmp(e->zone, p->zone) == 0;
	h->slots = e->slots;
	h->load.limit = lw_admit_limit(e->slots);
	h->next = s->hosts;
	s->hosts = h;
	return h;
}

static void drop_forgotten(lw_place_t *p, uint64_t now_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next) {
		lw_place_host_t **at = &s->hosts;

		while (*at) {
			lw_place_host_t *h = *at;

			if (lw_place_usable(h, now_us) || h->refs ||
			    now_us - h->removed_us < FORGET_US) {
				at = &h->next;
				continue;
			}
			*at = h->next;
			free(h);
		}
	}
}

static bool address_taken(const lw_place_t *p, const lw_place_host_t *gone)
{
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->listed && strcmp(h->node, gone->node) == 0)
				return true;
	return false;
}

/* update the hosts that are not in the new list */
static void mark_removed(lw_place_t *p, uint64_t now_us, uint64_t lapsed_until_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (h->listed || h->removed_us) {
				h->use_until_us = address_taken(p, h) ? 0 : h->use_until_us;
				continue;
			}
			h->removed_us = now_us;
			h->use_until_us = h->draining || address_taken(p, h) ? 0 : lapsed_until_us;
		}
}

/*
 * Number of nodes that may send retries. A node whose lease expired continues
 * to send: if it were not counted, the shares of the others would add up to
 * more than the allowance.
 */
static uint32_t count_sharing(const lw_place_t *p)
{
	uint32_t n = 0;

	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			n += h->listed || (!h->draining && !address_taken(p, h));
	return n;
}

/*
 * lw_place_update() - apply a new list of backend servers. Observed state
 * belongs to a process: another server at the same address, or the same one
 * restarted, starts with empty state. If an entry is missing and its server
 * was not draining, either its lease expired or the server left. The host is
 * used until @lapsed_until_us, the latest time at which a server that left
 * may still get work; by then its node has reported which of the two it is.
 */
void lw_place_update(lw_place_t *p, const lw_serverlist_t *sl, uint64_t now_us,
		     uint64_t lapsed_until_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			h->listed = false;
	p->nhosts = 0;
	for (size_t i = 0; i < sl->nservers; i++) {
		const lw_server_entry_t *e = &sl->servers[i];
		lw_place_host_t *h = host_find(lw_place_service(p, e->service), e);

		if (!h)
			h = host_add(p, e);
		h->listed = true;
		h->removed_us = 0;
		if (e->born_ms)
			h->born_ms = e->born_ms;
		/* a drain disappears only in a copy of the store that is older than the drain */
		h->draining |= e->draining;
		p->nhosts++;
	}
	mark_removed(p, now_us, lapsed_until_us);
	drop_forgotten(p, now_us);
	p->nsharing = count_sharing(p);
}

/* lw_place_usable() - whether @h counts as present: it is listed, or not known to have left. */
bool lw_place_usable(const lw_place_host_t *h, uint64_t now_us)
{
	return h->listed || now_us < h->use_until_us;
}

/*
 * lw_place_assert_alive() - the node of a server asserts that the server is
 * alive although its lease expired, because the node cannot reach the store.
 * Returns true if the host is known, was not draining and had no longer been
 * used. When five of thirteen hosts were partitioned from the store for 12 s,
 * all servers of one service lost their leases: between the fourth and the
 * tenth second 14% to 41% of the credit was earned without assertions, and
 * 70% to 78% with them.
 */
bool lw_place_assert_alive(lw_place_t *p, const char *node, const char *id, uint64_t born_ms,
			   uint64_t now_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			bool resumed = now_us >= h->use_until_us;

			if (h->listed || h->draining || strcmp(h->node, node) != 0 ||
			    !same_process(h, id, born_ms) || address_taken(p, h))
				continue;
			h->use_until_us = now_us + ALIVE_ASSERTED_US;
			return resumed;
		}
	return false;
}

/*
 * lw_place_each_suspect() - call @fn with the node of each suspect host; the
 * caller probes whether the node has recovered before requests are risked
 * there.
 */
void lw_place_each_suspect(const lw_place_t *p, lw_place_node_fn fn, void *ctx)
{
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->listed && !h->self && h->backoff_ms)
				fn(ctx, h->node);
}

/* lw_place_each() - call @fn with the node of each usable host except this one. */
void lw_place_each(const lw_place_t *p, lw_place_node_fn fn, void *ctx, uint64_t now_us)
{
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (lw_place_usable(h, now_us) && !h->self)
				fn(ctx, h->node);
}

/*
 * lw_place_self() - the listed backend server on this host, preferably one
 * that is not draining; NULL if there is none. @known is set to whether there
 * is one.
 */
const lw_place_host_t *lw_place_self(const lw_place_t *p, bool *known)
{
	const lw_place_host_t *found = NULL;

	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->self && h->listed && (!found || found->draining))
				found = h;
	*known = found != NULL;
	return found;
}

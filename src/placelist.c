/* Placement: the list of hosts; see place.h. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "admit.h"
#include "place.h"
#include "placeindex.h"
#include "xalloc.h"

/*
 * How long the assertion of a node that its server is alive holds. It is
 * repeated twice per second, so one lost message does not end it. In microseconds.
 */
#define ALIVE_ASSERTED_US 1300000
/* a host that is not listed is kept for this time, as its lease may have expired, us */
#define FORGET_US 30000000

/* lw_place_init() - an empty state; @zone and @backend are those of this host. */
void lw_place_init(lw_place_t *p, const char *zone, const char *backend, uint32_t mesh_port,
		   lw_retryallowance_t retry_allowance)
{
	memset(p, 0, sizeof(*p));
	p->zone = lw_name_c(zone);
	lw_str_copy(p->backend, sizeof(p->backend), lw_str_c(backend));
	p->mesh_port = mesh_port;
	p->retry_allowance = retry_allowance;
}

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
	s->name = lw_name_c(name);
	s->next = p->services;
	p->services = s;
	return s;
}

/* an unknown start time matches any */
static bool same_process(const lw_place_host_t *h, const char *id, uint64_t born_ms)
{
	return strcmp(h->id, id) == 0 && (!h->born_ms || !born_ms || h->born_ms == born_ms);
}

static lw_place_host_t *host_find(const lw_place_index_t *x, const lw_server_entry_t *e)
{
	for (size_t i = lw_place_index_first(x, e->id); i < x->n; i++) {
		lw_place_host_t *h = x->host[i];

		if (strcmp(h->id, e->id) != 0)
			break;
		if (strcmp(h->service->name, e->service) == 0 && same_process(h, e->id, e->born_ms))
			return h;
	}
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

static void set_address(const lw_place_t *p, lw_place_host_t *h, const lw_server_entry_t *e)
{
	lw_place_node_addr(h->node, sizeof(h->node), e->addr, p->mesh_port);
	h->self = strcmp(e->addr, p->backend) == 0;
	h->same_zone = strcmp(e->zone, p->zone) == 0;
}

static bool is_at(const lw_place_host_t *h, const char *addr)
{
	const char *colon = strrchr(addr, ':');
	size_t ip = colon ? (size_t)(colon - addr) : strlen(addr);

	return strncmp(h->node, addr, ip) == 0 && h->node[ip] == ':';
}

/* the entry of @h may have moved to another address; an unknown start time does not show that */
static void follow_address(const lw_place_t *p, lw_place_host_t *h, const lw_server_entry_t *e)
{
	if (is_at(h, e->addr))
		return;
	set_address(p, h, e);
	h->load_us = 0;
	h->suspect_until_us = 0;
	h->backoff_ms = 0;
}

static lw_place_host_t *host_add(lw_place_t *p, const lw_server_entry_t *e)
{
	lw_place_service_t *s = lw_place_service(p, e->service);
	lw_place_host_t *h = xcalloc(1, sizeof(*h));

	h->id = e->id;
	h->born_ms = e->born_ms;
	set_address(p, h, e);
	h->service = s;
	h->slots = e->slots;
	h->load.limit = lw_admit_limit(e->slots);
	h->next = s->hosts;
	s->hosts = h;
	return h;
}

/* the other processes of the server of @h have ended, unless @h itself is in doubt */
static void supersede(const lw_place_index_t *known, const lw_place_host_t *h)
{
	for (size_t i = lw_place_index_first(known, h->id); i < known->n; i++) {
		lw_place_host_t *other = known->host[i];

		if (strcmp(other->id, h->id) != 0)
			return;
		other->superseded |= other != h && !h->doubt_until_us;
	}
}

/*
 * Applies to @h, which was not listed, what is known of the hosts with its id; @usable: @h could
 * still be used.
 */
static void appear(lw_place_t *p, const lw_place_index_t *known, lw_place_host_t *h,
		   const lw_server_entry_t *e, bool usable, uint64_t now_us)
{
	lw_place_return_t r = { .returns = h->removed_us && !usable };

	for (size_t i = lw_place_index_first(known, h->id); i < known->n; i++) {
		const lw_place_host_t *other = known->host[i];

		if (strcmp(other->id, h->id) != 0)
			break;
		if (other == h)
			continue;
		lw_place_inherit_leaving(h, other, now_us);
		lw_place_note_return(&r, h, other);
		if (other->draining && p->on_leaving_entry)
			p->on_leaving_entry(p->on_leaving_entry_ctx, other, h);
	}
	lw_place_judge_return(p, h, &r, e->proven, now_us);
	supersede(known, h);
	if ((h->removed_us || h->doubt_until_us) && p->on_back)
		p->on_back(p->on_back_ctx, h);
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

/* the hosts of the withdrawn entries of @sl: their servers left */
static void mark_withdrawn(const lw_place_index_t *known, const lw_serverlist_t *sl)
{
	for (size_t k = 0; k < sl->nwithdrawn; k++) {
		const lw_withdrawn_t *w = &sl->withdrawn[k];

		for (size_t i = lw_place_index_first(known, w->id); i < known->n; i++) {
			lw_place_host_t *h = known->host[i];

			if (strcmp(h->id, w->id) != 0)
				break;
			h->withdrawn |= !h->listed && same_process(h, w->id, w->born_ms);
		}
	}
}

/* update the hosts that are not in the new list */
static void mark_removed(lw_place_t *p, const lw_place_index_t *listed, uint64_t now_us,
			 uint64_t lapsed_until_us)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (h->listed || h->removed_us) {
				h->use_until_us =
					h->withdrawn || lw_place_index_has_node(listed, h->node) ?
						0 :
						h->use_until_us;
				continue;
			}
			h->removed_us = now_us;
			h->use_until_us = h->draining || h->withdrawn ||
							  lw_place_index_has_node(listed, h->node) ?
						  0 :
						  lapsed_until_us;
		}
}

/*
 * Number of nodes that may send retries. A node whose lease expired continues
 * to send: if it were not counted, the shares of the others would add up to
 * more than the allowance.
 */
static uint32_t count_sharing(const lw_place_t *p, const lw_place_index_t *listed)
{
	uint32_t n = 0;

	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			n += h->listed || (!h->draining && !h->withdrawn &&
					   !lw_place_index_has_node(listed, h->node));
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
	lw_place_index_t known = lw_place_index_by_id(p);
	lw_place_index_t listed;

	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			h->listed = false;
	p->nhosts = 0;
	for (size_t i = 0; i < sl->nservers; i++) {
		const lw_server_entry_t *e = &sl->servers[i];
		lw_place_host_t *h = host_find(&known, e);

		bool appears = !h || h->removed_us;
		bool usable = h && lw_place_usable(h, now_us);

		if (!h)
			h = host_add(p, e);
		follow_address(p, h, e);
		if (e->born_ms)
			h->born_ms = e->born_ms;
		/* a drain disappears only in a copy of the store that is older than the drain */
		if (e->draining)
			lw_place_list_draining(h, now_us);
		if (appears)
			appear(p, &known, h, e, usable, now_us);
		h->listed = true;
		h->withdrawn = false;
		h->asserted = false;
		h->removed_us = 0;
		p->nhosts++;
	}
	mark_withdrawn(&known, sl);
	free(known.host);
	listed = lw_place_index_listed_by_node(p);
	mark_removed(p, &listed, now_us, lapsed_until_us);
	drop_forgotten(p, now_us);
	p->nsharing = count_sharing(p, &listed);
	free(listed.host);
}

/* lw_place_usable() - whether @h counts as present: it is listed, or not known to have left. */
bool lw_place_usable(const lw_place_host_t *h, uint64_t now_us)
{
	return h->listed || now_us < h->use_until_us;
}

/*
 * lw_place_assert_alive() - the node of a server asserts that the server is
 * alive although its lease expired, because the node cannot reach the store.
 * Returns true if the host is known, was not draining, its entry was not withdrawn,
 * and it had no longer been used. Otherwise no node would use hosts that are partitioned from the store
 * for long, and a service that has no others would fail.
 */
bool lw_place_assert_alive(lw_place_t *p, const char *node, const char *id, uint64_t born_ms,
			   uint64_t now_us)
{
	lw_place_host_t *found = NULL;
	bool resumed;

	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (strcmp(h->node, node) != 0)
				continue;
			if (h->listed)
				return false;
			if (!found && !h->draining && !h->withdrawn && same_process(h, id, born_ms))
				found = h;
		}
	if (!found)
		return false;
	resumed = now_us >= found->use_until_us;
	found->use_until_us = now_us + ALIVE_ASSERTED_US;
	found->asserted = true;
	return resumed;
}

/*
 * lw_place_end_assertion() - @node no longer asserts that its server is alive, or can't be reached;
 * a process that is started anew there does not know that its server may have left.
 */
void lw_place_end_assertion(lw_place_t *p, const char *node)
{
	for (lw_place_service_t *s = p->services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next) {
			if (!h->asserted || strcmp(h->node, node) != 0)
				continue;
			h->asserted = false;
			h->use_until_us = 0;
		}
}

/*
 * lw_place_each_suspect() - call @fn with the node of each suspect host; the
 * caller probes whether the node has recovered before requests are risked
 * there. A host that may have been restarted since it announced that it is
 * leaving is among them, as only its node can tell.
 */
void lw_place_each_suspect(const lw_place_t *p, lw_place_node_fn fn, void *ctx)
{
	for (const lw_place_service_t *s = p->services; s; s = s->next)
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (h->listed && !h->self &&
			    (h->backoff_ms || (h->leaving_in_doubt && !h->list_draining)))
				fn(ctx, h->node);
}

static bool has_listed(const lw_place_service_t *s)
{
	for (const lw_place_host_t *h = s->hosts; h; h = h->next)
		if (h->listed)
			return true;
	return false;
}

/* whether @h comes before @other in the order of this node, which differs from node to node */
static bool comes_before(const lw_place_host_t *h, const lw_place_host_t *other, uint64_t order)
{
	return !other ||
	       XXH64(h->id, strlen(h->id), order) > XXH64(other->id, strlen(other->id), order);
}

/* adds @h to the first hosts, @n of which are known */
static size_t add_first(const lw_place_host_t **first, size_t n, const lw_place_host_t *h,
			uint64_t order)
{
	size_t at = n < LW_PLACE_LAPSED_ASKED ? n : LW_PLACE_LAPSED_ASKED - 1;

	if (at < n && !comes_before(h, first[at], order))
		return n;
	for (; at && comes_before(h, first[at - 1], order); at--)
		first[at] = first[at - 1];
	first[at] = h;
	return n < LW_PLACE_LAPSED_ASKED ? n + 1 : n;
}

/*
 * lw_place_each_lapsed() - call @fn with the nodes of some hosts of each service that has lost
 * all its entries. Their nodes assert that the servers are alive only to the nodes that are
 * connected to them, so a node that seldom calls the service would drop its servers.
 */
void lw_place_each_lapsed(const lw_place_t *p, lw_place_node_fn fn, void *ctx)
{
	uint64_t order = XXH64(p->backend, strlen(p->backend), 0);

	for (const lw_place_service_t *s = p->services; s; s = s->next) {
		const lw_place_host_t *first[LW_PLACE_LAPSED_ASKED];
		size_t n = 0;

		if (has_listed(s))
			continue;
		for (const lw_place_host_t *h = s->hosts; h; h = h->next)
			if (!h->draining && !h->self)
				n = add_first(first, n, h, order);
		for (size_t i = 0; i < n; i++)
			fn(ctx, first[i]->node);
	}
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

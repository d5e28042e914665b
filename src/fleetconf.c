/*
 * Snapshots of the configuration and of the list of backend servers; see
 * fleetconf.h.
 */
#include "fleetconf.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "level.h"
#include "xalloc.h"

/* objectives of a service are mixed if they differ by this factor */
#define MIXED_FACTOR 4

/* lw_fleetconf_new() - an empty configuration. */
lw_fleetconf_t *lw_fleetconf_new(void)
{
	return xcalloc(1, sizeof(lw_fleetconf_t));
}

/* lw_fleetconf_free() - releases a configuration; NULL is allowed. */
void lw_fleetconf_free(lw_fleetconf_t *fc)
{
	if (!fc)
		return;
	for (size_t i = 0; i < fc->nroutes; i++) {
		free(fc->routes[i].key);
		free(fc->routes[i].splits);
	}
	free(fc->routes);
	free(fc->services);
	lw_orgs_free(fc->orgs);
	free(fc->priorities);
	free(fc->text);
	free(fc);
}

/* host names are matched case-insensitively, paths case-sensitively */
static size_t make_key(char *dst, lw_str_t host, lw_str_t path)
{
	for (size_t i = 0; i < host.len; i++)
		dst[i] = (char)tolower((unsigned char)host.ptr[i]);
	dst[host.len] = '\0';
	memcpy(dst + host.len + 1, path.ptr, path.len);
	return host.len + 1 + path.len;
}

/* lw_fleetconf_add() - adds a route for paths of @host that begin with @prefix. */
lw_fleet_route_t *lw_fleetconf_add(lw_fleetconf_t *fc, lw_str_t host, lw_str_t prefix)
{
	lw_fleet_route_t *r;

	fc->routes = xrealloc(fc->routes, (fc->nroutes + 1) * sizeof(*r));
	r = &fc->routes[fc->nroutes++];
	memset(r, 0, sizeof(*r));
	r->key = xmalloc(host.len + prefix.len + 1);
	r->keylen = make_key(r->key, host, prefix);
	r->hostlen = host.len;
	return r;
}

/*
 * lw_fleet_route_split() - adds @service to the destinations of the route, with a
 * share by @weight.
 */
void lw_fleet_route_split(lw_fleet_route_t *r, lw_str_t service, uint32_t weight)
{
	lw_split_t *s;

	r->splits = xrealloc(r->splits, (r->nsplits + 1) * sizeof(*s));
	s = &r->splits[r->nsplits++];
	memset(s, 0, sizeof(*s));
	s->service = lw_name(service);
	s->weight = weight;
}

/*
 * lw_fleetconf_add_service() - adds a service; @health is the path of its health
 * check or empty.
 */
void lw_fleetconf_add_service(lw_fleetconf_t *fc, lw_str_t name, lw_str_t health)
{
	lw_fleet_service_t *s;

	fc->services = xrealloc(fc->services, (fc->nservices + 1) * sizeof(*s));
	s = &fc->services[fc->nservices++];
	memset(s, 0, sizeof(*s));
	s->name = lw_name(name);
	s->health = lw_name(health);
}

/* lw_fleetconf_service() - the service @name; NULL if the configuration has none. */
const lw_fleet_service_t *lw_fleetconf_service(const lw_fleetconf_t *fc, const char *name)
{
	for (size_t i = 0; i < fc->nservices; i++)
		if (strcmp(fc->services[i].name, name) == 0)
			return &fc->services[i];
	return NULL;
}

static int key_cmp(const char *a, size_t alen, const char *b, size_t blen)
{
	int c = memcmp(a, b, alen < blen ? alen : blen);

	if (c)
		return c;
	return (alen > blen) - (alen < blen);
}

static int number_cmp(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static int route_cmp(const void *a, const void *b)
{
	const lw_fleet_route_t *x = a, *y = b;

	return key_cmp(x->key, x->keylen, y->key, y->keylen);
}

/* Sorts and removes duplicates; returns the number of distinct values. */
static size_t sort_distinct(uint32_t *v, size_t n)
{
	size_t kept = 0;

	qsort(v, n, sizeof(*v), number_cmp);
	for (size_t i = 0; i < n; i++)
		if (!kept || v[kept - 1] != v[i])
			v[kept++] = v[i];
	return kept;
}

/*
 * The urgency of a route. Within a priority, requests that must not be executed twice go before
 * idempotent ones: the caller can repeat the latter after any failure, the former only after a
 * refusal.
 */
static uint32_t route_urgency(const lw_fleet_route_t *r)
{
	return r->priority * 2 + r->idempotent;
}

static void collect_priorities(lw_fleetconf_t *fc)
{
	size_t norgs = fc->orgs ? lw_orgs_count(fc->orgs) : 0;
	uint32_t *routes;

	fc->priorities = xcalloc(norgs + fc->nroutes + 1, sizeof(uint32_t));
	for (size_t i = 0; i < norgs; i++)
		fc->priorities[i] = lw_orgs_at(fc->orgs, i)->priority;
	fc->norg_priorities = sort_distinct(fc->priorities, norgs);
	routes = fc->priorities + fc->norg_priorities;
	for (size_t i = 0; i < fc->nroutes; i++)
		routes[i] = route_urgency(&fc->routes[i]);
	fc->nroute_priorities = sort_distinct(routes, fc->nroutes);
}

/*
 * lw_fleetconf_finish() - sorts what was added; call once after the last route
 * and organisation.
 */
void lw_fleetconf_finish(lw_fleetconf_t *fc)
{
	if (fc->nroutes)
		qsort(fc->routes, fc->nroutes, sizeof(*fc->routes), route_cmp);
	collect_priorities(fc);
}

/*
 * Returns the index of the first value that is not below @value; of the last
 * value if all are below it.
 */
static size_t index_among(const uint32_t *v, size_t n, uint32_t value)
{
	size_t i = 0;

	while (i + 1 < n && v[i] < value)
		i++;
	return i;
}

/*
 * Combines the indexes of an organisation's priority and of a route's urgency into one number.
 * Where there are more combinations than priorities, neighbours share one.
 */
static uint32_t combined_priority(const lw_fleetconf_t *fc, size_t org_index, size_t route_index)
{
	size_t norgs = fc->norg_priorities ? fc->norg_priorities : 1;
	size_t all = norgs * fc->nroute_priorities;
	size_t at = org_index * fc->nroute_priorities + route_index;

	return (uint32_t)(all > LW_PRIORITIES_MAX ? at * LW_PRIORITIES_MAX / all : at);
}

/*
 * lw_fleetconf_priority() - the priority of a request of @org on route @r: by the priority of the
 * organisation first, then by that of the route, then idempotent requests after all others.
 * Priorities are numbered without gaps, as priorities that no request has would slow down the
 * adjustment of the admission level under overload. If @org is NULL, the default priority of
 * organisations is used.
 */
uint32_t lw_fleetconf_priority(const lw_fleetconf_t *fc, const lw_organisation_t *org,
			       const lw_fleet_route_t *r)
{
	uint32_t of_org = org ? org->priority : LW_ORG_PRIORITY_DEFAULT;

	return combined_priority(fc, index_among(fc->priorities, fc->norg_priorities, of_org),
				 index_among(fc->priorities + fc->norg_priorities,
					     fc->nroute_priorities, route_urgency(r)));
}

/*
 * lw_fleetconf_most_urgent() - the priorities, as returned by lw_fleetconf_priority(), of the most
 * urgent routes for any organisation; one bit each.
 */
uint32_t lw_fleetconf_most_urgent(const lw_fleetconf_t *fc)
{
	uint32_t bits = 1u << combined_priority(fc, 0, 0);

	for (size_t i = 1; i < fc->norg_priorities; i++)
		bits |= 1u << combined_priority(fc, i, 0);
	return bits;
}

static bool leads_to(const lw_fleet_route_t *r, const char *service)
{
	for (size_t i = 0; i < r->nsplits; i++)
		if (strcmp(r->splits[i].service, service) == 0)
			return true;
	return false;
}

/*
 * lw_fleetconf_mixed() - whether the latency objectives of the routes that lead to @service differ
 * so much that its short requests must not wait for its long ones; @out: these objectives, if so.
 */
bool lw_fleetconf_mixed(const lw_fleetconf_t *fc, const char *service, lw_fleet_objectives_t *out)
{
	uint32_t shortest = UINT32_MAX, longest = 0;

	for (size_t i = 0; i < fc->nroutes; i++) {
		const lw_fleet_route_t *r = &fc->routes[i];

		if (!r->target_ms || !leads_to(r, service))
			continue;
		if (r->target_ms < shortest)
			shortest = r->target_ms;
		if (r->target_ms > longest)
			longest = r->target_ms;
	}
	*out = (lw_fleet_objectives_t){ shortest, longest };
	return longest / MIXED_FACTOR >= shortest;
}

/* compares @host, in any case, with the host of route @r */
static int host_cmp(lw_str_t host, const lw_fleet_route_t *r)
{
	size_t n = host.len < r->hostlen ? host.len : r->hostlen;

	for (size_t i = 0; i < n; i++) {
		int c = tolower((unsigned char)host.ptr[i]) - (unsigned char)r->key[i];

		if (c)
			return c;
	}
	return (host.len > r->hostlen) - (host.len < r->hostlen);
}

/* the routes of one host: they are adjacent, sorted by prefix */
typedef struct host_routes {
	lw_fleet_route_t *first;
	size_t n;
} host_routes_t;

/* index of the first route whose host is not before @host; with @after: that is after @host */
static size_t host_bound(const lw_fleetconf_t *fc, lw_str_t host, bool after)
{
	size_t lo = 0, hi = fc->nroutes;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		int c = host_cmp(host, &fc->routes[mid]);

		if (c > 0 || (after && !c))
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static host_routes_t routes_of_host(const lw_fleetconf_t *fc, lw_str_t host)
{
	size_t first = host_bound(fc, host, false);

	return (host_routes_t){ fc->routes + first, host_bound(fc, host, true) - first };
}

/* the route with exactly the prefix @prefix; NULL if there is none */
static lw_fleet_route_t *route_find(host_routes_t among, lw_str_t prefix)
{
	size_t lo = 0, hi = among.n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		lw_fleet_route_t *r = &among.first[mid];
		int c = key_cmp(prefix.ptr, prefix.len, r->key + r->hostlen + 1,
				r->keylen - r->hostlen - 1);

		if (!c)
			return r;
		if (c < 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	return NULL;
}

/*
 * lw_fleetconf_match() - the route of @host with the longest prefix of @path;
 * NULL if there is none. Does one binary search per segment of the path, so
 * hundreds of routes cost hardly more than a few.
 */
lw_fleet_route_t *lw_fleetconf_match(const lw_fleetconf_t *fc, lw_str_t host, lw_str_t path)
{
	const char *colon = memchr(host.ptr, ':', host.len);
	const char *query = memchr(path.ptr, '?', path.len);
	host_routes_t among;

	if (colon)
		host.len = (size_t)(colon - host.ptr);
	if (query)
		path.len = (size_t)(query - path.ptr);
	among = routes_of_host(fc, host);
	for (; among.n && path.len; path.len--) {
		lw_fleet_route_t *r;

		if (path.ptr[path.len - 1] != '/')
			continue;
		r = route_find(among, path);
		if (r)
			return r;
	}
	return NULL;
}

/*
 * lw_fleet_route_next() - the service for the next request of route @r, by smooth
 * weighted round robin: in any sequence of requests each service gets its share
 * to within one request, whatever capacity the other services have.
 */
const char *lw_fleet_route_next(lw_fleet_route_t *r)
{
	lw_split_t *best = &r->splits[0];
	int64_t total = 0;

	for (size_t i = 0; i < r->nsplits; i++) {
		lw_split_t *s = &r->splits[i];

		s->current += s->weight;
		total += s->weight;
		if (s->current > best->current)
			best = s;
	}
	best->current -= total;
	return best->service;
}

/* lw_serverlist_set_withdrawn() - copies the @n withdrawn entries of @from to the list. */
void lw_serverlist_set_withdrawn(lw_serverlist_t *sl, const lw_withdrawn_t *from, size_t n)
{
	sl->withdrawn = xcalloc(n + 1, sizeof(*sl->withdrawn));
	sl->nwithdrawn = n;
	if (n)
		memcpy(sl->withdrawn, from, n * sizeof(*from));
}

/* lw_serverlist_copy() - returns a copy of the list, owned by the caller. */
lw_serverlist_t *lw_serverlist_copy(const lw_serverlist_t *sl)
{
	lw_serverlist_t *copy = xcalloc(1, sizeof(*copy));

	copy->revision = sl->revision;
	copy->nservers = sl->nservers;
	copy->servers = xcalloc(sl->nservers + 1, sizeof(*copy->servers));
	if (sl->nservers)
		memcpy(copy->servers, sl->servers, sl->nservers * sizeof(*copy->servers));
	lw_serverlist_set_withdrawn(copy, sl->withdrawn, sl->nwithdrawn);
	return copy;
}

/* lw_serverlist_free() - releases a list of backend servers; NULL is allowed. */
void lw_serverlist_free(lw_serverlist_t *sl)
{
	if (!sl)
		return;
	free(sl->servers);
	free(sl->withdrawn);
	free(sl);
}

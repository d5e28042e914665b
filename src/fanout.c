/* Dissemination of store updates through the fleet; see fanout.h. */
#include "fanout.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "xalloc.h"

/* each step of the nodes that read the store in turn is longer than the one before it */
#define TURN_STEP_GROWTH 1.5
/* steps in which the nodes that are not listed follow the others */
#define UNLISTED_STEPS 4

typedef struct lw_member {
	const char *backend;
	const char *zone;
	uint64_t hash;
	uint32_t zone_index; /* position in its zone */
	bool draining;
} lw_member_t;

static int by_zone(const void *a, const void *b)
{
	const lw_member_t *x = a, *y = b;
	int zones = strcmp(x->zone, y->zone);

	if (zones)
		return zones;
	if (x->hash != y->hash)
		return x->hash > y->hash ? -1 : 1;
	return strcmp(x->backend, y->backend);
}

/* nodes that stay before nodes that leave, then by position, so that the zones alternate */
static int by_rank(const void *a, const void *b)
{
	const lw_member_t *x = a, *y = b;

	if (x->draining != y->draining)
		return x->draining ? 1 : -1;
	if (x->zone_index != y->zone_index)
		return x->zone_index < y->zone_index ? -1 : 1;
	if (x->hash != y->hash)
		return x->hash > y->hash ? -1 : 1;
	return strcmp(x->backend, y->backend);
}

static lw_member_t member(const char *backend, const char *zone, bool draining)
{
	return (lw_member_t){ .backend = backend,
			      .zone = zone,
			      .hash = XXH3_64bits(backend, strlen(backend)),
			      .draining = draining };
}

/* collect all nodes by zone, including this one if its backend server is not in the list */
static size_t collect(const lw_serverlist_t *sl, const char *backend, const char *zone,
		      lw_member_t *m, bool *listed)
{
	size_t n = 0;

	*listed = false;
	for (size_t i = 0; i < sl->nservers; i++) {
		const lw_server_entry_t *e = &sl->servers[i];

		*listed |= strcmp(e->addr, backend) == 0;
		m[n++] = member(e->addr, e->zone, e->draining);
	}
	if (!*listed)
		m[n++] = member(backend, zone, false);
	qsort(m, n, sizeof(*m), by_zone);
	for (size_t i = 0; i < n; i++)
		m[i].zone_index =
			i && strcmp(m[i - 1].zone, m[i].zone) == 0 ? m[i - 1].zone_index + 1 : 0;
	return n;
}

/* adds @backend to the list @at of @n addresses that has room for @most */
static void add_address(char (*at)[LW_NAME_MAX], size_t *n, size_t most, const char *backend)
{
	for (size_t i = 0; i < *n; i++)
		if (strcmp(at[i], backend) == 0)
			return;
	if (*n < most)
		lw_str_copy(at[(*n)++], LW_NAME_MAX, lw_str_c(backend));
}

static void add_child(lw_fanout_t *s, const char *backend)
{
	add_address(s->child, &s->nchildren, LW_FANOUT_CHILDREN_MAX, backend);
}

/* the children of node @at among the @n nodes of a zone, in both trees */
static void add_zone(lw_fanout_t *s, const lw_member_t *zone, size_t n, size_t at)
{
	size_t back = n - 1 - at;

	for (size_t i = 1; i <= LW_FANOUT_DEGREE; i++) {
		if (at * LW_FANOUT_DEGREE + i < n)
			add_child(s, zone[at * LW_FANOUT_DEGREE + i].backend);
		if (back * LW_FANOUT_DEGREE + i < n)
			add_child(s, zone[n - 1 - (back * LW_FANOUT_DEGREE + i)].backend);
	}
}

static bool is_child(const lw_fanout_t *s, const char *backend)
{
	for (size_t i = 0; i < s->nchildren; i++)
		if (strcmp(s->child[i], backend) == 0)
			return true;
	return false;
}

/* the roots of the trees over the head nodes of the zones, but for the children of @self */
static void add_roots(lw_fanout_t *s, const lw_member_t **heads, size_t n, const lw_member_t *self)
{
	for (size_t i = 0; i < n && i < LW_FANOUT_DEGREE; i++)
		if (heads[i] != self && !is_child(s, heads[i]->backend))
			add_address(s->root, &s->nroots, LW_FANOUT_ROOTS_MAX, heads[i]->backend);
}

/* the children of node @self among the head nodes of the zones */
static void add_heads(lw_fanout_t *s, const lw_member_t **heads, size_t n, const lw_member_t *self)
{
	for (size_t at = 0; at < n; at++) {
		size_t first = (at + 1) * LW_FANOUT_DEGREE;

		if (heads[at] != self)
			continue;
		for (size_t i = first; i < n && i < first + LW_FANOUT_DEGREE; i++)
			add_child(s, heads[i]->backend);
	}
}

static uint32_t rank_of(const lw_member_t *m, size_t n, const char *backend)
{
	lw_member_t *ranked = xcalloc(n, sizeof(*ranked));
	uint32_t rank = 0;

	memcpy(ranked, m, n * sizeof(*ranked));
	qsort(ranked, n, sizeof(*ranked), by_rank);
	while (strcmp(ranked[rank].backend, backend) != 0)
		rank++;
	free(ranked);
	return rank;
}

/*
 * A delay derived from the address: a large part of a fleet that is cut off
 * from the others does not read the store in the same moment.
 */
static uint32_t stagger_ms(const char *backend)
{
	return (uint32_t)(XXH3_64bits(backend, strlen(backend)) % LW_FANOUT_STAGGER_MS);
}

/*
 * How much longer than the substitutes the node of @rank waits before it
 * reads the store although it hears other nodes, which have no newer update
 * either. Twice as many nodes as before begin in each step, and each step is
 * longer by half. So a part of the fleet whose first nodes are cut off has a
 * reader soon, and an outage of the store, in which no node can know that the
 * others fail as well, costs few calls: after t seconds about 4 (1 + t/0.4)^1.7
 * nodes call, whatever the size of the fleet.
 */
static uint32_t turn_ms(uint32_t rank)
{
	double step = LW_FANOUT_SUBSTITUTES_MS;
	double sum = 0;

	for (uint64_t n = LW_FANOUT_READERS + LW_FANOUT_SUBSTITUTES; n <= rank; n *= 2) {
		sum += step;
		step *= TURN_STEP_GROWTH;
	}
	return (uint32_t)sum;
}

static void set_turn(lw_fanout_t *s, uint32_t turn)
{
	s->turn = turn;
	s->read_after_ms = LW_FANOUT_STALE_MS + turn_ms(turn);
}

/*
 * A place behind the @n nodes that are listed. Many nodes may be in this case, as when a whole
 * fleet starts: half of them come last, a quarter one step earlier, and so on.
 */
static uint32_t turn_of_unlisted(uint32_t n, const char *backend)
{
	uint64_t digest = XXH3_64bits(backend, strlen(backend));
	uint32_t step = UNLISTED_STEPS;

	while (step && !(digest & 1)) {
		digest >>= 1;
		step--;
	}
	return (LW_FANOUT_READERS + LW_FANOUT_SUBSTITUTES + n) << step;
}

/*
 * lw_fanout_keep_turn() - a node that is no longer listed keeps the turn that it had in the
 * plan @before. If the entries of a whole fleet lapse, its nodes are all unlisted, and must not
 * wait longer than before to read the store.
 */
void lw_fanout_keep_turn(lw_fanout_t *s, const lw_fanout_t *before)
{
	if (s->ranked || !before->ranked)
		return;
	set_turn(s, before->turn);
	s->ranked = true;
}

/*
 * lw_fanout_plan() - the role of the node of the backend server at @backend
 * in @zone. While the server is not listed, other nodes do not count on this
 * node, and it does not read the store for them: otherwise, when a whole
 * fleet starts, each node would consider itself a reader.
 */
void lw_fanout_plan(const lw_serverlist_t *sl, const char *backend, const char *zone,
		    lw_fanout_t *out)
{
	lw_member_t *m = xcalloc(sl->nservers + 1, sizeof(*m));
	const lw_member_t **first = xcalloc(sl->nservers + 1, sizeof(void *));
	const lw_member_t **last = xcalloc(sl->nservers + 1, sizeof(void *));
	bool listed;
	size_t n = collect(sl, backend, zone, m, &listed);
	size_t nzones = 0, self = 0, begin = 0;

	memset(out, 0, sizeof(*out));
	out->rank = listed ? rank_of(m, n, backend) : LW_FANOUT_NO_RANK;
	out->alone_read_after_ms =
		LW_FANOUT_STALE_MS + LW_FANOUT_SUBSTITUTES_MS + stagger_ms(backend);
	out->ranked = listed;
	set_turn(out, listed ? out->rank : turn_of_unlisted((uint32_t)n, backend));
	while (strcmp(m[self].backend, backend) != 0)
		self++;
	for (size_t at = 1; at <= n; at++) {
		if (at < n && m[at].zone_index)
			continue;
		first[nzones] = &m[begin];
		last[nzones++] = &m[at - 1];
		if (begin <= self && self < at)
			add_zone(out, &m[begin], at - begin, self - begin);
		begin = at;
	}
	add_heads(out, first, nzones, &m[self]);
	add_heads(out, last, nzones, &m[self]);
	add_roots(out, first, nzones, &m[self]);
	add_roots(out, last, nzones, &m[self]);
	free(last);
	free(first);
	free(m);
}

/* lw_fanout_is_reader() - whether the node reads the store for others. */
bool lw_fanout_is_reader(const lw_fanout_t *s)
{
	return s->rank < LW_FANOUT_READERS;
}

/*
 * lw_fanout_is_reader_or_substitute() - whether the node reads the store for
 * others, or replaces a silent reader.
 */
bool lw_fanout_is_reader_or_substitute(const lw_fanout_t *s)
{
	return s->rank < LW_FANOUT_READERS + LW_FANOUT_SUBSTITUTES;
}

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

typedef struct member {
	const char *backend;
	const char *zone;
	uint64_t hash;
	uint32_t zone_index; /* position in its zone */
	uint32_t rank;
	bool draining;
} member_t;

struct lw_fanout_order {
	member_t *m; /* all nodes, by zone and hash */
	size_t n;
	size_t *zone_begin; /* position of the first node of each zone; then n */
	size_t nzones;
};

static int by_zone(const void *a, const void *b)
{
	const member_t *x = a, *y = b;
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
	const member_t *x = *(member_t *const *)a, *y = *(member_t *const *)b;

	if (x->draining != y->draining)
		return x->draining ? 1 : -1;
	if (x->zone_index != y->zone_index)
		return x->zone_index < y->zone_index ? -1 : 1;
	if (x->hash != y->hash)
		return x->hash > y->hash ? -1 : 1;
	return strcmp(x->backend, y->backend);
}

static member_t member(const char *backend, const char *zone, bool draining)
{
	return (member_t){ .backend = backend,
			   .zone = zone,
			   .hash = XXH3_64bits(backend, strlen(backend)),
			   .draining = draining };
}

/* sets where each zone begins, and the position of each node in its zone */
static void find_zones(lw_fanout_order_t *o)
{
	for (size_t i = 0; i < o->n; i++) {
		if (!i || strcmp(o->m[i - 1].zone, o->m[i].zone) != 0)
			o->zone_begin[o->nzones++] = i;
		o->m[i].zone_index = (uint32_t)(i - o->zone_begin[o->nzones - 1]);
	}
	o->zone_begin[o->nzones] = o->n;
}

static void set_ranks(lw_fanout_order_t *o)
{
	member_t **ranked = xcalloc(o->n + 1, sizeof(member_t *));

	for (size_t i = 0; i < o->n; i++)
		ranked[i] = &o->m[i];
	qsort(ranked, o->n, sizeof(member_t *), by_rank);
	for (size_t i = 0; i < o->n; i++)
		ranked[i]->rank = (uint32_t)i;
	free(ranked);
}

/*
 * lw_fanout_order_new() - the nodes of the servers in @sl in the order in which all plans count
 * them. @sl must stay unchanged as long as the order is used.
 */
lw_fanout_order_t *lw_fanout_order_new(const lw_serverlist_t *sl)
{
	lw_fanout_order_t *o = xcalloc(1, sizeof(*o));

	o->n = sl->nservers;
	o->m = xcalloc(o->n + 1, sizeof(*o->m));
	o->zone_begin = xcalloc(o->n + 1, sizeof(*o->zone_begin));
	for (size_t i = 0; i < o->n; i++) {
		const lw_server_entry_t *e = &sl->servers[i];

		o->m[i] = member(e->addr, e->zone, e->draining);
	}
	qsort(o->m, o->n, sizeof(*o->m), by_zone);
	find_zones(o);
	set_ranks(o);
	return o;
}

/* lw_fanout_order_free() - releases the order. */
void lw_fanout_order_free(lw_fanout_order_t *o)
{
	free(o->zone_begin);
	free(o->m);
	free(o);
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

static void add_child(lw_fanout_t *s, const member_t *m)
{
	add_address(s->child, &s->nchildren, LW_FANOUT_CHILDREN_MAX, m->backend);
}

static bool is_child(const lw_fanout_t *s, const char *backend)
{
	for (size_t i = 0; i < s->nchildren; i++)
		if (strcmp(s->child[i], backend) == 0)
			return true;
	return false;
}

/* the children of node @at among the @n nodes of a zone, in both trees */
static void add_zone(lw_fanout_t *s, const member_t *zone, size_t n, size_t at)
{
	size_t back = n - 1 - at;

	for (size_t i = 1; i <= LW_FANOUT_DEGREE; i++) {
		if (at * LW_FANOUT_DEGREE + i < n)
			add_child(s, &zone[at * LW_FANOUT_DEGREE + i]);
		if (back * LW_FANOUT_DEGREE + i < n)
			add_child(s, &zone[n - 1 - (back * LW_FANOUT_DEGREE + i)]);
	}
}

/* the first node of a zone, or the last one */
static const member_t *head_of(const lw_fanout_order_t *o, size_t zone, bool last)
{
	return &o->m[last ? o->zone_begin[zone + 1] - 1 : o->zone_begin[zone]];
}

/* the children of node @self among the head nodes of the zones */
static void add_heads(lw_fanout_t *s, const lw_fanout_order_t *o, const member_t *self, bool last)
{
	for (size_t at = 0; at < o->nzones; at++) {
		size_t from = (at + 1) * LW_FANOUT_DEGREE;

		if (head_of(o, at, last) != self)
			continue;
		for (size_t i = from; i < o->nzones && i < from + LW_FANOUT_DEGREE; i++)
			add_child(s, head_of(o, i, last));
	}
}

/* the roots of the trees over the head nodes of the zones, but for the children of @self */
static void add_roots(lw_fanout_t *s, const lw_fanout_order_t *o, const member_t *self, bool last)
{
	for (size_t i = 0; i < o->nzones && i < LW_FANOUT_DEGREE; i++) {
		const member_t *head = head_of(o, i, last);

		if (head != self && !is_child(s, head->backend))
			add_address(s->root, &s->nroots, LW_FANOUT_ROOTS_MAX, head->backend);
	}
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

/* the node of @backend, NULL if it is not in the list */
static const member_t *find_member(const lw_fanout_order_t *o, const char *backend,
				   const char *zone)
{
	member_t key = member(backend, zone, false);
	const member_t *found = o->n ? bsearch(&key, o->m, o->n, sizeof(key), by_zone) : NULL;

	/* the entry may name another zone than the settings of the node */
	for (size_t i = 0; i < o->n && !found; i++)
		if (strcmp(o->m[i].backend, backend) == 0)
			found = &o->m[i];
	return found;
}

/* the children of a listed node */
static void add_children(lw_fanout_t *s, const lw_fanout_order_t *o, const member_t *self)
{
	const member_t *zone = self - self->zone_index;
	size_t n = 0;

	while (zone + n < o->m + o->n && strcmp(zone[n].zone, zone->zone) == 0)
		n++;
	add_zone(s, zone, n, self->zone_index);
	add_heads(s, o, self, false);
	add_heads(s, o, self, true);
}

/*
 * lw_fanout_plan_in() - the role of the node of the backend server at @backend
 * in @zone. While the server is not listed, other nodes do not count on this
 * node: it does not read the store for them and forwards nothing. Otherwise,
 * when a whole fleet starts, each node would consider itself a reader, and each
 * update would be forwarded by most of the nodes in vain.
 */
void lw_fanout_plan_in(const lw_fanout_order_t *o, const char *backend, const char *zone,
		       lw_fanout_t *out)
{
	const member_t *self = find_member(o, backend, zone);

	memset(out, 0, sizeof(*out));
	out->rank = self ? self->rank : LW_FANOUT_NO_RANK;
	out->ranked = self != NULL;
	out->alone_read_after_ms =
		LW_FANOUT_STALE_MS + LW_FANOUT_SUBSTITUTES_MS + stagger_ms(backend);
	set_turn(out, self ? self->rank : turn_of_unlisted((uint32_t)o->n, backend));
	if (self)
		add_children(out, o, self);
	add_roots(out, o, self, false);
	add_roots(out, o, self, true);
}

/* lw_fanout_plan() - like lw_fanout_plan_in(), for a single node. */
void lw_fanout_plan(const lw_serverlist_t *sl, const char *backend, const char *zone,
		    lw_fanout_t *out)
{
	lw_fanout_order_t *o = lw_fanout_order_new(sl);

	lw_fanout_plan_in(o, backend, zone, out);
	lw_fanout_order_free(o);
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

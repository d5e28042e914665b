/* Script commands for the choice of store readers and the dissemination of store updates. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "fanout.h"
#include "xalloc.h"

/* the list of servers given in a script as ZONE/ADDR */
static lw_serverlist_t listed(const words_t *a)
{
	lw_serverlist_t sl = { .servers = xcalloc(WORDS_MAX, sizeof(lw_server_entry_t)) };

	for (int i = 1; i < a->n; i++) {
		lw_server_entry_t *e = &sl.servers[sl.nservers];
		const char *slash = strchr(word(a, i), '/');

		if (!slash)
			continue;
		e->zone = lw_name((lw_str_t){ word(a, i), (size_t)(slash - word(a, i)) });
		lw_str_copy(e->addr, LW_NAME_MAX, lw_str_c(slash + 1));
		e->draining = has(a, "draining") && i == 1;
		sl.nservers++;
	}
	return sl;
}

/*
 * readers ZONE/ADDR... [draining]: which of the nodes of these servers read
 * the store; with draining, the first one drains.
 */
static void do_readers(world_t *w, const words_t *a)
{
	lw_serverlist_t sl = listed(a);
	lw_fanout_t s;

	for (size_t i = 0; i < sl.nservers; i++) {
		lw_fanout_plan(&sl, sl.servers[i].addr, sl.servers[i].zone, &s);
		if (lw_fanout_is_reader_or_substitute(&s))
			emit(w, "%u %s after %u ms", s.rank, sl.servers[i].addr,
			     lw_fanout_is_reader(&s) ? 0 : s.read_after_ms);
	}
	free(sl.servers);
}

/* reader-unlisted ZONE/ADDR: the role of a node whose backend server is not in the list */
static void do_reader_unlisted(world_t *w, const words_t *a)
{
	lw_serverlist_t sl = listed(a);
	lw_serverlist_t empty = { 0 };
	lw_fanout_t s;

	lw_fanout_plan(&empty, sl.servers[0].addr, sl.servers[0].zone, &s);
	emit(w, "rank %s after %u ms", s.rank == LW_FANOUT_NO_RANK ? "none" : "given",
	     s.read_after_ms);
	free(sl.servers);
}

/*
 * A fleet in which updates start at the readers and are forwarded by all
 * nodes that are not frozen.
 */
typedef struct fleet {
	size_t zones;
	size_t n;
	size_t every; /* every n-th node is frozen; 0: none */
	lw_serverlist_t list;
	lw_fanout_t *plan;
	uint32_t *reached; /* number of hops to the node, plus one; 0: not reached */
	uint32_t hops;
	uint32_t between; /* number of times that updates were sent from zone to zone */
} fleet_t;

static void fleet_begin(fleet_t *f)
{
	lw_fanout_order_t *order;

	f->list.servers = xcalloc(f->n, sizeof(lw_server_entry_t));
	f->list.nservers = f->n;
	f->plan = xcalloc(f->n, sizeof(*f->plan));
	f->reached = xcalloc(f->n, sizeof(*f->reached));
	for (size_t i = 0; i < f->n; i++) {
		lw_server_entry_t *e = &f->list.servers[i];

		snprintf(e->addr, LW_NAME_MAX, "10.0.%zu.%zu:80", i / 250, i % 250);
		e->zone = lw_name_format("z%zu", i % f->zones);
	}
	order = lw_fanout_order_new(&f->list);
	for (size_t i = 0; i < f->n; i++) {
		const lw_server_entry_t *e = &f->list.servers[i];

		lw_fanout_plan_in(order, e->addr, e->zone, &f->plan[i]);
		f->reached[i] = lw_fanout_is_reader(&f->plan[i]);
	}
	lw_fanout_order_free(order);
}

static void fleet_end(fleet_t *f)
{
	free(f->reached);
	free(f->plan);
	free(f->list.servers);
}

static bool is_frozen(const fleet_t *f, size_t i)
{
	return f->every && i % f->every == 0;
}

static size_t by_address(const fleet_t *f, const char *backend)
{
	size_t i = 0;

	while (strcmp(f->list.servers[i].addr, backend) != 0)
		i++;
	return i;
}

/* node @i sends what it got at hop @at to another one; true if that one did not have it */
static bool send_to(fleet_t *f, size_t i, const char *backend, uint32_t at)
{
	size_t to = by_address(f, backend);

	f->between += to % f->zones != i % f->zones;
	if (f->reached[to])
		return false;
	f->reached[to] = at + 1;
	f->hops = at;
	return true;
}

/*
 * node @i forwards what it got at hop @at to its children, and to the roots of the trees if
 * it has read it itself; true if that reached a new node
 */
static bool forward(fleet_t *f, size_t i, uint32_t at)
{
	bool any_new = false;

	for (size_t c = 0; at == 1 && c < f->plan[i].nroots; c++)
		any_new |= send_to(f, i, f->plan[i].root[c], at);
	for (size_t c = 0; c < f->plan[i].nchildren; c++)
		any_new |= send_to(f, i, f->plan[i].child[c], at);
	return any_new;
}

static void spread(fleet_t *f)
{
	bool more = true;

	for (uint32_t at = 1; more; at++) {
		more = false;
		for (size_t i = 0; i < f->n; i++)
			if (f->reached[i] == at && (at == 1 || !is_frozen(f, i)))
				more |= forward(f, i, at);
	}
}

/*
 * spread ZONES NODES [EVERY]: dissemination to NODES nodes in each of ZONES
 * zones; each EVERY-th node is frozen.
 */
static void do_spread(world_t *w, const words_t *a)
{
	fleet_t f = { .zones = (size_t)num(a, 1), .every = (size_t)num(a, 3) };
	uint32_t most = 0, reached = 0, alive = 0;

	f.n = f.zones * (size_t)num(a, 2);
	fleet_begin(&f);
	spread(&f);
	for (size_t i = 0; i < f.n; i++) {
		size_t sends = f.plan[i].nchildren;

		sends += lw_fanout_is_reader(&f.plan[i]) ? f.plan[i].nroots : 0;
		if (sends > most)
			most = (uint32_t)sends;
		alive += !is_frozen(&f, i);
		reached += f.reached[i] && !is_frozen(&f, i);
	}
	emit(w, "%u of %u hear, %u hops, %u children at most, %u times between zones", reached,
	     alive, f.hops, most, f.between);
	fleet_end(&f);
}

/*
 * read-by-one ZONES NODES FROM: dissemination of what only the node at position FROM of the
 * list has read, in place of the readers
 */
static void do_read_by_one(world_t *w, const words_t *a)
{
	fleet_t f = { .zones = (size_t)num(a, 1) };
	uint32_t reached = 0;

	f.n = f.zones * (size_t)num(a, 2);
	fleet_begin(&f);
	for (size_t i = 0; i < f.n; i++)
		f.reached[i] = i == (size_t)num(a, 3);
	spread(&f);
	for (size_t i = 0; i < f.n; i++)
		reached += f.reached[i] != 0;
	emit(w, "%u of %zu hear, %u hops", reached, f.n, f.hops);
	fleet_end(&f);
}

/*
 * turns ZONES NODES MS...: how many nodes have begun to read the store MS after the last
 * update, while they hear others that have none either
 */
static void do_turns(world_t *w, const words_t *a)
{
	fleet_t f = { .zones = (size_t)num(a, 1) };

	f.n = f.zones * (size_t)num(a, 2);
	fleet_begin(&f);
	for (int t = 3; t < a->n; t++) {
		uint32_t begun = 0;

		for (size_t i = 0; i < f.n; i++)
			begun += lw_fanout_is_reader(&f.plan[i]) ||
				 f.plan[i].read_after_ms <= (uint32_t)num(a, t);
		emit(w, "%ld ms: %u of %zu", num(a, t), begun, f.n);
	}
	fleet_end(&f);
}

const command_t decide_spread_commands[] = {
	{ "read-by-one", do_read_by_one }, { "turns", do_turns },
	{ "readers", do_readers },	   { "reader-unlisted", do_reader_unlisted },
	{ "spread", do_spread },	   { NULL, NULL },
};

/* Scripted decisions on who reads the store and how news spreads. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "fanout.h"
#include "xalloc.h"

/* the list of servers that a script names as ZONE/ADDR */
static lw_serverlist_t listed(const words_t *a)
{
	lw_serverlist_t sl = { .servers = xcalloc(WORDS_MAX, sizeof(lw_server_entry_t)) };

	for (int i = 1; i < a->n; i++) {
		lw_server_entry_t *e = &sl.servers[sl.nservers];
		const char *slash = strchr(word(a, i), '/');

		if (!slash)
			continue;
		lw_str_copy(e->zone, LW_NAME_MAX,
			    (lw_str_t){ word(a, i), (size_t)(slash - word(a, i)) });
		lw_str_copy(e->addr, LW_NAME_MAX, lw_str_c(slash + 1));
		e->draining = has(a, "draining") && i == 1;
		sl.nservers++;
	}
	return sl;
}

/* readers ZONE/ADDR... [draining]: which of the nodes beside these servers read; the first one drains */
static void do_readers(world_t *w, const words_t *a)
{
	lw_serverlist_t sl = listed(a);
	lw_fanout_t s;

	for (size_t i = 0; i < sl.nservers; i++) {
		lw_fanout_plan(&sl, sl.servers[i].addr, sl.servers[i].zone, &s);
		if (lw_fanout_is_reader_or_substitute(&s))
			say(w, "%u %s after %u ms", s.rank, sl.servers[i].addr,
			    lw_fanout_is_reader(&s) ? 0 : s.read_after_ms);
	}
	free(sl.servers);
}

/* reader-unlisted ZONE/ADDR: the part of a node whose backend server is in no list */
static void do_reader_unlisted(world_t *w, const words_t *a)
{
	lw_serverlist_t sl = listed(a);
	lw_serverlist_t empty = { 0 };
	lw_fanout_t s;

	lw_fanout_plan(&empty, sl.servers[0].addr, sl.servers[0].zone, &s);
	say(w, "rank %s after %u ms", s.rank == LW_FANOUT_NO_RANK ? "none" : "given",
	    s.read_after_ms);
	free(sl.servers);
}

/* A fleet in which news begins at the readers and is passed on by whoever does not stand still. */
typedef struct fleet {
	size_t zones;
	size_t n;
	size_t every; /* each so many-th node stands still; 0: none */
	lw_serverlist_t list;
	lw_fanout_t *plan;
	uint32_t *heard; /* hops it took, plus one; 0: not heard */
	uint32_t hops;
	uint32_t between; /* times that news goes from zone to zone */
} fleet_t;

static void fleet_begin(fleet_t *f)
{
	f->list.servers = xcalloc(f->n, sizeof(lw_server_entry_t));
	f->list.nservers = f->n;
	f->plan = xcalloc(f->n, sizeof(*f->plan));
	f->heard = xcalloc(f->n, sizeof(*f->heard));
	for (size_t i = 0; i < f->n; i++) {
		lw_server_entry_t *e = &f->list.servers[i];

		snprintf(e->addr, LW_NAME_MAX, "10.0.%zu.%zu:80", i / 250, i % 250);
		snprintf(e->zone, LW_NAME_MAX, "z%zu", i % f->zones);
	}
	for (size_t i = 0; i < f->n; i++) {
		const lw_server_entry_t *e = &f->list.servers[i];

		lw_fanout_plan(&f->list, e->addr, e->zone, &f->plan[i]);
		f->heard[i] = lw_fanout_is_reader(&f->plan[i]);
	}
}

static void fleet_end(fleet_t *f)
{
	free(f->heard);
	free(f->plan);
	free(f->list.servers);
}

static bool stands_still(const fleet_t *f, size_t i)
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

/* node @i tells its children what it heard at hop @at; true if one did not know it */
static bool tell(fleet_t *f, size_t i, uint32_t at)
{
	bool news = false;

	for (size_t c = 0; c < f->plan[i].nchildren; c++) {
		size_t to = by_address(f, f->plan[i].child[c]);

		f->between += to % f->zones != i % f->zones;
		if (f->heard[to])
			continue;
		f->heard[to] = at + 1;
		f->hops = at;
		news = true;
	}
	return news;
}

static void spread(fleet_t *f)
{
	bool more = true;

	for (uint32_t at = 1; more; at++) {
		more = false;
		for (size_t i = 0; i < f->n; i++)
			if (f->heard[i] == at && (at == 1 || !stands_still(f, i)))
				more |= tell(f, i, at);
	}
}

/* spread ZONES NODES [EVERY]: how news reaches NODES nodes in each of ZONES zones; each EVERY-th stands still */
static void do_spread(world_t *w, const words_t *a)
{
	fleet_t f = { .zones = (size_t)num(a, 1), .every = (size_t)num(a, 3) };
	uint32_t most = 0, heard = 0, alive = 0;

	f.n = f.zones * (size_t)num(a, 2);
	fleet_begin(&f);
	spread(&f);
	for (size_t i = 0; i < f.n; i++) {
		if (f.plan[i].nchildren > most)
			most = (uint32_t)f.plan[i].nchildren;
		alive += !stands_still(&f, i);
		heard += f.heard[i] && !stands_still(&f, i);
	}
	say(w, "%u of %u hear, %u hops, %u children at most, %u times between zones", heard, alive,
	    f.hops, most, f.between);
	fleet_end(&f);
}

const command_t decide_spread_commands[] = {
	{ "readers", do_readers },
	{ "reader-unlisted", do_reader_unlisted },
	{ "spread", do_spread },
	{ NULL, NULL },
};

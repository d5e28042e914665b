/* Model of the spread of store updates; see spreadsim.h. */
#include "spreadsim_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "meshframe.h"
#include "xalloc.h"

/* the nodes of a fleet start within this time, and their servers enter the list in that, us */
#define START_WITHIN_US	   300000
#define REGISTER_FROM_US   1500000
#define REGISTER_WITHIN_US 7500000
/* servers that enter the list within this time make one version, us */
#define LIST_STEP_US 300000
/* the first configuration is written then, us */
#define FIRST_CONFIG_US 1000000

uint32_t lw_spread_random_below(lw_spread_t *s, uint32_t below)
{
	s->rng ^= s->rng >> 12;
	s->rng ^= s->rng << 25;
	s->rng ^= s->rng >> 27;
	return below ? (uint32_t)((s->rng * 2685821657736338717ULL) >> 32) % below : 0;
}

/* calls to the store that wait for a change end with it */
static void end_waiting_calls(lw_spread_t *s)
{
	for (uint32_t i = 0; i < s->hosts; i++) {
		node_t *n = &s->node[i];

		if (!n->up || n->reading != READING_CALL || !n->joined_us)
			continue;
		n->reading_number++;
		lw_spread_at_node(s, EVENT_READ, i, LW_SPREAD_STORE_US);
	}
}

/* the order of the first @n servers, and the size of that list as a document */
static void make_list(lw_spread_t *s, uint32_t version, uint32_t n)
{
	lw_serverlist_t *sl = &s->version[version].list;
	lw_bytebuf_t packed = { 0 };
	uint64_t before = lw_revdoc_hash(&s->document);

	sl->servers = xcalloc(n + 1, sizeof(lw_server_entry_t));
	sl->nservers = n;
	for (uint32_t i = 0; i < n; i++) {
		const node_t *of = &s->node[s->order[i]];
		lw_server_entry_t *e = &sl->servers[i];

		e->id = lw_name_format("i-%08x", s->order[i] * 2654435761u);
		lw_str_copy(e->addr, sizeof(e->addr), lw_str_c(of->backend));
		e->zone = lw_name_c(of->zone);
		e->service = lw_name_format("service-%u", s->order[i] % 4);
		e->slots = 42;
	}
	s->version[version].order = lw_fanout_order_new(sl);
	lw_meshframe_pack_servers(&packed, sl);
	lw_revdoc_put(&s->document, version,
		      (lw_str_t){ lw_bytebuf_head(&packed), lw_bytebuf_len(&packed) });
	s->version[version].bytes = (uint32_t)lw_revdoc_encode(&s->document, 0)->len;
	s->version[version].step_bytes = (uint32_t)lw_revdoc_encode(&s->document, before)->len;
	lw_bytebuf_free(&packed);
}

static void on_list(lw_spread_t *s)
{
	uint64_t passed_us = s->now_us - REGISTER_FROM_US;
	uint32_t n = (uint32_t)((uint64_t)s->hosts * passed_us / REGISTER_WITHIN_US);

	if (n > s->hosts)
		n = s->hosts;
	if (n > s->version[s->newest_list].list.nservers) {
		s->newest_list++;
		make_list(s, s->newest_list, n);
		end_waiting_calls(s);
	}
	if (n < s->hosts)
		lw_spread_push(s,
			       (event_t){ .kind = EVENT_LIST, .at_us = s->now_us + LIST_STEP_US });
}

static void on_config(lw_spread_t *s)
{
	s->newest_config++;
	s->config_us = s->now_us;
	/* a list without servers is a document, too */
	if (!s->newest_list) {
		s->newest_list = 1;
		make_list(s, 1, 0);
	}
	end_waiting_calls(s);
}

static void handle(lw_spread_t *s, const event_t *e)
{
	node_t *n = &s->node[e->node];
	bool of_node = e->kind != EVENT_LIST && e->kind != EVENT_CONFIG && e->kind != EVENT_START;
	bool from_node = e->kind == EVENT_STATUS || e->kind == EVENT_DOCUMENT;

	if (of_node && (!n->up || n->incarnation != e->incarnation))
		return;
	if (from_node && s->node[e->from].incarnation != e->from_incarnation)
		return;
	if ((e->kind == EVENT_READ || e->kind == EVENT_CALL) && e->reading != n->reading_number)
		return;
	switch (e->kind) {
	case EVENT_START:
		lw_spread_start_process(s, e->node);
		break;
	case EVENT_STEP:
		lw_spread_on_step(s, e->node);
		break;
	case EVENT_STATUS:
		lw_spread_on_status(s, e);
		break;
	case EVENT_DOCUMENT:
		lw_spread_on_document(s, e);
		break;
	case EVENT_READ:
		lw_spread_on_read(s, e->node);
		break;
	case EVENT_CALL:
		if (n->wants_reading)
			lw_spread_begin_call(s, e->node);
		else
			n->reading = READING_NOT;
		break;
	case EVENT_LIST:
		on_list(s);
		break;
	case EVENT_CONFIG:
		on_config(s);
		break;
	}
}

/*
 * lw_spread_new() - a fleet of @hosts that start together; their servers enter the list in the
 * seconds after it.
 */
lw_spread_t *lw_spread_new(uint32_t hosts, uint64_t seed)
{
	lw_spread_t *s = xcalloc(1, sizeof(*s));

	s->hosts = hosts < LW_SPREAD_HOSTS_MAX ? hosts : LW_SPREAD_HOSTS_MAX;
	s->rng = seed * 2654435769u | 1;
	s->node = xcalloc(s->hosts, sizeof(*s->node));
	s->order = xcalloc(s->hosts, sizeof(*s->order));
	s->store_answers = true;
	for (uint32_t i = 0; i < s->hosts; i++) {
		node_t *n = &s->node[i];
		uint32_t k = lw_spread_random_below(s, i + 1);

		snprintf(n->backend, sizeof(n->backend), "10.0.%u.%u:80", i / 250, i % 250);
		snprintf(n->zone, sizeof(n->zone), "zone-%u", i % LW_SPREAD_ZONES);
		s->order[i] = s->order[k];
		s->order[k] = i;
		lw_spread_push(s, (event_t){ .kind = EVENT_START,
					     .node = i,
					     .at_us = lw_spread_random_below(s, START_WITHIN_US) });
	}
	lw_spread_push(s, (event_t){ .kind = EVENT_CONFIG, .at_us = FIRST_CONFIG_US });
	lw_spread_push(s, (event_t){ .kind = EVENT_LIST, .at_us = REGISTER_FROM_US });
	return s;
}

/* lw_spread_free() - releases the model. */
void lw_spread_free(lw_spread_t *s)
{
	link_t *l, *next;

	HASH_ITER(hh, s->links, l, next)
	{
		HASH_DEL(s->links, l);
		free(l);
	}
	for (uint32_t v = 1; v <= s->newest_list; v++) {
		lw_fanout_order_free(s->version[v].order);
		free(s->version[v].list.servers);
	}
	lw_revdoc_free(&s->document);
	free(s->heap);
	free(s->order);
	free(s->node);
	free(s);
}

/* lw_spread_run_until() - runs the fleet until @at_us after the first start. */
void lw_spread_run_until(lw_spread_t *s, uint64_t at_us)
{
	while (s->nevents && s->heap[0].at_us <= at_us) {
		event_t e = lw_spread_pop(s);

		s->now_us = e.at_us;
		handle(s, &e);
	}
	s->now_us = at_us;
}

/* lw_spread_change_config() - the operator writes a new configuration now. */
void lw_spread_change_config(lw_spread_t *s)
{
	on_config(s);
}

/* lw_spread_set_store() - whether the store answers from now on. */
void lw_spread_set_store(lw_spread_t *s, bool answers)
{
	s->store_answers = answers;
}

/* lw_spread_refuse() - whether the store rejects the calls of @host from now on. */
void lw_spread_refuse(lw_spread_t *s, uint32_t host, bool refused)
{
	s->node[host].refused = refused;
}

/* lw_spread_kill() - the process of @host ends now and starts again after @restart_us. */
void lw_spread_kill(lw_spread_t *s, uint32_t host, uint64_t restart_us)
{
	node_t *n = &s->node[host];

	n->up = false;
	n->incarnation++;
	lw_spread_push(
		s, (event_t){ .kind = EVENT_START, .node = host, .at_us = s->now_us + restart_us });
}

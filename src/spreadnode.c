/* How a node of the model gets documents and passes them on; see spreadsim_int.h. */
#include "spreadsim_int.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* as in proxyjoin.c, proxyread.c, proxymesh.c and docfetch.c */
#define JOIN_STEP_US	    50000
#define QUERY_INTERVAL_US   100000
#define FORWARD_INTERVAL_US 300000
#define FETCH_TIMEOUT_US    300000
#define SHORT_LIST	    64
#define PIECE_BYTES	    16384
/* size of a configuration as it is sent */
#define CONFIG_BYTES 12000

bool lw_spread_joined(const node_t *n)
{
	return n->config && n->list;
}

static uint32_t host_of(const char *backend)
{
	unsigned a = 0, b = 0;

	sscanf(backend, "10.0.%u.%u", &a, &b);
	return a * 250 + b;
}

void lw_spread_forward_update(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];

	n->forwarded_us = n->store_read_us;
	for (size_t k = 0; n->wants_reading && k < n->plan.nroots; k++)
		lw_spread_send_status(s, i, host_of(n->plan.root[k]), false, false, false);
	for (size_t k = 0; k < n->plan.nchildren; k++)
		lw_spread_send_status(s, i, host_of(n->plan.child[k]), false, false, false);
}

/* the node has its first documents: those that wait for them are told */
static void check_joined(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];

	if (n->joined_us || !lw_spread_joined(n))
		return;
	n->joined_us = s->now_us;
	for (link_t *l = s->links; l; l = l->hh.next)
		if ((uint32_t)l->key == i && lw_spread_is_open(s, l))
			lw_spread_send_status(s, i, (uint32_t)(l->key >> 32), false, true, false);
}

void lw_spread_apply_list(lw_spread_t *s, uint32_t i, uint32_t version)
{
	node_t *n = &s->node[i];
	lw_fanout_t before;

	if (version <= n->list)
		return;
	before = n->plan;
	n->list = version;
	lw_fanout_plan_in(s->version[version].order, n->backend, n->zone, &n->plan);
	lw_fanout_keep_turn(&n->plan, &before);
	check_joined(s, i);
	lw_spread_forward_update(s, i);
}

void lw_spread_apply_config(lw_spread_t *s, uint32_t i, uint32_t version)
{
	node_t *n = &s->node[i];

	if (version <= n->config)
		return;
	n->config = version;
	n->config_us = s->now_us;
	check_joined(s, i);
	lw_spread_forward_update(s, i);
}

static void ask_others(lw_spread_t *s, uint32_t i)
{
	uint32_t asked = 0;

	for (link_t *l = s->node[i].links; l && asked < LW_FANOUT_ASK_NODES; l = l->next) {
		if (!lw_spread_is_open(s, l))
			continue;
		lw_spread_send_status(s, i, (uint32_t)l->key, true, false, false);
		asked++;
	}
	if (asked && s->version[s->node[i].list].list.nservers < SHORT_LIST)
		return;
	for (; asked < LW_FANOUT_ASK_NODES; asked++) {
		uint32_t n = (uint32_t)s->version[s->node[i].list].list.nservers;
		uint32_t to = n ? s->order[lw_spread_random_below(s, n)] : i;

		if (to != i)
			lw_spread_send_status(s, i, to, true, false, false);
	}
}

void lw_spread_on_step(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	uint64_t next_us = JOIN_STEP_US;

	if (!lw_spread_joined(n)) {
		uint32_t seed = lw_join_ask(&n->join, s->now_us);

		if (seed != LW_JOIN_NO_SEED && s->node[seed].up)
			lw_spread_send_status(s, i, seed, true, false, false);
		else if (seed != LW_JOIN_NO_SEED)
			lw_join_lost(&n->join, s->now_us);
	} else if (s->now_us >= n->peer_read_us + LW_FANOUT_ASK_MS * 1000) {
		ask_others(s, i);
		next_us = QUERY_INTERVAL_US;
	} else {
		next_us = n->peer_read_us + LW_FANOUT_ASK_MS * 1000 - s->now_us;
	}
	lw_spread_update_reading(s, i);
	lw_spread_at_node(s, EVENT_STEP, i, next_us);
}

/* size of the list as it is sent to a node that has version @base */
static uint32_t list_bytes(const lw_spread_t *s, uint32_t base, uint32_t version)
{
	uint32_t sum = 0;

	if (!base || version - base >= LW_REVDOC_VERSIONS)
		return s->version[version].bytes;
	for (uint32_t v = base + 1; v <= version; v++)
		sum += s->version[v].step_bytes;
	return sum < s->version[version].bytes ? sum : s->version[version].bytes;
}

/* asks @from for a document; it arrives in pieces of 16 KiB, each after a request */
static void fetch(lw_spread_t *s, uint32_t i, uint32_t from, bool of_list)
{
	node_t *n = &s->node[i];
	const node_t *peer = &s->node[from];
	uint32_t bytes = of_list ? list_bytes(s, n->list, peer->list) : CONFIG_BYTES;
	uint64_t trips = bytes / PIECE_BYTES + 1;

	if (n->fetch_us[of_list] && s->now_us - n->fetch_us[of_list] < FETCH_TIMEOUT_US)
		return;
	n->fetch_us[of_list] = s->now_us;
	n->counts.messages++;
	lw_spread_push(s, (event_t){ .kind = EVENT_DOCUMENT,
				     .at_us = s->now_us + lw_spread_transmit(s, from, bytes) +
					      (2 * trips - 1) * LW_SPREAD_HOP_US,
				     .node = i,
				     .incarnation = n->incarnation,
				     .from = from,
				     .from_incarnation = peer->incarnation,
				     .list = peer->list,
				     .config = peer->config,
				     .read_us = peer->store_read_us,
				     .of_list = of_list });
}

static void on_store_read(lw_spread_t *s, uint32_t i, uint64_t read_us)
{
	node_t *n = &s->node[i];

	if (read_us > n->peer_read_us)
		n->peer_read_us = read_us;
	if (read_us <= n->store_read_us)
		return;
	n->store_read_us = read_us;
	if (read_us - n->forwarded_us > FORWARD_INTERVAL_US)
		lw_spread_forward_update(s, i);
}

static void apply_store_read(lw_spread_t *s, const event_t *e)
{
	const node_t *n = &s->node[e->node];

	if (e->list <= n->list && e->config <= n->config && e->read_us)
		on_store_read(s, e->node, e->read_us);
}

void lw_spread_on_status(lw_spread_t *s, const event_t *e)
{
	node_t *n = &s->node[e->node];

	n->counts.messages++;
	n->heard_us = s->now_us;
	if (e->list > n->list)
		fetch(s, e->node, e->from, true);
	if (e->config > n->config)
		fetch(s, e->node, e->from, false);
	if (!e->wants_reply && e->list < n->list)
		lw_spread_send_status(s, e->node, e->from, false, true, false);
	apply_store_read(s, e);
	if (!lw_spread_joined(n) && e->from < LW_SPREAD_SEEDS)
		lw_join_heard(&n->join, e->from, s->now_us);
	if (!lw_spread_joined(n) && e->read_store)
		lw_join_delegated(&n->join, s->now_us);
	lw_spread_update_reading(s, e->node);
	if (e->wants_reply)
		lw_spread_send_status(s, e->node, e->from, false, true, false);
}

void lw_spread_on_document(lw_spread_t *s, const event_t *e)
{
	node_t *n = &s->node[e->node];

	n->counts.messages++;
	n->fetch_us[e->of_list] = 0;
	if (e->of_list)
		lw_spread_apply_list(s, e->node, e->list);
	else
		lw_spread_apply_config(s, e->node, e->config);
	apply_store_read(s, e);
}

void lw_spread_start_process(lw_spread_t *s, uint32_t i)
{
	node_t *n = &s->node[i];
	uint64_t digest = XXH3_64bits(n->backend, strlen(n->backend));

	n->up = true;
	n->started_us = s->now_us;
	n->joined_us = 0;
	n->list = 0;
	n->config = 0;
	n->peer_read_us = s->now_us;
	n->store_read_us = 0;
	n->heard_us = s->now_us;
	n->read_until_us = 0;
	n->fetch_us[0] = n->fetch_us[1] = 0;
	n->reading = READING_NOT;
	n->wants_reading = false;
	n->backoff_us = 0;
	n->wait_us = LW_SPREAD_WATCH_US;
	memset(&n->plan, 0, sizeof(n->plan));
	n->plan.rank = LW_FANOUT_NO_RANK;
	lw_join_init(&n->join, LW_SPREAD_SEEDS, i < LW_SPREAD_SEEDS ? i : LW_JOIN_NO_SEED, digest,
		     s->now_us);
	lw_spread_at_node(s, EVENT_STEP, i, 0);
}

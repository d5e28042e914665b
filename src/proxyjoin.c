/* Asks the seeds of the settings for the first documents; join.h decides. */
#include <string.h>
#include <xxhash.h>

#include "proxy_int.h"

/* interval at which a node that has no documents checks what to do next, in seconds */
#define JOIN_STEP_S 0.05

/* lw_proxy_joined() - whether this node has a configuration and a list of servers. */
bool lw_proxy_joined(const lw_proxy_t *p)
{
	return p->engine.conf && p->servers;
}

static void seed_node(const lw_proxy_t *p, uint32_t seed, char *node, size_t len)
{
	lw_place_node_addr(node, len, p->set->seeds.at[seed], p->set->mesh_port);
}

/* the number of the seed whose node is @node; LW_JOIN_NO_SEED: none */
static uint32_t seed_at(const lw_proxy_t *p, const char *node)
{
	char at[LW_NAME_MAX];

	for (uint32_t i = 0; i < p->set->seeds.n; i++) {
		seed_node(p, i, at, sizeof(at));
		if (strcmp(at, node) == 0)
			return i;
	}
	return LW_JOIN_NO_SEED;
}

/* boot time of the last failed call if the store has not answered since; else 0 */
static uint64_t store_failed_us(const lw_proxy_t *p)
{
	uint64_t failed_us = lw_storereader_last_failure(&p->store_reader).at_us;

	return failed_us > lw_storereader_last_read_us(&p->store_reader) ? failed_us : 0;
}

static void on_join_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	uint64_t now = p->evloop.now_us;
	uint32_t seed = lw_join_ask(&p->join, now);
	char node[LW_NAME_MAX];

	(void)loop;
	(void)revents;
	if (seed != LW_JOIN_NO_SEED) {
		seed_node(p, seed, node, sizeof(node));
		lw_mesh_ask_for_state(p->engine.mesh, node);
	}
	if (lw_join_delegates(&p->join, store_failed_us(p), now))
		lw_mesh_delegate_reading(p->engine.mesh, LW_JOIN_DELEGATES);
	lw_proxy_update_reading(p);
}

/* lw_proxy_join_init() - begins to ask the seeds, or to read the store. */
void lw_proxy_join_init(lw_proxy_t *p)
{
	lw_join_init(&p->join, p->set->seeds.n, seed_at(p, p->mesh_addr),
		     XXH3_64bits(p->set->backend, strlen(p->set->backend)), p->evloop.now_us);
	ev_timer_init(&p->join_timer, on_join_timer, 0, JOIN_STEP_S);
	p->join_timer.data = p;
	ev_timer_start(p->evloop.loop, &p->join_timer);
	lw_proxy_update_reading(p);
}

/*
 * lw_proxy_join_update() - a document has arrived. With both of them this node has joined, and
 * those that asked it for its state and got nothing are told.
 */
void lw_proxy_join_update(lw_proxy_t *p)
{
	if (!ev_is_active(&p->join_timer) || !lw_proxy_joined(p))
		return;
	ev_timer_stop(p->evloop.loop, &p->join_timer);
	lw_mesh_broadcast_status(p->engine.mesh);
}

/* lw_proxy_join_status() - @node sent its state. */
void lw_proxy_join_status(lw_proxy_t *p, const char *node, bool read_store)
{
	uint32_t seed = seed_at(p, node);

	if (lw_proxy_joined(p))
		return;
	if (seed != LW_JOIN_NO_SEED)
		lw_join_heard(&p->join, seed, p->evloop.now_us);
	if (read_store)
		lw_join_delegated(&p->join, p->evloop.now_us);
	lw_proxy_update_reading(p);
}

/* lw_proxy_join_node_lost() - the connection to @node was lost. */
void lw_proxy_join_node_lost(lw_proxy_t *p, const char *node)
{
	if (!lw_proxy_joined(p) && seed_at(p, node) != LW_JOIN_NO_SEED)
		lw_join_lost(&p->join, p->evloop.now_us);
}

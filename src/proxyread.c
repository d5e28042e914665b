/*
 * Decides whether this node reads the store itself, starts and stops the thread that reads, and
 * asks other nodes for their last read.
 */
#include <string.h>

#include "log.h"
#include "proxy_int.h"

/*
 * shortest interval between two urgent reads, which limits the calls to the
 * store, us
 */
#define URGENT_READ_INTERVAL_US 200000
/* how long the store is read after an urgent read, us */
#define URGENT_READ_US 300000
/* how long a node that substitutes for the readers goes on reading, us */
#define SUBSTITUTE_READ_US 2500000
/*
 * interval at which other nodes are asked while the last store read reported by
 * one of them is too old, us
 */
#define QUERY_INTERVAL_US 100000
/* a list of fewer servers may be the first part of that of a large fleet */
#define SHORT_LIST 64

/*
 * Whether this node, which reads the store now for the reason @why, lets
 * others retry first while the store does not answer.
 */
static bool defers(const lw_proxy_t *p, lw_storereader_reason_t why)
{
	if (why == LW_STOREREADER_START)
		return p->join.nseeds && !lw_join_is_seed(&p->join);
	return why == LW_STOREREADER_STALE && p->servers &&
	       !lw_fanout_is_reader_or_substitute(&p->fanout);
}

/* Starts or continues to read the store, for the reason @why. */
static void start_reading(lw_proxy_t *p, lw_storereader_reason_t why)
{
	if (p->servers && lw_storereader_is_idle(&p->store_reader))
		lw_mailbox_put(&p->store_reader.in_use, lw_serverlist_copy(p->servers));
	lw_storereader_start(&p->store_reader, why);
	lw_storereader_set_deferring(&p->store_reader, defers(p, why));
	lw_storereader_set_for_others(&p->store_reader, lw_join_is_seed(&p->join));
	lw_storereader_set_offset(&p->store_reader,
				  lw_fanout_is_reader(&p->fanout) && p->fanout.rank % 2);
	/*
	 * several reasons may apply at once: log only a new reason that outlasts
	 * the others
	 */
	if (p->reads_store && (p->reads_why == why || why != LW_STOREREADER_ELECTED))
		return;
	p->reads_store = true;
	p->reads_why = why;
	lw_log(LW_LOG_store_reading, "why=%s news_age_ms=%u others_age_ms=%llu rank=%u",
	       lw_storereader_reason_name(why), lw_proxy_update_age_ms(p),
	       (unsigned long long)((p->evloop.now_us - p->peer_read_us) / 1000), p->fanout.rank);
}

static void stop_reading(lw_proxy_t *p)
{
	lw_storereader_stop(&p->store_reader);
	if (p->reads_store)
		lw_log(LW_LOG_store_reading, "why=none others_age_ms=%llu rank=%u",
		       (unsigned long long)((p->evloop.now_us - p->peer_read_us) / 1000),
		       p->fanout.rank);
	p->reads_store = false;
}

/*
 * lw_proxy_read_store_for() - this node reads the store itself for at least @us
 * microseconds, for the reason @why.
 */
void lw_proxy_read_store_for(lw_proxy_t *p, uint64_t us, lw_storereader_reason_t why)
{
	if (p->read_until_us < p->evloop.now_us + us)
		p->read_until_us = p->evloop.now_us + us;
	start_reading(p, why);
}

/* whether the last update from another node is so old that this node reads the store itself */
static bool news_too_old(const lw_proxy_t *p)
{
	uint64_t now = p->evloop.now_us;
	bool alone = now > p->peer_heard_us + LW_FANOUT_ALONE_MS * 1000;
	uint32_t after_ms = p->fanout.read_after_ms;

	if (alone && p->fanout.alone_read_after_ms < after_ms)
		after_ms = p->fanout.alone_read_after_ms;
	return now > p->peer_read_us + (uint64_t)after_ms * 1000;
}

/* a reader; while the fleet starts and no server is listed yet, the seeds */
static bool reads_for_all(const lw_proxy_t *p)
{
	if (!p->servers->nservers)
		return lw_join_is_seed(&p->join);
	return lw_fanout_is_reader(&p->fanout);
}

/*
 * lw_proxy_update_reading() - starts or stops reading the store. A reader
 * always reads it. Any other node reads only while it receives no reports of
 * reads by other nodes. Its own reads do not count: the node would stop, wait in
 * vain for reads by others, and start again.
 */
void lw_proxy_update_reading(lw_proxy_t *p)
{
	uint64_t now = p->evloop.now_us;
	bool old = news_too_old(p);

	if (!lw_proxy_joined(p)) {
		if (lw_join_reads_store(&p->join, now))
			start_reading(p, LW_STOREREADER_START);
		else
			stop_reading(p);
		return;
	}
	if (reads_for_all(p))
		start_reading(p, LW_STOREREADER_ELECTED);
	else if (old)
		lw_proxy_read_store_for(
			p, lw_fanout_is_reader_or_substitute(&p->fanout) ? SUBSTITUTE_READ_US : 0,
			LW_STOREREADER_STALE);
	else if (p->servers && now >= p->read_until_us)
		stop_reading(p);
}

static void on_reader_wakeup(struct ev_loop *loop, ev_async *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_fleetconf_t *fc = lw_mailbox_take(&p->store_reader.conf);
	lw_serverlist_t *sl = lw_mailbox_take(&p->store_reader.servers);

	(void)loop;
	(void)revents;
	if (fc)
		lw_proxy_apply_config(p, fc, "store");
	if (sl)
		lw_proxy_apply_servers(p, sl, "store");
	lw_proxy_update_ready(p);
	if (lw_storereader_last_read_us(&p->store_reader) > p->store_read_us) {
		p->store_read_us = lw_storereader_last_read_us(&p->store_reader);
		lw_proxy_forward_update(p);
	}
	lw_proxy_update_reading(p);
}

/*
 * lw_proxy_refresh_list() - reads the store at once, as a backend server was
 * restarted and only the entry of its previous process is known. The next regular
 * read would come up to 0.7 s later; after a power failure all calls to the
 * service failed until then.
 */
void lw_proxy_refresh_list(void *ctx)
{
	lw_proxy_t *p = ctx;

	if (p->evloop.now_us - p->urgent_read_us < URGENT_READ_INTERVAL_US)
		return;
	p->urgent_read_us = p->evloop.now_us;
	lw_proxy_read_store_for(p, URGENT_READ_US, LW_STOREREADER_SERVER_REPLACED);
	lw_storereader_read_now(&p->store_reader);
}

/*
 * Asks other nodes for their state. A node that has just started is connected to few nodes, and
 * nobody forwards updates to it before its backend server is listed: it opens connections to
 * others. While a whole fleet starts the list is short, and all nodes would choose the same few;
 * then those that the node is connected to suffice.
 */
static void ask_others(lw_proxy_t *p)
{
	uint32_t asked = lw_mesh_request_status(p->engine.mesh, LW_FANOUT_ASK_NODES);
	char node[LW_NAME_MAX];

	if (!p->servers || !p->servers->nservers)
		return;
	if (asked && p->servers->nservers < SHORT_LIST)
		return;
	for (; asked < LW_FANOUT_ASK_NODES; asked++) {
		uint32_t n = lw_evloop_random(&p->evloop, (uint32_t)p->servers->nservers);

		lw_place_node_addr(node, sizeof(node), p->servers->servers[n].addr,
				   p->set->mesh_port);
		if (strcmp(node, p->mesh_addr) != 0)
			lw_mesh_connect(p->engine.mesh, node);
	}
}

/*
 * Asks other nodes for their last store read once the last read that another node
 * reported is too old, which does not happen while reports of the readers arrive.
 */
static void on_query_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	uint64_t due = p->peer_read_us + LW_FANOUT_ASK_MS * 1000;
	uint64_t left = due > p->evloop.now_us ? due - p->evloop.now_us : 0;

	(void)revents;
	if (!left) {
		ask_others(p);
		left = QUERY_INTERVAL_US;
	}
	lw_proxy_update_reading(p);
	ev_timer_set(w, (double)left / 1e6, 0);
	ev_timer_start(loop, w);
}

static void free_conf(void *fc)
{
	lw_fleetconf_free(fc);
}

static void free_servers(void *sl)
{
	lw_serverlist_free(sl);
}

/* lw_proxy_start_store_reader() - starts the thread that reads the store. */
lw_status_t lw_proxy_start_store_reader(lw_proxy_t *p)
{
	ev_async_init(&p->reader_wakeup, on_reader_wakeup);
	p->reader_wakeup.data = p;
	ev_async_start(p->evloop.loop, &p->reader_wakeup);
	lw_storereader_init(&p->store_reader, p->set);
	p->peer_read_us = p->evloop.now_us;
	p->peer_heard_us = p->evloop.now_us;
	lw_fanout_plan(&(lw_serverlist_t){ 0 }, p->set->backend, p->set->zone, &p->fanout);
	ev_timer_init(&p->query_timer, on_query_timer, LW_FANOUT_ASK_MS / 1000.0, 0);
	p->query_timer.data = p;
	ev_timer_start(p->evloop.loop, &p->query_timer);
	p->store_reader.conf = (lw_mailbox_t){ .release = free_conf,
					       .loop = p->evloop.loop,
					       .wake = &p->reader_wakeup };
	p->store_reader.in_use = (lw_mailbox_t){ .release = free_servers };
	p->store_reader.servers = (lw_mailbox_t){ .release = free_servers,
						  .loop = p->evloop.loop,
						  .wake = &p->reader_wakeup };
	lw_proxy_join_init(p);
	return p->platform->start_store_reader(&p->store_reader);
}

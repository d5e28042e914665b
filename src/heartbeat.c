/*
 * Membership protocol between nodes. In every round a node exchanges heartbeats with one
 * random peer of the host list (anti-entropy: both learn of a newer configuration, Demers
 * et al. 1987), with peers it depends on that are suspected or draining, and over its
 * longest idle connections, which detects those that went silent. A draining node notifies
 * its recent callers at once.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "linux/clock.h"
#include "log.h"
#include "node_int.h"
#include "xalloc.h"

#define ROUND_MS       500
#define PING_MS	       300 /* timeout of a heartbeat */
#define WATCHED_MAX    4 /* suspected or draining peers contacted in a round */
#define POOL_IDLE_MS   10000 /* idle time after which connections are closed */
#define CALLER_KEEP_MS 60000 /* callers of the last minute are notified of a drain */
#define JOIN_PEERS     4 /* peers contacted before the first request is accepted */
#define JOIN_POLL_MS   5
#define JOIN_MAX_MS    2000
#define DRAIN_THREADS  4 /* peers notified of a drain in parallel */

/* lw_heartbeat_fill() - fills a ping or pong with this node's state. */
void lw_heartbeat_fill(lw_node_t *n, Lw__Ping *ping)
{
	pthread_mutex_lock(&n->lock);
	ping->draining = n->policy->info.draining;
	ping->config_version = n->policy->info.config_version;
	ping->load_permille = lw_node_load_permille(n);
	pthread_mutex_unlock(&n->lock);
	ping->sender = n->set.advertise;
	ping->incarnation = n->incarnation;
}

/* lw_heartbeat_received() - processes the state of a peer in a ping or pong. */
void lw_heartbeat_received(lw_node_t *n, const Lw__Ping *ping)
{
	lw_event_t ev = { .kind = LW_EV_PEER_STATE,
			  .incarnation = ping->incarnation,
			  .draining = ping->draining,
			  .load_permille = ping->load_permille };

	pthread_mutex_lock(&n->lock);
	ev.peer = lw_peerset_find(n->policy->info.peers, ping->sender);
	if (ev.peer >= 0)
		lw_node_step(n, &ev);
	pthread_mutex_unlock(&n->lock);
	lw_confwatch_peer_has(n, ping->sender, ping->config_version);
}

static void ping_peer(lw_node_t *n, const char *addr)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__Ping ping = LW__PING__INIT;
	Lw__Frame *reply;

	lw_heartbeat_fill(n, &ping);
	ping.nonce = lw_now_us();
	f.body_case = LW__FRAME__BODY_PING;
	f.ping = &ping;
	lw_counter_add(n->count.heartbeats, 1);
	lw_counter_add(n->count.control_bytes, lw__frame__get_packed_size(&f) + 4);
	if (!lw_pool_request(n->pool, addr, &f, PING_MS, false, &reply))
		return;
	if (reply->body_case == LW__FRAME__BODY_PONG && reply->pong->nonce == ping.nonce) {
		/*
		 * peers are identified by the address in the host list: the state in the pong
		 * is ignored if the advertised address is not known here
		 */
		if (strcmp(reply->pong->sender, addr) != 0)
			lw_log(LW_LOG_peer_address, "listed=%s advertised=%s", addr,
			       reply->pong->sender);
		lw_heartbeat_received(n, reply->pong);
	}
	lw_frame_free(reply);
}

static bool should_watch(const lw_peer_t *p, uint64_t now)
{
	lw_peer_state_t s = lw_peer_state(p, now);

	/* only peers that this node has communicated with; other nodes watch the rest */
	return p->incarnation && (s == LW_PEER_SUSPECTED || s == LW_PEER_DRAINING);
}

/* chooses the peers of this round: one at random, and the watched ones in turn */
static size_t choose_peers(lw_node_t *n, char addrs[][LW_NAME_MAX], size_t max, size_t *turn)
{
	const lw_peerset_t *ps = n->policy->info.peers;
	uint64_t now = lw_now_ms();
	size_t found = 0, count;
	const lw_peer_t *p;

	pthread_mutex_lock(&n->lock);
	count = lw_peerset_count(ps);
	p = count ? lw_peerset_get(ps, (int)((uint64_t)lrand48() % count)) : NULL;
	if (p && p->listed && strcmp(p->addr, n->set.advertise) != 0)
		memcpy(addrs[found++], p->addr, LW_NAME_MAX);
	for (size_t i = 0; i < count && found < max; i++) {
		p = lw_peerset_get(ps, (int)((*turn + i) % count));
		if (should_watch(p, now))
			memcpy(addrs[found++], p->addr, LW_NAME_MAX);
	}
	*turn += 1;
	pthread_mutex_unlock(&n->lock);
	return found;
}

static void forget_old_callers(lw_node_t *n)
{
	uint64_t now = lw_now_ms();
	lw_caller_t *c, *next;

	pthread_mutex_lock(&n->lock);
	HASH_ITER(hh, n->callers, c, next)
	{
		if (now - c->seen_ms < CALLER_KEEP_MS)
			continue;
		HASH_DEL(n->callers, c);
		free(c);
	}
	pthread_mutex_unlock(&n->lock);
}

static bool has_config(const lw_node_t *n)
{
	return __atomic_load_n(&n->policy->info.config_version, __ATOMIC_RELAXED) != 0;
}

/*
 * Before it accepts requests, a node compares its configuration with a few peers: it may
 * have started while the configuration service delivers an old version, and must not use a
 * version that the fleet has replaced. The wait is limited to JOIN_MAX_MS, so that a fleet
 * that starts as a whole, or without the service, becomes available too.
 */
static void sync_before_serving(lw_node_t *n)
{
	uint64_t until = lw_now_ms() + JOIN_MAX_MS;

	while (!has_config(n) && lw_now_ms() < until)
		usleep(JOIN_POLL_MS * 1000);
	for (int i = 0; i < JOIN_PEERS && lw_now_ms() < until; i++) {
		char addr[1][LW_NAME_MAX];
		size_t turn = 0;

		if (choose_peers(n, addr, 1, &turn))
			ping_peer(n, addr[0]);
	}
	while (lw_confwatch_fetching(n) && lw_now_ms() < until)
		usleep(JOIN_POLL_MS * 1000);
	__atomic_store_n(&n->joined, 1, __ATOMIC_RELEASE);
	lw_log(LW_LOG_joined, "version=%llu",
	       (unsigned long long)__atomic_load_n(&n->policy->info.config_version,
						   __ATOMIC_RELAXED));
}

static void *heartbeat_main(void *arg)
{
	lw_node_t *n = arg;
	size_t turn = 0;

	sync_before_serving(n);
	while (!__atomic_load_n(&n->stopping, __ATOMIC_RELAXED)) {
		char addrs[1 + WATCHED_MAX][LW_NAME_MAX];
		size_t count = choose_peers(n, addrs, 1 + WATCHED_MAX, &turn);

		for (size_t i = 0; i < count; i++)
			ping_peer(n, addrs[i]);
		lw_pool_trim(n->pool, POOL_IDLE_MS);
		forget_old_callers(n);
		/* random interval, so that nodes started together do not synchronise */
		usleep((useconds_t)(ROUND_MS * 3 / 4 + lrand48() % (ROUND_MS / 2)) * 1000);
	}
	return NULL;
}

/* lw_heartbeat_start() - starts the heartbeat thread. */
void lw_heartbeat_start(lw_node_t *n)
{
	pthread_t t;

	srand48((long)n->incarnation);
	pthread_create(&t, NULL, heartbeat_main, n);
	pthread_detach(t);
}

typedef struct notify_job {
	lw_node_t *n;
	char (*addrs)[LW_NAME_MAX];
	size_t count;
	size_t next; /* atomic: incremented by DRAIN_THREADS threads */
	int users;
} notify_job_t;

static void *notify_main(void *arg)
{
	notify_job_t *t = arg;
	size_t i;

	while ((i = __atomic_fetch_add(&t->next, 1, __ATOMIC_RELAXED)) < t->count)
		ping_peer(t->n, t->addrs[i]);
	if (__atomic_sub_fetch(&t->users, 1, __ATOMIC_ACQ_REL) == 0) {
		free(t->addrs);
		free(t);
	}
	return NULL;
}

/*
 * lw_heartbeat_notify_callers() - sends this node's (drain) state to the nodes that called
 * it in the last minute, so that a backend server that shuts down gets no new work even
 * while the platform's host list is outdated.
 */
void lw_heartbeat_notify_callers(lw_node_t *n)
{
	notify_job_t *t = xcalloc(1, sizeof(*t));
	lw_caller_t *c;

	pthread_mutex_lock(&n->lock);
	t->addrs = xcalloc(HASH_COUNT(n->callers), sizeof(*t->addrs));
	for (c = n->callers; c; c = c->hh.next)
		memcpy(t->addrs[t->count++], c->addr, LW_NAME_MAX);
	pthread_mutex_unlock(&n->lock);
	t->n = n;
	t->users = DRAIN_THREADS;
	for (int i = 0; i < DRAIN_THREADS; i++) {
		pthread_t th;

		if (pthread_create(&th, NULL, notify_main, t))
			notify_main(t); /* out of threads: notify them in this thread */
		else
			pthread_detach(th);
	}
}

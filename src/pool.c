/* Pooled peer connections and their heartbeat; see pool.h. */
#include "pool.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "linux/clock.h"
#include "linux/sock.h"
#include "log.h"
#include "platconf.h"
#include "xalloc.h"

#define POOL_PEERS_MAX	  256
#define POOL_IDLE_MAX	  8 /* idle connections kept per peer */
#define POOL_CONNECT_MS	  200
#define POOL_PING_IDLE_MS 1000 /* idle this long: ping before trusting it */

typedef struct idle_conn {
	int fd;
	uint64_t since_ms;
} idle_conn_t;

typedef struct peer_pool {
	char addr[LW_NAME_MAX];
	idle_conn_t idle[POOL_IDLE_MAX];
	int nidle;
} peer_pool_t;

struct lw_pool {
	pthread_mutex_t lock;
	peer_pool_t peers[POOL_PEERS_MAX];
	int npeers;
	unsigned silent_replaced;
	uint64_t nonce;
};

/* lw_pool_new() - an empty pool. */
lw_pool_t *lw_pool_new(void)
{
	lw_pool_t *p = xcalloc(1, sizeof(*p));

	pthread_mutex_init(&p->lock, NULL);
	return p;
}

/* lw_pool_free() - close every idle connection and free @p. */
void lw_pool_free(lw_pool_t *p)
{
	for (int i = 0; i < p->npeers; i++)
		for (int j = 0; j < p->peers[i].nidle; j++)
			close(p->peers[i].idle[j].fd);
	free(p);
}

static peer_pool_t *peer_of(lw_pool_t *p, const char *addr)
{
	for (int i = 0; i < p->npeers; i++)
		if (strcmp(p->peers[i].addr, addr) == 0)
			return &p->peers[i];
	if (p->npeers == POOL_PEERS_MAX)
		return NULL;
	snprintf(p->peers[p->npeers].addr, LW_NAME_MAX, "%s", addr);
	return &p->peers[p->npeers++];
}

static int take(lw_pool_t *p, const char *addr)
{
	int fd = -1;

	pthread_mutex_lock(&p->lock);
	peer_pool_t *pp = peer_of(p, addr);

	if (pp && pp->nidle)
		fd = pp->idle[--pp->nidle].fd;
	pthread_mutex_unlock(&p->lock);
	return fd;
}

static void give_back(lw_pool_t *p, const char *addr, int fd)
{
	pthread_mutex_lock(&p->lock);
	peer_pool_t *pp = peer_of(p, addr);

	if (pp && pp->nidle < POOL_IDLE_MAX) {
		pp->idle[pp->nidle++] = (idle_conn_t){ fd, lw_now_ms() };
		fd = -1;
	}
	pthread_mutex_unlock(&p->lock);
	if (fd >= 0)
		close(fd);
}

static uint64_t frame_id(const Lw__Frame *f)
{
	if (f->body_case == LW__FRAME__BODY_REQUEST)
		return f->request->request_id;
	if (f->body_case == LW__FRAME__BODY_REPLY)
		return f->reply->request_id;
	return 0;
}

/*
 * lw_pool_call() - send @req to the node at @addr and wait @timeout_ms for
 * the reply with the same request id. The result says whether the peer can
 * have received the request (see lw_pool_fail_t); *@reply is set on
 * LW_POOL_OK and freed by the caller with lw_frame_free().
 */
lw_pool_fail_t lw_pool_call(lw_pool_t *p, const char *addr, const Lw__Frame *req, int timeout_ms,
			    Lw__Frame **reply)
{
	int fd = take(p, addr);
	bool fresh = fd < 0;

	*reply = NULL;
	if (fresh && lw_sock_connect(addr, POOL_CONNECT_MS, &fd))
		return LW_POOL_CONNECT;
	if (lw_frame_write(fd, req)) {
		close(fd);
		/* a pooled connection the peer closed while idle: try once anew */
		if (!fresh && !lw_sock_connect(addr, POOL_CONNECT_MS, &fd)) {
			if (!lw_frame_write(fd, req))
				goto sent;
			close(fd);
		}
		return LW_POOL_WRITE;
	}
sent:
	if (lw_frame_read(fd, timeout_ms, reply)) {
		close(fd);
		return LW_POOL_TIMEOUT;
	}
	if ((*reply)->body_case != LW__FRAME__BODY_REPLY || frame_id(*reply) != frame_id(req)) {
		/* a crossed reply: never hand it on, and never reuse this connection */
		lw_frame_free(*reply);
		*reply = NULL;
		close(fd);
		return LW_POOL_BROKEN;
	}
	give_back(p, addr, fd);
	return LW_POOL_OK;
}

static bool ping_one(lw_pool_t *p, int fd, int timeout_ms, Lw__Ping **pong_out)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__Ping ping = LW__PING__INIT;
	Lw__Frame *r = NULL;

	ping.nonce = ++p->nonce;
	f.body_case = LW__FRAME__BODY_PING;
	f.ping = &ping;
	if (lw_frame_write(fd, &f) || lw_frame_read(fd, timeout_ms, &r))
		return false;
	if (r->body_case != LW__FRAME__BODY_PONG || r->pong->nonce != ping.nonce) {
		lw_frame_free(r);
		return false;
	}
	*pong_out = r->pong;
	r->pong = NULL;
	r->body_case = LW__FRAME__BODY__NOT_SET;
	lw_frame_free(r);
	return true;
}

/*
 * lw_pool_heartbeat() - ping one connection of each peer that has been idle
 * over a second. A connection can go silent for good while new ones work
 * (a middlebox lost its state); a request sent on it would end "unknown".
 * The ping finds it first: no pong within @timeout_ms and it is closed and
 * counted. Each pong's drain state is passed to @fn.
 */
void lw_pool_heartbeat(lw_pool_t *p, uint64_t now_ms, int timeout_ms, lw_pool_pong_fn fn, void *ctx)
{
	for (int i = 0;; i++) {
		char addr[LW_NAME_MAX];
		int fd = -1;
		Lw__Ping *pong = NULL;

		pthread_mutex_lock(&p->lock);
		if (i >= p->npeers) {
			pthread_mutex_unlock(&p->lock);
			return;
		}
		peer_pool_t *pp = &p->peers[i];

		if (pp->nidle && now_ms - pp->idle[0].since_ms >= POOL_PING_IDLE_MS) {
			fd = pp->idle[0].fd;
			memmove(&pp->idle[0], &pp->idle[1],
				(size_t)(pp->nidle - 1) * sizeof(pp->idle[0]));
			pp->nidle--;
		}
		snprintf(addr, sizeof(addr), "%s", pp->addr);
		pthread_mutex_unlock(&p->lock);
		if (fd < 0)
			continue;
		if (!ping_one(p, fd, timeout_ms, &pong)) {
			close(fd);
			__atomic_add_fetch(&p->silent_replaced, 1, __ATOMIC_RELAXED);
			lw_log(LW_LOG_conn_silent, "peer=%s", addr);
			continue;
		}
		if (fn)
			fn(ctx, addr, pong);
		lw__ping__free_unpacked(pong, NULL);
		give_back(p, addr, fd);
	}
}

/* lw_pool_silent_replaced() - how many silent connections were closed. */
unsigned lw_pool_silent_replaced(const lw_pool_t *p)
{
	return __atomic_load_n(&p->silent_replaced, __ATOMIC_RELAXED);
}

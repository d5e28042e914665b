/* Connections to peer nodes and the calls over them; see pool.h. */
#include "pool.h"

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uthash.h>

#include "linux/clock.h"
#include "linux/sock.h"
#include "log.h"
#include "platconf.h"
#include "xalloc.h"

#define POOL_IDLE_MAX	8 /* idle connections kept per peer */
#define POOL_CONNECT_MS 200
#define POOL_QUERY_MS	200 /* a query is answered from memory */

typedef struct idle_conn {
	int fd;
	uint64_t since_ms;
} idle_conn_t;

typedef struct peer_conns {
	char addr[LW_NAME_MAX];
	idle_conn_t idle[POOL_IDLE_MAX]; /* longest idle first */
	int nidle;
	UT_hash_handle hh;
} peer_conns_t;

struct lw_pool {
	pthread_mutex_t lock;
	peer_conns_t *peers;
	unsigned silent_replaced;
	unsigned queries;
	uint64_t next_query;
};

/* lw_pool_new() - create an empty pool. */
lw_pool_t *lw_pool_new(void)
{
	lw_pool_t *p = xcalloc(1, sizeof(*p));

	pthread_mutex_init(&p->lock, NULL);
	return p;
}

/* lw_pool_free() - close every idle connection and free @p. */
void lw_pool_free(lw_pool_t *p)
{
	lw_pool_trim(p, 0);
	free(p);
}

static peer_conns_t *get_peer_conns(lw_pool_t *p, const char *addr, bool create)
{
	peer_conns_t *pc = NULL;

	HASH_FIND_STR(p->peers, addr, pc);
	if (pc || !create)
		return pc;
	pc = xcalloc(1, sizeof(*pc));
	snprintf(pc->addr, sizeof(pc->addr), "%s", addr);
	HASH_ADD_STR(p->peers, addr, pc);
	return pc;
}

static int take_idle(lw_pool_t *p, const char *addr)
{
	int fd = -1;

	pthread_mutex_lock(&p->lock);
	peer_conns_t *pc = get_peer_conns(p, addr, false);

	/* the most recently used connection is the least likely to have gone silent */
	while (fd < 0 && pc && pc->nidle) {
		fd = pc->idle[--pc->nidle].fd;
		if (lw_sock_stale(fd)) {
			close(fd);
			fd = -1;
		}
	}
	pthread_mutex_unlock(&p->lock);
	return fd;
}

static void return_idle(lw_pool_t *p, const char *addr, int fd)
{
	pthread_mutex_lock(&p->lock);
	peer_conns_t *pc = get_peer_conns(p, addr, true);

	if (pc->nidle < POOL_IDLE_MAX) {
		pc->idle[pc->nidle++] = (idle_conn_t){ fd, lw_now_ms() };
		fd = -1;
	}
	pthread_mutex_unlock(&p->lock);
	if (fd >= 0)
		close(fd);
}

/* a connection to @addr went silent, so the idle ones may be dead too */
static void drop_idle(lw_pool_t *p, const char *addr)
{
	unsigned dropped = 1;

	pthread_mutex_lock(&p->lock);
	peer_conns_t *pc = get_peer_conns(p, addr, false);

	while (pc && pc->nidle) {
		close(pc->idle[--pc->nidle].fd);
		dropped++;
	}
	pthread_mutex_unlock(&p->lock);
	__atomic_add_fetch(&p->silent_replaced, dropped, __ATOMIC_RELAXED);
	lw_log(LW_LOG_conn_silent, "peer=%s connections=%u", addr, dropped);
}

static lw_pool_fail_t send_request(lw_pool_t *p, const char *addr, const Lw__Frame *req, int *fd)
{
	bool fresh;

	*fd = take_idle(p, addr);
	fresh = *fd < 0;
	if (fresh && lw_sock_connect(addr, POOL_CONNECT_MS, fd))
		return LW_POOL_CONNECT;
	if (!lw_frame_write(*fd, req))
		return LW_POOL_OK;
	lw_sock_abort(*fd);
	if (fresh)
		return LW_POOL_WRITE;
	/*
	 * the peer had closed the pooled connection while it was idle: retry once on a new
	 * connection
	 */
	if (lw_sock_connect(addr, POOL_CONNECT_MS, fd))
		return LW_POOL_CONNECT;
	if (!lw_frame_write(*fd, req))
		return LW_POOL_OK;
	lw_sock_abort(*fd);
	return LW_POOL_WRITE;
}

static bool request_on(int fd, const Lw__Frame *req, int timeout_ms, Lw__Frame **reply)
{
	if (lw_frame_write(fd, req) || lw_frame_read(fd, timeout_ms, timeout_ms, reply))
		return false;
	if ((*reply)->body_case != LW__FRAME__BODY_REPLY)
		return true;
	/* the last reply of a process that exits: the connection is over */
	lw_frame_free(*reply);
	*reply = NULL;
	return false;
}

/*
 * lw_pool_request() - send one request and wait for its reply, for frames other than calls
 * (queries, heartbeats, configuration). @fresh requires a new connection; otherwise an idle
 * connection is tried first, which detects whether it went silent. Returns false if no reply
 * arrives within @timeout_ms.
 */
bool lw_pool_request(lw_pool_t *p, const char *addr, const Lw__Frame *req, int timeout_ms,
		     bool fresh, Lw__Frame **reply)
{
	int connect_ms = timeout_ms < POOL_CONNECT_MS ? timeout_ms : POOL_CONNECT_MS;
	int fd = fresh ? -1 : take_idle(p, addr);

	*reply = NULL;
	if (fd >= 0 && !request_on(fd, req, timeout_ms, reply)) {
		lw_sock_abort(fd);
		drop_idle(p, addr);
		fd = -1;
	}
	if (*reply) {
		return_idle(p, addr, fd);
		return true;
	}
	if (lw_sock_connect(addr, connect_ms, &fd))
		return false;
	if (!request_on(fd, req, timeout_ms, reply)) {
		lw_sock_abort(fd);
		return false;
	}
	return_idle(p, addr, fd);
	return true;
}

/* queries the state of the attempt @req at the peer; RECORD_NONE if it is unknown */
static Lw__RecordState query(lw_pool_t *p, const lw_pool_call_t *call, const Lw__Frame *req,
			     Lw__Frame **record)
{
	Lw__Frame f = LW__FRAME__INIT;
	Lw__Query q = LW__QUERY__INIT;

	*record = NULL;
	q.query_id = __atomic_add_fetch(&p->next_query, 1, __ATOMIC_RELAXED);
	q.sender_incarnation = req->request->sender_incarnation;
	q.request_id = req->request->request_id;
	f.body_case = LW__FRAME__BODY_QUERY;
	f.query = &q;
	__atomic_add_fetch(&p->queries, 1, __ATOMIC_RELAXED);
	if (!lw_pool_request(p, call->addr, &f, POOL_QUERY_MS, true, record))
		return LW__RECORD_STATE__RECORD_NONE;
	if ((*record)->body_case != LW__FRAME__BODY_RECORD ||
	    (*record)->record->query_id != q.query_id) {
		lw_frame_free(*record);
		*record = NULL;
		return LW__RECORD_STATE__RECORD_NONE;
	}
	return (*record)->record->state;
}

static Lw__Frame *reply_from_record(Lw__Frame *f, uint64_t request_id)
{
	Lw__Record *rec = f->record;
	Lw__Reply *rep = xmalloc(sizeof(*rep));

	lw__reply__init(rep);
	rep->request_id = request_id;
	rep->outcome = LW__OUTCOME__OUTCOME_DONE;
	rep->status = rec->status;
	rep->body = rec->body;
	rep->retries_used = rec->retries_used;
	rep->incarnation = rec->incarnation;
	rec->body.data = NULL;
	rec->body.len = 0;
	lw__record__free_unpacked(rec, NULL);
	f->body_case = LW__FRAME__BODY_REPLY;
	f->reply = rep;
	return f;
}

/*
 * Queries the peer for the state of a silent attempt. Returns true if that settles the call with
 * *@verdict. "Never received" is only accepted from a process that already existed before the
 * request was sent: a restarted process has no record of what its predecessor executed.
 */
static bool settled_by_query(lw_pool_t *p, const lw_pool_call_t *call, const Lw__Frame *req,
			     Lw__Frame **reply, lw_pool_fail_t *verdict)
{
	Lw__Frame *f;
	Lw__RecordState state = query(p, call, req, &f);

	if (state == LW__RECORD_STATE__RECORD_DONE && f->record->has_answer) {
		*reply = reply_from_record(f, req->request->request_id);
		*verdict = LW_POOL_OK;
		return true;
	}
	if (state == LW__RECORD_STATE__RECORD_REFUSED && call->incarnation &&
	    f->record->incarnation == call->incarnation) {
		lw_frame_free(f);
		*verdict = LW_POOL_NOT_RECEIVED;
		return true;
	}
	lw_frame_free(f);
	*verdict = LW_POOL_TIMEOUT;
	return state == LW__RECORD_STATE__RECORD_MAYBE;
}

/*
 * A process that exits ends each connection with a "not run" reply without a request id. It has
 * replied to all that it read before and executes nothing that it reads later.
 */
static bool is_last_reply(const Lw__Reply *r)
{
	return r->request_id == 0 && r->outcome == LW__OUTCOME__OUTCOME_NOT_RUN;
}

static lw_pool_fail_t check_reply(const Lw__Frame *req, Lw__Frame **reply)
{
	if ((*reply)->body_case == LW__FRAME__BODY_REPLY &&
	    ((*reply)->reply->request_id == req->request->request_id ||
	     is_last_reply((*reply)->reply)))
		return LW_POOL_OK;
	/* the reply belongs to another request: discard it, and do not reuse this connection */
	lw_frame_free(*reply);
	*reply = NULL;
	return LW_POOL_BROKEN;
}

/* waits until the call is settled, on @fd or, after the connection broke, by queries only */
static lw_pool_fail_t await_reply(lw_pool_t *p, const lw_pool_call_t *call, const Lw__Frame *req,
				  int *fd, Lw__Frame **reply)
{
	uint64_t until = lw_now_ms() + (uint64_t)call->timeout_ms;
	uint64_t probe = (uint64_t)call->probe_ms;
	lw_pool_fail_t verdict = LW_POOL_TIMEOUT;

	for (;;) {
		uint64_t now = lw_now_ms();
		uint64_t left = until > now ? until - now : 0;
		uint64_t wait = probe && probe < left ? probe : left;
		lw_status_t st = LW_ERR_TIMEOUT;

		if (*fd >= 0)
			st = lw_frame_read(*fd, (int)wait, (int)left, reply);
		else
			poll(NULL, 0, (int)wait);
		if (st == LW_OK)
			return check_reply(req, reply);
		if (st != LW_ERR_TIMEOUT) {
			lw_sock_abort(*fd);
			*fd = -1;
			verdict = LW_POOL_BROKEN;
		}
		if (!probe || lw_now_ms() >= until)
			return verdict;
		if (settled_by_query(p, call, req, reply, &verdict)) {
			if (*fd >= 0)
				lw_sock_abort(*fd);
			*fd = -1;
			drop_idle(p, call->addr);
			return verdict;
		}
		probe *= 2;
	}
}

/*
 * lw_pool_call() - send the request frame @req and wait for the reply with its request id. The
 * result says whether the peer can have received the request (see lw_pool_fail_t). On LW_POOL_OK,
 * *@reply is set and must be freed with lw_frame_free().
 */
lw_pool_fail_t lw_pool_call(lw_pool_t *p, const lw_pool_call_t *call, const Lw__Frame *req,
			    Lw__Frame **reply)
{
	lw_pool_fail_t fail;
	int fd;

	*reply = NULL;
	fail = send_request(p, call->addr, req, &fd);
	if (fail)
		return fail;
	fail = await_reply(p, call, req, &fd, reply);
	if (fd < 0)
		return fail;
	if (fail == LW_POOL_OK && !is_last_reply((*reply)->reply) && !lw_sock_stale(fd))
		return_idle(p, call->addr, fd);
	else
		lw_sock_abort(fd);
	return fail;
}

/* lw_pool_trim() - close connections that have been idle for @idle_ms; 0 closes all. */
void lw_pool_trim(lw_pool_t *p, uint32_t idle_ms)
{
	uint64_t now = lw_now_ms();
	peer_conns_t *pc, *next;

	pthread_mutex_lock(&p->lock);
	HASH_ITER(hh, p->peers, pc, next)
	{
		int keep = 0;

		for (int i = 0; i < pc->nidle; i++) {
			if (now - pc->idle[i].since_ms >= idle_ms)
				close(pc->idle[i].fd);
			else
				pc->idle[keep++] = pc->idle[i];
		}
		pc->nidle = keep;
		if (keep == 0) {
			HASH_DEL(p->peers, pc);
			free(pc);
		}
	}
	pthread_mutex_unlock(&p->lock);
}

/* lw_pool_idle_count() - number of idle connections to all peers. */
size_t lw_pool_idle_count(lw_pool_t *p)
{
	size_t n = 0;

	pthread_mutex_lock(&p->lock);
	for (peer_conns_t *pc = p->peers; pc; pc = pc->hh.next)
		n += (size_t)pc->nidle;
	pthread_mutex_unlock(&p->lock);
	return n;
}

/* lw_pool_silent_replaced() - number of silent connections that were closed. */
unsigned lw_pool_silent_replaced(const lw_pool_t *p)
{
	return __atomic_load_n(&p->silent_replaced, __ATOMIC_RELAXED);
}

/* lw_pool_queries() - number of Query frames sent. */
unsigned lw_pool_queries(const lw_pool_t *p)
{
	return __atomic_load_n(&p->queries, __ATOMIC_RELAXED);
}

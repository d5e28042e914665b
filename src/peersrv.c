/* Server for frames from peers: one thread per connection, one frame at a time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu-bp.h>
#include <utlist.h>

#include "endconn.h"
#include "frame.h"
#include "linux/clock.h"
#include "linux/sock.h"
#include "log.h"
#include "node_int.h"
#include "xalloc.h"

#define CONN_STACK    (256 * 1024)
#define CONN_IDLE_MS  60000 /* peers close their idle connections earlier */
#define CONN_FRAME_MS 5000 /* a frame that takes longer is aborted */

typedef struct lw_peer_conn {
	lw_node_t *n;
	int fd;
	bool busy; /* a frame was read and its reply is not sent yet */
	bool ended; /* the last reply was sent: no frame is processed any more */
	struct lw_peer_conn *prev, *next;
} conn_t;

static void record_caller(lw_node_t *n, const char *addr)
{
	lw_caller_t *c = NULL;

	if (!addr[0] || strlen(addr) >= sizeof(c->addr))
		return;
	pthread_mutex_lock(&n->lock);
	HASH_FIND_STR(n->callers, addr, c);
	if (!c) {
		c = xcalloc(1, sizeof(*c));
		snprintf(c->addr, sizeof(c->addr), "%s", addr);
		HASH_ADD_STR(n->callers, addr, c);
	}
	c->seen_ms = lw_now_ms();
	pthread_mutex_unlock(&n->lock);
}

static void fill_reply(lw_node_t *n, const lw_result_t *res, Lw__Reply *rep)
{
	rep->outcome = (Lw__Outcome)res->outcome;
	rep->reason = (Lw__Reason)res->reason;
	rep->retry_after_ms = res->retry_after_ms;
	rep->retries_used = res->retries_used;
	rep->no_retry = res->no_retry;
	rep->incarnation = n->incarnation;
	pthread_mutex_lock(&n->lock);
	rep->draining = n->policy->info.draining;
	rep->config_version = n->policy->info.config_version;
	rep->load_permille = lw_node_load_permille(n);
	pthread_mutex_unlock(&n->lock);
	if (res->answer) {
		rep->status = (uint32_t)res->answer->status;
		rep->body.data = (uint8_t *)res->answer->body;
		rep->body.len = res->answer->len;
	}
}

static lw_status_t serve_request(lw_node_t *n, int fd, const Lw__Request *r)
{
	Lw__Frame out = LW__FRAME__INIT;
	Lw__Reply rep = LW__REPLY__INIT;
	uint32_t paused = lw_node_paused_ms(n);
	lw_request_t rq;
	lw_result_t res = { .outcome = LW_NOT_RUN, .reason = LW_R_NONE };
	lw_status_t st;

	rcu_read_lock();
	st = lw_request_from_frame(r, rcu_dereference(n->config), &rq);
	rcu_read_unlock();
	if (!st) {
		rq.deadline_ms -= paused < rq.deadline_ms ? paused : rq.deadline_ms;
		record_caller(n, r->sender);
		lw_confwatch_peer_has(n, r->sender, r->config_version);
		lw_inbound_serve(n, &rq, &res);
	}
	rep.request_id = r->request_id;
	fill_reply(n, &res, &rep);
	out.body_case = LW__FRAME__BODY_REPLY;
	out.reply = &rep;
	st = lw_frame_write(fd, &out);
	lw_answer_unref(res.answer);
	return st;
}

static lw_status_t serve_ping(lw_node_t *n, int fd, const Lw__Ping *ping)
{
	Lw__Frame out = LW__FRAME__INIT;
	Lw__Ping pong = LW__PING__INIT;

	lw_heartbeat_received(n, ping);
	lw_heartbeat_fill(n, &pong);
	pong.nonce = ping->nonce;
	out.body_case = LW__FRAME__BODY_PONG;
	out.pong = &pong;
	lw_counter_add(n->count.control_bytes, lw__frame__get_packed_size(&out) + 4);
	return lw_frame_write(fd, &out);
}

static void query_event(const Lw__Query *q, lw_event_t *ev)
{
	ev->kind = LW_EV_QUERY;
	ev->id = q->query_id;
	ev->refuse = q->sender_incarnation != 0;
	ev->attempt_key = ev->refuse ?
				  lw_request_attempt_key(q->sender_incarnation, q->request_id) :
				  lw_request_idem_key(q->route, q->idempotency_key);
}

static lw_status_t serve_query(lw_node_t *n, int fd, const Lw__Query *q)
{
	Lw__Frame out = LW__FRAME__INIT;
	Lw__Record rec = LW__RECORD__INIT;
	lw_answer_t *answer;
	lw_event_t ev = { 0 };
	lw_status_t st;

	query_event(q, &ev);
	pthread_mutex_lock(&n->lock);
	lw_node_step(n, &ev);
	rec.state = (Lw__RecordState)n->query_state;
	answer = n->query_answer;
	n->query_answer = NULL;
	pthread_mutex_unlock(&n->lock);
	rec.query_id = q->query_id;
	rec.incarnation = n->incarnation;
	if (answer) {
		rec.has_answer = true;
		rec.status = (uint32_t)answer->status;
		rec.body.data = (uint8_t *)answer->body;
		rec.body.len = answer->len;
		rec.retries_used = answer->retries_used;
	}
	out.body_case = LW__FRAME__BODY_RECORD;
	out.record = &rec;
	st = lw_frame_write(fd, &out);
	lw_answer_unref(answer);
	return st;
}

static lw_status_t serve_config(lw_node_t *n, int fd, const Lw__ConfigRequest *req)
{
	Lw__Frame out = LW__FRAME__INIT;
	Lw__ConfigReply rep = LW__CONFIG_REPLY__INIT;
	const lw_platconf_t *pc;
	lw_status_t st;
	char *text = NULL;

	rcu_read_lock();
	pc = rcu_dereference(n->config);
	if (pc && pc->version > req->newer_than) {
		/* copied, as the peer may be slow and an RCU reader must not delay writers */
		text = xstrndup(pc->text, pc->textlen);
		rep.version = pc->version;
		rep.hash = pc->hash;
		rep.text.data = (uint8_t *)text;
		rep.text.len = pc->textlen;
	}
	rcu_read_unlock();
	out.body_case = LW__FRAME__BODY_CONFIG_REPLY;
	out.config_reply = &rep;
	lw_counter_add(n->count.control_bytes, lw__frame__get_packed_size(&out) + 4);
	st = lw_frame_write(fd, &out);
	free(text);
	return st;
}

static lw_status_t serve_frame(lw_node_t *n, int fd, const Lw__Frame *f)
{
	switch (f->body_case) {
	case LW__FRAME__BODY_REQUEST:
		return serve_request(n, fd, f->request);
	case LW__FRAME__BODY_PING:
		return serve_ping(n, fd, f->ping);
	case LW__FRAME__BODY_QUERY:
		return serve_query(n, fd, f->query);
	case LW__FRAME__BODY_CONFIG_REQUEST:
		return serve_config(n, fd, f->config_request);
	default:
		return lw_error(LW_ERR_PROTO, "unexpected frame; check the peer's version");
	}
}

static void end_conn(conn_t *c)
{
	lw_endconn_send(c->fd, c->n->last_reply);
	c->ended = true;
}

static void open_conn(conn_t *c)
{
	pthread_mutex_lock(&c->n->conns_lock);
	DL_APPEND(c->n->conns, c);
	if (c->n->conns_ending)
		end_conn(c);
	pthread_mutex_unlock(&c->n->conns_lock);
}

static void close_conn(conn_t *c)
{
	pthread_mutex_lock(&c->n->conns_lock);
	DL_DELETE(c->n->conns, c);
	pthread_mutex_unlock(&c->n->conns_lock);
	close(c->fd);
	free(c);
}

/* a frame was read; false if its connection has had the last reply */
static bool begin_frame(conn_t *c)
{
	bool taken;

	pthread_mutex_lock(&c->n->conns_lock);
	taken = !c->ended;
	c->busy = taken;
	if (taken)
		__atomic_add_fetch(&c->n->serving, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&c->n->conns_lock);
	return taken;
}

static void end_frame(conn_t *c)
{
	pthread_mutex_lock(&c->n->conns_lock);
	c->busy = false;
	if (c->n->conns_ending)
		end_conn(c);
	__atomic_sub_fetch(&c->n->serving, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&c->n->conns_lock);
}

static void *conn_main(void *arg)
{
	conn_t *c = arg;
	lw_status_t st = LW_OK;
	Lw__Frame *f;

	while (!st && !lw_frame_read(c->fd, CONN_IDLE_MS, CONN_FRAME_MS, &f)) {
		if (begin_frame(c)) {
			st = serve_frame(c->n, c->fd, f);
			end_frame(c);
		}
		lw_frame_free(f);
	}
	close_conn(c);
	return NULL;
}

static void serve_connection(lw_node_t *n, int fd)
{
	conn_t *c = xcalloc(1, sizeof(*c));
	pthread_attr_t attr;
	pthread_t t;

	lw_sock_tune(fd);
	c->n = n;
	c->fd = fd;
	open_conn(c);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, CONN_STACK);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, conn_main, c)) {
		/* out of threads: the peer sees a closed connection and uses another node */
		close_conn(c);
	}
	pthread_attr_destroy(&attr);
}

static void *accept_main(void *arg)
{
	lw_node_t *n = arg;

	while (!__atomic_load_n(&n->stopping, __ATOMIC_RELAXED)) {
		int fd = accept4(n->peer_fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			serve_connection(n, fd);
		else
			usleep(10000); /* out of file descriptors: do not spin until one is free */
	}
	return NULL;
}

static void end_waiting(void *ctx, int fd)
{
	const lw_node_t *n = ctx;

	lw_endconn_send(fd, n->last_reply);
}

/* a reply without a request id answers whatever was sent on the connection and not answered yet */
static lw_str_t last_reply(lw_node_t *n)
{
	Lw__Frame out = LW__FRAME__INIT;
	Lw__Reply rep = LW__REPLY__INIT;
	lw_result_t res = { .outcome = LW_NOT_RUN, .reason = LW_R_DRAINING };
	uint8_t *buf;
	size_t len;

	fill_reply(n, &res, &rep);
	out.body_case = LW__FRAME__BODY_REPLY;
	out.reply = &rep;
	len = lw_frame_encode(&out, &buf);
	return (lw_str_t){ (const char *)buf, len };
}

/*
 * lw_peersrv_end() - ends the connections from peers with a last reply, idle ones at once and the
 * others after the reply in progress. What arrives from now on is not executed, and new
 * connections are refused.
 */
void lw_peersrv_end(lw_node_t *n)
{
	lw_str_t last = last_reply(n);
	conn_t *c;

	pthread_mutex_lock(&n->conns_lock);
	n->last_reply = last;
	n->conns_ending = true;
	DL_FOREACH(n->conns, c)
	{
		if (!c->busy)
			end_conn(c);
	}
	pthread_mutex_unlock(&n->conns_lock);
	lw_endconn_listener(n->peer_fd, end_waiting, n);
}

/* lw_peersrv_start() - listens for peers; LW_ERR_IO if the address is in use. */
lw_status_t lw_peersrv_start(lw_node_t *n)
{
	lw_status_t st = lw_sock_listen(n->set.peer_listen, &n->peer_fd);
	pthread_t t;

	if (st)
		return st;
	pthread_mutex_init(&n->conns_lock, NULL);
	pthread_create(&t, NULL, accept_main, n);
	pthread_detach(t);
	return LW_OK;
}

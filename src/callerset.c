/* All connections of callers: listeners, time-outs, and what holds for them together; see caller.h. */
#include "caller_int.h"

#include "linux/sock.h"
#include "log.h"
#include "xalloc.h"

/* limits before a configuration is known */
#define HEAD_LIMIT_BYTES   16384
#define BODY_DEFAULT_BYTES (64u * 1024 * 1024)
#define HEAD_TIMEOUT_MS	   3000
#define IDLE_DEFAULT_MS	   15000
/* when the node stops, a connection is closed once it has had no request for this long, us */
#define IDLE_GRACE_US 500000
/* how long a connection that this node has ended stays open for the caller to close it, ms */
#define LINGER_MS 1000
/* file descriptors reserved for peers, the backend server and files */
#define FDS_RESERVED 700

static void read_limits(lw_callers_t *cs)
{
	if (cs->engine->conf)
		cs->limits = cs->engine->conf->limits;
}

static void caller_new(lw_listener_t *l, int fd)
{
	lw_callers_t *cs = l->set;
	lw_caller_t *c = xcalloc(1, sizeof(*c));

	c->reply.ops = &lw_caller_reply_ops;
	c->set = cs;
	c->fd = fd;
	lw_sock_allow_pauses(fd, true);
	c->ready_only = l->ready_only;
	c->since_us = cs->evloop->now_us;
	ev_io_init(&c->io, lw_caller_on_io, fd, 0);
	c->io.data = c;
	c->next = cs->conns;
	if (cs->conns)
		cs->conns->prev = c;
	cs->conns = c;
	cs->count++;
	cs->stats.accepted++;
	lw_caller_watch(c);
}

/* the readiness check is answered also while callers have to wait */
static bool may_accept(const lw_listener_t *l)
{
	return l->ready_only || l->set->count + FDS_RESERVED < l->set->evloop->set->max_fds;
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_listener_t *l = w->data;
	int fd;

	(void)loop;
	(void)revents;
	while (may_accept(l)) {
		fd = lw_sock_accept(l->fd);
		if (fd < 0 && lw_sock_accept_exhausted())
			break;
		if (fd < 0)
			return;
		caller_new(l, fd);
	}
	/* file descriptors are exhausted: further connections wait in the backlog */
	ev_io_stop(l->set->evloop->loop, &l->io);
}

/*
 * Whether bytes of the caller lie unread in the kernel; they are then read next. After a standstill
 * of this process, timers run before arrived data is read, and all the time of the standstill
 * counts as the caller's. A connection closed then would lose a request that arrived in time.
 */
static bool reads_unread(lw_caller_t *c)
{
	if (!lw_sock_stale(c->fd))
		return false;
	ev_feed_event(c->set->evloop->loop, &c->io, EV_READ);
	return true;
}

static void check_timeouts(lw_callers_t *cs, lw_caller_t *c, uint64_t now)
{
	uint64_t quiet_ms = (now - c->since_us) / 1000;

	if (c->lingering) {
		if (quiet_ms > LINGER_MS)
			lw_caller_close(c);
		return;
	}
	/* the request waits for this node, not for the caller to complete it */
	if (c->state == CALLER_HEAD && lw_caller_answers_unread(c)) {
		c->since_us = now;
		return;
	}
	if (c->state == CALLER_HEAD && lw_bytebuf_len(&c->in)) {
		if (quiet_ms > cs->limits.header_timeout_ms && !reads_unread(c)) {
			cs->stats.head_timeouts++;
			lw_caller_reject(c, 408, "head_timeout");
		}
	} else if (c->state == CALLER_HEAD && !c->closing) {
		if (quiet_ms > cs->limits.idle_timeout_ms && !reads_unread(c)) {
			cs->stats.idle_closed++;
			lw_caller_close(c);
		}
	}
}

static lw_bufbound_t buffers(const lw_callers_t *cs)
{
	return lw_bufbound_level(cs->evloop->set->memory_mb);
}

/*
 * Connections that were not read because the buffers were short are read again. Nothing else may wake
 * them: the bytes that left the buffers were those of other connections.
 */
static void follow_buffers(lw_callers_t *cs)
{
	lw_bufbound_t now = buffers(cs);

	if (now != cs->buffers)
		lw_log(LW_LOG_buffers_held, "level=%d before=%d held=%zu memory_mb=%u callers=%u",
		       now, cs->buffers, lw_bytebuf_total(), cs->evloop->set->memory_mb, cs->count);
	if (cs->buffers != LW_BUFBOUND_FREE && now != LW_BUFBOUND_FULL)
		for (lw_caller_t *c = cs->conns; c; c = c->next)
			if (!c->lingering && !(c->io.events & EV_READ))
				ev_feed_event(cs->evloop->loop, &c->io, EV_CUSTOM);
	cs->buffers = now;
}

static void on_tick(void *ctx)
{
	lw_callers_t *cs = ctx;
	uint64_t now = cs->evloop->now_us;
	lw_caller_t *next;

	read_limits(cs);
	follow_buffers(cs);
	for (lw_caller_t *c = cs->conns; c; c = next) {
		next = c->next;
		check_timeouts(cs, c, now);
	}
	for (lw_listener_t *l = cs->listeners; l; l = l->next)
		if (l->fd >= 0 && !ev_is_active(&l->io) && may_accept(l))
			ev_io_start(cs->evloop->loop, &l->io);
}

/* the host was suspended: unread data is older by the duration of the suspend */
static void on_resume(struct ev_loop *loop, ev_check *w, int revents)
{
	lw_callers_t *cs = w->data;

	(void)loop;
	(void)revents;
	if (!cs->evloop->suspended_us)
		return;
	for (lw_caller_t *c = cs->conns; c; c = c->next)
		c->late_us = cs->evloop->suspended_us;
}

/* lw_callers_set_ready() - set the answer to the platform's readiness check. */
void lw_callers_set_ready(lw_callers_t *cs, bool ready)
{
	cs->ready = ready;
}

/*
 * lw_callers_close_idle() - close connections that carry no request, except those opened or used a
 * moment ago. The first request of a caller, or a nested call of an executing request, may still
 * be unread in the kernel and would be lost with the connection.
 */
void lw_callers_close_idle(lw_callers_t *cs)
{
	lw_caller_t *next;

	for (lw_caller_t *c = cs->conns; c; c = next) {
		next = c->next;
		if (cs->evloop->now_us - c->since_us >= IDLE_GRACE_US && c->state == CALLER_HEAD &&
		    !lw_bytebuf_len(&c->in) && !c->ready_only && !lw_bytebuf_len(&c->out) &&
		    !reads_unread(c))
			lw_caller_close(c);
	}
}

/* lw_callers_close_listeners() - accept no more connections of callers. */
void lw_callers_close_listeners(lw_callers_t *cs)
{
	for (lw_listener_t *l = cs->listeners; l; l = l->next) {
		if (l->ready_only || l->fd < 0)
			continue;
		ev_io_stop(cs->evloop->loop, &l->io);
		close(l->fd);
		l->fd = -1;
	}
}

/* lw_callers_unwritten() - whether any answer has not been written completely. */
bool lw_callers_unwritten(const lw_callers_t *cs)
{
	for (const lw_caller_t *c = cs->conns; c; c = c->next)
		if (lw_bytebuf_len(&c->out) && !c->ready_only)
			return true;
	return false;
}

/*
 * lw_callers_close_all() - close all listeners and connections before the process exits, so that
 * no caller waits while the process writes its last log lines.
 */
void lw_callers_close_all(lw_callers_t *cs)
{
	lw_callers_close_listeners(cs);
	while (cs->conns)
		lw_caller_close(cs->conns);
}

/* lw_callers_count() - number of open connections. */
uint32_t lw_callers_count(const lw_callers_t *cs)
{
	return cs->count;
}

/* lw_callers_stats() - counters since the start. */
const lw_callers_stats_t *lw_callers_stats(const lw_callers_t *cs)
{
	return &cs->stats;
}

/*
 * lw_callers_listen() - accept connections at "ip:port" @addr. @ready_only: the listener serves
 * only the platform's readiness check.
 */
lw_status_t lw_callers_listen(lw_callers_t *cs, const char *addr, bool ready_only)
{
	lw_listener_t *l = xcalloc(1, sizeof(*l));
	lw_status_t st = lw_sock_listen(addr, &l->fd);

	if (st)
		return st;
	lw_sock_nonblock(l->fd);
	l->set = cs;
	l->ready_only = ready_only;
	l->next = cs->listeners;
	cs->listeners = l;
	ev_io_init(&l->io, on_accept, l->fd, EV_READ);
	l->io.data = l;
	ev_io_start(cs->evloop->loop, &l->io);
	return LW_OK;
}

/* lw_callers_new() - create the connection set of @engine, without listeners. */
lw_callers_t *lw_callers_new(lw_engine_t *engine)
{
	lw_callers_t *cs = xcalloc(1, sizeof(*cs));

	cs->engine = engine;
	cs->evloop = engine->evloop;
	cs->limits = (lw_fleet_limits_t){ HEAD_LIMIT_BYTES, BODY_DEFAULT_BYTES, HEAD_TIMEOUT_MS,
					  IDLE_DEFAULT_MS };
	ev_check_init(&cs->resume_check, on_resume);
	cs->resume_check.data = cs;
	ev_check_start(cs->evloop->loop, &cs->resume_check);
	lw_evloop_on_tick(cs->evloop, on_tick, cs);
	return cs;
}

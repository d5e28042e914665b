/*
 * Detects crashes of the backend server on this host. A single connection that breaks is no proof,
 * as servers also abort single answers. If no other connection to the server is open and it
 * refuses new ones, its process is gone, and each request that it was executing is a suspect.
 */
#include "gate_int.h"

#include <errno.h>
#include <string.h>

#include "linux/sock.h"
#include "log.h"

/* all connections of a crashed process close within this time, in seconds */
#define CRASH_CHECK_DELAY_S 0.003
/*
 * if the test connection is neither accepted nor refused within this time, the check has no
 * result, in seconds
 */
#define CONNECT_WAIT_S 0.1
/* connections that closed earlier than this are unrelated to the crash, us */
#define SAME_CRASH_US 100000

static void stop_check(lw_crash_t *c, struct ev_loop *loop)
{
	ev_timer_stop(loop, &c->check_timer);
	if (!ev_is_active(&c->io))
		return;
	ev_io_stop(loop, &c->io);
	lw_sock_abort(c->io.fd);
}

/* reports the outcome of the jobs that waited for the check */
static void fail_broken_jobs(lw_gate_t *g)
{
	lw_job_t *j, *next;

	HASH_ITER(hh, g->by_id, j, next)
	if (j->broken)
		lw_job_fail(j, LW_FAIL_BROKEN);
}

static void finish_check(lw_gate_t *g, bool crashed)
{
	lw_crash_t *c = &g->crash;

	stop_check(c, g->evloop->loop);
	if (crashed) {
		lw_log(LW_LOG_server_ended, "server=%s in_hand=%u known=%u", g->server_id,
		       c->in_flight, c->nsuspects);
		if (g->on_crash)
			g->on_crash(g->on_crash_ctx, c);
		c->nsuspects = 0;
		c->in_flight = 0;
	}
	fail_broken_jobs(g);
}

/* whether an open connection shows that the server is alive */
static bool connection_alive(const lw_gate_t *g)
{
	for (const lw_job_t *j = g->by_id; j; j = j->hh.next)
		if (j->conn && j->conn->established)
			return true;
	for (const lw_bconn_t *conn = g->idle; conn; conn = conn->next)
		if (!conn->closed && !lw_sock_stale(conn->fd))
			return true;
	return false;
}

static void on_connected(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_gate_t *g = w->data;

	(void)loop;
	(void)revents;
	if (lw_sock_connect_error(w->fd) == ECONNREFUSED)
		lw_gate_server_down(g);
	else
		finish_check(g, false);
}

static void on_check_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_crash_t *c = &g->crash;
	int fd;

	(void)revents;
	if (ev_is_active(&c->io) || connection_alive(g) ||
	    lw_sock_start_connect(g->evloop->set->backend, &fd)) {
		finish_check(g, false);
		return;
	}
	ev_io_set(&c->io, fd, EV_WRITE);
	ev_io_start(loop, &c->io);
	ev_timer_set(&c->check_timer, CONNECT_WAIT_S, 0);
	ev_timer_start(loop, &c->check_timer);
}

/*
 * lw_gate_check_crash() - the connection of @j closed after the request was sent: check whether
 * the server crashed.
 */
void lw_gate_check_crash(lw_job_t *j)
{
	lw_gate_t *g = j->gate;
	lw_crash_t *c = &g->crash;
	bool checking = ev_is_active(&c->check_timer);

	if (!checking && g->evloop->now_us - c->since_us > SAME_CRASH_US) {
		c->since_us = g->evloop->now_us;
		c->nsuspects = 0;
		c->in_flight = 0;
	}
	j->broken = true;
	c->in_flight++;
	if (j->print.known && c->nsuspects < LW_CRASH_SUSPECTS_MAX)
		c->suspects[c->nsuspects++] =
			(lw_crash_suspect_t){ j->print.value, j->tried_alone };
	if (checking)
		return;
	ev_timer_set(&c->check_timer, CRASH_CHECK_DELAY_S, 0);
	ev_timer_start(g->evloop->loop, &c->check_timer);
}

/*
 * lw_gate_confirm_crash() - the server refuses connections: if a check is in progress, its result
 * is that the server crashed.
 */
void lw_gate_confirm_crash(lw_gate_t *g)
{
	if (ev_is_active(&g->crash.check_timer))
		finish_check(g, true);
}

/* lw_gate_crash_init() - initialise the crash check. */
void lw_gate_crash_init(lw_gate_t *g)
{
	ev_init(&g->crash.io, on_connected);
	g->crash.io.data = g;
	ev_init(&g->crash.check_timer, on_check_timer);
	g->crash.check_timer.data = g;
}

/*
 * Whether the backend server on this host has ended. A connection that breaks says
 * little: servers break off single answers, too. If no other connection to the
 * server is left and it takes no new one, its process is gone, and each request
 * that it had in hand may be the cause.
 */
#include "gate_int.h"

#include <errno.h>
#include <string.h>

#include "linux/sock.h"
#include "log.h"

/* connections of a process that ends break within this time, in seconds */
#define LOOK_AFTER_S 0.003
/* a connection that is neither taken nor refused for so long says nothing, in seconds */
#define CONNECT_WAIT_S 0.1
/* connections that broke longer ago have nothing to do with this end, us */
#define SAME_END_US 100000

static void close_look(lw_crash_t *c, struct ev_loop *loop)
{
	ev_timer_stop(loop, &c->due);
	if (!ev_is_active(&c->io))
		return;
	ev_io_stop(loop, &c->io);
	lw_sock_abort(c->io.fd);
}

/* the calls whose outcome waited for the look */
static void end_broken_jobs(lw_gate_t *g)
{
	lw_job_t *j, *next;

	HASH_ITER(hh, g->by_id, j, next)
	if (j->broken)
		lw_job_fail(j, LW_FAIL_BROKEN);
}

static void settle(lw_gate_t *g, bool ended)
{
	lw_crash_t *c = &g->crash;

	close_look(c, g->evloop->loop);
	if (ended) {
		lw_log(LW_LOG_server_ended, "server=%s in_hand=%u known=%u", g->server_id,
		       c->in_hand, c->nsuspects);
		if (g->ended)
			g->ended(g->ended_ctx, c);
		c->nsuspects = 0;
		c->in_hand = 0;
	}
	end_broken_jobs(g);
}

/* whether a connection that still stands shows that the server lives */
static bool shows_life(const lw_gate_t *g)
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
		settle(g, false);
}

static void on_due(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_crash_t *c = &g->crash;
	int fd;

	(void)revents;
	if (ev_is_active(&c->io) || shows_life(g) ||
	    lw_sock_start_connect(g->evloop->set->backend, &fd)) {
		settle(g, false);
		return;
	}
	ev_io_set(&c->io, fd, EV_WRITE);
	ev_io_start(loop, &c->io);
	ev_timer_set(&c->due, CONNECT_WAIT_S, 0);
	ev_timer_start(loop, &c->due);
}

/* lw_gate_look() - the connection of @j broke with the request sent: has the server ended? */
void lw_gate_look(lw_job_t *j)
{
	lw_gate_t *g = j->gate;
	lw_crash_t *c = &g->crash;
	bool looking = ev_is_active(&c->due);

	if (!looking && g->evloop->now_us - c->since_us > SAME_END_US) {
		c->since_us = g->evloop->now_us;
		c->nsuspects = 0;
		c->in_hand = 0;
	}
	j->broken = true;
	c->in_hand++;
	if (j->print.known && c->nsuspects < LW_CRASH_SUSPECTS_MAX)
		c->suspects[c->nsuspects++] = (lw_crash_suspect_t){ j->print.value, j->tried };
	if (looking)
		return;
	ev_timer_set(&c->due, LOOK_AFTER_S, 0);
	ev_timer_start(g->evloop->loop, &c->due);
}

/* lw_gate_look_down() - the server refuses connections: what broke just now broke at its end. */
void lw_gate_look_down(lw_gate_t *g)
{
	if (ev_is_active(&g->crash.due))
		settle(g, true);
}

/* lw_gate_look_init() - nothing is known to be broken. */
void lw_gate_look_init(lw_gate_t *g)
{
	ev_init(&g->crash.io, on_connected);
	g->crash.io.data = g;
	ev_init(&g->crash.due, on_due);
	g->crash.due.data = g;
}

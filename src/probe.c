/* Health checks of the backend server on this host; see probe.h. */
#include "probe.h"

#include <stdio.h>
#include <string.h>

/* a check without an answer is given up, us; the next one begins anew */
#define ANSWER_US 450000
/* the path if the configuration names none */
#define PATH_DEFAULT "/health"

static void on_written(void *user, size_t bytes)
{
	(void)user;
	(void)bytes;
}

/*
 * A check that was turned away unrun says nothing: the server is busy. Any
 * other answer than 200, or the id of another server, means that this one is
 * not to be used.
 */
static bool on_head(void *user, const lw_httphead_t *h)
{
	lw_probe_t *p = user;
	lw_str_t id = lw_httphead_find(h, LW_HEADER_INSTANCE);
	lw_notice_said_t said = lw_httphead_notice(h);

	if (lw_str_eq_c(id, p->server_id) && p->heard)
		p->heard(p->heard_ctx, &said, p->began_us);
	if (lw_httphead_find(h, LW_HEADER_NOT_EXECUTED).ptr)
		return true;
	if (h->status == 200 && lw_str_eq_c(id, p->server_id))
		p->healthy_us = p->hub->now_us;
	else
		p->leaving = true;
	return true;
}

static void on_body(void *user, lw_str_t data)
{
	(void)user;
	(void)data;
}

static void on_done(void *user, bool reusable)
{
	lw_probe_t *p = user;
	lw_bconn_t *c = p->conn;

	(void)reusable;
	p->conn = NULL;
	lw_bconn_close(c);
}

static void on_broken(void *user, bool sent)
{
	lw_probe_t *p = user;
	bool refused = !p->conn->established;

	(void)sent;
	p->conn = NULL;
	/* a connection that was taken and reset says that the server has too many */
	if (refused)
		p->leaving = true;
}

static const lw_bconn_ops_t conn_ops = {
	.written = on_written,
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.broken = on_broken,
};

/* lw_probe_init() - nothing is known of the server. */
void lw_probe_init(lw_probe_t *p, lw_hub_t *hub)
{
	memset(p, 0, sizeof(*p));
	p->hub = hub;
}

static void give_up(lw_probe_t *p)
{
	if (p->conn)
		lw_bconn_close(p->conn);
	p->conn = NULL;
}

/* lw_probe_reset() - forget what was learned; from now on @server_id must answer. */
void lw_probe_reset(lw_probe_t *p, const char *server_id)
{
	give_up(p);
	p->healthy_us = 0;
	p->leaving = false;
	lw_str_copy(p->server_id, sizeof(p->server_id), lw_str_c(server_id));
}

/* lw_probe_check() - ask the server for its health at @path, unless it is being asked. */
void lw_probe_check(lw_probe_t *p, const char *path)
{
	char head[2 * LW_NAME_MAX + 64];
	int n;

	if (p->conn && p->hub->now_us - p->began_us < ANSWER_US)
		return;
	give_up(p);
	p->began_us = p->hub->now_us;
	p->conn = lw_bconn_open(p->hub, p->hub->set->backend);
	if (!p->conn) {
		p->leaving = true;
		return;
	}
	n = snprintf(head, sizeof(head), "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
		     path[0] ? path : PATH_DEFAULT, p->hub->set->backend);
	lw_bconn_start(p->conn, &conn_ops, p, false);
	lw_bconn_queue(p->conn, (lw_str_t){ head, (size_t)n });
	lw_bconn_flush(p->conn);
}

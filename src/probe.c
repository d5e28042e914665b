/* Health checks of the backend server on this host; see probe.h. */
#include "probe.h"

#include <string.h>

/* a check without an answer is abandoned after this, us; the next check then starts from scratch */
#define ANSWER_TIMEOUT_US 450000
/* path used if the configuration names none */
#define PATH_DEFAULT "/health"

static void on_written(void *user, size_t bytes)
{
	(void)user;
	(void)bytes;
}

/*
 * A check that was rejected before execution has no result, as the server is only busy. Any status
 * other than 200, or the id of another server, means that this server must not be used.
 */
static bool on_head(void *user, const lw_httphead_t *h)
{
	lw_probe_t *p = user;
	lw_str_t id = lw_httphead_find(h, LW_HEADER_INSTANCE);
	lw_notice_fields_t said = lw_httphead_notice(h);

	bool same_server = lw_str_eq_c(id, p->server_id);
	bool healthy = same_server && h->status == 200;

	if (same_server && p->on_notice)
		p->on_notice(p->on_notice_ctx, &said, healthy, p->began_us);
	if (lw_httphead_find(h, LW_HEADER_NOT_EXECUTED).ptr)
		return false;
	if (healthy)
		p->healthy_us = p->evloop->now_us;
	else
		p->leaving = true;
	/* the head says it all; a faulty server may send a body that never ends */
	return false;
}

static void on_broken(void *user, bool sent)
{
	lw_probe_t *p = user;
	bool refused = !p->conn->established;

	(void)sent;
	p->conn = NULL;
	/*
	 * an accepted connection that is reset only means that the server has too many connections
	 */
	if (refused)
		p->leaving = true;
}

static const lw_bconn_ops_t conn_ops = {
	.written = on_written,
	.head = on_head, /* accepts no answer, so that none has a body or an end */
	.broken = on_broken,
};

/* lw_probe_init() - initialise; nothing is known about the server yet. */
void lw_probe_init(lw_probe_t *p, lw_evloop_t *evloop)
{
	memset(p, 0, sizeof(*p));
	p->server_id = lw_name_none;
	p->evloop = evloop;
}

static void abort_check(lw_probe_t *p)
{
	if (p->conn)
		lw_bconn_close(p->conn);
	p->conn = NULL;
}

/* lw_probe_reset() - discard all results; from now on @server_id is expected to answer. */
void lw_probe_reset(lw_probe_t *p, const char *server_id)
{
	abort_check(p);
	p->healthy_us = 0;
	p->leaving = false;
	p->server_id = lw_name_c(server_id);
}

/* lw_probe_check() - start a health check at @path, unless one is in progress. */
void lw_probe_check(lw_probe_t *p, const char *path)
{
	if (p->conn && p->evloop->now_us - p->began_us < ANSWER_TIMEOUT_US)
		return;
	abort_check(p);
	p->began_us = p->evloop->now_us;
	p->conn = lw_bconn_open(p->evloop, p->evloop->set->backend);
	if (!p->conn) {
		p->leaving = true;
		return;
	}
	lw_bconn_start(p->conn, &conn_ops, p, false);
	lw_bconn_queue(p->conn, LW_STR("GET "));
	lw_bconn_queue(p->conn, lw_str_c(path[0] ? path : PATH_DEFAULT));
	lw_bconn_queue(p->conn, LW_STR(" HTTP/1.1\r\nConnection: close\r\nHost: "));
	lw_bconn_queue(p->conn, lw_str_c(p->evloop->set->backend));
	lw_bconn_queue(p->conn, LW_STR("\r\n\r\n"));
	lw_bconn_flush(p->conn);
}

/* Idle connections to the backend server on this host. */
#include "gate_int.h"

#include "linux/sock.h"

/* an idle connection is not used in the last part of its announced idle time, us */
#define IDLE_MARGIN_US 1500000
/* maximum idle time if the server announces none, us */
#define IDLE_DEFAULT_US 4000000

/* a connection used within this time is not checked again before the next request, us */
#define RECENTLY_USED_US 10000

/* an idle connection closed: remove it from the list */
static void on_idle_end(void *ctx)
{
	lw_gate_t *g = ctx;
	lw_bconn_t **at = &g->idle;

	while (*at) {
		if ((*at)->closed) {
			*at = (*at)->next;
			g->nidle--;
		} else {
			at = &(*at)->next;
		}
	}
}

/*
 * lw_gate_keep_connection() - add @c to the idle connections for reuse, or close it after an answer
 * without a request id. A faulty server may send a second copy of an answer where the next one is
 * expected. Without an id, nothing tells that copy from the answer to the next request, which would
 * then be answered as rejected while its server executes it.
 */
void lw_gate_keep_connection(lw_gate_t *g, lw_bconn_t *c)
{
	if (c->answered_without_id) {
		g->stats.connections_unnamed++;
		lw_bconn_close(c);
		return;
	}
	lw_bconn_idle(c);
	c->on_idle_end = on_idle_end;
	c->idle_ctx = g;
	c->next = g->idle;
	g->idle = c;
	g->nidle++;
}

static uint64_t idle_limit_us(const lw_bconn_t *c)
{
	uint64_t limit = (uint64_t)c->idle_limit_s * 1000000;

	if (!limit)
		return IDLE_DEFAULT_US;
	return limit > 2 * IDLE_MARGIN_US ? limit - IDLE_MARGIN_US : limit / 2;
}

/*
 * lw_gate_close_expired_idle() - close connections that are near their idle limit. At the limit
 * the server closes a connection without notice; a request sent at that moment is lost, and fails
 * if it is not idempotent.
 */
void lw_gate_close_expired_idle(void *ctx)
{
	lw_gate_t *g = ctx;

	for (lw_bconn_t *c = g->idle; c; c = c->next)
		if (g->evloop->now_us - c->idle_since_us > idle_limit_us(c))
			lw_bconn_close(c);
	on_idle_end(g);
}

/*
 * Whether the server has closed an idle connection and the FIN is still unread in the kernel. If
 * requests and FINs arrive together, for example after this host was suspended, the event loop
 * handles them in any order. A request sent on such a connection would have to be treated as
 * possibly executed, and fails although no server received it.
 */
static bool closed_by_server(const lw_gate_t *g, const lw_bconn_t *c)
{
	return g->evloop->now_us - c->idle_since_us > RECENTLY_USED_US && lw_sock_stale(c->fd);
}

/*
 * Whether @c can carry the request of @j. The second copy of an answer has the id of its request, so
 * no connection carries one id twice: the copy of the answer to an earlier attempt would be taken for
 * the answer to this one.
 */
static bool can_carry(const lw_bconn_t *c, const lw_job_t *j)
{
	return !lw_bconn_has_carried(c, j->id_digest);
}

/* takes the first idle connection that can carry the request out of the list; NULL: none */
static lw_bconn_t *take_idle(lw_gate_t *g, const lw_job_t *j)
{
	for (lw_bconn_t **at = &g->idle; *at; at = &(*at)->next) {
		lw_bconn_t *c = *at;

		if (!can_carry(c, j))
			continue;
		*at = c->next;
		g->nidle--;
		return c;
	}
	return NULL;
}

/*
 * lw_gate_take_connection() - take an idle connection or open a new one for @j. Returns NULL if no
 * connection can be opened.
 */
lw_bconn_t *lw_gate_take_connection(lw_gate_t *g, const lw_job_t *j)
{
	lw_bconn_t *c;

	lw_gate_close_expired_idle(g);
	while ((c = take_idle(g, j)) != NULL) {
		if (!closed_by_server(g, c))
			return c;
		lw_bconn_close(c);
	}
	g->stats.connections++;
	g->stats.connections_apart += g->idle != NULL;
	return lw_bconn_open(g->evloop, g->evloop->set->backend);
}

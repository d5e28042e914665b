/* Idle connections to the backend server on this host. */
#include "gate_int.h"

#include "linux/sock.h"

/* an idle connection is not used in the last part of the announced limit, us */
#define IDLE_MARGIN_US 1500000
/* an idle connection without an announced limit is used so long, us */
#define IDLE_DEFAULT_US 4000000

/* one that was used within this time is not looked at again before the next request, us */
#define USED_JUST_NOW_US 10000

/* an idle connection ended: drop it from the list */
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

/* lw_gate_keep_connection() - keep @c for the next request. */
void lw_gate_keep_connection(lw_gate_t *g, lw_bconn_t *c)
{
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
 * lw_gate_close_old_idle() - A server closes an idle connection without a word at its limit; a request
 * sent at that moment is lost, and one that may not be repeated fails.
 */
void lw_gate_close_old_idle(void *ctx)
{
	lw_gate_t *g = ctx;

	for (lw_bconn_t *c = g->idle; c; c = c->next)
		if (g->evloop->now_us - c->idle_since_us > idle_limit_us(c))
			lw_bconn_close(c);
	on_idle_end(g);
}

/*
 * Whether the server's end of an idle connection lies unread in the kernel. The
 * loop acts on requests and ends that came together in no certain order, as when
 * this host stood still; a request given to such a connection may have run for
 * all that can be said, and fails though no server had it.
 */
static bool has_ended(const lw_gate_t *g, const lw_bconn_t *c)
{
	return g->evloop->now_us - c->idle_since_us > USED_JUST_NOW_US && lw_sock_stale(c->fd);
}

/* lw_gate_take_connection() - an idle connection or a new one; NULL if none can be begun. */
lw_bconn_t *lw_gate_take_connection(lw_gate_t *g)
{
	lw_bconn_t *c;

	lw_gate_close_old_idle(g);
	while ((c = g->idle) != NULL) {
		g->idle = c->next;
		g->nidle--;
		if (!has_ended(g, c))
			return c;
		lw_bconn_close(c);
	}
	g->stats.connections++;
	return lw_bconn_open(g->evloop, g->evloop->set->backend);
}

/*
 * Handles what the backend server on this host announces in response headers:
 * reports it to other nodes and to the log, and checks the server's health when
 * an announced limit has not been confirmed for a while.
 */
#include "log.h"
#include "proxy_int.h"

/*
 * a server that announced a limit is checked after this long without an answer
 * from it, us
 */
#define LIMIT_STALE_US 1500000
/* period of the health checks that find out whether the server has been restarted, us */
#define PROCESS_CHECK_INTERVAL_US 500000

/*
 * lw_proxy_announce() - reports a changed announcement of the server at once to
 * the nodes that may send requests to it, and to the placement of this node.
 */
void lw_proxy_announce(void *ctx)
{
	lw_proxy_t *p = ctx;
	lw_load_t own;

	lw_gate_load(&p->engine.gate, &own);
	lw_place_node_load_reported(&p->engine.place, p->mesh_addr, &own, p->evloop.now_us);
	lw_mesh_broadcast_status(p->engine.mesh);
}

/*
 * lw_proxy_on_server_notice() - the server made the announcement @said in its
 * answer to a health check that was sent at @sent_us.
 */
void lw_proxy_on_server_notice(void *ctx, const lw_notice_fields_t *said, bool healthy,
			       uint64_t sent_us)
{
	lw_proxy_t *p = ctx;

	lw_gate_on_notice(&p->engine.gate, said, sent_us);
	if (healthy && !said->leaving)
		lw_gate_on_accepting(&p->engine.gate, sent_us);
}

static void log_limit(const lw_proxy_t *p)
{
	const lw_gate_t *g = &p->engine.gate;
	const char *by = g->announced_limit.updated_us ? "answer" : "peer";
	uint64_t age_ms = g->announced_limit.updated_us ?
				  (p->evloop.now_us - g->announced_limit.updated_us) / 1000 :
				  0;

	if (g->announced_limit.on)
		lw_log(LW_LOG_server_limit, "server=%s limit_per_s=%.3f by=%s age_ms=%llu",
		       g->server_id, g->announced_limit.per_s, by, (unsigned long long)age_ms);
	else
		lw_log(LW_LOG_server_limit, "server=%s limit_per_s=none by=%s age_ms=%llu",
		       g->server_id, by, (unsigned long long)age_ms);
}

/*
 * A limit may change with each answer: it is logged and reported at most once per
 * tick.
 */
static void announce_limit(lw_proxy_t *p)
{
	const lw_notice_limit_t *named = &p->engine.gate.announced_limit;

	if (named->on == p->announced_limit.on && named->per_s == p->announced_limit.per_s)
		return;
	p->announced_limit = *named;
	log_limit(p);
	lw_proxy_announce(p);
}

static void log_invalid_limits(lw_proxy_t *p)
{
	uint64_t answers = p->engine.gate.stats.invalid_limits;

	if (answers == p->logged_invalid)
		return;
	lw_log(LW_LOG_limit_invalid, "server=%s answers=%llu", p->engine.gate.server_id,
	       (unsigned long long)(answers - p->logged_invalid));
	p->logged_invalid = answers;
}

/*
 * A limit that admits no requests would last forever, as only answers of the
 * server lift it: requests would be refused although the server has recovered. The
 * answer to a health check can lift the limit.
 */
static void refresh_stale_limit(lw_proxy_t *p)
{
	const lw_notice_limit_t *named = &p->engine.gate.announced_limit;

	if (!named->on || p->evloop.now_us - named->updated_us < LIMIT_STALE_US ||
	    p->evloop.now_us - p->limit_probe_us < LIMIT_STALE_US)
		return;
	p->limit_probe_us = p->evloop.now_us;
	lw_probe_reset(&p->limit_probe, p->engine.gate.server_id);
	lw_probe_check(&p->limit_probe, lw_proxy_health_path(p));
}

/*
 * lw_proxy_check_process_in_doubt() - check the health of the server if the process that runs may
 * not be the one that announced that it is leaving. A server that is leaving gets no requests, so
 * no other answer would show that it has been restarted.
 */
void lw_proxy_check_process_in_doubt(lw_proxy_t *p)
{
	if (!p->engine.gate.process_in_doubt ||
	    p->evloop.now_us - p->process_check_us < PROCESS_CHECK_INTERVAL_US)
		return;
	p->process_check_us = p->evloop.now_us;
	lw_probe_reset(&p->process_probe, p->engine.gate.server_id);
	lw_probe_check(&p->process_probe, lw_proxy_health_path(p));
}

static void on_tick(void *ctx)
{
	lw_proxy_t *p = ctx;

	lw_proxy_check_process_in_doubt(p);
	announce_limit(p);
	log_invalid_limits(p);
	refresh_stale_limit(p);
}

/* lw_proxy_notice_init() - call after the gate has been initialised. */
void lw_proxy_notice_init(lw_proxy_t *p)
{
	p->engine.gate.on_notice_change = lw_proxy_announce;
	p->engine.gate.on_notice_change_ctx = p;
	lw_probe_init(&p->limit_probe, &p->evloop);
	p->limit_probe.on_notice = lw_proxy_on_server_notice;
	p->limit_probe.on_notice_ctx = p;
	lw_probe_init(&p->process_probe, &p->evloop);
	p->process_probe.on_notice = lw_proxy_on_server_notice;
	p->process_probe.on_notice_ctx = p;
	lw_evloop_on_tick(&p->evloop, on_tick, p);
}

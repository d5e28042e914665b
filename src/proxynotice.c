/*
 * The proxy's view of what its backend server announces: other nodes and the log hear
 * of it, and a server that is asked for nothing is asked whether it still holds.
 */
#include "log.h"
#include "proxy_int.h"

/* a server that names a limit and has not been heard for so long is asked, us */
#define UNHEARD_US 1500000

/* lw_proxy_announce() - what the server announces has changed: those that may send it requests hear now. */
void lw_proxy_announce(void *ctx)
{
	lw_proxy_t *p = ctx;

	lw_mesh_announce(p->engine.mesh);
}

/* lw_proxy_heard() - the server has announced this in its answer to a health check. */
void lw_proxy_heard(void *ctx, const lw_notice_said_t *said, uint64_t sent_us)
{
	lw_proxy_t *p = ctx;

	lw_gate_on_notice(&p->engine.gate, said, sent_us);
}

static void log_limit(const lw_proxy_t *p)
{
	const lw_gate_t *g = &p->engine.gate;
	const char *by = g->announced_limit.heard_us ? "answer" : "peer";
	uint64_t age_ms = g->announced_limit.heard_us ?
				  (p->hub.now_us - g->announced_limit.heard_us) / 1000 :
				  0;

	if (g->announced_limit.on)
		lw_log(LW_LOG_server_limit, "server=%s limit_per_s=%.3f by=%s age_ms=%llu",
		       g->server_id, g->announced_limit.per_s, by, (unsigned long long)age_ms);
	else
		lw_log(LW_LOG_server_limit, "server=%s limit_per_s=none by=%s age_ms=%llu",
		       g->server_id, by, (unsigned long long)age_ms);
}

/* a limit may change with each answer: lines and words to others are as many as ticks at most */
static void tell_limit(lw_proxy_t *p)
{
	const lw_notice_limit_t *announced_limit = &p->engine.gate.announced_limit;

	if (announced_limit->on == p->told_limit.on &&
	    announced_limit->per_s == p->told_limit.per_s)
		return;
	p->told_limit = *announced_limit;
	log_limit(p);
	lw_proxy_announce(p);
}

static void tell_invalid(lw_proxy_t *p)
{
	uint64_t answers = p->engine.gate.stats.invalid_limits;

	if (answers == p->told_invalid)
		return;
	lw_log(LW_LOG_limit_invalid, "server=%s answers=%llu", p->engine.gate.server_id,
	       (unsigned long long)(answers - p->told_invalid));
	p->told_invalid = answers;
}

/*
 * A limit that lets nothing in would hold for good, as only answers end it: requests
 * would be refused beside a server that is well again.
 */
static void ask_if_unheard(lw_proxy_t *p)
{
	const lw_notice_limit_t *announced_limit = &p->engine.gate.announced_limit;

	if (!announced_limit->on || p->hub.now_us - announced_limit->heard_us < UNHEARD_US ||
	    p->hub.now_us - p->limit_asked_us < UNHEARD_US)
		return;
	p->limit_asked_us = p->hub.now_us;
	lw_probe_reset(&p->limit_probe, p->engine.gate.server_id);
	lw_probe_check(&p->limit_probe, lw_proxy_health_path(p));
}

static void on_tick(void *ctx)
{
	lw_proxy_t *p = ctx;

	tell_limit(p);
	tell_invalid(p);
	ask_if_unheard(p);
}

/* lw_proxy_notice_init() - once the gate stands. */
void lw_proxy_notice_init(lw_proxy_t *p)
{
	p->engine.gate.on_notice_change = lw_proxy_announce;
	p->engine.gate.on_notice_change_ctx = p;
	lw_probe_init(&p->limit_probe, &p->hub);
	p->limit_probe.on_notice = lw_proxy_heard;
	p->limit_probe.on_notice_ctx = p;
	lw_hub_on_tick(&p->hub, on_tick, p);
}

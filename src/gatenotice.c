/* Self-announcements (leaving, rate limit) of the backend server on this host. */
#include "gate_int.h"

#include <string.h>

#include "log.h"

/* enforces the announced rate limit from now on */
static void apply_limit(lw_gate_t *g, uint64_t server)
{
	lw_ratelimit_set(&g->ratelimit, g->announced_limit.on, g->announced_limit.per_s,
			 g->evloop->now_us);
	g->notice.server = server;
	g->notice.limited = g->announced_limit.on;
	g->notice.limit_per_s = g->announced_limit.per_s;
}

/*
 * lw_gate_accept_reported_limit() - apply the rate limit that the sender of a request knows for
 * the backend server. Ignored once the backend server itself has announced a limit to this node.
 */
void lw_gate_accept_reported_limit(lw_gate_t *g, const lw_notice_t *reported)
{
	if (!reported->limited || g->announced_limit.updated_us ||
	    (g->server_id[0] && !lw_notice_matches(reported, g->server_id, g->server_born_ms)))
		return;
	if (lw_notice_limit_from_peer(&g->announced_limit, reported->limit_per_s))
		apply_limit(g, reported->server);
}

/* lw_gate_reset_notice() - discard the announcements of the previous process. */
void lw_gate_reset_notice(lw_gate_t *g)
{
	memset(&g->notice, 0, sizeof(g->notice));
	memset(&g->announced_limit, 0, sizeof(g->announced_limit));
	lw_ratelimit_set(&g->ratelimit, false, 0, g->evloop->now_us);
}

static void on_leaving(lw_gate_t *g)
{
	g->notice.leaving = true;
	g->leaving_us = g->evloop->now_us;
	lw_log(LW_LOG_server_leaving, "server=%s by=answer born_ms=%llu", g->server_id,
	       (unsigned long long)g->server_born_ms);
	lw_gate_reject_queued(g, LW_FAIL_LEAVING);
	if (g->on_notice_change)
		g->on_notice_change(g->on_notice_change_ctx);
}

/*
 * lw_gate_on_notice() - process the self-announcement @said in the answer to a request sent at
 * @sent_us. Leaving is permanent: an answer that does not announce it is an older one.
 */
void lw_gate_on_notice(lw_gate_t *g, const lw_notice_fields_t *said, uint64_t sent_us)
{
	g->stats.invalid_limits += said->limit_invalid;
	if (lw_notice_limit_from_response(&g->announced_limit, said, sent_us, g->evloop->now_us))
		apply_limit(g, g->notice.server);
	if (said->leaving && !g->notice.leaving)
		on_leaving(g);
}

/*
 * lw_gate_leaving() - whether the backend server accepts no new work, according to the server list
 * or its answers.
 */
bool lw_gate_leaving(const lw_gate_t *g)
{
	return g->leaving || g->notice.leaving;
}

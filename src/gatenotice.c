/* What the backend server on this host announces in its answers, and what follows here. */
#include "gate_int.h"

#include <string.h>

#include "log.h"

/* the limit that was heard of is kept from now on */
static void set_pace(lw_gate_t *g, uint64_t server)
{
	lw_pace_set(&g->pace, g->named.on, g->named.per_s, g->evloop->now_us);
	g->notice.server = server;
	g->notice.limited = g->named.on;
	g->notice.limit_per_s = g->named.per_s;
}

/* lw_gate_take_word() - what the sender of a request knows of the backend server; counts before that was heard here. */
void lw_gate_take_word(lw_gate_t *g, const lw_notice_t *told)
{
	if (!told->limited || g->named.heard_us ||
	    (g->server_id[0] && !lw_notice_is_of(told, g->server_id, g->server_born_ms)))
		return;
	if (lw_notice_limit_told(&g->named, told->limit_per_s))
		set_pace(g, told->server);
}

/* lw_gate_forget_notice() - the backend server has another process now. */
void lw_gate_forget_notice(lw_gate_t *g)
{
	memset(&g->notice, 0, sizeof(g->notice));
	memset(&g->named, 0, sizeof(g->named));
	lw_pace_set(&g->pace, false, 0, g->evloop->now_us);
}

static void heard_leaving(lw_gate_t *g)
{
	g->notice.leaving = true;
	lw_log(LW_LOG_server_leaving, "server=%s by=answer", g->server_id);
	lw_gate_hand_back(g, LW_FAIL_LEAVING);
	if (g->noticed)
		g->noticed(g->noticed_ctx);
}

/*
 * lw_gate_heard() - the process of the backend server says this of itself in the
 * answer to a request sent at @sent_us. That it leaves holds for good: an answer
 * without it is an older one.
 */
void lw_gate_heard(lw_gate_t *g, const lw_notice_said_t *said, uint64_t sent_us)
{
	g->stats.invalid_limits += said->limit_invalid;
	if (lw_notice_limit_hear(&g->named, said, sent_us, g->evloop->now_us))
		set_pace(g, g->notice.server);
	if (said->leaving && !g->notice.leaving)
		heard_leaving(g);
}

/* lw_gate_leaving() - whether the backend server takes no new work, as the list or its answers say. */
bool lw_gate_leaving(const lw_gate_t *g)
{
	return g->leaving || g->notice.leaving;
}

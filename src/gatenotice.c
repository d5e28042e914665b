/* Self-announcements (leaving, rate limit) of the backend server on this host. */
#include "gate_int.h"

#include <string.h>

#include "leaving.h"
#include "linux/clock.h"
#include "log.h"

/*
 * how long other nodes are told that the server accepts work after a doubt about that was resolved,
 * so that nodes hear of it which cannot be reached for a while, us
 */
#define ACCEPTING_REPORTED_US 60000000

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
	    (g->server_id[0] && !lw_notice_is_about(reported, g->server_id)))
		return;
	if (lw_notice_limit_from_peer(&g->announced_limit, reported->limit_per_s))
		apply_limit(g, reported->server);
}

static void reset_notice(lw_gate_t *g)
{
	memset(&g->notice, 0, sizeof(g->notice));
	memset(&g->announced_limit, 0, sizeof(g->announced_limit));
	lw_ratelimit_set(&g->ratelimit, false, 0, g->evloop->now_us);
}

/* another process may run: its next answer to a health check tells whether it is leaving */
static void doubt_process(lw_gate_t *g)
{
	g->list_draining = false;
	g->process_in_doubt = true;
	g->accepting_us = 0;
}

/*
 * lw_gate_server_changed() - the list names another server on this host. Whether it is leaving is
 * to be checked, as other nodes may remember an announcement of its former process. What other
 * nodes reported before the first list stays, unless it is about a different server.
 */
void lw_gate_server_changed(lw_gate_t *g, const lw_place_host_t *server)
{
	if (g->server_id[0] || !lw_notice_matches(&g->notice, server->id, server->born_ms))
		reset_notice(g);
	doubt_process(g);
}

static void log_leaving_ended(const lw_gate_t *g)
{
	lw_log(LW_LOG_leaving_ended, "server=%s by=answer born_ms=%llu age_ms=%llu", g->server_id,
	       (unsigned long long)g->server_born_ms,
	       (unsigned long long)((g->evloop->now_us - g->leaving_us) / 1000));
}

/*
 * lw_gate_process_changed() - the list has another start time for the server on this host. That
 * does not end the announcement that the server is leaving: the list may be late, or from an old
 * copy of the store, and the process that made the announcement may be the one that runs. A limit
 * stays as well: the next answer confirms or lifts it.
 */
void lw_gate_process_changed(lw_gate_t *g, const lw_place_host_t *server)
{
	bool leaving = g->notice.leaving;
	bool kept = leaving && lw_leaving_may_concern(g->notice.seen_ms, server->born_ms);

	if (leaving)
		lw_log(LW_LOG_leaving_entry_changed,
		       "server=%s at=gate born_ms=%llu entry_born_ms=%llu age_ms=%llu kept=%d",
		       g->server_id, (unsigned long long)g->server_born_ms,
		       (unsigned long long)server->born_ms,
		       (unsigned long long)((g->evloop->now_us - g->leaving_us) / 1000), kept);
	g->notice.leaving = kept;
	doubt_process(g);
}

/* Unix time of an observation made at @at_us, ms; later than that of all others before */
static uint64_t observation_ms(const lw_gate_t *g, uint64_t at_us)
{
	uint64_t unix_ms = lw_now_unix_ms() - (g->evloop->now_us - at_us) / 1000;

	return unix_ms > g->notice.seen_ms ? unix_ms : g->notice.seen_ms + 1;
}

static void announce(lw_gate_t *g)
{
	if (g->on_notice_change)
		g->on_notice_change(g->on_notice_change_ctx);
}

static void on_leaving(lw_gate_t *g)
{
	bool known = g->notice.leaving;

	g->process_in_doubt = false;
	g->accepting_us = 0;
	g->leaving_us = g->evloop->now_us;
	g->notice.leaving = true;
	g->notice.seen_ms = observation_ms(g, g->evloop->now_us);
	if (known)
		return;
	lw_log(LW_LOG_server_leaving, "server=%s by=answer born_ms=%llu", g->server_id,
	       (unsigned long long)g->server_born_ms);
	lw_gate_reject_queued(g, LW_FAIL_LEAVING);
	announce(g);
}

/*
 * lw_gate_on_notice() - process the self-announcement @said in the answer to a request sent at
 * @sent_us.
 */
void lw_gate_on_notice(lw_gate_t *g, const lw_notice_fields_t *said, uint64_t sent_us)
{
	g->stats.invalid_limits += said->limit_invalid;
	if (lw_notice_limit_from_response(&g->announced_limit, said, sent_us, g->evloop->now_us))
		apply_limit(g, g->notice.server);
	if (said->leaving)
		on_leaving(g);
}

/*
 * lw_gate_on_accepting() - the server answered a request sent at @sent_us and did not announce that
 * it is leaving. A leaving process announces that in each answer, so if the request was sent after
 * the announcement, another process has answered. Without a change in the list the announcement
 * stays nonetheless, as a faulty server may leave it out.
 */
void lw_gate_on_accepting(lw_gate_t *g, uint64_t sent_us)
{
	if (!g->process_in_doubt || sent_us <= g->leaving_us)
		return;
	g->process_in_doubt = false;
	g->accepting_us = g->evloop->now_us;
	g->notice.seen_ms = observation_ms(g, sent_us);
	if (g->notice.leaving)
		log_leaving_ended(g);
	g->notice.leaving = false;
	announce(g);
}

/*
 * lw_gate_report_notice() - what other nodes are told about the backend server. All zero if there is
 * nothing to tell.
 */
void lw_gate_report_notice(const lw_gate_t *g, lw_notice_t *out)
{
	bool resolved =
		g->accepting_us && g->evloop->now_us - g->accepting_us < ACCEPTING_REPORTED_US;

	memset(out, 0, sizeof(*out));
	if (!g->notice.leaving && !g->list_draining && !g->notice.limited && !resolved)
		return;
	*out = g->notice;
	/* what only the list has said holds for the process that the list names */
	if (!g->notice.leaving && (g->list_draining || !resolved))
		out->seen_ms = 0;
	out->leaving |= g->list_draining;
}

/*
 * lw_gate_leaving() - whether the backend server accepts no new work, according to the server list
 * or its answers.
 */
bool lw_gate_leaving(const lw_gate_t *g)
{
	return g->leaving || g->list_draining || g->notice.leaving;
}

/* Quarantine of requests that crashed backend servers: each is tried alone or rejected. */
#include "exchange_int.h"

#include "log.h"

/* servers that crash while executing copies of a request do so within this time, in seconds */
#define CRASH_REPORT_WAIT_S 0.02

/* lw_exchange_verdict() - the current quarantine verdict on the request. */
lw_quarantine_verdict_t lw_exchange_verdict(const lw_exchange_t *x)
{
	return lw_quarantine_verdict(x->engine->quarantine, &x->print.value,
				     x->engine->evloop->now_us);
}

static void reject_held(lw_exchange_t *x)
{
	x->min_retry_after_ms = lw_quarantine_held_ms(x->engine->quarantine, &x->print.value,
						      x->engine->evloop->now_us);
	lw_log(LW_LOG_request_held,
	       "id=%s route=%s org=%s service=%s print=%016llx for_ms=%u given=%u", x->request_id,
	       x->route, lw_exchange_org(x), x->service->name,
	       (unsigned long long)x->print.value.whole, x->min_retry_after_ms,
	       x->attempts.reached);
	lw_exchange_answer_verdict(x, lw_retry_final_verdict(&x->attempts, LW_FAIL_HELD),
				   LW_FAIL_HELD);
}

/*
 * sends the request to a trial server; all nodes choose the same one, whose node admits one copy
 * at a time
 */
static void start_trial(lw_exchange_t *x, lw_fail_t last)
{
	const lw_suspect_t *s = lw_quarantine_find(x->engine->quarantine, &x->print.value);
	lw_place_host_t *host = NULL;

	if (!x->tried.n && !x->attempts.reached)
		host = lw_place_pick_trial(x->service, s->print.whole, s->crashed_process,
					   s->ncrashes, x->engine->evloop->now_us);
	if (host)
		lw_exchange_attempt_at(x, host, last);
	else if (!lw_exchange_wait_for_host(x, last))
		lw_exchange_answer_verdict(x, lw_retry_final_verdict(&x->attempts, last), last);
}

/*
 * lw_exchange_apply_quarantine() - if the request is suspected of crashing servers: try it alone,
 * wait for that, or answer it. Returns false if it may be sent to any server; @last: why the
 * previous attempt failed.
 */
bool lw_exchange_apply_quarantine(lw_exchange_t *x, lw_fail_t last)
{
	lw_quarantine_verdict_t v = lw_exchange_verdict(x);

	if (v == LW_QUARANTINE_HELD)
		reject_held(x);
	else if (v == LW_QUARANTINE_TRIAL)
		start_trial(x, last);
	return v != LW_QUARANTINE_CLEAR;
}

static void on_crash_reports_due(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	lw_exchange_retry_or_answer(w->data, LW_FAIL_BROKEN);
}

/*
 * lw_exchange_wait_for_crash_reports() - a server crashed while executing the request: before the
 * request is sent to the next server, wait for reports of other crashes caused by copies of it. If
 * each copy were resent at once, each would crash one more server. Returns false if there is
 * nothing to wait for.
 */
bool lw_exchange_wait_for_crash_reports(lw_exchange_t *x)
{
	if (x->waited_for_crash_reports ||
	    !lw_quarantine_find(x->engine->quarantine, &x->print.value))
		return false;
	x->waited_for_crash_reports = true;
	ev_timer_init(&x->hold, on_crash_reports_due, CRASH_REPORT_WAIT_S, 0);
	x->hold.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->hold);
	return true;
}

/*
 * lw_exchange_clear_suspect() - a server answered the request completely and did not crash: tell
 * the other nodes that the request is not the cause.
 */
void lw_exchange_clear_suspect(const lw_exchange_t *x)
{
	const lw_suspect_t *news;

	if (!x->answered_ok)
		return;
	news = lw_quarantine_answered(x->engine->quarantine, &x->print.value,
				      x->engine->evloop->now_us);
	if (!news)
		return;
	lw_log(LW_LOG_suspect_changed, "print=%016llx ends=0 trials=0 held_ms=0 by=answer",
	       (unsigned long long)x->print.value.whole);
	lw_mesh_broadcast_suspect(x->engine->mesh, news);
}

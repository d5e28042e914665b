/* Requests under which backend servers ended: tried alone, or held back. */
#include "exchange_int.h"

#include "log.h"

/* servers that end under copies of a request end within this time, in seconds */
#define WORD_WAIT_S 0.02

/* lw_exchange_verdict() - what is to be done with the request, as far as it is known by now. */
lw_quarantine_verdict_t lw_exchange_verdict(const lw_exchange_t *x)
{
	return lw_quarantine_verdict(x->engine->quarantine, &x->print.value,
				     x->engine->evloop->now_us);
}

static void hold_back(lw_exchange_t *x)
{
	x->room_ms = lw_quarantine_held_ms(x->engine->quarantine, &x->print.value,
					   x->engine->evloop->now_us);
	lw_log(LW_LOG_request_held, "id=%s route=%s print=%016llx for_ms=%u given=%u",
	       x->request_id, x->route, (unsigned long long)x->print.value.whole, x->room_ms,
	       x->attempts.given);
	lw_exchange_answer_verdict(x, lw_retry_final(&x->attempts, LW_FAIL_HELD), LW_FAIL_HELD);
}

/* given to one server, the same for all nodes, whose node lets one of its kind in at a time */
static void try_alone(lw_exchange_t *x, lw_fail_t last)
{
	const lw_suspect_t *s = lw_quarantine_find(x->engine->quarantine, &x->print.value);
	lw_place_host_t *host = NULL;

	if (!x->tried.n && !x->attempts.given)
		host = lw_place_pick_trial(x->service, s->print.whole, s->end, s->nends,
					   x->engine->evloop->now_us);
	if (host)
		lw_exchange_attempt_at(x, host, last);
	else if (!lw_exchange_wait_for_host(x, last))
		lw_exchange_answer_verdict(x, lw_retry_final(&x->attempts, last), last);
}

/*
 * lw_exchange_detain() - if servers ended under the request: try it alone, wait for
 * that, or answer. False if it may be given to any server; @last: why again.
 */
bool lw_exchange_detain(lw_exchange_t *x, lw_fail_t last)
{
	lw_quarantine_verdict_t v = lw_exchange_verdict(x);

	if (v == LW_QUARANTINE_HELD)
		hold_back(x);
	else if (v == LW_QUARANTINE_TRIAL)
		try_alone(x, last);
	return v != LW_QUARANTINE_CLEAR;
}

static void on_word_due(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	lw_exchange_go_on(w->data, LW_FAIL_BROKEN);
}

/*
 * lw_exchange_wait_for_word() - a server ended with the request in hand: before it
 * goes to the next one, word that others ended under a copy of it is waited for. Sent
 * on at once each copy would end one server more.
 */
bool lw_exchange_wait_for_word(lw_exchange_t *x)
{
	if (x->heard_of_ends || !lw_quarantine_find(x->engine->quarantine, &x->print.value))
		return false;
	x->heard_of_ends = true;
	ev_timer_init(&x->hold, on_word_due, WORD_WAIT_S, 0);
	x->hold.data = x;
	ev_timer_start(x->engine->evloop->loop, &x->hold);
	return true;
}

/* lw_exchange_tell_answered() - a server answered it in full and lives: others hear that it is not the cause. */
void lw_exchange_tell_answered(const lw_exchange_t *x)
{
	const lw_suspect_t *news;

	if (!x->answered_well)
		return;
	news = lw_quarantine_answered(x->engine->quarantine, &x->print.value,
				      x->engine->evloop->now_us);
	if (!news)
		return;
	lw_log(LW_LOG_suspect_changed, "print=%016llx ends=0 trials=0 held_ms=0 by=answer",
	       (unsigned long long)x->print.value.whole);
	lw_mesh_broadcast_suspect(x->engine->mesh, news);
}

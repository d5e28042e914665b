/*
 * Carries out the graceful stop of the proxy after SIGTERM; stopplan.c decides
 * the steps.
 */
#include "log.h"
#include "proxy_int.h"
#include "stopplan.h"

/*
 * Age in microseconds of the oldest request in progress, of callers or of
 * other nodes; 0 if there is none. A request whose answer has arrived stays in
 * progress until its sender has received the answer: an exit would cut off its
 * end, up to a flow control window (LW_CALL_WINDOW) of it.
 */
static uint64_t oldest_request_us(const lw_proxy_t *p)
{
	uint64_t theirs = lw_gate_oldest_us(&p->engine.gate);
	uint64_t ours = lw_engine_oldest_us(&p->engine);

	if (!ours && !theirs)
		return lw_callers_unwritten(p->callers) ||
		       lw_mesh_has_unwritten_answers(p->engine.mesh);
	return ours > theirs ? ours : theirs;
}

/* Whether no other node accepts work of the service; not if the local server accepts none. */
static bool is_last(const lw_proxy_t *p)
{
	bool known;
	const lw_place_host_t *self = lw_place_self(&p->engine.place, &known);

	return known && !self->draining && !lw_gate_leaving(&p->engine.gate) &&
	       lw_place_is_last(self, p->evloop.now_us);
}

/*
 * Connects to the other nodes of the service, to know in time whether they accept work: this node
 * may never have sent them a request.
 */
static void contact_service(lw_proxy_t *p)
{
	bool known;
	const lw_place_host_t *self = lw_place_self(&p->engine.place, &known);

	if (!known)
		return;
	for (const lw_place_host_t *h = self->service->hosts; h; h = h->next)
		if (h != self && lw_place_usable(h, p->evloop.now_us))
			lw_mesh_connect(p->engine.mesh, h->node);
}

/* Logs a step of the stop with the work that is left. */
static void log_step(const lw_proxy_t *p, const char *step, const lw_stopstate_t *state)
{
	lw_log(LW_LOG_stop_step,
	       "step=%s since_ms=%llu active=%u running=%u queued=%zu oldest_ms=%llu", step,
	       (unsigned long long)(state->since_us / 1000), p->engine.active,
	       p->engine.gate.running, p->engine.gate.queue.len,
	       (unsigned long long)(state->oldest_us / 1000));
}

/*
 * Answers the requests that are given up and closes all connections, in the step
 * that decides to exit: the event loop still handles what has arrived in this
 * iteration, and a request accepted then would be forwarded with nobody left to
 * wait for its answer.
 */
static void close_everything(lw_proxy_t *p)
{
	p->engine.gate.stats.cut_off += lw_gate_log_cut_off(&p->engine.gate);
	lw_engine_finish_all(&p->engine);
	lw_callers_close_all(p->callers);
	lw_mesh_close_all(p->engine.mesh);
}

/* Timer callback: takes the next steps of the stop. */
static void on_stop_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_stopstate_t state = {
		.since_us = p->evloop.now_us - p->stop_began_us,
		.grace_us = p->stop_grace_us,
		.oldest_us = oldest_request_us(p),
		.refusing_us = p->refusing_us ? p->evloop.now_us - p->refusing_us : 0,
		.at_work = p->engine.gate.ncalls || !p->engine.gate.exiting,
		.last = is_last(p),
		.unconfirmed = !lw_mesh_exit_confirmed(p->engine.mesh),
	};
	lw_stopplan_t plan = lw_stopplan(&state);

	(void)revents;
	if (plan.tell_peers && !p->evloop.peers_notified) {
		log_step(p, "peers_told", &state);
		p->evloop.peers_notified = true;
		lw_mesh_broadcast_status(p->engine.mesh);
	}
	if (plan.close_idle)
		lw_callers_close_idle(p->callers);
	if (plan.cautious && !p->evloop.cautious)
		log_step(p, "cautious", &state);
	p->evloop.cautious = plan.cautious;
	if (plan.refuse && !p->engine.gate.exiting) {
		log_step(p, "refusing", &state);
		lw_gate_stop_admitting(&p->engine.gate);
		p->refusing_us = p->evloop.now_us;
		lw_mesh_announce_exit(p->engine.mesh);
	}
	p->evloop.callers_refused = plan.refuse_callers;
	if (plan.close_listeners)
		lw_callers_close_listeners(p->callers);
	if (plan.exit) {
		log_step(p, state.oldest_us ? "exit_cutting_off" : "exit", &state);
		close_everything(p);
		ev_break(loop, EVBREAK_ALL);
	}
}

/* Logs a further signal to stop; it changes neither the steps nor the exit. */
static void log_again(const lw_proxy_t *p, int signum)
{
	uint64_t now_us = p->evloop.now_us;
	uint64_t left_us = p->evloop.exit_us > now_us ? p->evloop.exit_us - now_us : 0;

	lw_log(LW_LOG_stopping,
	       "signal=%d again=1 since_ms=%llu exit_in_ms=%llu active=%u running=%u", signum,
	       (unsigned long long)((now_us - p->stop_began_us) / 1000),
	       (unsigned long long)(left_us / 1000), p->engine.active, p->engine.gate.ncalls);
}

/*
 * lw_proxy_on_term() - handles SIGTERM and SIGINT: callers are told that the node
 * is stopping, and the further steps follow stopplan.c.
 */
void lw_proxy_on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	lw_proxy_t *p = w->data;

	(void)revents;
	if (p->evloop.leaving) {
		log_again(p, w->signum);
		return;
	}
	lw_log(LW_LOG_stopping, "signal=%d active=%u running=%u", w->signum, p->engine.active,
	       p->engine.gate.ncalls);
	p->evloop.leaving = true;
	p->stop_began_us = p->evloop.now_us;
	p->stop_grace_us = (uint64_t)(p->set->grace_s * 1e6);
	p->evloop.exit_us = p->stop_began_us + lw_stopplan_exit_us(p->stop_grace_us);
	contact_service(p);
	ev_timer_init(&p->stop_timer, on_stop_step, LW_STOPPLAN_STEP_S, LW_STOPPLAN_STEP_S);
	p->stop_timer.data = p;
	ev_timer_start(loop, &p->stop_timer);
}

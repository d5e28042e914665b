/* The stop of the proxy: what stopplan.c decides is done here. */
#include "log.h"
#include "proxy_int.h"
#include "stopplan.h"

/*
 * Age of the oldest request under way, of callers or of other nodes; 0: there
 * is none. One whose answer is here is under way until its sender has taken it:
 * an exit would cut off up to a window of it.
 */
static uint64_t oldest_request_us(const lw_proxy_t *p)
{
	uint64_t theirs = lw_gate_oldest_us(&p->engine.gate);
	uint64_t ours = lw_engine_oldest_us(&p->engine);

	if (!ours && !theirs)
		return lw_callers_unwritten(p->callers) || lw_mesh_unwritten(p->engine.mesh);
	return ours > theirs ? ours : theirs;
}

/* what the node still has, for the lines about a stop */
static void log_step(const lw_proxy_t *p, const char *step, const lw_stopstate_t *state)
{
	lw_log(LW_LOG_stop_step,
	       "step=%s since_ms=%llu active=%u running=%u queued=%zu oldest_ms=%llu", step,
	       (unsigned long long)(state->since_us / 1000), p->engine.active,
	       p->engine.gate.running, p->engine.gate.queue.len,
	       (unsigned long long)(state->oldest_us / 1000));
}

/*
 * Answer what is given up and close everything, in the step that decides it: the
 * loop still acts on what has arrived in this turn, and a request taken then
 * would be passed on with nobody left to wait for its answer.
 */
static void close_everything(lw_proxy_t *p)
{
	lw_engine_end_all(&p->engine);
	lw_callers_end(p->callers);
	lw_mesh_end(p->engine.mesh);
}

/* the next steps of a stop */
static void on_stop_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_proxy_t *p = w->data;
	lw_stopstate_t state = {
		.since_us = p->hub.now_us - p->stop_began_us,
		.grace_us = p->stop_grace_us,
		.oldest_us = oldest_request_us(p),
		.refusing_us = p->refusing_us ? p->hub.now_us - p->refusing_us : 0,
		.at_work = p->engine.gate.ncalls || !p->engine.gate.refusing,
	};
	lw_stopplan_t plan = lw_stopplan(&state);

	(void)revents;
	if (plan.tell_peers && !p->hub.peers_told) {
		log_step(p, "peers_told", &state);
		p->hub.peers_told = true;
		lw_mesh_announce(p->engine.mesh);
	}
	if (plan.close_idle)
		lw_callers_close_idle(p->callers);
	if (plan.refuse && !p->engine.gate.refusing) {
		log_step(p, "refusing", &state);
		lw_gate_refuse(&p->engine.gate);
		p->refusing_us = p->hub.now_us;
		lw_mesh_announce(p->engine.mesh);
	}
	p->hub.callers_refused = plan.refuse_callers;
	if (plan.close_listeners)
		lw_callers_close_listeners(p->callers);
	if (plan.exit) {
		log_step(p, state.oldest_us ? "exit_cutting_off" : "exit", &state);
		close_everything(p);
		ev_break(loop, EVBREAK_ALL);
	}
}

/* lw_proxy_on_term() - SIGTERM: callers are told not to come; the rest follows by stopplan.c. */
void lw_proxy_on_term(struct ev_loop *loop, ev_signal *w, int revents)
{
	lw_proxy_t *p = w->data;

	(void)revents;
	if (p->hub.leaving)
		return;
	lw_log(LW_LOG_stopping, "signal=%d active=%u running=%u", w->signum, p->engine.active,
	       p->engine.gate.ncalls);
	p->hub.leaving = true;
	p->stop_began_us = p->hub.now_us;
	p->stop_grace_us = (uint64_t)(p->set->grace_s * 1e6);
	p->hub.exit_us = p->stop_began_us + lw_stopplan_exit_us(p->stop_grace_us);
	ev_timer_init(&p->stop_timer, on_stop_step, LW_STOPPLAN_STEP_S, LW_STOPPLAN_STEP_S);
	p->stop_timer.data = p;
	ev_timer_start(loop, &p->stop_timer);
}

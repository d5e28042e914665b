/* The steps of a graceful stop; see stopplan.h. */
#include "stopplan.h"

/*
 * Clients are told at once to use other nodes; they learn it within two polls
 * of the platform, which they make once a second. Only after that is it safe
 * to exit. In microseconds.
 */
#define CALLERS_KNOW_US 2300000
/*
 * Other nodes are told later and send work until then: the node has to keep
 * running for its clients in any case, and its backend server would be idle
 * meanwhile. The requests they send last have the usual second to finish. In microseconds.
 */
#define TELL_PEERS_US 1300000
/* idle client connections are closed from this time on, us */
#define CLOSE_IDLE_US 1500000
/*
 * Requests of clients that still arrive after this time are refused: a
 * request that is accepted later could be interrupted by SIGKILL. The
 * listener stays open while the backend server is at work, as the calls of the
 * requests it executes arrive there; with it closed they would fail at the
 * server during a stop that is prolonged by a lost answer. In microseconds.
 */
#define REFUSE_CALLERS_US 2800000
/*
 * Shortest time between the announcement that the node accepts nothing more,
 * whenever it was made, and the exit: requests that others sent before they
 * received it are rejected unexecuted in that time. For the sender, a request
 * that arrives during the exit may have been executed. In microseconds.
 */
#define PEERS_KNOW_US 200000
/*
 * The same as long as a peer has not replied to the announcement: the peer is far away or slow, and
 * requests that it sent before are still on their way. One that takes longer is frozen or cut off.
 * In microseconds.
 */
#define PEERS_REPLY_US 1000000
/* a step may run early by this much, us */
#define STEP_EARLY_US 20000
/*
 * The process exits this long before SIGKILL even if requests are in flight,
 * so that the last answers can be sent. Requests that are interrupted by this
 * exit would be interrupted by SIGKILL otherwise. In microseconds.
 */
#define EXIT_MARGIN_US 400000

/*
 * A request in flight for longer than this may last until its deadline, for
 * example when its answer is lost, and the exit has to wait for it. Refusing
 * work meanwhile would leave the backend server idle needlessly (for 2.7 s of
 * one rolling restart, in which the service had no other node). In microseconds.
 */
#define STRAGGLER_US 1000000
/*
 * A stopping node expects a request to execute for as long as the longest recent one of its kind of
 * work, plus a fraction of it, which is larger for a request that is not idempotent: no other server
 * can repeat it if the exit interrupts it. There is no upper bound, as work that lasts longer than
 * the bound would be interrupted. A kind of work that lasts too long is refused alone, and the
 * backend server goes on with others. In microseconds.
 */
#define SPARE_DIVISOR	    4
#define ORDER_SPARE_DIVISOR 2
#define RUN_MIN_US	    1000000
/* the same for a kind of work of which little is known; the longest of all work counts then, us */
#define RUN_UNKNOWN_US 2600000
/*
 * The last node of its service goes on for this long after work of unknown duration would no longer
 * end. Hardly anything is accepted then, and its own next process would be there as soon as another
 * node that takes even longer. In microseconds.
 */
#define LAST_EXTRA_US 400000
/* how many times longer than usual work may take at a server that becomes slow */
#define SLOWER_MAX 12

/*
 * lw_stopplan_exit_us() - latest exit of a process that has @grace_us between
 * SIGTERM and SIGKILL, counted from SIGTERM.
 */
uint64_t lw_stopplan_exit_us(uint64_t grace_us)
{
	return grace_us > 2 * EXIT_MARGIN_US ? grace_us - EXIT_MARGIN_US : grace_us / 2;
}

/*
 * how long the request is expected to execute, us; one that has begun fails if it is refused, while
 * others cost a detour, so that little knowledge is no reason to refuse it
 */
static uint64_t expected_run_us(const lw_stopwork_t *w)
{
	uint64_t spare_us = w->longest_us / (w->idempotent ? SPARE_DIVISOR : ORDER_SPARE_DIVISOR);
	uint64_t least_us = w->known || w->begun ? RUN_MIN_US : RUN_UNKNOWN_US;
	uint64_t run_us = w->longest_us + spare_us;

	if (w->cautious && w->usual_us * SLOWER_MAX > run_us)
		run_us = w->usual_us * SLOWER_MAX;
	return run_us > least_us ? run_us : least_us;
}

/*
 * lw_stopplan_judge() - whether a stopping node accepts the request @w, and why. If requests were
 * accepted up to a fixed moment, those that execute for longer than the time left would be
 * interrupted, and those that must not be executed twice would fail.
 */
lw_stopverdict_t lw_stopplan_judge(const lw_stopwork_t *w)
{
	lw_stopverdict_t v = { LW_STOPBASIS_NONE, w->left_us, w->wait_us + expected_run_us(w) };

	if (w->left_us >= w->deadline_us)
		v.basis = LW_STOPBASIS_DEADLINE;
	else if (w->left_us >= v.expected_us && (w->known || !w->cautious))
		v.basis = LW_STOPBASIS_DURATION;
	return v;
}

/* lw_stopbasis_name() - @basis as a word of a log line. */
const char *lw_stopbasis_name(lw_stopbasis_t basis)
{
	static const char *const names[] = { "not_stopping", "deadline", "duration", "none" };

	return names[basis];
}

/* whether requests that are accepted now may last for @run_us until the exit */
static bool leaves(const lw_stopstate_t *s, uint64_t run_us)
{
	return s->since_us + run_us <= lw_stopplan_exit_us(s->grace_us);
}

/* whether the node could accept nothing more, as the requests in flight will end soon */
static bool could_refuse(const lw_stopstate_t *s)
{
	return s->since_us >= CALLERS_KNOW_US && s->oldest_us < STRAGGLER_US;
}

/*
 * Whether to accept nothing more: the requests in flight will end soon, or must. The last node of
 * its service goes on until another accepts work, for a while. Where two nodes stop within a second,
 * the second one would otherwise exit before the first has started again, and requests would be
 * refused although all servers are alive.
 */
static bool time_to_refuse(const lw_stopstate_t *s)
{
	bool last = s->last && leaves(s, RUN_UNKNOWN_US - LAST_EXTRA_US);

	return !leaves(s, RUN_MIN_US) || (could_refuse(s) && !last);
}

/*
 * Whether requests are accepted only by the deadline of their sender, or if they are so short that
 * they end at a slow server, too: a server may become slow after it took work, so that the exit
 * interrupts what recent durations allowed. Only nodes that are held up, or the last of their
 * service, still accept work then; others stopped accepting when work of unknown duration ended.
 */
static bool is_cautious(const lw_stopstate_t *s)
{
	return !time_to_refuse(s) && !leaves(s, RUN_UNKNOWN_US);
}

/* whether nothing is in flight and all peers know that the node accepts nothing more */
static bool may_exit(const lw_stopstate_t *s)
{
	uint64_t know_us = s->unconfirmed ? PEERS_REPLY_US : PEERS_KNOW_US;

	return s->since_us >= CALLERS_KNOW_US + PEERS_KNOW_US && !s->oldest_us &&
	       s->refusing_us + STEP_EARLY_US >= know_us;
}

/*
 * lw_stopplan() - what to do now. The node accepts no work of others from the
 * moment at which it could exit. Otherwise, where the nodes of all servers of
 * a service stop in turn, each of them would be sent work as the best one
 * left until its exit interrupted that work.
 */
lw_stopplan_t lw_stopplan(const lw_stopstate_t *s)
{
	lw_stopplan_t p = {
		.tell_peers = s->since_us >= TELL_PEERS_US,
		.close_idle = s->since_us >= CLOSE_IDLE_US,
		.cautious = is_cautious(s),
		.refuse = time_to_refuse(s),
		.refuse_callers = s->since_us >= REFUSE_CALLERS_US,
		.close_listeners = s->since_us >= REFUSE_CALLERS_US && !s->at_work,
	};

	p.exit = may_exit(s) || s->since_us > lw_stopplan_exit_us(s->grace_us);
	return p;
}

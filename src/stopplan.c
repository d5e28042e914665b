/* The steps of a stop; see stopplan.h. */
#include "stopplan.h"

/*
 * Callers are told not to come at once; they hear it within two questions of
 * the platform, one a second. Only then is it safe to leave, us.
 */
#define CALLERS_KNOW_US 2300000
/*
 * Other nodes send work for a while yet: the node runs on for its callers in
 * any case, and its backend server would stand idle meanwhile. What they send
 * last has the usual second to finish, us.
 */
#define TELL_PEERS_US 1300000
/* idle connections of callers are closed from then on, us */
#define CLOSE_IDLE_US 1500000
/*
 * Callers that come all the same are turned away from then on: a request
 * taken later could be cut off by SIGKILL. The backend server comes by the same
 * listener with the calls of what it runs; without it 13 of 41 requests of a
 * stop that a lost answer held up failed at the server, us.
 */
#define REFUSE_CALLERS_US 2800000
/*
 * Between the word that nothing is taken any more and the exit, whenever that
 * word was given: what others sent before they heard it is handed back in that
 * time. A request that meets the exit may have run, for all its sender knows (20
 * of 20 under way 30 ms each way, when both came in one step), us.
 */
#define PEERS_KNOW_US 200000
/* a step may come this much early, us */
#define STEP_EARLY_US 20000
/*
 * This much before SIGKILL the process exits whatever is under way: enough for
 * the last answers to leave. What is cut off then would be by SIGKILL, us.
 */
#define EXIT_MARGIN_US 400000

/*
 * A request under way for longer than this may last until its deadline, as
 * when its answer is lost, and the exit has to wait for it. Refusing work
 * meanwhile leaves the backend server idle for nothing (2.7 s of one rolling
 * restart, in which a service had no other node), us.
 */
#define STRAGGLER_US 1000000
/*
 * A stopping node expects a run to last as long as the longest one of late and
 * one part in so many more, this at least, and no more than that: one run of
 * 4.6 s would leave the node without work for the whole stop, us.
 */
#define RUN_SPARE_DIVISOR 4
#define RUN_MIN_US	  1000000
#define RUN_MAX_US	  2600000

/*
 * lw_stopplan_exit_us() - when a process that has @grace_us between SIGTERM and
 * SIGKILL exits at the latest, counted from SIGTERM.
 */
uint64_t lw_stopplan_exit_us(uint64_t grace_us)
{
	return grace_us > 2 * EXIT_MARGIN_US ? grace_us - EXIT_MARGIN_US : grace_us / 2;
}

/*
 * lw_stopplan_takes() - whether a stopping node with @left_us until its exit
 * takes a request that waits for @wait_us and whose sender wants no answer
 * after @deadline_us; @longest_us is the longest run of late. Taken up to a
 * fixed moment, work that lasts longer than what is left then is cut off while
 * its server is at it, and one that may not run twice has failed.
 */
bool lw_stopplan_accepts(uint64_t left_us, uint64_t wait_us, uint64_t longest_us,
			 uint64_t deadline_us)
{
	uint64_t run_us = longest_us + longest_us / RUN_SPARE_DIVISOR;
	uint64_t last_us;

	if (run_us < RUN_MIN_US)
		run_us = RUN_MIN_US;
	if (run_us > RUN_MAX_US)
		run_us = RUN_MAX_US;
	last_us = wait_us + run_us;
	return left_us >= (last_us < deadline_us ? last_us : deadline_us);
}

/* nothing new is taken once what is under way will end soon, or must */
static bool time_to_refuse(const lw_stopstate_t *s)
{
	if (s->since_us + RUN_MIN_US > lw_stopplan_exit_us(s->grace_us))
		return true;
	return s->since_us >= CALLERS_KNOW_US && s->oldest_us < STRAGGLER_US;
}

/* nothing is under way, and everybody has heard that nothing is taken */
static bool may_exit(const lw_stopstate_t *s)
{
	return s->since_us >= CALLERS_KNOW_US + PEERS_KNOW_US && !s->oldest_us &&
	       s->refusing_us + STEP_EARLY_US >= PEERS_KNOW_US;
}

/*
 * lw_stopplan() - what to do now. From the moment at which the node could
 * leave it takes no work of others: where the nodes beside all servers of a
 * service stop in turn, each would be sent work as the best one left until its
 * exit cut it off (123 calls in 2 s of one rolling restart).
 */
lw_stopplan_t lw_stopplan(const lw_stopstate_t *s)
{
	lw_stopplan_t p = {
		.tell_peers = s->since_us >= TELL_PEERS_US,
		.close_idle = s->since_us >= CLOSE_IDLE_US,
		.refuse = time_to_refuse(s),
		.refuse_callers = s->since_us >= REFUSE_CALLERS_US,
		.close_listeners = s->since_us >= REFUSE_CALLERS_US && !s->at_work,
	};

	p.exit = may_exit(s) || s->since_us > lw_stopplan_exit_us(s->grace_us);
	return p;
}

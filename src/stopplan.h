/*
 * What a stopping node does when, from SIGTERM to its exit. Failures it guards
 * against: callers that were not told in time, requests cut off by the exit,
 * and a fleet restarted node by node that loses more room than it must, as
 * each stopping node keeps its backend server idle. No I/O; the time is given.
 */
#ifndef LW_STOPPLAN_H
#define LW_STOPPLAN_H

#include <stdbool.h>
#include <stdint.h>

/* The steps are looked at so often, in seconds. */
#define LW_STOPPLAN_STEP_S 0.1

typedef struct lw_stopplan {
	bool tell_peers; /* other nodes send work elsewhere */
	bool close_idle; /* connections of callers that carry no request */
	bool refuse; /* nothing new is taken, what waits goes back, not run */
	bool refuse_callers; /* requests that begin here are not taken any more */
	bool close_listeners; /* nor connections */
	bool exit;
} lw_stopplan_t;

/* What a step depends on. */
typedef struct lw_stopstate {
	uint64_t since_us; /* SIGTERM */
	uint64_t grace_us; /* from SIGTERM to SIGKILL */
	uint64_t oldest_us; /* age of the oldest request under way; 0: none is */
	uint64_t refusing_us; /* since others were told that nothing is taken; 0: they were not */
	bool at_work; /* the backend server runs requests, or may still be given some */
} lw_stopstate_t;

lw_stopplan_t lw_stopplan(const lw_stopstate_t *s);
uint64_t lw_stopplan_exit_us(uint64_t grace_us);
bool lw_stopplan_accepts(uint64_t left_us, uint64_t wait_us, uint64_t longest_us,
			 uint64_t deadline_us);

#endif

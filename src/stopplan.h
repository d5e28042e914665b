/*
 * The steps of a stopping node from SIGTERM to its exit. They make sure that
 * clients are told in time, that the exit interrupts no request that could
 * have finished, and that a rolling restart costs no more capacity than
 * necessary: a stopping node should not leave its backend server idle. No I/O;
 * the caller passes the time.
 */
#ifndef LW_STOPPLAN_H
#define LW_STOPPLAN_H

#include <stdbool.h>
#include <stdint.h>

/* Interval at which the plan is evaluated, in seconds. */
#define LW_STOPPLAN_STEP_S 0.1

typedef struct lw_stopplan {
	bool tell_peers; /* tell other nodes to send work elsewhere */
	bool close_idle; /* close idle client connections */
	bool cautious; /* accept only requests that end in time even at a server that slows down */
	bool refuse; /* accept nothing more, reject queued requests unexecuted */
	bool refuse_callers; /* refuse user requests that enter at this node */
	bool close_listeners; /* accept no more connections */
	bool exit;
} lw_stopplan_t;

/* Input of lw_stopplan(). */
typedef struct lw_stopstate {
	uint64_t since_us; /* time since SIGTERM */
	uint64_t grace_us; /* time from SIGTERM to SIGKILL */
	uint64_t oldest_us; /* age of the oldest request in flight; 0: none */
	uint64_t refusing_us; /* time since peers were told that nothing is accepted; 0: not told */
	bool at_work; /* the backend server executes requests, or may still receive some */
	bool last; /* no other node of the service accepts work */
	bool unconfirmed; /* a peer has not replied to the announcement that nothing is accepted */
} lw_stopstate_t;

/*
 * A body that takes longer than this from the first byte to the last, in microseconds, is judged
 * again before its end is passed on.
 */
#define LW_STOPPLAN_SLOW_BODY_US 100000

/* Why a request is expected to end before the process exits. */
typedef enum lw_stopbasis {
	LW_STOPBASIS_NOT_STOPPING, /* no exit is due */
	LW_STOPBASIS_DEADLINE, /* its sender gives up before the exit */
	LW_STOPBASIS_DURATION, /* by its expected duration */
	LW_STOPBASIS_NONE, /* it may outlast the exit */
} lw_stopbasis_t;

/* A request at a stopping node. */
typedef struct lw_stopwork {
	uint64_t left_us; /* time until the exit */
	uint64_t wait_us; /* expected wait before it is executed */
	uint64_t deadline_us; /* time until its sender gives up */
	uint64_t longest_us; /* longest recent execution; of its kind of work if @known */
	uint64_t usual_us; /* average execution of its kind of work; used if @cautious */
	bool known; /* enough executions of its kind of work are known */
	bool idempotent; /* may be executed again if it is interrupted */
	bool cautious; /* see lw_stopplan_t */
	bool begun; /* a server has received a part of its body: it fails if it is refused now */
} lw_stopwork_t;

/* Whether a stopping node accepts a request. */
typedef struct lw_stopverdict {
	lw_stopbasis_t basis;
	uint64_t left_us; /* time until the exit when this was decided */
	uint64_t expected_us; /* expected wait and execution */
} lw_stopverdict_t;

lw_stopplan_t lw_stopplan(const lw_stopstate_t *s);
uint64_t lw_stopplan_exit_us(uint64_t grace_us);
lw_stopverdict_t lw_stopplan_judge(const lw_stopwork_t *w);
const char *lw_stopbasis_name(lw_stopbasis_t basis);

#endif

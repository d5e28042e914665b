/*
 * One call of a backend server as two halves that talk through vtables: the
 * call (a job at the backend server beside this node, or a stream to another
 * node) and its sink (the request that waits for the answer, or the stream
 * it came by). Either side may end it; whoever ends it must not be called
 * again afterwards.
 */
#ifndef LW_CALL_H
#define LW_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "hotpath.h"
#include "lwstr.h"
#include "notice.h"

/* Bytes of one body under way before the receiver takes some: one window. */
#define LW_CALL_WINDOW 65536

/* Why a call ended without a complete answer. */
typedef enum lw_fail {
	LW_FAIL_NONE = 0,
	/* no backend server was given the request */
	LW_FAIL_PATH_BUSY, /* a service its work leads to could not finish it */
	LW_FAIL_BUSY, /* the queue in front of the backend server is too long */
	LW_FAIL_LEAVING, /* the node takes no new work */
	LW_FAIL_EXPIRED, /* its time ran out while it was queued */
	LW_FAIL_NO_SERVER, /* the backend server accepts no connection */
	LW_FAIL_UNSENT, /* the connection to the node never carried it */
	/* a backend server was given the request and said that it did not run it */
	LW_FAIL_SHED,
	LW_FAIL_MISDIRECTED, /* another backend server has taken the address */
	/* it may have run */
	LW_FAIL_BROKEN, /* the connection ended or the answer was not valid */
	LW_FAIL_TIMEOUT, /* no answer in time */
	/* no backend server was given it: servers ended under it; never told to other nodes */
	LW_FAIL_HELD,
	/* no backend server was given it: its organisation is at its limit; likewise */
	LW_FAIL_OVER_LIMIT,
	LW_FAIL_COUNT
} lw_fail_t;

/* What a node tells of the backend server beside it. */
typedef struct lw_load {
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* 0: it takes nothing, its node is about to exit */
	uint32_t service_us;
	uint32_t level; /* first rank it refuses, see level.h */
	uint32_t failing; /* per mille of its requests that failed of late */
	bool leaving;
	bool down; /* the backend server takes no connection */
	bool call_failed; /* a call made for the request failed: so will its repeat */
	uint32_t ran_us; /* time the request ran there; 0: it did not, or is not over */
	uint32_t depth; /* levels of calls below the request */
	uint32_t retry_used; /* per mille of the repeats allowed that those calls use */
	lw_hots_t hots; /* services on the path of the request that refuse some work */
	lw_notice_t notice; /* what the backend server announces; of none: nothing */
} lw_load_t;

/* A request as it is handed to a node or a backend server. */
typedef struct lw_call_request {
	lw_str_t head; /* request line and end-to-end header lines, CRLF each */
	lw_str_t request_id;
	lw_str_t target; /* id of the backend server */
	int64_t body_length; /* -1: chunked */
	uint32_t deadline_ms; /* left now */
	uint32_t queue_ms; /* longest useful wait before it starts */
	uint32_t target_left_ms; /* until the user request misses its objective; 0: it did */
	uint32_t rank; /* of the user request it is part of, see level.h */
	bool repeat; /* it, or a request it is part of, was sent before */
	lw_notice_t notice; /* what the sender knows of the target; of none: nothing */
} lw_call_request_t;

/* The head of an answer. */
typedef struct lw_answer {
	uint32_t status;
	int64_t body_length; /* -1: not known before the end */
	lw_str_t head; /* status line and end-to-end header lines, CRLF each */
} lw_answer_t;

typedef struct lw_sink lw_sink_t;
typedef struct lw_call lw_call_t;

typedef struct lw_sink_ops {
	/* the call took @bytes of the request's body: so many more may be sent */
	void (*credit)(lw_sink_t *s, uint32_t bytes);
	/* the answer's head and the first part of its body; @fin: all of it */
	void (*answer)(lw_sink_t *s, const lw_answer_t *a, lw_str_t body, bool fin,
		       const lw_load_t *load);
	void (*data)(lw_sink_t *s, lw_str_t data, bool fin);
	void (*fail)(lw_sink_t *s, lw_fail_t why, uint32_t retry_after_ms, const lw_load_t *load);
	/* nothing is heard from the node that runs the call; it may still answer */
	void (*silent)(lw_sink_t *s);
} lw_sink_ops_t;

typedef struct lw_call_ops {
	void (*body)(lw_call_t *c, lw_str_t data, bool fin);
	/* the sink took @bytes of the answer's body */
	void (*credit)(lw_call_t *c, uint32_t bytes);
	void (*cancel)(lw_call_t *c);
} lw_call_ops_t;

struct lw_sink {
	const lw_sink_ops_t *ops;
};

struct lw_call {
	const lw_call_ops_t *ops;
	lw_sink_t *sink;
};

bool lw_fail_not_executed(lw_fail_t why);
bool lw_fail_reached_server(lw_fail_t why);
const char *lw_fail_name(lw_fail_t why);

#endif

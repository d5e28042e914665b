/*
 * One call to a backend server, split into two halves that communicate through vtables: the call
 * (a job at the backend server on this host, or a stream to another node) and its sink (the
 * request that waits for the answer, or the stream on which the request arrived). Either half may
 * end the call; the half that ended it must not be invoked afterwards.
 */
#ifndef LW_CALL_H
#define LW_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "overload.h"
#include "lwstr.h"
#include "notice.h"
#include "retrylimit.h"
#include "worktime.h"

/* Flow control window: bytes of one body that may be sent before the receiver grants credit. */
#define LW_CALL_WINDOW 65536

/* Why a call ended without a complete answer. The order matters, see lw_fail_not_executed(). */
typedef enum lw_fail {
	LW_FAIL_NONE = 0,
	/* the request was not sent to any backend server */
	LW_FAIL_PATH_BUSY, /* a service on its call path could not complete it */
	LW_FAIL_BUSY, /* the admission queue of the backend server is too long */
	LW_FAIL_LEAVING, /* the node or the backend server accepts no new work */
	LW_FAIL_EXPIRED, /* its deadline or queue limit passed while it was queued */
	LW_FAIL_NO_SERVER, /* the backend server accepts no connection */
	LW_FAIL_UNSENT, /* no connection to the node carried the request */
	/* the request was sent to a backend server, which reported that it did not execute it */
	LW_FAIL_SHED,
	LW_FAIL_MISDIRECTED, /* a different backend server now uses the address */
	/* the request may have been executed */
	LW_FAIL_BROKEN, /* the connection closed or the answer was invalid */
	LW_FAIL_TIMEOUT, /* no answer before the deadline */
	/* not sent: suspected of crashing servers; never reported to other nodes */
	LW_FAIL_HELD,
	/* not sent: its organisation exceeds its rate limit; never reported to other nodes */
	LW_FAIL_OVER_LIMIT,
	/*
	 * not sent: taken out of the queue, as the backend server became slower; only for requests
	 * marked as returnable
	 */
	LW_FAIL_RETURNED,
	LW_FAIL_COUNT
} lw_fail_t;

/* What a node reports about the backend server on its host. */
typedef struct lw_load {
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* 0: accepts no requests, the node is about to exit */
	uint32_t service_us;
	/* expected execution time of the requests that are executing or queued; 0: their number
	 * times service_us; not sent to other nodes */
	uint64_t backlog_us;
	uint32_t level; /* admission level: lowest rank that it rejects, see level.h */
	uint32_t failing; /* recent failure rate of its requests, per mille */
	bool leaving;
	bool down; /* the backend server accepts no connection */
	bool call_failed; /* a nested call of the request failed, so a retry would fail too */
	uint32_t ran_us; /* execution time of the request; 0: not executed or not finished */
	uint32_t depth; /* levels of nested calls below the request */
	uint32_t retry_used; /* share of the retry allowance that those calls used, per mille */
	lw_path_levels_t hots; /* services on the call path that reject some requests */
	lw_notice_t notice; /* self-announcement of the backend server; server 0: none */
	lw_arrivals_t arrivals; /* at the backend server */
	lw_worktimes_t work; /* execution times by kind, if these differ much */
	/* how long work takes on the server's machine now, percent of the usual; 0: unknown */
	uint32_t machine_percent;
} lw_load_t;

/* A request as it is sent to a node or a backend server. */
typedef struct lw_call_request {
	lw_str_t head; /* request line and end-to-end header lines, CRLF each */
	lw_str_t request_id;
	lw_str_t target; /* id of the backend server */
	int64_t body_length; /* -1: chunked */
	uint32_t deadline_ms; /* time left when it is sent */
	uint32_t queue_ms; /* longest time that the request may wait in a queue */
	/* time until the user request misses its latency objective; 0: already missed */
	uint32_t target_left_ms;
	uint32_t rank; /* of the user request that it belongs to, see level.h */
	uint32_t kind; /* kind of work, see worktime.h; 0: unknown */
	/* longest recent execution time of the kind that the sender has seen, us; 0: none */
	uint32_t longest_us;
	bool idempotent; /* may be executed more than once */
	bool repeat; /* a retry, or part of a request that is a retry */
	bool returnable; /* the sender places it elsewhere or puts it back if it is returned */
	bool put_back; /* the target returned it, and no other host has room */
	lw_notice_t notice; /* announcement of the target known to the sender; server 0: none */
} lw_call_request_t;

/* The head of an answer. */
typedef struct lw_answer {
	uint32_t status;
	int64_t body_length; /* -1: unknown until the end of the body */
	lw_str_t head; /* status line and end-to-end header lines, CRLF each */
} lw_answer_t;

typedef struct lw_sink lw_sink_t;
typedef struct lw_call lw_call_t;

typedef struct lw_sink_ops {
	/* the call consumed @bytes of the request's body; as many more may be sent */
	void (*credit)(lw_sink_t *s, uint32_t bytes);
	/* head of the answer and first part of its body; @fin: the body is complete */
	void (*answer)(lw_sink_t *s, const lw_answer_t *a, lw_str_t body, bool fin,
		       const lw_load_t *load);
	void (*data)(lw_sink_t *s, lw_str_t data, bool fin);
	void (*fail)(lw_sink_t *s, lw_fail_t why, uint32_t retry_after_ms, const lw_load_t *load);
	/* nothing received from the executing node for a while; it may still answer */
	void (*silent)(lw_sink_t *s);
} lw_sink_ops_t;

typedef struct lw_call_ops {
	void (*body)(lw_call_t *c, lw_str_t data, bool fin);
	/* the sink consumed @bytes of the answer's body */
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

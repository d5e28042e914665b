/* Shared by the files of the gate module only; others use gate.h. */
#ifndef LW_GATE_INT_H
#define LW_GATE_INT_H

#include <stddef.h>
#include <uthash.h>

#include "waitq.h"
#include "gate.h"

/* an answer up to this size is passed on in one piece */
#define ANSWER_WHOLE_BYTES 32768

typedef struct lw_job {
	lw_call_t call;
	lw_waiter_t waiter;
	lw_gate_t *gate;
	lw_bconn_t *conn; /* NULL while queued */
	lw_bytebuf_t head;
	lw_bytebuf_t body; /* of the request, while queued */
	lw_bytebuf_t answer; /* collected up to ANSWER_WHOLE_BYTES */
	lw_answer_t answer_head;
	lw_bytebuf_t answer_head_text;
	char *request_id; /* of any length: ids of nested calls grow with their depth */
	char target[LW_NAME_MAX];
	int64_t body_length;
	uint64_t deadline_us;
	uint64_t target_us; /* when the user request misses its objective */
	uint64_t came_us;
	uint64_t started_us; /* 0 while queued */
	size_t unacked; /* body bytes queued to the connection, not yet credited */
	size_t head_left; /* bytes of the head not yet written */
	int64_t window; /* answer bytes the sink will still take */
	ev_timer timer;
	bool fin; /* the request's body is complete */
	bool head_sent; /* the sink has the head of the answer */
	bool not_executed; /* the backend server says that it did not run it */
	bool dead;
	bool broken; /* its connection ended; told once it is known whether the server did */
	bool tried_alone; /* alone, as servers ended under it */
	lw_fingerprinter_t print;
	uint32_t rank;
	bool repeat;
	bool call_failed; /* a call made for it failed */
	uint32_t depth; /* levels of calls below it, as far as told */
	uint32_t retry_used; /* per mille of the repeats allowed that those calls use */
	lw_hots_t hots; /* told by the answers to its calls */
	UT_hash_handle hh;
} lw_job_t;

void lw_job_fail(lw_job_t *j, lw_fail_t why);
void lw_gate_learn_load(lw_gate_t *g, lw_str_t value);
void lw_gate_keep_connection(lw_gate_t *g, lw_bconn_t *c);
void lw_gate_close_expired_idle(void *ctx);
lw_bconn_t *lw_gate_take_connection(lw_gate_t *g);
void lw_job_start(lw_job_t *j);
void lw_gate_dispatch(lw_gate_t *g);
void lw_gate_record_duration(lw_gate_t *g, uint64_t took_us);
void lw_gate_reject_queued(lw_gate_t *g, lw_fail_t why);
void lw_gate_accept_reported_limit(lw_gate_t *g, const lw_notice_t *told);
void lw_gate_reset_notice(lw_gate_t *g);
void lw_gate_server_down(lw_gate_t *g);
void lw_gate_check_crash(lw_job_t *j);
void lw_gate_confirm_crash(lw_gate_t *g);
void lw_gate_crash_init(lw_gate_t *g);
lw_job_t *lw_job_new(lw_gate_t *g, lw_sink_t *sink, const lw_call_request_t *req);

#endif

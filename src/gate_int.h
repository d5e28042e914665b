/* Internal to the gate module; other modules use gate.h. */
#ifndef LW_GATE_INT_H
#define LW_GATE_INT_H

#include <stddef.h>
#include <uthash.h>

#include "admit.h"
#include "stopplan.h"
#include "waitq.h"
#include "gate.h"

/* an answer up to this size is forwarded in one piece */
#define ANSWER_BUFFER_BYTES 32768

typedef struct lw_job {
	lw_call_t call;
	lw_waiter_t waiter;
	lw_gate_t *gate;
	lw_bconn_t *conn; /* NULL while queued */
	lw_bytebuf_t head;
	lw_bytebuf_t body; /* request body, while queued */
	lw_bytebuf_t answer; /* collected up to ANSWER_BUFFER_BYTES */
	lw_answer_t answer_head;
	lw_bytebuf_t answer_head_text;
	char *request_id; /* of any length: the ids of nested calls grow with their depth */
	uint64_t id_digest; /* of request_id */
	char *target; /* id of the backend server that it is for; empty: any */
	int64_t body_length;
	uint64_t deadline_us;
	uint64_t target_us; /* when the user request misses its latency objective */
	uint64_t arrived_us;
	uint64_t started_us; /* 0 while queued */
	uint64_t body_sent; /* body bytes queued on the connection */
	size_t unacked; /* body bytes queued on the connection but not yet credited */
	size_t rejection_bytes; /* of the body of a rejection */
	size_t head_left; /* bytes of the head not written yet */
	int64_t window; /* answer bytes that the sink still accepts */
	ev_timer timer;
	bool fin; /* the request body is complete */
	bool head_sent; /* the head of the answer was forwarded to the sink */
	bool not_executed; /* the backend server reported that it did not execute the request */
	bool dead;
	bool broken; /* its connection closed; the sink is notified after the crash check */
	bool tried_alone; /* executed alone, as servers crashed while executing it */
	lw_fingerprinter_t print;
	lw_stopverdict_t stop; /* why it was accepted, if this process is stopping */
	uint32_t rank;
	uint32_t kind; /* of work, see worktime.h */
	uint32_t longest_us; /* of that kind, as the sender knows; 0: it knows none */
	bool idempotent;
	bool repeat;
	bool call_failed; /* a nested call failed */
	bool call_retried; /* a nested call was retried */
	uint32_t depth; /* levels of nested calls below it that were reported */
	uint32_t retry_used; /* share of the retry allowance that those calls used, per mille */
	lw_path_levels_t hots; /* reported by the answers to its nested calls */
	UT_hash_handle hh;
} lw_job_t;

/* A request of which a stopping node asks whether it completes before the exit. */
typedef struct lw_stopask {
	uint64_t wait_us; /* until it starts */
	uint64_t deadline_us; /* time until its sender gives up */
	uint32_t kind; /* of work, see worktime.h */
	uint32_t longest_us; /* of that kind, as the sender knows; 0: it knows none */
	bool idempotent;
	bool begun; /* a part of its body was sent to the backend server */
} lw_stopask_t;

/* lw_job_of_waiter() - the job that @w is part of. */
static inline lw_job_t *lw_job_of_waiter(lw_waiter_t *w)
{
	return (lw_job_t *)(void *)((char *)w - offsetof(lw_job_t, waiter));
}

extern const lw_bconn_ops_t lw_job_conn_ops;
void lw_job_fail(lw_job_t *j, lw_fail_t why);
void lw_job_end_rejected(lw_job_t *j, bool reusable);
void lw_job_load(const lw_job_t *j, lw_load_t *out);
void lw_job_release(lw_job_t *j);
void lw_gate_record_outcome(lw_gate_t *g, bool failed);
void lw_gate_learn_load(lw_gate_t *g, lw_str_t value);
void lw_gate_keep_connection(lw_gate_t *g, lw_bconn_t *c);
void lw_gate_close_expired_idle(void *ctx);
lw_bconn_t *lw_gate_take_connection(lw_gate_t *g, const lw_job_t *j);
bool lw_job_start(lw_job_t *j);
void lw_gate_dispatch(lw_gate_t *g);
void lw_gate_record_duration(const lw_job_t *j, uint64_t took_us);
lw_stopverdict_t lw_gate_judge_stop(const lw_gate_t *g, const lw_stopask_t *ask);
bool lw_gate_body_too_late(lw_job_t *j, size_t bytes, bool fin);
void lw_gate_return_queued(lw_gate_t *g);
uint32_t lw_gate_promised_us(const lw_gate_t *g, const lw_call_request_t *req);
void lw_gate_reject_queued(lw_gate_t *g, lw_fail_t why);
void lw_gate_accept_reported_limit(lw_gate_t *g, const lw_notice_t *reported);
void lw_gate_reset_notice(lw_gate_t *g);
void lw_gate_server_changed(lw_gate_t *g, const lw_place_host_t *server);
void lw_gate_process_changed(lw_gate_t *g, const lw_place_host_t *server);
void lw_gate_server_down(lw_gate_t *g);
void lw_gate_check_crash(lw_job_t *j);
void lw_gate_confirm_crash(lw_gate_t *g);
void lw_gate_crash_init(lw_gate_t *g);
uint32_t lw_gate_busy_slots(const lw_gate_t *g);
void lw_gate_level_init(lw_gate_t *g);
void lw_gate_update_kinds(lw_gate_t *g);
void lw_gate_forget_kinds(lw_gate_t *g);
bool lw_gate_starts_at_once(lw_gate_t *g, const lw_waiter_t *w);
uint64_t lw_gate_slot_wait_us(lw_gate_t *g, const lw_waiter_t *w);
void lw_gate_count_start(lw_gate_t *g, const lw_waiter_t *w);
lw_job_t *lw_job_new(lw_gate_t *g, lw_sink_t *sink, const lw_call_request_t *req);
lw_fail_t lw_gate_admit(const lw_admit_state_t *st, const lw_call_request_t *req);

#endif

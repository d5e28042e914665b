/* The answer of the backend server to one request; see gate_int.h. */
#include "gate_int.h"

#include <string.h>
#include <xxhash.h>

/*
 * The body of a rejection is read for at most this time and up to this length, so that the
 * connection can be used again. A faulty server may send a body that never ends, and the request
 * could not be sent to another server before its deadline.
 */
#define REJECTION_BODY_MS	 50
#define REJECTION_BODY_MAX_BYTES 16384
/* weight of a new sample in the average execution time */
#define SERVICE_EWMA 0.05
/* weight of a new sample in the average failure rate */
#define FAILING_EWMA 0.03

/*
 * lw_gate_record_outcome() - a request that reached the server failed, or did not.
 * A remote node sees only a few of a server's requests; the node on its host sees all. Reporting
 * the failure rate with each answer lets other nodes avoid a faulty server after its first answer.
 */
void lw_gate_record_outcome(lw_gate_t *g, bool failed)
{
	g->failing += FAILING_EWMA * ((failed ? 1.0 : 0.0) - g->failing);
}

/*
 * lw_job_end_rejected() - the server rejected the request; @reusable: its connection, if it is
 * still open, can carry another one.
 */
void lw_job_end_rejected(lw_job_t *j, bool reusable)
{
	lw_gate_t *g = j->gate;
	lw_bconn_t *c = j->conn;
	bool misdirected = j->answer_head.status == 421;

	j->conn = NULL;
	/*
	 * A late copy of an answer 421 without an id could be taken for the answer to a request for
	 * the server that is there now, for which this node would then refuse all requests.
	 */
	if (c && reusable && !misdirected)
		lw_gate_keep_connection(g, c);
	else if (c)
		lw_bconn_close(c);
	if (misdirected)
		g->replaced_id = lw_name_c(j->target);
	lw_job_fail(j, misdirected ? LW_FAIL_MISDIRECTED : LW_FAIL_SHED);
}

static void forward_answer(lw_job_t *j, bool fin)
{
	lw_sink_t *sink = j->call.sink;
	lw_str_t body = { lw_bytebuf_head(&j->answer), lw_bytebuf_len(&j->answer) };
	lw_load_t load;

	if (!j->head_sent) {
		j->head_sent = true;
		lw_job_load(j, &load);
		if (fin && j->answer_head.body_length < 0)
			j->answer_head.body_length = (int64_t)body.len;
		j->answer_head.head = (lw_str_t){ lw_bytebuf_head(&j->answer_head_text),
						  lw_bytebuf_len(&j->answer_head_text) };
		j->window -= (int64_t)body.len;
		sink->ops->answer(sink, &j->answer_head, body, fin, &load);
	} else {
		j->window -= (int64_t)body.len;
		sink->ops->data(sink, body, fin);
	}
	if (!j->dead)
		lw_bytebuf_consume(&j->answer, body.len);
}

static void on_written(void *user, size_t bytes)
{
	lw_job_t *j = user;
	size_t of_head = bytes < j->head_left ? bytes : j->head_left;
	size_t credit;

	j->head_left -= of_head;
	credit = bytes - of_head;
	if (credit > j->unacked)
		credit = j->unacked;
	j->unacked -= credit;
	if (credit && !j->fin)
		j->call.sink->ops->credit(j->call.sink, (uint32_t)credit);
}

/*
 * processes the self-announcement in the answer; ignored if the answering server is not the target
 */
static void apply_notice(const lw_job_t *j, const lw_httphead_t *h)
{
	lw_notice_fields_t said = lw_httphead_notice(h);

	if (h->status == 421 || strcmp(j->target, j->gate->server_id) != 0)
		return;
	lw_gate_on_notice(j->gate, &said, j->started_us);
	if (!said.leaving && h->status < 500)
		lw_gate_on_accepting(j->gate, j->started_us);
}

/*
 * A faulty server may send a second answer late, in place of the answer to the next request. The
 * caller would then receive another request's data; only the request id reveals the mismatch. A
 * rejection may have no id; it is no such copy, as lw_gate_keep_connection() closes the connection
 * after an answer without an id.
 */
static bool is_answer_to(const lw_job_t *j, lw_str_t id, bool not_executed)
{
	if (!id.len)
		return not_executed || !j->request_id[0];
	return lw_str_eq_c(id, j->request_id);
}

/* Whether @id is that of another request which the connection carried before. */
static bool is_copy(const lw_job_t *j, lw_str_t id)
{
	return id.len && lw_bconn_has_carried(j->conn, XXH3_64bits(id.ptr, id.len));
}

static bool on_head(void *user, const lw_httphead_t *h)
{
	lw_job_t *j = user;
	lw_gate_t *g = j->gate;
	lw_str_t id = lw_httphead_find(h, LW_HEADER_REQUEST_ID);
	bool not_executed = lw_httphead_find(h, LW_HEADER_NOT_EXECUTED).ptr || h->status == 421;

	if (!is_answer_to(j, id, not_executed)) {
		g->stats.invalid_answers++;
		/* the server is at work on this request: closing the connection would end it */
		return is_copy(j, id) && lw_bconn_skip_answer(j->conn, h);
	}
	j->conn->answered_without_id = !id.len;
	lw_gate_learn_load(g, lw_httphead_find(h, LW_HEADER_LOAD));
	apply_notice(j, h);
	j->not_executed = not_executed;
	j->answer_head.status = h->status;
	if (not_executed) {
		ev_timer_stop(g->evloop->loop, &j->timer);
		ev_timer_set(&j->timer, REJECTION_BODY_MS / 1000.0, 0);
		ev_timer_start(g->evloop->loop, &j->timer);
		return true;
	}
	j->answer_head.body_length = h->body_length < 0 ? -1 : h->body_length;
	lw_httphead_forward(h, false, &j->answer_head_text);
	return true;
}

static void on_body(void *user, lw_str_t data)
{
	lw_job_t *j = user;

	if (j->not_executed) {
		j->rejection_bytes += data.len;
		if (j->rejection_bytes > REJECTION_BODY_MAX_BYTES)
			lw_job_end_rejected(j, false);
		return;
	}
	lw_bytebuf_append_str(&j->answer, data);
	if (j->head_sent || lw_bytebuf_len(&j->answer) > ANSWER_BUFFER_BYTES)
		forward_answer(j, false);
	if (!j->dead && j->window <= 0)
		lw_bconn_pause(j->conn, true);
}

static void on_done(void *user, bool reusable)
{
	lw_job_t *j = user;
	lw_gate_t *g = j->gate;
	lw_bconn_t *c = j->conn;
	uint64_t took = g->evloop->now_us - j->started_us;

	/*
	 * if the request was not read completely, the server may parse its remaining bytes as a new
	 * request
	 */
	if (!j->fin || j->unacked)
		reusable = false;
	if (j->not_executed) {
		lw_job_end_rejected(j, reusable);
		return;
	}
	j->conn = NULL;
	if (reusable)
		lw_gate_keep_connection(g, c);
	else
		lw_bconn_close(c);
	/*
	 * Failures are left out of the average execution time: a server that fails immediately
	 * while reporting itself healthy would look fast and attract the calls of its service.
	 */
	lw_gate_record_duration(j, took);
	if (j->answer_head.status < 500) {
		g->service_us += SERVICE_EWMA * ((double)took - g->service_us);
		lw_worktable_sample(&g->work, j->kind, took, g->evloop->now_us);
	}
	g->stats.answered++;
	lw_gate_record_outcome(g, j->answer_head.status >= 500 && !j->call_failed);
	/* not counted while the answer is forwarded, so that its slot is reported as free */
	g->running--;
	forward_answer(j, true);
	g->running++;
	lw_job_release(j);
	lw_gate_dispatch(g);
}

static void on_broken(void *user, bool sent)
{
	lw_job_t *j = user;
	lw_gate_t *g = j->gate;
	bool refused = !j->conn->established;

	j->conn = NULL;
	if (j->not_executed) {
		/* only the body of the rejection is missing */
		lw_job_end_rejected(j, false);
		return;
	}
	if (sent) {
		lw_gate_check_crash(j);
		return;
	}
	lw_job_fail(j, LW_FAIL_NO_SERVER);
	if (refused)
		lw_gate_server_down(g);
}

const lw_bconn_ops_t lw_job_conn_ops = {
	.written = on_written,
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.broken = on_broken,
};

/* One request to the backend server on this host, from the queue to its answer. */
#include "gate_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "admit.h"
#include "log.h"
#include "xalloc.h"

/* extra time for the answer after the deadline, ms */
#define DEADLINE_SLACK_MS 150
/* lw_job_load() - load of the gate, plus what the nested calls of the job reported. */
void lw_job_load(const lw_job_t *j, lw_load_t *out)
{
	lw_gate_load(j->gate, out);
	out->call_failed = j->call_failed;
	out->ran_us = j->started_us ? (uint32_t)(j->gate->evloop->now_us - j->started_us) : 0;
	out->depth = j->depth;
	out->retry_used = j->retry_used;
	for (uint32_t i = 0; i < j->hots.n; i++)
		lw_path_levels_add(&out->hots, &j->hots.hot[i]);
}

/* lw_job_release() - the job has ended; it is freed later. */
void lw_job_release(lw_job_t *j)
{
	lw_gate_t *g = j->gate;

	if (j->dead)
		return;
	j->dead = true;
	ev_timer_stop(g->evloop->loop, &j->timer);
	if (j->started_us) {
		g->running--;
		lw_slotuse_end(&g->use, &j->waiter);
		lw_handback_done(&g->handback);
	} else {
		lw_waitq_remove(&g->queue, &j->waiter);
		g->queued_bytes -= lw_bytebuf_len(&j->body);
	}
	g->ncalls--;
	HASH_DEL(g->by_id, j);
	lw_bytebuf_free(&j->head);
	lw_bytebuf_free(&j->body);
	lw_bytebuf_free(&j->answer);
	lw_bytebuf_free(&j->answer_head_text);
	free(j->request_id);
	free(j->target);
	j->request_id = j->target = NULL;
	lw_evloop_free_later(g->evloop, j);
}

/* lw_job_fail() - end the call with @why, then start queued requests if there is room. */
void lw_job_fail(lw_job_t *j, lw_fail_t why)
{
	lw_gate_t *g = j->gate;
	lw_sink_t *sink = j->call.sink;
	lw_load_t load;

	if (j->dead)
		return;
	g->stats.refused[why]++;
	if (lw_fail_reached_server(why))
		lw_gate_record_outcome(g, true);
	lw_log(LW_LOG_call_ended,
	       "id=%s server=%s why=%s print=%016llx ran_ms=%llu waited_ms=%llu running=%u queued=%zu limit=%u",
	       j->request_id, j->target, lw_fail_name(why),
	       (unsigned long long)j->print.value.whole,
	       j->started_us ? (unsigned long long)((g->evloop->now_us - j->started_us) / 1000) : 0,
	       (unsigned long long)(((j->started_us ? j->started_us : g->evloop->now_us) -
				     j->arrived_us) /
				    1000),
	       g->running, g->queue.len, g->limit);
	if (j->conn) {
		lw_bconn_close(j->conn);
		j->conn = NULL;
	}
	lw_job_load(j, &load);
	lw_job_release(j);
	sink->ops->fail(sink, why, lw_admit_retry_after_ms(&load), &load);
	lw_gate_dispatch(g);
}

static void on_job_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_job_t *j = w->data;

	(void)loop;
	(void)revents;
	if (j->not_executed)
		lw_job_end_rejected(j, false);
	else
		lw_job_fail(j, LW_FAIL_TIMEOUT);
}

/* queues body bytes on the connection, framed as announced in the head */
static void send_body(lw_job_t *j, lw_str_t data, bool fin)
{
	char line[32];

	if (data.len) {
		if (j->body_length < 0) {
			snprintf(line, sizeof(line), "%zx\r\n", data.len);
			lw_bconn_queue(j->conn, lw_str_c(line));
		}
		lw_bconn_queue(j->conn, data);
		if (j->body_length < 0)
			lw_bconn_queue(j->conn, LW_STR("\r\n"));
		j->unacked += data.len;
		j->body_sent += data.len;
	}
	if (fin && j->body_length < 0)
		lw_bconn_queue(j->conn, LW_STR("0\r\n\r\n"));
}

static uint32_t time_left_ms(const lw_job_t *j)
{
	uint64_t now = j->gate->evloop->now_us;

	return j->deadline_us > now ? (uint32_t)((j->deadline_us - now) / 1000) : 0;
}

static void send_head(lw_job_t *j)
{
	const lw_wirenames_t *names = j->gate->evloop->names;
	lw_bytebuf_t *h = &j->head;
	const char *method = lw_bytebuf_head(h);

	lw_httphead_framing(h, j->body_length, *method != 'P');
	lw_bytebuf_printf(h, "%s: %u\r\n", names->header[LW_HEADER_DEADLINE], time_left_ms(j));
	if (j->target[0])
		lw_bytebuf_printf(h, "%s: %s\r\n", names->header[LW_HEADER_TARGET], j->target);
	lw_bytebuf_append_c(h, "\r\n");
	j->head_left = lw_bytebuf_len(h);
	lw_bconn_queue(j->conn, (lw_str_t){ lw_bytebuf_head(h), j->head_left });
}

static void count_arrival(const lw_job_t *j)
{
	lw_gate_t *g = j->gate;

	if (j->repeat)
		lw_retrylimit_count_retry(&g->arrivals, g->retry_allowance, j->started_us);
	else
		lw_retrylimit_count_request(&g->arrivals, g->retry_allowance, j->rank,
					    j->started_us);
}

/*
 * lw_job_start() - send the request to the backend server. Returns false if no connection to it
 * can be opened; the job then has to be failed or released.
 */
bool lw_job_start(lw_job_t *j)
{
	lw_gate_t *g = j->gate;
	bool is_head =
		lw_bytebuf_len(&j->head) > 5 && memcmp(lw_bytebuf_head(&j->head), "HEAD ", 5) == 0;

	j->conn = lw_gate_take_connection(g, j);
	j->started_us = g->evloop->now_us;
	g->running++;
	lw_slotuse_start(&g->use, &j->waiter);
	g->started_since_report++;
	lw_ratelimit_take(&g->ratelimit, g->evloop->now_us);
	if (!j->conn)
		return false;
	g->stats.started++;
	count_arrival(j);
	lw_histogram_add(&g->stats.wait, j->started_us - j->arrived_us);
	lw_bconn_start(j->conn, &lw_job_conn_ops, j, is_head);
	lw_bconn_remember(j->conn, j->id_digest);
	if (j->body_length < 0 || j->body_length > LW_CALL_WINDOW)
		lw_bconn_long_body(j->conn);
	send_head(j);
	lw_bytebuf_free(&j->head);
	send_body(j, (lw_str_t){ lw_bytebuf_head(&j->body), lw_bytebuf_len(&j->body) }, j->fin);
	lw_bytebuf_free(&j->body);
	ev_timer_init(&j->timer, on_job_timeout, 0, 0);
	ev_timer_set(&j->timer, (time_left_ms(j) + DEADLINE_SLACK_MS) / 1000.0, 0);
	j->timer.data = j;
	ev_timer_start(g->evloop->loop, &j->timer);
	lw_bconn_flush(j->conn);
	return true;
}

static void job_body(lw_call_t *call, lw_str_t data, bool fin)
{
	lw_job_t *j = (lw_job_t *)call;

	if (j->dead || j->broken)
		return;
	j->fin = fin;
	lw_fingerprinter_body(&j->print, data, fin);
	if (!j->conn) {
		lw_bytebuf_append_str(&j->body, data);
		j->gate->queued_bytes += data.len;
		return;
	}
	/* a server does not execute a request whose body is cut short */
	if (lw_gate_body_too_late(j, data.len, fin)) {
		lw_job_fail(j, LW_FAIL_BROKEN);
		return;
	}
	send_body(j, data, fin);
	lw_bconn_flush(j->conn);
}

static void job_credit(lw_call_t *call, uint32_t bytes)
{
	lw_job_t *j = (lw_job_t *)call;

	if (j->dead)
		return;
	j->window += bytes;
	if (j->conn && j->conn->paused && j->window > 0)
		lw_bconn_pause(j->conn, false);
}

/*
 * The caller disconnected: closing the connection makes the backend server drop the request, which
 * it would otherwise execute in vain.
 */
static void job_cancel(lw_call_t *call)
{
	lw_job_t *j = (lw_job_t *)call;
	lw_gate_t *g = j->gate;

	if (j->dead)
		return;
	if (j->conn) {
		lw_bconn_close(j->conn);
		j->conn = NULL;
	}
	lw_job_release(j);
	lw_gate_dispatch(g);
}

static const lw_call_ops_t job_ops = {
	.body = job_body,
	.credit = job_credit,
	.cancel = job_cancel,
};

/* lw_job_new() - create a job that is neither queued nor started. */
lw_job_t *lw_job_new(lw_gate_t *g, lw_sink_t *sink, const lw_call_request_t *req)
{
	lw_job_t *j = xcalloc(1, sizeof(*j));

	j->call.ops = &job_ops;
	j->call.sink = sink;
	j->gate = g;
	j->body_length = req->body_length;
	j->arrived_us = g->evloop->now_us;
	j->deadline_us = g->evloop->now_us + (uint64_t)req->deadline_ms * 1000;
	j->target_us = g->evloop->now_us + (uint64_t)req->target_left_ms * 1000;
	j->window = LW_CALL_WINDOW;
	j->rank = req->rank;
	j->kind = req->kind;
	j->longest_us = req->longest_us;
	j->idempotent = req->idempotent;
	j->repeat = req->repeat;
	lw_bytebuf_append_str(&j->head, req->head);
	j->request_id = lw_str_dup(req->request_id);
	j->id_digest = XXH3_64bits(req->request_id.ptr, req->request_id.len);
	j->target = lw_str_dup(req->target);
	ev_timer_init(&j->timer, on_job_timeout, 0, 0);
	return j;
}

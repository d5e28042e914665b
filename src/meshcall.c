/*
 * Requests as streams of frames, both on the node that sends them and on the node that
 * executes them.
 */
#include "mesh_int.h"

#include <string.h>

#include "xalloc.h"

/* the by-origin table of @s: requests sent by this node or received from others */
static lw_stream_t **table_of(const lw_stream_t *s)
{
	lw_mesh_t *m = s->link->mesh;

	return s->call.sink ? &m->sent : &m->incoming;
}

/*
 * lw_stream_by_origin() - returns the request in @table that was sent over @link as @id;
 * NULL if there is none.
 */
lw_stream_t *lw_stream_by_origin(lw_stream_t *table, uint64_t link, uint32_t id)
{
	lw_stream_t key, *s;

	memset(&key, 0, sizeof(key));
	key.origin = (lw_stream_origin_t){ link, id };
	HASH_FIND(by_origin, table, &key.origin, sizeof(key.origin), s);
	return s;
}

/* lw_stream_add() - adds a new request to @l as stream @id. */
void lw_stream_add(lw_stream_t *s, lw_link_t *l, uint32_t id)
{
	s->link = l;
	s->id = id;
	s->origin = (lw_stream_origin_t){ l->name, id };
	HASH_ADD(hh, l->streams, id, sizeof(s->id), s);
	HASH_ADD(by_origin, *table_of(s), origin, sizeof(s->origin), s);
}

/* lw_stream_move() - moves the request to connection @to as stream @id. */
void lw_stream_move(lw_stream_t *s, lw_link_t *to, uint32_t id)
{
	HASH_DEL(s->link->streams, s);
	s->link = to;
	s->id = id;
	HASH_ADD(hh, to->streams, id, sizeof(s->id), s);
}

/* lw_stream_free() - ends the stream; its memory is freed at the end of this loop iteration. */
void lw_stream_free(lw_stream_t *s)
{
	if (s->dead)
		return;
	s->dead = true;
	HASH_DELETE(by_origin, *table_of(s), s);
	HASH_DEL(s->link->streams, s);
	lw_evloop_free_later(s->link->mesh->evloop, s);
}

static lw_stream_t *stream_find(lw_link_t *l, uint32_t id)
{
	lw_stream_t *s;

	HASH_FIND(hh, l->streams, &id, sizeof(id), s);
	return s;
}

static void send_data(lw_stream_t *s, lw_str_t data, bool fin)
{
	Lw__Data d = LW__DATA__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	d.stream = s->id;
	d.data = lw_meshframe_bytes(data);
	d.fin = fin;
	f.body_case = LW__MESH_FRAME__BODY_DATA;
	f.data = &d;
	lw_link_send(s->link, &f);
}

static void send_credit(lw_stream_t *s, uint32_t bytes)
{
	Lw__Credit c = LW__CREDIT__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	c.stream = s->id;
	c.bytes = bytes;
	f.body_case = LW__MESH_FRAME__BODY_CREDIT;
	f.credit = &c;
	lw_link_send(s->link, &f);
}

/* the sending side */

static void call_body(lw_call_t *call, lw_str_t data, bool fin)
{
	lw_stream_t *s = (lw_stream_t *)call;

	if (!s->dead)
		send_data(s, data, fin);
}

static void call_credit(lw_call_t *call, uint32_t bytes)
{
	lw_stream_t *s = (lw_stream_t *)call;

	if (!s->dead)
		send_credit(s, bytes);
}

/* lw_mesh_send_cancel() - tells the peer that the response of stream @id is no longer needed. */
void lw_mesh_send_cancel(lw_link_t *l, uint32_t id)
{
	Lw__Cancel c = LW__CANCEL__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	c.stream = id;
	f.body_case = LW__MESH_FRAME__BODY_CANCEL;
	f.cancel = &c;
	lw_link_send(l, &f);
}

static void call_cancel(lw_call_t *call)
{
	lw_stream_t *s = (lw_stream_t *)call;

	if (s->dead)
		return;
	lw_mesh_send_cancel(s->link, s->id);
	lw_stream_free(s);
}

static const lw_call_ops_t call_ops = {
	.body = call_body,
	.credit = call_credit,
	.cancel = call_cancel,
};

/* the executing side */

static lw_stream_t *stream_of_sink(lw_sink_t *sink)
{
	return (lw_stream_t *)(void *)((char *)sink - offsetof(lw_stream_t, as_sink));
}

static void sink_credit(lw_sink_t *sink, uint32_t bytes)
{
	lw_stream_t *s = stream_of_sink(sink);

	if (!s->dead)
		send_credit(s, bytes);
}

static void send_answer(lw_link_t *to, uint32_t id, const lw_answer_t *a, lw_str_t body, bool fin,
			const lw_load_t *load)
{
	lw_meshframe_load_t l;
	Lw__Answer w = LW__ANSWER__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	lw_mesh_fill_load(to, &l, load);
	w.stream = id;
	w.status = a->status;
	w.body_length = a->body_length;
	w.head = lw_meshframe_bytes(a->head);
	w.body = lw_meshframe_bytes(body);
	w.fin = fin;
	w.load = &l.load;
	f.body_case = LW__MESH_FRAME__BODY_ANSWER;
	f.answer = &w;
	lw_link_send(to, &f);
}

static void sink_answer(lw_sink_t *sink, const lw_answer_t *a, lw_str_t body, bool fin,
			const lw_load_t *load)
{
	lw_stream_t *s = stream_of_sink(sink);
	lw_mesh_t *m = s->link->mesh;

	if (s->dead)
		return;
	send_answer(s->link, s->id, a, body, fin, load);
	s->response_started = true;
	if (!fin)
		return;
	lw_meshoutcomes_add_answer(&m->outcomes, &s->origin, a, body, m->evloop->now_us);
	lw_stream_free(s);
}

static void sink_data(lw_sink_t *sink, lw_str_t data, bool fin)
{
	lw_stream_t *s = stream_of_sink(sink);

	if (s->dead)
		return;
	send_data(s, data, fin);
	if (fin)
		lw_stream_free(s);
}

static void send_failed(lw_link_t *l, uint32_t id, lw_fail_t why, uint32_t retry_after_ms,
			const lw_load_t *own)
{
	lw_meshframe_load_t load;
	Lw__Failed w = LW__FAILED__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	lw_mesh_fill_load(l, &load, own);
	w.stream = id;
	w.reason = why;
	w.retry_after_ms = retry_after_ms;
	w.load = &load.load;
	f.body_case = LW__MESH_FRAME__BODY_FAILED;
	f.failed = &w;
	lw_link_send(l, &f);
}

/* ends the request without a response and reports this to its sender */
static void end_failed(lw_stream_t *s, lw_fail_t why, uint32_t retry_after_ms,
		       const lw_load_t *load)
{
	lw_mesh_t *m = s->link->mesh;

	send_failed(s->link, s->id, why, retry_after_ms, load);
	lw_meshoutcomes_add_failure(&m->outcomes, &s->origin, why, retry_after_ms,
				    m->evloop->now_us);
	lw_stream_free(s);
}

static void sink_fail(lw_sink_t *sink, lw_fail_t why, uint32_t retry_after_ms,
		      const lw_load_t *load)
{
	lw_stream_t *s = stream_of_sink(sink);

	if (!s->dead)
		end_failed(s, why, retry_after_ms, load);
}

/* lw_mesh_send_outcome() - sends the retained outcome of a request again, for stream @id. */
void lw_mesh_send_outcome(lw_link_t *l, uint32_t id, const lw_retained_outcome_t *o)
{
	lw_load_t own;

	lw_gate_load(l->mesh->gate, &own);
	if (o->why)
		send_failed(l, id, o->why, o->retry_after_ms, &own);
	else
		send_answer(l, id, &o->answer, o->body, true, &own);
}

static void sink_silent(lw_sink_t *sink)
{
	(void)sink; /* the gate runs in this process and is never silent */
}

static const lw_sink_ops_t sink_ops = {
	.credit = sink_credit,
	.answer = sink_answer,
	.data = sink_data,
	.fail = sink_fail,
	.silent = sink_silent,
};

/*
 * lw_mesh_on_open() - receives a request. A request that lay in a buffer while this host
 * was suspended carries the time that was left when it was sent. Unless the suspend time is
 * subtracted, the request would be executed long after its caller was answered.
 */
void lw_mesh_on_open(lw_link_t *l, const Lw__Open *o)
{
	uint32_t late_ms = (uint32_t)(l->late_us / 1000);
	lw_call_request_t req = {
		.head = lw_meshframe_str(o->head),
		.request_id = lw_meshframe_str(o->request_id),
		.target = lw_meshframe_str(o->target),
		.body_length = o->body_length,
		.deadline_ms = o->deadline_ms > late_ms ? o->deadline_ms - late_ms : 0,
		.queue_ms = o->queue_ms,
		.target_left_ms = o->target_left_ms > late_ms ? o->target_left_ms - late_ms : 0,
		.rank = o->rank,
		.kind = o->kind,
		.longest_us = o->longest_us,
		.idempotent = o->idempotent,
		.repeat = o->repeat,
		.returnable = o->returnable,
		.put_back = o->put_back,
		.notice = lw_meshframe_read_notice(o->notice),
	};
	lw_stream_t *s;
	lw_fail_t why;
	uint32_t retry_after_ms;

	if (l->rejects_requests) {
		lw_link_lost(l);
		return;
	}
	if (o->stream >= l->last_open)
		l->last_open = o->stream + 1;
	if (lw_link_cancel_buffered(l, o->stream))
		return;
	s = xcalloc(1, sizeof(*s));
	s->as_sink.ops = &sink_ops;
	s->request_complete = o->fin;
	lw_stream_add(s, l, o->stream);
	s->job = lw_gate_submit(l->mesh->gate, &s->as_sink, &req, lw_meshframe_str(o->body), o->fin,
				&why, &retry_after_ms);
	if (!s->job) {
		lw_load_t own;

		lw_gate_load(l->mesh->gate, &own);
		end_failed(s, why, retry_after_ms, &own);
	}
}

/* lw_mesh_on_answer() - receives the head of a response with the first part of its body. */
void lw_mesh_on_answer(lw_link_t *l, const Lw__Answer *w)
{
	lw_stream_t *s = stream_find(l, w->stream);
	lw_answer_t a = { w->status, w->body_length, lw_meshframe_str(w->head) };
	lw_sink_t *sink;
	lw_load_t load;

	lw_meshframe_read_load(w->load, &load);
	lw_mesh_read_levels(l, w->load);
	if (w->load)
		l->peer_version = w->load->config_version;
	if (!s || s->job || !s->call.sink)
		return;
	sink = s->call.sink;
	if (w->fin)
		lw_stream_free(s);
	sink->ops->answer(sink, &a, lw_meshframe_str(w->body), w->fin, &load);
}

/* lw_mesh_on_data() - receives a part of the body of a request or response. */
void lw_mesh_on_data(lw_link_t *l, const Lw__Data *d)
{
	lw_stream_t *s = stream_find(l, d->stream);
	lw_str_t data = lw_meshframe_str(d->data);
	lw_sink_t *sink;

	if (!s)
		return;
	if (s->job) {
		s->request_complete |= d->fin;
		s->job->ops->body(s->job, data, d->fin);
		return;
	}
	sink = s->call.sink;
	if (d->fin)
		lw_stream_free(s);
	if (sink)
		sink->ops->data(sink, data, d->fin);
}

/* lw_mesh_on_credit() - the peer consumed a part of a body. */
void lw_mesh_on_credit(lw_link_t *l, const Lw__Credit *c)
{
	lw_stream_t *s = stream_find(l, c->stream);

	if (!s)
		return;
	if (s->job)
		s->job->ops->credit(s->job, c->bytes);
	else if (s->call.sink)
		s->call.sink->ops->credit(s->call.sink, c->bytes);
}

/* lw_mesh_on_cancel() - the sender cancelled the request. */
void lw_mesh_on_cancel(lw_link_t *l, const Lw__Cancel *c)
{
	lw_stream_t *s = stream_find(l, c->stream);

	if (!s || !s->job)
		return;
	s->job->ops->cancel(s->job);
	lw_stream_free(s);
}

/* lw_mesh_on_failed() - a request ended without a response. */
void lw_mesh_on_failed(lw_link_t *l, const Lw__Failed *w)
{
	lw_stream_t *s = stream_find(l, w->stream);
	lw_sink_t *sink;
	lw_load_t load;

	lw_meshframe_read_load(w->load, &load);
	lw_mesh_read_levels(l, w->load);
	if (!s || s->job || !s->call.sink)
		return;
	sink = s->call.sink;
	lw_stream_free(s);
	sink->ops->fail(sink, w->reason < LW_FAIL_COUNT ? w->reason : LW_FAIL_BROKEN,
			w->retry_after_ms, &load);
}

/*
 * lw_mesh_call() - sends a request to @node; @sink receives its outcome. Returns NULL if no
 * connection attempt can be started.
 */
lw_call_t *lw_mesh_call(lw_mesh_t *m, const char *node, lw_sink_t *sink,
			const lw_call_request_t *req, lw_str_t body, bool fin)
{
	lw_link_t *l = lw_link_to(m, node);
	Lw__Open o = LW__OPEN__INIT;
	Lw__Notice notice;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;
	lw_stream_t *s;

	if (!l)
		return NULL;
	s = xcalloc(1, sizeof(*s));
	s->call.ops = &call_ops;
	s->call.sink = sink;
	s->open_offset = l->queued_total;
	lw_stream_add(s, l, l->next_id++);
	if (!ev_is_active(&m->watch_timer))
		ev_timer_again(m->evloop->loop, &m->watch_timer);
	o.stream = s->id;
	o.deadline_ms = req->deadline_ms;
	o.queue_ms = req->queue_ms;
	o.target_left_ms = req->target_left_ms;
	o.rank = req->rank;
	o.kind = req->kind;
	o.longest_us = req->longest_us;
	o.idempotent = req->idempotent;
	o.repeat = req->repeat;
	o.returnable = req->returnable;
	o.put_back = req->put_back;
	o.notice = lw_meshframe_notice(&notice, &req->notice);
	o.body_length = req->body_length;
	o.head = lw_meshframe_bytes(req->head);
	o.request_id = lw_meshframe_bytes(req->request_id);
	o.target = lw_meshframe_bytes(req->target);
	o.body = lw_meshframe_bytes(body);
	o.fin = fin;
	f.body_case = LW__MESH_FRAME__BODY_OPEN;
	f.open = &o;
	lw_link_send(l, &f);
	return &s->call;
}

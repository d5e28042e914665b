/* Connections between nodes; see mesh.h. */
#include "mesh.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>

#include "linux/sock.h"
#include "meshframe.h"
#include "xalloc.h"

#define READ_BYTES 65536
/* nothing heard for so long while answers are due: ask, us */
#define SILENT_ASK_US 400000
/* no reply to that for so long: use another connection, us */
#define SILENT_LOST_US 900000
/* an idle connection is tested so often: a middlebox may have dropped it, us */
#define IDLE_ASK_US 2000000
/* a connection attempt that takes longer has failed, us */
#define CONNECT_MAX_US 700000
/* a peer is given so long to learn a new configuration by itself, us */
#define CONFIG_PUSH_US 600000

typedef struct lw_link lw_link_t;

/*
 * One request on a connection. On the side that sent it, it is the call; on
 * the side that runs it, it is the sink of a call at the gate.
 */
typedef struct lw_stream {
	lw_call_t call; /* outgoing: sink is set */
	lw_sink_t as_sink; /* incoming */
	lw_call_t *job; /* incoming: the call at the gate */
	lw_link_t *link;
	uint32_t id;
	uint64_t open_at; /* outgoing: bytes queued on the link before its first frame */
	bool dead;
	UT_hash_handle hh;
} lw_stream_t;

struct lw_link {
	lw_mesh_t *mesh;
	int fd;
	ev_io io;
	char node[LW_NAME_MAX]; /* outgoing: its mesh address */
	bool outgoing;
	bool connecting;
	bool closed;
	bool dirty;
	bool failed;
	bool silent; /* carries no new requests */
	uint32_t next_id;
	lw_stream_t *streams;
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	uint64_t queued_total; /* bytes ever queued */
	uint64_t written_total; /* bytes ever given to the kernel */
	uint64_t heard_us;
	uint64_t opened_us;
	uint64_t asked_us; /* a status was asked for and has not come; 0: none */
	uint64_t late_us; /* what is read now was sent so much earlier */
	uint64_t peer_version; /* configuration in force at the peer, as far as told */
	uint64_t pushed_version;
	uint64_t peer_revision; /* of its list of backend servers, as far as told */
	uint64_t pushed_revision;
	lw_link_t *next;
	lw_link_t *next_dirty;
};

struct lw_mesh {
	lw_hub_t *hub;
	lw_gate_t *gate;
	const lw_mesh_ops_t *ops;
	void *ctx;
	int listen_fd;
	ev_io accept_io;
	lw_link_t *links;
	lw_link_t *dirty;
	uint64_t config_us; /* when the configuration in force was first announced */
	uint64_t config_seen;
	lw_mesh_stats_t stats;
};

static void link_close(lw_link_t *l);

static void watch(lw_link_t *l)
{
	int events = EV_READ;

	if (l->closed)
		return;
	if (l->connecting)
		events = EV_WRITE;
	else if (lw_bytebuf_len(&l->out))
		events |= EV_WRITE;
	if (l->io.events == events && ev_is_active(&l->io))
		return;
	ev_io_stop(l->mesh->hub->loop, &l->io);
	ev_io_set(&l->io, l->fd, events);
	ev_io_start(l->mesh->hub->loop, &l->io);
}

/* a frame was queued; it is written before the loop waits */
static void frame_queued(lw_link_t *l, size_t before)
{
	l->queued_total += lw_bytebuf_len(&l->out) - before;
	l->mesh->stats.frames_out++;
	if (l->dirty)
		return;
	l->dirty = true;
	l->next_dirty = l->mesh->dirty;
	l->mesh->dirty = l;
}

static void send_frame(lw_link_t *l, const Lw__MeshFrame *f)
{
	size_t before = lw_bytebuf_len(&l->out);

	if (l->closed)
		return;
	lw_meshframe_append(&l->out, f);
	frame_queued(l, before);
}

static void link_flush(lw_link_t *l)
{
	while (!l->connecting && !l->closed && lw_bytebuf_len(&l->out)) {
		ssize_t n = send(l->fd, lw_bytebuf_head(&l->out), lw_bytebuf_len(&l->out),
				 MSG_NOSIGNAL);

		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR) {
				l->failed = true;
				ev_feed_event(l->mesh->hub->loop, &l->io, EV_READ);
			}
			break;
		}
		l->written_total += (uint64_t)n;
		l->mesh->stats.bytes_out += (uint64_t)n;
		lw_bytebuf_consume(&l->out, (size_t)n);
	}
	watch(l);
}

static void flush_all(void *ctx)
{
	lw_mesh_t *m = ctx;

	while (m->dirty) {
		lw_link_t *l = m->dirty;

		m->dirty = l->next_dirty;
		l->dirty = false;
		if (!l->closed)
			link_flush(l);
	}
}

static void fill_load(const lw_mesh_t *m, lw_meshframe_load_t *out, const lw_load_t *load)
{
	lw_meshframe_load(out, load);
	out->load.config_version = m->ops->config_version(m->ctx);
}

static uint64_t own_revision(const lw_mesh_t *m)
{
	const lw_serverlist_t *sl = m->ops->servers(m->ctx);

	return sl ? sl->revision : 0;
}

static void send_status(lw_link_t *l, bool is_reply)
{
	lw_load_t own;
	lw_meshframe_load_t load;
	Lw__Status status = LW__STATUS__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	lw_gate_load(l->mesh->gate, &own);
	fill_load(l->mesh, &load, &own);
	status.is_reply = is_reply;
	status.load = &load.load;
	status.news_age_ms = l->mesh->ops->news_age_ms(l->mesh->ctx);
	status.servers_revision = own_revision(l->mesh);
	f.body_case = LW__MESH_FRAME__BODY_STATUS;
	f.status = &status;
	send_frame(l, &f);
}

static void stream_free(lw_stream_t *s)
{
	if (s->dead)
		return;
	s->dead = true;
	HASH_DEL(s->link->streams, s);
	lw_hub_free_later(s->link->mesh->hub, s);
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
	send_frame(s->link, &f);
}

static void send_credit(lw_stream_t *s, uint32_t bytes)
{
	Lw__Credit c = LW__CREDIT__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	c.stream = s->id;
	c.bytes = bytes;
	f.body_case = LW__MESH_FRAME__BODY_CREDIT;
	f.credit = &c;
	send_frame(s->link, &f);
}

/* the side that sent the request */

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

static void call_cancel(lw_call_t *call)
{
	lw_stream_t *s = (lw_stream_t *)call;
	Lw__Cancel c = LW__CANCEL__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	if (s->dead)
		return;
	c.stream = s->id;
	f.body_case = LW__MESH_FRAME__BODY_CANCEL;
	f.cancel = &c;
	send_frame(s->link, &f);
	stream_free(s);
}

static const lw_call_ops_t call_ops = {
	.body = call_body,
	.credit = call_credit,
	.cancel = call_cancel,
};

/* the side that runs the request */

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

static void sink_answer(lw_sink_t *sink, const lw_answer_t *a, lw_str_t body, bool fin,
			const lw_load_t *load)
{
	lw_stream_t *s = stream_of_sink(sink);
	lw_meshframe_load_t l;
	Lw__Answer w = LW__ANSWER__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	if (s->dead)
		return;
	fill_load(s->link->mesh, &l, load);
	w.stream = s->id;
	w.status = a->status;
	w.body_length = a->body_length;
	w.head = lw_meshframe_bytes(a->head);
	w.body = lw_meshframe_bytes(body);
	w.fin = fin;
	w.load = &l.load;
	f.body_case = LW__MESH_FRAME__BODY_ANSWER;
	f.answer = &w;
	send_frame(s->link, &f);
	if (fin)
		stream_free(s);
}

static void sink_data(lw_sink_t *sink, lw_str_t data, bool fin)
{
	lw_stream_t *s = stream_of_sink(sink);

	if (s->dead)
		return;
	send_data(s, data, fin);
	if (fin)
		stream_free(s);
}

static void send_failed(lw_link_t *l, uint32_t id, lw_fail_t why, uint32_t retry_after_ms,
			const lw_load_t *own)
{
	lw_meshframe_load_t load;
	Lw__Failed w = LW__FAILED__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;

	fill_load(l->mesh, &load, own);
	w.stream = id;
	w.reason = why;
	w.retry_after_ms = retry_after_ms;
	w.load = &load.load;
	f.body_case = LW__MESH_FRAME__BODY_FAILED;
	f.failed = &w;
	send_frame(l, &f);
}

static void sink_fail(lw_sink_t *sink, lw_fail_t why, uint32_t retry_after_ms,
		      const lw_load_t *load)
{
	lw_stream_t *s = stream_of_sink(sink);

	if (s->dead)
		return;
	send_failed(s->link, s->id, why, retry_after_ms, load);
	stream_free(s);
}

static void sink_silent(lw_sink_t *sink)
{
	(void)sink; /* the gate runs on this host and is never silent */
}

static const lw_sink_ops_t sink_ops = {
	.credit = sink_credit,
	.answer = sink_answer,
	.data = sink_data,
	.fail = sink_fail,
	.silent = sink_silent,
};

/*
 * A request that lay in a buffer while this host was suspended carries the
 * time that was left when it was sent. Without taking off the time asleep it
 * would run long after its caller was answered.
 */
static void on_open(lw_link_t *l, const Lw__Open *o)
{
	uint32_t late_ms = (uint32_t)(l->late_us / 1000);
	lw_ask_t ask = {
		.head = lw_meshframe_str(o->head),
		.request_id = lw_meshframe_str(o->request_id),
		.target = lw_meshframe_str(o->target),
		.body_length = o->body_length,
		.deadline_ms = o->deadline_ms > late_ms ? o->deadline_ms - late_ms : 0,
		.queue_ms = o->queue_ms,
		.rank = o->rank,
		.nested = o->nested,
		.repeat = o->repeat,
	};
	lw_stream_t *s = xcalloc(1, sizeof(*s));
	lw_fail_t why;
	uint32_t retry_after_ms;

	s->as_sink.ops = &sink_ops;
	s->link = l;
	s->id = o->stream;
	HASH_ADD(hh, l->streams, id, sizeof(s->id), s);
	s->job = lw_gate_submit(l->mesh->gate, &s->as_sink, &ask, lw_meshframe_str(o->body), o->fin,
				&why, &retry_after_ms);
	if (!s->job) {
		lw_load_t own;

		lw_gate_load(l->mesh->gate, &own);
		send_failed(l, s->id, why, retry_after_ms, &own);
		stream_free(s);
	}
}

static void on_answer(lw_link_t *l, const Lw__Answer *w)
{
	lw_stream_t *s = stream_find(l, w->stream);
	lw_answer_t a = { w->status, w->body_length, lw_meshframe_str(w->head) };
	lw_sink_t *sink;
	lw_load_t load;

	lw_meshframe_read_load(w->load, &load);
	if (w->load)
		l->peer_version = w->load->config_version;
	if (!s || s->job || !s->call.sink)
		return;
	sink = s->call.sink;
	if (w->fin)
		stream_free(s);
	sink->ops->answer(sink, &a, lw_meshframe_str(w->body), w->fin, &load);
}

static void on_data(lw_link_t *l, const Lw__Data *d)
{
	lw_stream_t *s = stream_find(l, d->stream);
	lw_str_t data = lw_meshframe_str(d->data);
	lw_sink_t *sink;

	if (!s)
		return;
	if (s->job) {
		s->job->ops->body(s->job, data, d->fin);
		return;
	}
	sink = s->call.sink;
	if (d->fin)
		stream_free(s);
	if (sink)
		sink->ops->data(sink, data, d->fin);
}

static void on_credit(lw_link_t *l, const Lw__Credit *c)
{
	lw_stream_t *s = stream_find(l, c->stream);

	if (!s)
		return;
	if (s->job)
		s->job->ops->credit(s->job, c->bytes);
	else if (s->call.sink)
		s->call.sink->ops->credit(s->call.sink, c->bytes);
}

static void on_cancel(lw_link_t *l, const Lw__Cancel *c)
{
	lw_stream_t *s = stream_find(l, c->stream);

	if (!s || !s->job)
		return;
	s->job->ops->cancel(s->job);
	stream_free(s);
}

static void on_failed(lw_link_t *l, const Lw__Failed *w)
{
	lw_stream_t *s = stream_find(l, w->stream);
	lw_sink_t *sink;
	lw_load_t load;

	lw_meshframe_read_load(w->load, &load);
	if (!s || s->job || !s->call.sink)
		return;
	sink = s->call.sink;
	stream_free(s);
	sink->ops->fail(sink, w->reason < LW_FAIL_COUNT ? w->reason : LW_FAIL_BROKEN,
			w->retry_after_ms, &load);
}

/* the configuration, to a node that is not known to have it */
static void send_config(lw_link_t *l, uint64_t version)
{
	lw_mesh_t *m = l->mesh;
	Lw__Config c = LW__CONFIG__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;
	lw_str_t text;

	if (l->connecting || l->peer_version >= version || l->pushed_version >= version)
		return;
	text = m->ops->config_text(m->ctx);
	if (!text.len)
		return;
	l->pushed_version = version;
	c.version = version;
	c.text = lw_meshframe_bytes(text);
	f.body_case = LW__MESH_FRAME__BODY_CONFIG;
	f.config = &c;
	send_frame(l, &f);
}

/* a list of backend servers the peer does not have yet */
static void push_servers(lw_link_t *l)
{
	const lw_serverlist_t *sl = l->mesh->ops->servers(l->mesh->ctx);
	size_t before = lw_bytebuf_len(&l->out);

	if (!sl || l->closed || l->connecting || l->peer_revision >= sl->revision ||
	    l->pushed_revision >= sl->revision)
		return;
	l->pushed_revision = sl->revision;
	lw_meshframe_append_servers(&l->out, sl);
	frame_queued(l, before);
}

/*
 * News counts only from a node that has nothing newer than this one: else
 * this node would think itself up to date while it waits for the list.
 */
static void take_news(lw_link_t *l, const Lw__Status *w)
{
	lw_mesh_t *m = l->mesh;
	uint64_t own = own_revision(m);

	if (w->servers_revision < own) {
		push_servers(l);
	} else if (w->servers_revision > own) {
		/* the answer makes the peer push its list */
		if (w->is_reply)
			send_status(l, true);
		return;
	}
	if (l->peer_version <= m->ops->config_version(m->ctx))
		m->ops->news(m->ctx, w->news_age_ms);
}

static void on_status(lw_link_t *l, const Lw__Status *w)
{
	lw_load_t load;

	lw_meshframe_read_load(w->load, &load);
	if (w->load)
		l->peer_version = w->load->config_version;
	if (l->outgoing && w->load)
		l->mesh->ops->load(l->mesh->ctx, l->node, &load);
	l->peer_revision = w->servers_revision;
	take_news(l, w);
	if (!w->is_reply)
		send_status(l, true);
}

static void on_frame(lw_link_t *l, const Lw__MeshFrame *f)
{
	lw_mesh_t *m = l->mesh;

	switch (f->body_case) {
	case LW__MESH_FRAME__BODY_OPEN:
		on_open(l, f->open);
		break;
	case LW__MESH_FRAME__BODY_ANSWER:
		on_answer(l, f->answer);
		break;
	case LW__MESH_FRAME__BODY_DATA:
		on_data(l, f->data);
		break;
	case LW__MESH_FRAME__BODY_CREDIT:
		on_credit(l, f->credit);
		break;
	case LW__MESH_FRAME__BODY_CANCEL:
		on_cancel(l, f->cancel);
		break;
	case LW__MESH_FRAME__BODY_FAILED:
		on_failed(l, f->failed);
		break;
	case LW__MESH_FRAME__BODY_STATUS:
		on_status(l, f->status);
		break;
	case LW__MESH_FRAME__BODY_CONFIG:
		m->ops->config_received(m->ctx, lw_meshframe_str(f->config->text));
		break;
	case LW__MESH_FRAME__BODY_SERVERS:
		l->peer_revision = f->servers->revision;
		m->ops->servers_received(m->ctx, lw_meshframe_read_servers(f->servers));
		break;
	default:
		break; /* a newer node's frame */
	}
}

/* the connection is gone: every request on it has its outcome now */
static void link_lost(lw_link_t *l)
{
	lw_stream_t *s;
	uint64_t written = l->written_total;

	if (l->closed)
		return;
	l->mesh->stats.links_lost++;
	link_close(l);
	if (l->outgoing && !l->silent)
		l->mesh->ops->lost(l->mesh->ctx, l->node);
	while ((s = l->streams) != NULL) {
		lw_sink_t *sink = s->call.sink;
		lw_call_t *job = s->job;
		bool unsent = s->open_at >= written;

		stream_free(s);
		if (job)
			job->ops->cancel(job);
		else if (sink)
			sink->ops->fail(sink, unsent ? LW_FAIL_UNSENT : LW_FAIL_BROKEN, 0, NULL);
	}
}

static void link_close(lw_link_t *l)
{
	lw_link_t **at = &l->mesh->links;

	l->closed = true;
	while (*at && *at != l)
		at = &(*at)->next;
	if (*at)
		*at = l->next;
	at = &l->mesh->dirty;
	while (*at && *at != l)
		at = &(*at)->next_dirty;
	if (*at)
		*at = l->next_dirty;
	ev_io_stop(l->mesh->hub->loop, &l->io);
	ev_clear_pending(l->mesh->hub->loop, &l->io);
	lw_sock_abort(l->fd);
	lw_bytebuf_free(&l->in);
	lw_bytebuf_free(&l->out);
	lw_hub_free_later(l->mesh->hub, l);
}

static void read_frames(lw_link_t *l)
{
	while (!l->closed) {
		Lw__MeshFrame *f;
		ssize_t used =
			lw_meshframe_next(lw_bytebuf_head(&l->in), lw_bytebuf_len(&l->in), &f);

		if (used < 0) {
			link_lost(l);
			return;
		}
		if (used == 0)
			return;
		l->mesh->stats.frames_in++;
		on_frame(l, f);
		lw_meshframe_done(f);
		if (!l->closed)
			lw_bytebuf_consume(&l->in, (size_t)used);
	}
}

/*
 * All that has arrived is read before any of it is acted on: a cancellation
 * that came with its request stops it before it starts.
 */
static void on_readable(lw_link_t *l)
{
	for (;;) {
		char *room = lw_bytebuf_reserve(&l->in, READ_BYTES);
		ssize_t n = recv(l->fd, room, READ_BYTES, 0);

		if (n > 0) {
			lw_bytebuf_commit(&l->in, (size_t)n);
			l->heard_us = l->mesh->hub->now_us;
			l->asked_us = 0;
			if (n < READ_BYTES)
				break;
			read_frames(l);
			if (l->closed)
				return;
			continue;
		}
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		link_lost(l);
		return;
	}
	read_frames(l);
	if (!l->closed) {
		l->late_us = 0;
		lw_bytebuf_consume(&l->in, 0);
	}
}

static void on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_link_t *l = w->data;

	(void)loop;
	if (l->failed) {
		link_lost(l);
		return;
	}
	if (l->connecting) {
		if (!lw_sock_connected(l->fd)) {
			link_lost(l);
			return;
		}
		l->connecting = false;
		l->heard_us = l->mesh->hub->now_us;
	}
	if (revents & EV_READ)
		on_readable(l);
	if (!l->closed)
		link_flush(l);
}

static lw_link_t *link_new(lw_mesh_t *m, int fd, bool outgoing)
{
	lw_link_t *l = xcalloc(1, sizeof(*l));

	l->mesh = m;
	l->fd = fd;
	l->outgoing = outgoing;
	l->connecting = outgoing;
	l->opened_us = m->hub->now_us;
	l->heard_us = m->hub->now_us;
	ev_io_init(&l->io, on_io, fd, 0);
	l->io.data = l;
	l->next = m->links;
	m->links = l;
	watch(l);
	return l;
}

static lw_link_t *link_to(lw_mesh_t *m, const char *node)
{
	lw_link_t *l;
	int fd;

	for (l = m->links; l; l = l->next)
		if (l->outgoing && !l->silent && strcmp(l->node, node) == 0)
			return l;
	if (lw_sock_start_connect(node, &fd))
		return NULL;
	l = link_new(m, fd, true);
	lw_str_copy(l->node, sizeof(l->node), lw_str_c(node));
	m->stats.links_opened++;
	send_status(l, false);
	return l;
}

/*
 * lw_mesh_call() - send a request to @node; @sink hears its outcome. NULL if
 * no connection can even be begun.
 */
lw_call_t *lw_mesh_call(lw_mesh_t *m, const char *node, lw_sink_t *sink, const lw_ask_t *ask,
			lw_str_t body, bool fin)
{
	lw_link_t *l = link_to(m, node);
	Lw__Open o = LW__OPEN__INIT;
	Lw__MeshFrame f = LW__MESH_FRAME__INIT;
	lw_stream_t *s;

	if (!l)
		return NULL;
	s = xcalloc(1, sizeof(*s));
	s->call.ops = &call_ops;
	s->call.sink = sink;
	s->link = l;
	s->id = l->next_id++;
	s->open_at = l->queued_total;
	HASH_ADD(hh, l->streams, id, sizeof(s->id), s);
	o.stream = s->id;
	o.deadline_ms = ask->deadline_ms;
	o.queue_ms = ask->queue_ms;
	o.rank = ask->rank;
	o.nested = ask->nested;
	o.repeat = ask->repeat;
	o.body_length = ask->body_length;
	o.head = lw_meshframe_bytes(ask->head);
	o.request_id = lw_meshframe_bytes(ask->request_id);
	o.target = lw_meshframe_bytes(ask->target);
	o.body = lw_meshframe_bytes(body);
	o.fin = fin;
	f.body_case = LW__MESH_FRAME__BODY_OPEN;
	f.open = &o;
	send_frame(l, &f);
	return &s->call;
}

/* lw_mesh_contact() - connect to @node if there is no connection yet. */
void lw_mesh_contact(lw_mesh_t *m, const char *node)
{
	link_to(m, node);
}

/* lw_mesh_announce() - tell every connected node this node's state now. */
void lw_mesh_announce(lw_mesh_t *m)
{
	for (lw_link_t *l = m->links; l; l = l->next)
		send_status(l, true);
}

/*
 * lw_mesh_spread() - a node that reads the store tells the others: the
 * configuration and the list of backend servers if they changed, and in any
 * case that it is in touch with the store.
 */
void lw_mesh_spread(lw_mesh_t *m)
{
	uint64_t version = m->ops->config_version(m->ctx);

	for (lw_link_t *l = m->links; l; l = l->next) {
		if (!l->outgoing || l->silent || l->connecting)
			continue;
		send_config(l, version);
		push_servers(l);
		send_status(l, true);
	}
}

/* lw_mesh_stats() - counts since the start. */
const lw_mesh_stats_t *lw_mesh_stats(const lw_mesh_t *m)
{
	return &m->stats;
}

/*
 * Nothing comes over a connection although answers are due: its other end may
 * be suspended, or something between has lost track of it. New requests take
 * another connection; those under way may still be answered on this one.
 */
static void link_silent(lw_link_t *l)
{
	lw_stream_t *s, *tmp;

	l->silent = true;
	l->mesh->stats.links_silent++;
	l->mesh->ops->lost(l->mesh->ctx, l->node);
	HASH_ITER(hh, l->streams, s, tmp)
	{
		if (!s->dead && s->call.sink)
			s->call.sink->ops->silent(s->call.sink);
	}
}

static void check_link(lw_link_t *l, uint64_t now)
{
	uint64_t quiet = now - l->heard_us;

	if (l->connecting) {
		if (now - l->opened_us > CONNECT_MAX_US)
			link_lost(l);
		return;
	}
	if (!l->outgoing)
		return;
	if (l->silent) {
		if (!l->streams)
			link_lost(l);
		return;
	}
	if (l->asked_us) {
		if (now - l->asked_us > SILENT_LOST_US)
			link_silent(l);
		return;
	}
	if (quiet > (l->streams ? SILENT_ASK_US : IDLE_ASK_US)) {
		l->asked_us = now;
		send_status(l, false);
	}
}

/* a node that cannot reach the store gets the configuration from its peers */
static void push_config(lw_link_t *l, uint64_t version, uint64_t now)
{
	if (l->peer_version && now - l->mesh->config_us < CONFIG_PUSH_US)
		return;
	if (now - l->opened_us >= CONFIG_PUSH_US)
		send_config(l, version);
}

static void on_tick(void *ctx)
{
	lw_mesh_t *m = ctx;
	uint64_t now = m->hub->now_us;
	uint64_t version = m->ops->config_version(m->ctx);
	lw_link_t *next;

	if (version != m->config_seen) {
		m->config_seen = version;
		m->config_us = now;
	}
	for (lw_link_t *l = m->links; l; l = next) {
		next = l->next;
		push_config(l, version, now);
		check_link(l, now);
	}
}

/* the host was suspended: what lies in the buffers is old by that time */
static void mark_late(lw_mesh_t *m)
{
	for (lw_link_t *l = m->links; l; l = l->next) {
		l->late_us += m->hub->slept_us;
		l->heard_us = m->hub->now_us;
		l->asked_us = 0;
	}
}

static void on_wake(struct ev_loop *loop, ev_check *w, int revents)
{
	lw_mesh_t *m = w->data;

	(void)loop;
	(void)revents;
	if (m->hub->slept_us)
		mark_late(m);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_mesh_t *m = w->data;
	int fd;

	(void)loop;
	(void)revents;
	while ((fd = lw_sock_accept(m->listen_fd)) >= 0)
		send_status(link_new(m, fd, false), false);
}

/* lw_mesh_listen() - accept connections of other nodes at "ip:port". */
lw_status_t lw_mesh_listen(lw_mesh_t *m, const char *addr)
{
	lw_status_t st = lw_sock_listen(addr, &m->listen_fd);

	if (st)
		return st;
	lw_sock_nonblock(m->listen_fd);
	ev_io_init(&m->accept_io, on_accept, m->listen_fd, EV_READ);
	m->accept_io.data = m;
	ev_io_start(m->hub->loop, &m->accept_io);
	return LW_OK;
}

/* lw_mesh_new() - no connections yet; requests of other nodes go to @gate. */
lw_mesh_t *lw_mesh_new(lw_hub_t *hub, lw_gate_t *gate, const lw_mesh_ops_t *ops, void *ctx)
{
	static ev_check wake;
	lw_mesh_t *m = xcalloc(1, sizeof(*m));

	m->hub = hub;
	m->gate = gate;
	m->ops = ops;
	m->ctx = ctx;
	ev_check_init(&wake, on_wake);
	wake.data = m;
	ev_check_start(hub->loop, &wake);
	lw_hub_on_flush(hub, flush_all, m);
	lw_hub_on_tick(hub, on_tick, m);
	return m;
}

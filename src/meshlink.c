/* Sockets of the connections between nodes: reading and writing frames. */
#include "mesh_int.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "linux/sock.h"
#include "log.h"
#include "xalloc.h"

#define READ_BYTES 65536
/* reads of one connection before the others have their turn */
#define READS_MAX 4

static void link_close(lw_link_t *l);

/*
 * lw_link_handshake_done() - returns true if the peer process has sent its first frame on a
 * connection opened here; always true for incoming connections.
 */
bool lw_link_handshake_done(const lw_link_t *l)
{
	return !l->outgoing || l->peer_incarnation;
}

/*
 * Returns the number of bytes that may be written now. A kernel accepts connections and
 * data for a process that is about to exit or is suspended, and the sender of a request in
 * that data must assume that it may have been executed: 16 requests in a day of rolling
 * restarts ended as 502 although no process had read them. So only this node's status is
 * written before the peer's status has arrived.
 */
static size_t writable_bytes(const lw_link_t *l)
{
	size_t queued = lw_bytebuf_len(&l->out);
	uint64_t hello = l->handshake_bytes - l->written_total;

	return lw_link_handshake_done(l) || hello > queued ? queued : (size_t)hello;
}

static void update_io_events(lw_link_t *l)
{
	int events = EV_READ;

	if (l->closed)
		return;
	if (l->connecting)
		events = EV_WRITE;
	else if (writable_bytes(l))
		events |= EV_WRITE;
	if (l->io.events == events && ev_is_active(&l->io))
		return;
	ev_io_stop(l->mesh->evloop->loop, &l->io);
	ev_io_set(&l->io, l->fd, events);
	ev_io_start(l->mesh->evloop->loop, &l->io);
}

/*
 * lw_link_frame_queued() - accounts for a queued frame, which is written at the end of this
 * loop iteration; @before: length of the output buffer without the frame.
 */
void lw_link_frame_queued(lw_link_t *l, size_t before, Lw__MeshFrame__BodyCase kind)
{
	size_t len = lw_bytebuf_len(&l->out) - before;

	l->queued_total += len;
	if ((size_t)kind < LW_MESH_FRAME_KINDS)
		l->mesh->stats.bytes_of[kind] += len;
	l->mesh->stats.frames_out++;
	if (l->dirty)
		return;
	l->dirty = true;
	l->next_dirty = l->mesh->dirty;
	l->mesh->dirty = l;
}

/* lw_link_send() - queues a frame, which is written at the end of this loop iteration. */
void lw_link_send(lw_link_t *l, const Lw__MeshFrame *f)
{
	size_t before = lw_bytebuf_len(&l->out);

	if (l->closed)
		return;
	lw_meshframe_append(&l->out, f);
	lw_link_frame_queued(l, before, f->body_case);
}

/* lw_link_discard_held() - discards the data that waits for the peer's first frame. */
void lw_link_discard_held(lw_link_t *l)
{
	uint64_t held = l->queued_total - l->handshake_bytes;

	lw_bytebuf_cut(&l->out, (size_t)held);
	l->queued_total -= held;
}

static void link_flush(lw_link_t *l)
{
	while (!l->connecting && !l->closed && writable_bytes(l)) {
		ssize_t n = send(l->fd, lw_bytebuf_head(&l->out), writable_bytes(l), MSG_NOSIGNAL);

		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR) {
				l->failed = true;
				ev_feed_event(l->mesh->evloop->loop, &l->io, EV_READ);
			}
			break;
		}
		l->written_total += (uint64_t)n;
		l->mesh->stats.bytes_out += (uint64_t)n;
		lw_bytebuf_consume(&l->out, (size_t)n);
	}
	update_io_events(l);
}

/*
 * lw_mesh_flush_all() - writes what was queued in this loop iteration, with one call for
 * each connection.
 */
void lw_mesh_flush_all(void *ctx)
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

/* logs whether the requests on a lost connection had arrived */
static void log_lost(const lw_link_t *l)
{
	uint32_t unsent = 0;

	if (!l->streams)
		return;
	for (const lw_stream_t *s = l->streams; s; s = s->hh.next)
		unsent += l->outgoing && lw_stream_unsent(s);
	lw_log(LW_LOG_link_lost,
	       "node=%s link=%016llx outgoing=%d silent=%d streams=%u unsent=%u connected=%d heard=%d opened_ms=%llu quiet_ms=%llu",
	       l->node, (unsigned long long)l->name, l->outgoing, l->silent, HASH_COUNT(l->streams),
	       unsent, !l->connecting, l->peer_incarnation != 0,
	       (unsigned long long)((l->mesh->evloop->now_us - l->opened_us) / 1000),
	       (unsigned long long)((l->mesh->evloop->now_us - l->last_recv_us) / 1000));
}

/*
 * lw_mesh_has_unwritten_answers() - returns true if part of a response was not yet written
 * to the node that sent the request.
 */
bool lw_mesh_has_unwritten_answers(const lw_mesh_t *m)
{
	for (const lw_link_t *l = m->links; l; l = l->next)
		if (!l->outgoing && lw_bytebuf_len(&l->out))
			return true;
	return false;
}

/*
 * lw_mesh_close_all() - writes what is queued and closes all connections, as the process
 * exits. Writing the last log lines takes 50 ms; connections left open meanwhile would
 * receive requests that no process reads.
 */
void lw_mesh_close_all(lw_mesh_t *m)
{
	struct ev_loop *loop = m->evloop->loop;

	lw_mesh_flush_all(m);
	ev_io_stop(loop, &m->accept_io);
	close(m->listen_fd);
	for (lw_link_t *l = m->links; l; l = l->next) {
		ev_io_stop(loop, &l->io);
		ev_clear_pending(loop, &l->io);
		l->closed = true;
		close(l->fd);
	}
}

/*
 * lw_link_lost() - handles the loss of a connection. Requests that reached the peer may
 * still run there: the peer keeps them for a short time, and this node queries their
 * outcome over another connection.
 */
void lw_link_lost(lw_link_t *l)
{
	if (l->closed)
		return;
	l->mesh->stats.links_lost++;
	log_lost(l);
	link_close(l);
	lw_mesh_source_lost(l);
	lw_mesh_reset_queries(l);
	if (l->outgoing && !l->silent)
		l->mesh->ops->node_lost(l->mesh->ctx, l->node, l->streams || l->peer_incarnation);
	if (l->refused)
		lw_mesh_peer_gone(l->mesh, l->node);
	if (l->streams && lw_link_can_recover(l))
		lw_link_orphan(l);
	else
		lw_link_drop_streams(l);
}

/* lw_link_retire() - closes a connection without requests that this node no longer needs. */
void lw_link_retire(lw_link_t *l)
{
	l->mesh->stats.links_retired++;
	link_close(l);
	lw_mesh_source_lost(l);
	lw_link_free(l);
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
	ev_io_stop(l->mesh->evloop->loop, &l->io);
	ev_clear_pending(l->mesh->evloop->loop, &l->io);
	lw_sock_abort(l->fd);
	lw_bytebuf_free(&l->in);
	lw_bytebuf_free(&l->out);
	lw_bytebuf_free(&l->cancelled_ids);
}

/* lw_link_free() - releases a closed connection without streams. */
void lw_link_free(lw_link_t *l)
{
	if (!l->outgoing)
		lw_meshclosed_add(&l->mesh->closed_links, l->name, l->last_open,
				  l->mesh->evloop->now_us);
	lw_evloop_free_later(l->mesh->evloop, l);
}

static void read_frames(lw_link_t *l)
{
	while (!l->closed) {
		Lw__MeshFrame *f;
		ssize_t used =
			lw_meshframe_next(lw_bytebuf_head(&l->in), lw_bytebuf_len(&l->in), &f);

		if (used < 0) {
			lw_link_lost(l);
			return;
		}
		if (used == 0)
			return;
		l->mesh->stats.frames_in++;
		lw_mesh_on_frame(l, f);
		lw_meshframe_free(f);
		if (!l->closed)
			lw_bytebuf_consume(&l->in, (size_t)used);
	}
}

/* collects the cancellations in the rest of the input buffer */
static void find_buffered_cancels(lw_link_t *l)
{
	size_t at = 0;
	ssize_t used;
	Lw__MeshFrame *f;

	while ((used = lw_meshframe_next(lw_bytebuf_head(&l->in) + at, lw_bytebuf_len(&l->in) - at,
					 &f)) > 0) {
		if (f->body_case == LW__MESH_FRAME__BODY_CANCEL)
			lw_bytebuf_append(&l->cancelled_ids, &f->cancel->stream, sizeof(uint32_t));
		lw_meshframe_free(f);
		at += (size_t)used;
	}
}

/*
 * lw_link_cancel_buffered() - returns true if the buffer that is being processed has a
 * cancellation of stream @id.
 */
bool lw_link_cancel_buffered(const lw_link_t *l, uint32_t id)
{
	const char *head = lw_bytebuf_head(&l->cancelled_ids);
	size_t len = lw_bytebuf_len(&l->cancelled_ids);

	for (size_t at = 0; at < len; at += sizeof(id))
		if (memcmp(head + at, &id, sizeof(id)) == 0)
			return true;
	return false;
}

/*
 * Returns true if requests in the buffers were delayed by a host suspend. Such a request may
 * be cancelled later in the buffer, or its connection may be lost by now, while its caller
 * was already answered by another server. So all data is read before any request is
 * processed. Responses are processed as they arrive, whatever the state of their connection.
 */
static bool requests_delayed(const lw_link_t *l)
{
	return l->late_us && !l->outgoing;
}

static void on_readable(lw_link_t *l)
{
	bool all = l->failed || requests_delayed(l);

	for (int reads = 0; reads < READS_MAX || all; reads++) {
		char *room = lw_bytebuf_reserve(&l->in, READ_BYTES);
		ssize_t n = recv(l->fd, room, READ_BYTES, 0);

		if (n > 0) {
			lw_bytebuf_commit(&l->in, (size_t)n);
			l->last_recv_us = l->mesh->evloop->now_us;
			l->status_request_us = 0;
			if (requests_delayed(l))
				continue;
			if (n < READ_BYTES)
				break;
			read_frames(l);
			if (l->closed)
				return;
			continue;
		}
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		lw_link_lost(l);
		return;
	}
	if (requests_delayed(l))
		find_buffered_cancels(l);
	read_frames(l);
	if (l->closed)
		return;
	lw_bytebuf_free(&l->cancelled_ids);
	l->late_us = 0;
	lw_bytebuf_consume(&l->in, 0);
}

static void on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_link_t *l = w->data;

	(void)loop;
	if (l->failed) {
		/* what the peer sent before it closed its end is read to the end */
		on_readable(l);
		if (!l->closed)
			lw_link_lost(l);
		return;
	}
	if (l->connecting) {
		int err = lw_sock_connect_error(l->fd);

		if (err) {
			l->refused = err == ECONNREFUSED;
			lw_link_lost(l);
			return;
		}
		l->connecting = false;
		l->last_recv_us = l->mesh->evloop->now_us;
	}
	if (revents & EV_READ)
		on_readable(l);
	if (!l->closed)
		link_flush(l);
}

/*
 * lw_link_new() - creates the connection for @fd; @outgoing: it was opened by this node and
 * may not be established yet.
 */
lw_link_t *lw_link_new(lw_mesh_t *m, int fd, bool outgoing)
{
	lw_link_t *l = xcalloc(1, sizeof(*l));

	l->mesh = m;
	l->fd = fd;
	l->outgoing = outgoing;
	l->connecting = outgoing;
	l->opened_us = m->evloop->now_us;
	if (outgoing)
		l->name = (uint64_t)lw_evloop_random(m->evloop, UINT32_MAX) << 32 |
			  lw_evloop_random(m->evloop, UINT32_MAX);
	l->next_moved = LW_STREAM_MOVED_MIN;
	l->last_recv_us = m->evloop->now_us;
	ev_io_init(&l->io, on_io, fd, 0);
	l->io.data = l;
	l->next = m->links;
	m->links = l;
	update_io_events(l);
	return l;
}

/*
 * lw_link_to() - returns the connection to @node, opened if there is none; NULL if it
 * cannot be opened.
 */
lw_link_t *lw_link_to(lw_mesh_t *m, const char *node)
{
	lw_link_t *l;
	int fd;

	for (l = m->links; l; l = l->next)
		if (l->outgoing && !l->silent && strcmp(l->node, node) == 0) {
			l->used_us = m->evloop->now_us;
			return l;
		}
	if (lw_sock_start_connect(node, &fd))
		return NULL;
	l = lw_link_new(m, fd, true);
	l->used_us = m->evloop->now_us;
	lw_str_copy(l->node, sizeof(l->node), lw_str_c(node));
	m->stats.links_opened++;
	lw_mesh_send_status(l, false);
	l->handshake_bytes = l->queued_total;
	return l;
}

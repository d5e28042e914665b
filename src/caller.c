/* One connection of a caller: events, writing and close; see caller.h. */
#include "caller_int.h"

#include <errno.h>
#include <sys/socket.h>

#include "linux/sock.h"

/* answers that a caller may leave unread before its next request waits, in bytes */
#define UNREAD_MAX_BYTES LW_CALL_WINDOW
/* bytes discarded per read */
#define DISCARD_BYTES 16384

/*
 * lw_caller_read_ahead() - how many bytes that were not processed yet may be buffered. A head is
 * processed when it is complete, so this includes the longest one that the operator permits.
 */
size_t lw_caller_read_ahead(const lw_caller_t *c)
{
	uint32_t memory_mb = c->set->evloop->set->memory_mb;
	size_t head = c->set->limits.max_header_bytes;

	if (c->state == CALLER_BODY)
		return lw_bufbound_body(memory_mb, READ_AHEAD_BYTES + head);
	if (lw_bufbound_level(memory_mb) == LW_BUFBOUND_FREE)
		return READ_AHEAD_BYTES + head;
	return LW_BUFBOUND_LEAST_BYTES + (c->state == CALLER_HEAD ? head : 0);
}

/*
 * lw_caller_answers_unread() - whether the caller leaves so much of its answers unread that its next
 * request has to wait. Otherwise a caller that sends requests and reads nothing would fill the
 * memory of the process with answers.
 */
bool lw_caller_answers_unread(const lw_caller_t *c)
{
	return lw_bytebuf_len(&c->out) > UNREAD_MAX_BYTES;
}

/*
 * lw_caller_watch() - wait for the events that the connection needs next: readable, writable or
 * both.
 */
void lw_caller_watch(lw_caller_t *c)
{
	int events = 0;
	bool full = (c->state == CALLER_BODY && c->x && lw_exchange_body_full(c->x)) ||
		    (c->state == CALLER_HEAD && lw_caller_answers_unread(c)) ||
		    lw_bytebuf_len(&c->in) >= lw_caller_read_ahead(c);

	if (c->closed)
		return;
	if (c->lingering)
		full = false;
	if (!full && !c->eof)
		events |= EV_READ;
	if (lw_bytebuf_len(&c->out))
		events |= EV_WRITE;
	if (c->io.events == events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->set->evloop->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	if (events)
		ev_io_start(c->set->evloop->loop, &c->io);
}

/* lw_caller_close() - close the connection; a request in progress is cancelled. */
void lw_caller_close(lw_caller_t *c)
{
	lw_exchange_t *x = c->x;

	if (c->closed)
		return;
	c->closed = true;
	c->x = NULL;
	ev_io_stop(c->set->evloop->loop, &c->io);
	ev_clear_pending(c->set->evloop->loop, &c->io);
	if (c->reset_on_close)
		lw_sock_abort(c->fd);
	else
		close(c->fd);
	if (c->prev)
		c->prev->next = c->next;
	else
		c->set->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->set->count--;
	lw_bytebuf_free(&c->in);
	lw_bytebuf_free(&c->out);
	lw_evloop_free_later(c->set->evloop, c);
	if (x) {
		c->set->stats.left++;
		lw_exchange_cancel(x);
	}
}

/*
 * Everything is sent: end the connection, but keep reading until the caller closes it, too. The
 * kernel resets a connection that is closed with unread bytes or gets more of them later, and
 * the reset overtakes the answer: a caller that sent further requests, or is still sending a
 * body that was rejected, would get no answer at all.
 */
static void linger(lw_caller_t *c)
{
	if (c->eof || c->reset_on_close || shutdown(c->fd, SHUT_WR)) {
		lw_caller_close(c);
		return;
	}
	c->lingering = true;
	c->since_us = c->set->evloop->now_us;
	lw_bytebuf_free(&c->in);
	lw_caller_watch(c);
}

/* discard what the caller sends until it closes the connection */
static void discard(lw_caller_t *c)
{
	char bytes[DISCARD_BYTES];
	ssize_t n = recv(c->fd, bytes, sizeof(bytes), 0);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		lw_caller_close(c);
}

/*
 * lw_caller_flush() - write as much as the kernel accepts; the rest follows when the socket is
 * writable.
 */
void lw_caller_flush(lw_caller_t *c)
{
	while (!c->closed && lw_bytebuf_len(&c->out)) {
		ssize_t n = send(c->fd, lw_bytebuf_head(&c->out), lw_bytebuf_len(&c->out),
				 MSG_NOSIGNAL);

		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR) {
				lw_caller_close(c);
				return;
			}
			break;
		}
		lw_bytebuf_consume(&c->out, (size_t)n);
	}
	if (c->closed)
		return;
	if (!lw_bytebuf_len(&c->out)) {
		uint32_t taken = c->uncredited;

		c->uncredited = 0;
		if (taken && c->x)
			lw_exchange_credit(c->x, taken);
		if (c->closing) {
			if (!c->lingering)
				linger(c);
			return;
		}
	}
	lw_caller_watch(c);
}

/* lw_caller_on_io() - event callback: the connection is readable or writable, or work is left. */
void lw_caller_on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_caller_t *c = w->data;

	(void)loop;
	if (c->lingering) {
		discard(c);
		return;
	}
	if (revents & EV_READ)
		lw_caller_readable(c);
	if (!c->closed && (revents & EV_WRITE))
		lw_caller_flush(c);
	if (!c->closed)
		lw_caller_process(c);
	c->late_us = 0;
}

/* Connections to the backend server; see bconn.h. */
#include "bconn.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "linux/sock.h"
#include "xalloc.h"

/* bytes per read; one system call reads a whole answer of the usual size */
#define READ_BYTES 16384
/* an answer is invalid if its head, with all interim answers before it, is longer than this */
#define HEAD_MAX_BYTES 65536
/*
 * A body in chunks is invalid if the sizes and extensions of the chunks take more than this and
 * FRAMING_FACTOR times the content. A chunk of one byte needs five more.
 */
#define FRAMING_MAX_BYTES 65536
#define FRAMING_FACTOR	  16
/* longest body of an answer that is passed over */
#define SKIPPED_BODY_MAX_BYTES 16384

static void watch(lw_bconn_t *c)
{
	int events = 0;

	if (c->closed)
		return;
	if (!c->paused && !c->connecting)
		events |= EV_READ;
	if (c->connecting || lw_bytebuf_len(&c->out))
		events |= EV_WRITE;
	if (c->io.events == events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->evloop->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	if (events)
		ev_io_start(c->evloop->loop, &c->io);
}

/* Failures are reported from the event loop, never from within a call by the user. */
static void fail_later(lw_bconn_t *c)
{
	c->failed = true;
	ev_feed_event(c->evloop->loop, &c->io, EV_READ);
}

static void end_broken(lw_bconn_t *c)
{
	void *user = c->user;
	const lw_bconn_ops_t *ops = c->ops;
	bool sent = c->sent;

	c->user = NULL;
	lw_bconn_close(c);
	if (user)
		ops->broken(user, sent);
	else if (c->on_idle_end)
		c->on_idle_end(c->idle_ctx);
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	lw_bconn_t *c = p->data;

	c->data_bytes += len;
	if (c->user && !c->skipping)
		c->ops->body(c->user, (lw_str_t){ at, len });
	return c->closed;
}

static int on_complete(http_parser *p)
{
	lw_bconn_t *c = p->data;

	c->completed = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings body_settings = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void answer_complete(lw_bconn_t *c)
{
	void *user = c->user;
	bool reusable = c->keep && !lw_bytebuf_len(&c->in) && !lw_bytebuf_len(&c->out);

	c->user = NULL;
	c->ops->done(user, reusable);
	if (!reusable)
		lw_bconn_close(c);
}

/* the end of the answer that is passed over: the next one follows; returns whether to parse on */
static bool skipped(lw_bconn_t *c)
{
	c->skipping = false;
	c->completed = false;
	c->body_bytes = c->data_bytes = 0;
	if (!c->keep)
		end_broken(c);
	return c->keep;
}

/* the answer has been read to its end; returns whether to parse on */
static bool end_answer(lw_bconn_t *c)
{
	c->in_body = false;
	if (c->skipping)
		return skipped(c);
	answer_complete(c);
	return false;
}

/* processes the head of the next response; returns false to stop parsing for now */
static bool parse_head(lw_bconn_t *c)
{
	static lw_httphead_t head;
	size_t len = lw_httphead_end(lw_bytebuf_head(&c->in), lw_bytebuf_len(&c->in));
	lw_str_t block = { lw_bytebuf_head(&c->in), len };

	/* a faulty server may send a head, or interim answers, that never end */
	if (c->head_bytes + (len ? len : lw_bytebuf_len(&c->in)) > HEAD_MAX_BYTES) {
		end_broken(c);
		return false;
	}
	if (!len)
		return false;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	if (lw_httphead_parse(&head, &c->parser, c->evloop->names, block) || !c->user) {
		end_broken(c);
		return false;
	}
	if (head.status < 200) {
		c->head_bytes += len;
		lw_bytebuf_consume(&c->in, len);
		return true;
	}
	if (c->is_head || head.status == 204 || head.status == 304)
		head.body_length = 0;
	c->keep = head.keep_alive && head.body_length != -2;
	if (head.keep_alive_s)
		c->idle_limit_s = head.keep_alive_s;
	c->parser.data = c;
	if (!c->ops->head(c->user, &head)) {
		if (!c->closed)
			end_broken(c);
		return false;
	}
	if (c->closed)
		return false;
	lw_bytebuf_consume(&c->in, len);
	if (c->skipping)
		c->head_bytes += len;
	c->in_body = true;
	return head.body_length == 0 ? end_answer(c) : true;
}

/*
 * A faulty server may send chunk extensions without end: hardly any content arrives, so that the
 * flow control of the content does not slow it down.
 */
static bool framing_too_long(const lw_bconn_t *c)
{
	return c->body_bytes > (FRAMING_FACTOR + 1) * c->data_bytes + FRAMING_MAX_BYTES;
}

static bool parse_body(lw_bconn_t *c)
{
	size_t len = lw_bytebuf_len(&c->in);
	size_t used = http_parser_execute(&c->parser, &body_settings, lw_bytebuf_head(&c->in), len);
	enum http_errno err = HTTP_PARSER_ERRNO(&c->parser);

	if (c->closed)
		return false;
	c->body_bytes += used;
	if ((err != HPE_OK && err != HPE_PAUSED) || framing_too_long(c)) {
		end_broken(c);
		return false;
	}
	lw_bytebuf_consume(&c->in, used);
	return c->completed && end_answer(c);
}

static void parse(lw_bconn_t *c)
{
	bool more = true;

	while (more && !c->closed && lw_bytebuf_len(&c->in))
		more = c->in_body ? parse_body(c) : parse_head(c);
}

/* The server closed its side, which completes an answer without a length. */
static void on_eof(lw_bconn_t *c)
{
	if (c->in_body) {
		http_parser_execute(&c->parser, &body_settings, "", 0);
		if (c->closed)
			return;
		if (c->completed) {
			c->keep = false;
			c->in_body = false;
			answer_complete(c);
			return;
		}
	}
	end_broken(c);
}

static void on_readable(lw_bconn_t *c)
{
	char *room = lw_bytebuf_reserve(&c->in, READ_BYTES);
	ssize_t n = recv(c->fd, room, READ_BYTES, 0);

	if (n > 0) {
		lw_bytebuf_commit(&c->in, (size_t)n);
		if (c->user)
			parse(c);
		else
			end_broken(c); /* data without a request */
		return;
	}
	if (n == 0)
		on_eof(c);
	else if (errno != EAGAIN && errno != EINTR)
		end_broken(c);
}

static void on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_bconn_t *c = w->data;

	(void)loop;
	if (c->failed) {
		end_broken(c);
		return;
	}
	if (c->connecting && (revents & EV_WRITE)) {
		if (!lw_sock_connected(c->fd)) {
			end_broken(c);
			return;
		}
		c->connecting = false;
		c->established = true;
		if (c->long_body)
			lw_sock_allow_pauses(c->fd, true);
	}
	if (revents & EV_READ)
		on_readable(c);
	if (!c->closed)
		lw_bconn_flush(c);
}

/* lw_bconn_open() - start connecting to the backend server at @addr; NULL on failure. */
lw_bconn_t *lw_bconn_open(lw_evloop_t *evloop, const char *addr)
{
	lw_bconn_t *c;
	int fd;

	if (lw_sock_start_connect(addr, &fd))
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->evloop = evloop;
	c->fd = fd;
	c->connecting = true;
	ev_io_init(&c->io, on_io, fd, 0);
	c->io.data = c;
	watch(c);
	return c;
}

/* lw_bconn_start() - start a request; its bytes are added with lw_bconn_queue(). */
void lw_bconn_start(lw_bconn_t *c, const lw_bconn_ops_t *ops, void *user, bool is_head)
{
	c->ops = ops;
	c->user = user;
	c->is_head = is_head;
	c->carried_head |= is_head;
	c->skipping = false;
	c->in_body = false;
	c->completed = false;
	c->keep = false;
	c->sent = false;
	c->paused = false;
	c->head_bytes = c->body_bytes = c->data_bytes = 0;
}

/*
 * lw_bconn_remember() - the request that was started has the id with @id_digest. The id alone
 * assigns an answer to a request, so it cannot tell a second copy of the answer to an earlier
 * attempt from the answer to this one.
 */
void lw_bconn_remember(lw_bconn_t *c, uint64_t id_digest)
{
	c->carried[c->requests++ % LW_BCONN_REQUESTS_REMEMBERED] = id_digest;
}

/* lw_bconn_has_carried() - whether one of the remembered requests has the id with @id_digest. */
bool lw_bconn_has_carried(const lw_bconn_t *c, uint64_t id_digest)
{
	uint32_t n = c->requests < LW_BCONN_REQUESTS_REMEMBERED ? c->requests :
								  LW_BCONN_REQUESTS_REMEMBERED;

	for (uint32_t i = 0; i < n; i++)
		if (c->carried[i] == id_digest)
			return true;
	return false;
}

/*
 * lw_bconn_skip_answer() - from within the head callback: the answer with the head @h is not the one
 * awaited, which comes after it. Returns false if its end cannot be told for certain.
 */
bool lw_bconn_skip_answer(lw_bconn_t *c, const lw_httphead_t *h)
{
	c->skipping =
		!c->carried_head && h->body_length >= 0 && h->body_length <= SKIPPED_BODY_MAX_BYTES;
	return c->skipping;
}

/*
 * lw_bconn_long_body() - the body of the current request exceeds one window, so the server may
 * legitimately pause reading. The kernel then takes longer to detect a server that vanished
 * without closing the connection, as both look the same.
 */
void lw_bconn_long_body(lw_bconn_t *c)
{
	c->long_body = true;
	if (c->established)
		lw_sock_allow_pauses(c->fd, true);
}

/* lw_bconn_queue() - queue bytes of the request; lw_bconn_flush() sends them. */
void lw_bconn_queue(lw_bconn_t *c, lw_str_t data)
{
	lw_bytebuf_append_str(&c->out, data);
}

/*
 * lw_bconn_flush() - write as much as the kernel accepts; the rest follows when the socket is
 * writable.
 */
void lw_bconn_flush(lw_bconn_t *c)
{
	size_t total = 0;

	while (!c->connecting && !c->closed && lw_bytebuf_len(&c->out)) {
		ssize_t n = send(c->fd, lw_bytebuf_head(&c->out), lw_bytebuf_len(&c->out),
				 MSG_NOSIGNAL);

		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR)
				fail_later(c);
			break;
		}
		c->sent = true;
		total += (size_t)n;
		lw_bytebuf_consume(&c->out, (size_t)n);
	}
	watch(c);
	if (total && c->user)
		c->ops->written(c->user, total);
}

/* lw_bconn_pause() - pause or resume reading the answer. */
void lw_bconn_pause(lw_bconn_t *c, bool pause)
{
	c->paused = pause;
	watch(c);
}

/* lw_bconn_idle() - mark the connection as idle until its next request. */
void lw_bconn_idle(lw_bconn_t *c)
{
	if (c->long_body)
		lw_sock_allow_pauses(c->fd, false);
	c->long_body = false;
	c->user = NULL;
	c->paused = false;
	c->idle_since_us = c->evloop->now_us;
	lw_bytebuf_free(&c->in);
	lw_bytebuf_free(&c->out);
	watch(c);
}

/*
 * lw_bconn_close() - close the connection without notifying its user. Data that the kernel has not
 * sent yet is discarded, so that the backend server stops work that nobody waits for and never
 * receives a request late.
 */
void lw_bconn_close(lw_bconn_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	ev_io_stop(c->evloop->loop, &c->io);
	ev_clear_pending(c->evloop->loop, &c->io);
	lw_sock_abort(c->fd);
	lw_bytebuf_free(&c->in);
	lw_bytebuf_free(&c->out);
	lw_evloop_free_later(c->evloop, c);
}

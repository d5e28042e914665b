/* Reads the requests of callers, strictly one after the other. */
#include "caller_int.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* bytes per read; one system call reads a request of the usual size */
#define READ_BYTES 16384

/* lw_caller_reject() - answer a request that cannot be accepted, then close the connection. */
void lw_caller_reject(lw_caller_t *c, uint32_t status, const char *why)
{
	c->keep = false;
	c->body_done = true;
	lw_caller_put_local_answer(c, status, why, 0);
	c->closing = true;
	lw_caller_flush(c);
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	lw_caller_t *c = p->data;

	c->body_seen += len;
	if (c->x)
		lw_exchange_body(c->x, (lw_str_t){ at, len }, false);
	if (c->closed)
		return 1;
	if (c->x && lw_exchange_body_full(c->x))
		http_parser_pause(p, 1);
	return 0;
}

static int on_complete(http_parser *p)
{
	lw_caller_t *c = p->data;

	c->body_done = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings body_settings = {
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void next_request(lw_caller_t *c)
{
	c->state = CALLER_HEAD;
	c->since_us = c->set->evloop->now_us;
	c->answered = false;
	if (c->closing || !c->keep) {
		c->closing = true;
		lw_caller_flush(c);
	}
}

/* the request is complete: notify the exchange and wait for its answer */
static void body_complete(lw_caller_t *c)
{
	c->state = CALLER_WAIT;
	if (c->x)
		lw_exchange_body(c->x, (lw_str_t){ NULL, 0 }, true);
	if (!c->closed && c->answered)
		next_request(c);
}

/* returns false if more bytes are needed or the connection is finished */
static bool read_body(lw_caller_t *c)
{
	size_t len = lw_bytebuf_len(&c->in);
	size_t used;
	enum http_errno err;

	if (!len || (c->x && lw_exchange_body_full(c->x)))
		return false;
	http_parser_pause(&c->parser, 0);
	used = http_parser_execute(&c->parser, &body_settings, lw_bytebuf_head(&c->in), len);
	if (c->closed)
		return false;
	err = HTTP_PARSER_ERRNO(&c->parser);
	if (err != HPE_OK && err != HPE_PAUSED) {
		c->set->stats.malformed++;
		lw_caller_close(c);
		return false;
	}
	lw_bytebuf_consume(&c->in, used);
	if (c->body_seen > c->set->limits.max_body_bytes) {
		c->set->stats.too_large++;
		if (c->x)
			lw_exchange_cancel(c->x);
		c->x = NULL;
		if (c->answered)
			lw_caller_close(c);
		else
			lw_caller_reject(c, 413, "body_too_large");
		return false;
	}
	if (c->body_done)
		body_complete(c);
	return !c->closed;
}

static void serve_ready(lw_caller_t *c, const lw_httphead_t *h)
{
	bool asked = lw_str_eq_c(h->target, c->set->evloop->names->ready_path);
	bool ready = c->set->ready && !c->set->evloop->leaving;

	c->body_done = true;
	if (!asked)
		lw_caller_put_local_answer(c, 404, "unknown_path", 0);
	else
		lw_caller_put_local_answer(c, ready ? 200 : 503, ready ? "ready" : "not_ready", 0);
	lw_caller_answer_done(c);
}

static void begin_request(lw_caller_t *c, const lw_httphead_t *h)
{
	lw_exchange_request_t req = {
		.head = h,
		.body_length = h->body_length,
		.late_us = c->late_us,
	};

	c->keep = h->keep_alive;
	c->is_head = lw_str_eq_c(h->method, "HEAD");
	c->http10 = c->parser.http_major == 1 && c->parser.http_minor == 0;
	c->body_seen = 0;
	c->body_done = h->body_length == 0;
	c->answered = false;
	c->since_us = c->set->evloop->now_us;
	c->state = c->body_done ? CALLER_WAIT : CALLER_BODY;
	if (c->ready_only) {
		serve_ready(c, h);
		return;
	}
	if (h->body_length > 0 && (uint64_t)h->body_length > c->set->limits.max_body_bytes) {
		c->set->stats.too_large++;
		lw_caller_reject(c, 413, "body_too_large");
		return;
	}
	if (h->expect_continue)
		lw_bytebuf_append_c(&c->out, "HTTP/1.1 100 Continue\r\n\r\n");
	c->starting = true;
	c->x = lw_exchange_start(c->set->engine, &c->reply, &req);
	c->starting = false;
}

/* skips empty lines before a request (RFC 9112, 2.2) */
static void skip_empty_lines(lw_caller_t *c)
{
	while (lw_bytebuf_len(&c->in) >= 2 && memcmp(lw_bytebuf_head(&c->in), "\r\n", 2) == 0)
		lw_bytebuf_consume(&c->in, 2);
}

/* returns false if the head is incomplete or the connection is finished */
static bool read_head(lw_caller_t *c)
{
	static lw_httphead_t head;
	size_t have = lw_bytebuf_len(&c->in);
	size_t len = lw_httphead_end(lw_bytebuf_head(&c->in), have);
	lw_str_t block = { lw_bytebuf_head(&c->in), len };
	lw_httphead_error_t err;

	if ((len ? len : have) > c->set->limits.max_header_bytes) {
		c->set->stats.too_large++;
		lw_caller_reject(c, 431, "head_too_large");
		return false;
	}
	/* a head that isn't complete is no request yet: nothing is lost with it */
	if (!len && have > LW_BUFBOUND_LEAST_BYTES &&
	    lw_bufbound_level(c->set->evloop->set->memory_mb) == LW_BUFBOUND_FULL)
		lw_caller_reject(c, 503, "busy");
	if (!len)
		return false;
	http_parser_init(&c->parser, HTTP_REQUEST);
	err = lw_httphead_parse(&head, &c->parser, c->set->evloop->names, block);
	if (err || (!head.host.ptr && !c->ready_only)) {
		c->set->stats.malformed++;
		lw_caller_reject(c, 400, "malformed_request");
		return false;
	}
	c->parser.data = c;
	begin_request(c, &head);
	if (c->closed)
		return false;
	lw_bytebuf_consume(&c->in, len);
	if (c->x && c->state == CALLER_BODY) {
		c->starting = true;
		read_body(c);
		c->starting = false;
	}
	if (!c->closed && c->x)
		lw_exchange_send(c->x);
	return !c->closed;
}

/* lw_caller_process() - process the data read so far. */
void lw_caller_process(lw_caller_t *c)
{
	bool more = true;

	while (more && !c->closed && !c->closing) {
		switch (c->state) {
		case CALLER_HEAD:
			skip_empty_lines(c);
			more = lw_bytebuf_len(&c->in) && !lw_caller_answers_unread(c) &&
			       read_head(c);
			break;
		case CALLER_BODY:
			more = read_body(c);
			break;
		case CALLER_WAIT:
			more = c->answered;
			if (more)
				next_request(c);
			break;
		}
	}
	if (!c->closed)
		lw_caller_watch(c);
}

/*
 * lw_caller_readable() - read all data that has arrived before processing any of it, so that a
 * caller that sent a request and has disconnected since is noticed before its request starts.
 */
void lw_caller_readable(lw_caller_t *c)
{
	if (c->state == CALLER_HEAD && !lw_bytebuf_len(&c->in))
		c->since_us = c->set->evloop->now_us;
	while (!c->eof && lw_bytebuf_len(&c->in) < lw_caller_read_ahead(c)) {
		size_t most = lw_caller_read_ahead(c) - lw_bytebuf_len(&c->in);
		size_t want = most < READ_BYTES ? most : READ_BYTES;
		char *room = lw_bytebuf_reserve(&c->in, want);
		ssize_t n = recv(c->fd, room, want, 0);

		if (n > 0) {
			lw_bytebuf_commit(&c->in, (size_t)n);
			if ((size_t)n < want)
				break;
		} else if (n == 0) {
			c->eof = true;
		} else if (errno == EAGAIN || errno == EINTR) {
			break;
		} else {
			lw_caller_close(c);
			return;
		}
	}
	if (c->eof)
		lw_caller_close(c);
}

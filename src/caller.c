/* Connections of callers; see caller.h. */
#include "caller.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "linux/sock.h"
#include "xalloc.h"

/* read at once; a request of the usual size comes with one system call */
#define READ_BYTES 16384
/* a caller that sends ahead of its answers is not read beyond this */
#define AHEAD_MAX_BYTES 65536
/* limits before a configuration is known */
#define HEAD_DEFAULT_BYTES 16384
#define BODY_DEFAULT_BYTES (64u * 1024 * 1024)
#define HEAD_DEFAULT_MS	   3000
#define IDLE_DEFAULT_MS	   15000
/* descriptors left for peers, the backend server and files */
#define FDS_RESERVED 700

typedef enum {
	CALLER_HEAD, /* waits for or reads the head of a request */
	CALLER_BODY, /* reads its body */
	CALLER_WAIT, /* the request is complete, the answer is not */
} caller_state_t;

typedef struct lw_caller {
	lw_reply_t reply;
	struct lw_callers *set;
	int fd;
	ev_io io;
	caller_state_t state;
	lw_exchange_t *x; /* NULL before a request and once it has its answer */
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	http_parser parser;
	uint64_t since_us; /* of the state */
	uint64_t late_us; /* what is read now arrived so much earlier */
	uint64_t body_seen;
	uint32_t uncredited; /* answer bytes in out the exchange waits for */
	bool ready_only;
	bool eof;
	bool closing; /* close once out is empty */
	bool keep; /* the request allows another */
	bool is_head;
	bool chunked_answer;
	bool http10;
	bool answered; /* the answer to the request under way is complete */
	bool closed;
	bool body_done;
	bool starting; /* the exchange is being given its first bytes */
	struct lw_caller *prev;
	struct lw_caller *next;
} lw_caller_t;

typedef struct lw_listener {
	struct lw_callers *set;
	ev_io io;
	int fd;
	bool ready_only;
	struct lw_listener *next;
} lw_listener_t;

struct lw_callers {
	lw_engine_t *engine;
	lw_hub_t *hub;
	lw_caller_t *conns;
	lw_listener_t *listeners;
	uint32_t count;
	bool ready;
	lw_fleet_limits_t limits;
	lw_callers_stats_t stats;
	ev_check wake;
};

static void process(lw_caller_t *c);

static void watch(lw_caller_t *c)
{
	int events = 0;
	bool full = (c->state == CALLER_BODY && c->x && lw_exchange_full(c->x)) ||
		    lw_bytebuf_len(&c->in) >= AHEAD_MAX_BYTES;

	if (c->closed)
		return;
	if (!full && !c->eof)
		events |= EV_READ;
	if (lw_bytebuf_len(&c->out))
		events |= EV_WRITE;
	if (c->io.events == events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->set->hub->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	if (events)
		ev_io_start(c->set->hub->loop, &c->io);
}

static void caller_close(lw_caller_t *c)
{
	lw_exchange_t *x = c->x;

	if (c->closed)
		return;
	c->closed = true;
	c->x = NULL;
	ev_io_stop(c->set->hub->loop, &c->io);
	ev_clear_pending(c->set->hub->loop, &c->io);
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
	lw_hub_free_later(c->set->hub, c);
	if (x) {
		c->set->stats.left++;
		lw_exchange_cancel(x);
	}
}

static void caller_flush(lw_caller_t *c)
{
	while (!c->closed && lw_bytebuf_len(&c->out)) {
		ssize_t n = send(c->fd, lw_bytebuf_head(&c->out), lw_bytebuf_len(&c->out),
				 MSG_NOSIGNAL);

		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR) {
				caller_close(c);
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
			lw_exchange_taken(c->x, taken);
		if (c->closing) {
			caller_close(c);
			return;
		}
	}
	watch(c);
}

/* the answer is complete; go on when the request is, too */
static void answer_done(lw_caller_t *c)
{
	c->x = NULL;
	c->answered = true;
	if (!c->keep || c->set->hub->leaving)
		c->closing = c->body_done;
	caller_flush(c);
	if (!c->closed && c->body_done && !c->starting)
		ev_feed_event(c->set->hub->loop, &c->io, EV_CUSTOM);
}

static void end_head(lw_caller_t *c)
{
	if (!c->keep || c->set->hub->leaving) {
		c->keep = false;
		lw_bytebuf_append_c(&c->out, "Connection: close\r\n");
	}
	lw_bytebuf_append_c(&c->out, "\r\n");
}

static void put_chunk(lw_caller_t *c, lw_str_t data, bool fin)
{
	if (!c->chunked_answer) {
		lw_bytebuf_append_str(&c->out, data);
		return;
	}
	if (data.len) {
		lw_bytebuf_printf(&c->out, "%zx\r\n", data.len);
		lw_bytebuf_append_str(&c->out, data);
		lw_bytebuf_append_c(&c->out, "\r\n");
	}
	if (fin)
		lw_bytebuf_append_c(&c->out, "0\r\n\r\n");
}

static void reply_answer(lw_reply_t *r, const lw_answer_t *a, lw_str_t body, bool fin)
{
	lw_caller_t *c = (lw_caller_t *)r;
	bool bodiless = a->status == 204 || a->status == 304;

	if (c->closed)
		return;
	lw_bytebuf_append_str(&c->out, a->head);
	c->chunked_answer = a->body_length < 0 && !c->http10;
	if (a->body_length < 0 && c->http10)
		c->keep = false;
	else if (!bodiless)
		lw_httphead_framing(&c->out, a->body_length, c->is_head);
	end_head(c);
	put_chunk(c, body, fin);
	c->uncredited += (uint32_t)body.len;
	if (fin)
		answer_done(c);
	else
		caller_flush(c);
}

static void reply_data(lw_reply_t *r, lw_str_t data, bool fin)
{
	lw_caller_t *c = (lw_caller_t *)r;

	if (c->closed)
		return;
	put_chunk(c, data, fin);
	c->uncredited += (uint32_t)data.len;
	if (fin)
		answer_done(c);
	else
		caller_flush(c);
}

static const char *reason_phrase(uint32_t status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Error";
	}
}

static void put_own(lw_caller_t *c, uint32_t status, const char *why, uint32_t retry_after_ms)
{
	lw_bytebuf_printf(&c->out, "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n", status,
			  reason_phrase(status));
	lw_httphead_framing(&c->out, (int64_t)strlen(why) + 1, false);
	if (retry_after_ms)
		lw_bytebuf_printf(&c->out, "Retry-After: %u.%03u\r\n", retry_after_ms / 1000,
				  retry_after_ms % 1000);
	end_head(c);
	if (!c->is_head)
		lw_bytebuf_printf(&c->out, "%s\n", why);
}

static void reply_own(lw_reply_t *r, uint32_t status, const char *why, uint32_t retry_after_ms)
{
	lw_caller_t *c = (lw_caller_t *)r;

	if (c->closed)
		return;
	put_own(c, status, why, retry_after_ms);
	answer_done(c);
}

/* a cut answer must look cut: close without the rest */
static void reply_cut(lw_reply_t *r)
{
	lw_caller_t *c = (lw_caller_t *)r;

	c->x = NULL;
	if (!c->closed)
		caller_close(c);
}

static void reply_resume(lw_reply_t *r)
{
	lw_caller_t *c = (lw_caller_t *)r;

	if (!c->closed)
		ev_feed_event(c->set->hub->loop, &c->io, EV_CUSTOM);
}

static const lw_reply_ops_t reply_ops = {
	.answer = reply_answer,
	.data = reply_data,
	.own = reply_own,
	.cut = reply_cut,
	.resume = reply_resume,
};

/* a request that cannot be taken: answer and close */
static void reject(lw_caller_t *c, uint32_t status, const char *why)
{
	c->keep = false;
	c->body_done = true;
	put_own(c, status, why, 0);
	c->closing = true;
	caller_flush(c);
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	lw_caller_t *c = p->data;

	c->body_seen += len;
	if (c->x)
		lw_exchange_body(c->x, (lw_str_t){ at, len }, false);
	if (c->closed)
		return 1;
	if (c->x && lw_exchange_full(c->x))
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
	c->since_us = c->set->hub->now_us;
	c->answered = false;
	if (c->closing || !c->keep) {
		c->closing = true;
		caller_flush(c);
	}
}

/* the request is complete: tell the exchange, wait for its answer */
static void body_complete(lw_caller_t *c)
{
	c->state = CALLER_WAIT;
	if (c->x)
		lw_exchange_body(c->x, (lw_str_t){ NULL, 0 }, true);
	if (!c->closed && c->answered)
		next_request(c);
}

/* false: more bytes are needed or the connection is done */
static bool read_body(lw_caller_t *c)
{
	size_t len = lw_bytebuf_len(&c->in);
	size_t used;
	enum http_errno err;

	if (!len || (c->x && lw_exchange_full(c->x)))
		return false;
	http_parser_pause(&c->parser, 0);
	used = http_parser_execute(&c->parser, &body_settings, lw_bytebuf_head(&c->in), len);
	if (c->closed)
		return false;
	err = HTTP_PARSER_ERRNO(&c->parser);
	if (err != HPE_OK && err != HPE_PAUSED) {
		c->set->stats.malformed++;
		caller_close(c);
		return false;
	}
	lw_bytebuf_consume(&c->in, used);
	if (c->body_seen > c->set->limits.max_body_bytes) {
		c->set->stats.too_large++;
		if (c->x)
			lw_exchange_cancel(c->x);
		c->x = NULL;
		if (c->answered)
			caller_close(c);
		else
			reject(c, 413, "body_too_large");
		return false;
	}
	if (c->body_done)
		body_complete(c);
	return !c->closed;
}

static void serve_ready(lw_caller_t *c, const lw_httphead_t *h)
{
	bool asked = lw_str_eq_c(h->target, c->set->hub->names->ready_path);
	bool ready = c->set->ready && !c->set->hub->leaving;

	c->body_done = true;
	if (!asked)
		put_own(c, 404, "unknown_path", 0);
	else
		put_own(c, ready ? 200 : 503, ready ? "ready" : "not_ready", 0);
	answer_done(c);
}

static void begin_request(lw_caller_t *c, const lw_httphead_t *h)
{
	lw_exchange_ask_t ask = {
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
	c->since_us = c->set->hub->now_us;
	c->state = c->body_done ? CALLER_WAIT : CALLER_BODY;
	if (c->ready_only) {
		serve_ready(c, h);
		return;
	}
	if (h->body_length > 0 && (uint64_t)h->body_length > c->set->limits.max_body_bytes) {
		c->set->stats.too_large++;
		reject(c, 413, "body_too_large");
		return;
	}
	if (h->expect_continue)
		lw_bytebuf_append_c(&c->out, "HTTP/1.1 100 Continue\r\n\r\n");
	c->starting = true;
	c->x = lw_exchange_start(c->set->engine, &c->reply, &ask);
	c->starting = false;
}

/* false: the head is not complete or the connection is done */
static bool read_head(lw_caller_t *c)
{
	static lw_httphead_t head;
	size_t have = lw_bytebuf_len(&c->in);
	size_t len = lw_httphead_end(lw_bytebuf_head(&c->in), have);
	lw_str_t block = { lw_bytebuf_head(&c->in), len };
	lw_httphead_error_t err;

	if ((len ? len : have) > c->set->limits.max_header_bytes) {
		c->set->stats.too_large++;
		reject(c, 431, "head_too_large");
		return false;
	}
	if (!len)
		return false;
	http_parser_init(&c->parser, HTTP_REQUEST);
	err = lw_httphead_parse(&head, &c->parser, c->set->hub->names, block);
	if (err || (!head.host.ptr && !c->ready_only)) {
		c->set->stats.malformed++;
		reject(c, err == LW_HTTPHEAD_TOO_LARGE ? 431 : 400, "malformed_request");
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

static void read_limits(lw_callers_t *cs)
{
	if (cs->engine->conf)
		cs->limits = cs->engine->conf->limits;
}

/* act on what has been read */
static void process(lw_caller_t *c)
{
	bool more = true;

	while (more && !c->closed && !c->closing) {
		switch (c->state) {
		case CALLER_HEAD:
			more = lw_bytebuf_len(&c->in) && read_head(c);
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
		watch(c);
}

/*
 * All that has arrived is read before it is acted on: a caller that sent a
 * request and left meanwhile is noticed before its request starts.
 */
static void on_readable(lw_caller_t *c)
{
	if (c->state == CALLER_HEAD && !lw_bytebuf_len(&c->in))
		c->since_us = c->set->hub->now_us;
	while (!c->eof && lw_bytebuf_len(&c->in) < AHEAD_MAX_BYTES) {
		char *room = lw_bytebuf_reserve(&c->in, READ_BYTES);
		ssize_t n = recv(c->fd, room, READ_BYTES, 0);

		if (n > 0) {
			lw_bytebuf_commit(&c->in, (size_t)n);
			if (n < READ_BYTES)
				break;
		} else if (n == 0) {
			c->eof = true;
		} else if (errno == EAGAIN || errno == EINTR) {
			break;
		} else {
			caller_close(c);
			return;
		}
	}
	if (c->eof)
		caller_close(c);
}

static void on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_caller_t *c = w->data;

	(void)loop;
	if (revents & EV_READ)
		on_readable(c);
	if (!c->closed && (revents & EV_WRITE))
		caller_flush(c);
	if (!c->closed)
		process(c);
	c->late_us = 0;
}

static void caller_new(lw_listener_t *l, int fd)
{
	lw_callers_t *cs = l->set;
	lw_caller_t *c = xcalloc(1, sizeof(*c));

	c->reply.ops = &reply_ops;
	c->set = cs;
	c->fd = fd;
	c->ready_only = l->ready_only;
	c->since_us = cs->hub->now_us;
	ev_io_init(&c->io, on_io, fd, 0);
	c->io.data = c;
	c->next = cs->conns;
	if (cs->conns)
		cs->conns->prev = c;
	cs->conns = c;
	cs->count++;
	cs->stats.accepted++;
	watch(c);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	lw_listener_t *l = w->data;
	int fd;

	(void)loop;
	(void)revents;
	while (l->set->count + FDS_RESERVED < l->set->hub->set->max_fds || l->ready_only) {
		fd = lw_sock_accept(l->fd);
		if (fd < 0)
			return;
		caller_new(l, fd);
	}
	/* as many connections as there are descriptors: the rest wait */
	ev_io_stop(l->set->hub->loop, &l->io);
}

static void check_timeouts(lw_callers_t *cs, lw_caller_t *c, uint64_t now)
{
	uint64_t quiet_ms = (now - c->since_us) / 1000;

	if (c->state == CALLER_HEAD && lw_bytebuf_len(&c->in)) {
		if (quiet_ms > cs->limits.header_timeout_ms) {
			cs->stats.head_timeouts++;
			reject(c, 408, "head_timeout");
		}
	} else if (c->state == CALLER_HEAD && !c->closing) {
		if (quiet_ms > cs->limits.idle_timeout_ms) {
			cs->stats.idle_closed++;
			caller_close(c);
		}
	}
}

static void on_tick(void *ctx)
{
	lw_callers_t *cs = ctx;
	uint64_t now = cs->hub->now_us;
	lw_caller_t *next;

	read_limits(cs);
	for (lw_caller_t *c = cs->conns; c; c = next) {
		next = c->next;
		check_timeouts(cs, c, now);
	}
	for (lw_listener_t *l = cs->listeners; l; l = l->next)
		if (l->fd >= 0 && !ev_is_active(&l->io) &&
		    cs->count + FDS_RESERVED < cs->hub->set->max_fds)
			ev_io_start(cs->hub->loop, &l->io);
}

/* the host was suspended: what lies unread is old by that time */
static void on_wake(struct ev_loop *loop, ev_check *w, int revents)
{
	lw_callers_t *cs = w->data;

	(void)loop;
	(void)revents;
	if (!cs->hub->slept_us)
		return;
	for (lw_caller_t *c = cs->conns; c; c = c->next)
		c->late_us = cs->hub->slept_us;
}

/* lw_callers_set_ready() - what the platform hears when it asks. */
void lw_callers_set_ready(lw_callers_t *cs, bool ready)
{
	cs->ready = ready;
}

/* lw_callers_close_idle() - close connections that carry no request now. */
void lw_callers_close_idle(lw_callers_t *cs)
{
	lw_caller_t *next;

	for (lw_caller_t *c = cs->conns; c; c = next) {
		next = c->next;
		if (c->state == CALLER_HEAD && !lw_bytebuf_len(&c->in) && !c->ready_only &&
		    !lw_bytebuf_len(&c->out))
			caller_close(c);
	}
}

/* lw_callers_close_listeners() - no new connections of callers from now on. */
void lw_callers_close_listeners(lw_callers_t *cs)
{
	for (lw_listener_t *l = cs->listeners; l; l = l->next) {
		if (l->ready_only || l->fd < 0)
			continue;
		ev_io_stop(cs->hub->loop, &l->io);
		close(l->fd);
		l->fd = -1;
	}
}

/* lw_callers_count() - open connections. */
uint32_t lw_callers_count(const lw_callers_t *cs)
{
	return cs->count;
}

/* lw_callers_stats() - counts since the start. */
const lw_callers_stats_t *lw_callers_stats(const lw_callers_t *cs)
{
	return &cs->stats;
}

/*
 * lw_callers_listen() - accept connections at "ip:port". @ready_only: only
 * the platform's question whether this node is ready is answered there.
 */
lw_status_t lw_callers_listen(lw_callers_t *cs, const char *addr, bool ready_only)
{
	lw_listener_t *l = xcalloc(1, sizeof(*l));
	lw_status_t st = lw_sock_listen(addr, &l->fd);

	if (st)
		return st;
	lw_sock_nonblock(l->fd);
	l->set = cs;
	l->ready_only = ready_only;
	l->next = cs->listeners;
	cs->listeners = l;
	ev_io_init(&l->io, on_accept, l->fd, EV_READ);
	l->io.data = l;
	ev_io_start(cs->hub->loop, &l->io);
	return LW_OK;
}

/* lw_callers_new() - no connections yet. */
lw_callers_t *lw_callers_new(lw_engine_t *engine)
{
	lw_callers_t *cs = xcalloc(1, sizeof(*cs));

	cs->engine = engine;
	cs->hub = engine->hub;
	cs->limits = (lw_fleet_limits_t){ HEAD_DEFAULT_BYTES, BODY_DEFAULT_BYTES, HEAD_DEFAULT_MS,
					  IDLE_DEFAULT_MS };
	ev_check_init(&cs->wake, on_wake);
	cs->wake.data = cs;
	ev_check_start(cs->hub->loop, &cs->wake);
	lw_hub_on_tick(cs->hub, on_tick, cs);
	return cs;
}

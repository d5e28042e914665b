/* HTTP client based on neon; see httpc.h. */
#include "httpc.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_utils.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "linux/clock.h"
#include "settings.h"
#include "xalloc.h"

#define COMMAND_TIMEOUT_MS 3000

struct lw_httpc {
	ne_session *sess;
	int read_timeout_s;
	const char *captured_name; /* header to copy from each answer; may be NULL */
	size_t body_max; /* longest body that is accepted, in bytes; 0: no limit */
	uint64_t body_due_ms; /* when the body has to be complete; 0: not begun */
	lw_http_reply_t *reply; /* of the call in progress */
};

static pthread_once_t neon_once = PTHREAD_ONCE_INIT;

static void neon_init(void)
{
	ne_sock_init();
}

/* lw_httpc_new() - create a client of the server at "ip:port" @addr; NULL if @addr is malformed. */
lw_httpc_t *lw_httpc_new(const char *addr)
{
	char host[LW_NAME_MAX];
	int port;
	lw_httpc_t *c;

	pthread_once(&neon_once, neon_init);
	if (lw_addr_split(addr, host, sizeof(host), &port))
		return NULL;
	c = xcalloc(1, sizeof(*c));
	c->sess = ne_session_create("http", host, (unsigned)port);
	ne_set_connect_timeout(c->sess, 1);
	c->read_timeout_s = 0;
	return c;
}

/* lw_httpc_free() - close the connection; @c may be NULL. */
void lw_httpc_free(lw_httpc_t *c)
{
	if (!c)
		return;
	ne_session_destroy(c->sess);
	free(c);
}

/*
 * A faulty server may send a body that never ends, or parts of it so that no read times out. The
 * reader would keep all of it, or never return.
 */
static bool body_too_long(lw_httpc_t *c, size_t len)
{
	if (!c->body_max)
		return false;
	if (!c->body_due_ms)
		c->body_due_ms = lw_now_ms() + (uint64_t)c->read_timeout_s * 1000;
	return c->reply->len + len > c->body_max || lw_now_ms() > c->body_due_ms;
}

static int body_reader(void *ud, const char *buf, size_t len)
{
	lw_httpc_t *c = ud;
	lw_http_reply_t *r = c->reply;

	if (body_too_long(c, len)) {
		ne_set_error(c->sess, "the body of the answer does not end");
		return 1;
	}
	r->body = xrealloc(r->body, r->len + len + 1);
	memcpy(r->body + r->len, buf, len);
	r->len += len;
	r->body[r->len] = '\0';
	return 0;
}

static void copy_hdr(ne_request *req, const char *name, char *dst, size_t len)
{
	const char *v = ne_get_response_header(req, name);

	snprintf(dst, len, "%s", v ? v : "");
}

static unsigned hdr_uint(ne_request *req, const char *name)
{
	const char *v = ne_get_response_header(req, name);

	return v ? (unsigned)strtoul(v, NULL, 10) : 0;
}

/*
 * lw_httpc_capture_header() - copy the value of the header named @header from each answer from now
 * on. The string @header itself is not copied and must stay valid.
 */
void lw_httpc_capture_header(lw_httpc_t *c, const char *header)
{
	c->captured_name = header;
}

/*
 * lw_httpc_bound_bodies() - from now on a call fails if the body of its answer has more than
 * @max_bytes bytes, or is not complete within the timeout of the call after its first byte.
 */
void lw_httpc_bound_bodies(lw_httpc_t *c, size_t max_bytes)
{
	c->body_max = max_bytes;
}

/*
 * lw_httpc_call() - send one request and read the complete answer into @out.
 * @timeout_ms: how long to wait for the answer. neon counts whole seconds, so the value is rounded
 * up; the server receives the exact deadline in a header.
 * @idempotent: false prevents neon from resending the request when a keep-alive connection was
 * dropped, which could execute a registration twice.
 * On failure @out->fail says whether the server can have received the request.
 */
void lw_httpc_call(lw_httpc_t *c, const char *method, const char *path, const lw_http_hdr_t *hdrs,
		   size_t nhdr, lw_str_t body, int timeout_ms, bool idempotent,
		   lw_http_reply_t *out)
{
	int secs = timeout_ms <= 0 ? 1 : (timeout_ms + 999) / 1000;
	ne_request *req;
	int rc;

	memset(out, 0, sizeof(*out));
	c->reply = out;
	c->body_due_ms = 0;
	if (secs != c->read_timeout_s) {
		ne_set_read_timeout(c->sess, secs);
		c->read_timeout_s = secs;
	}
	req = ne_request_create(c->sess, method, path);
	ne_set_request_flag(req, NE_REQFLAG_IDEMPOTENT, idempotent);
	for (size_t i = 0; i < nhdr; i++)
		ne_add_request_header(req, hdrs[i].name, hdrs[i].value);
	if (body.len)
		ne_set_request_body_buffer(req, body.ptr, body.len);
	ne_add_response_body_reader(req, ne_accept_always, body_reader, c);
	rc = ne_request_dispatch(req);
	if (rc == NE_OK) {
		out->status = ne_get_status(req)->code;
		copy_hdr(req, "X-LW-Outcome", out->outcome, sizeof(out->outcome));
		copy_hdr(req, "X-LW-Reason", out->reason, sizeof(out->reason));
		copy_hdr(req, "X-LW-Index", out->index, sizeof(out->index));
		if (c->captured_name)
			copy_hdr(req, c->captured_name, out->captured, sizeof(out->captured));
		out->retry_after_ms = hdr_uint(req, "X-LW-Retry-After-Ms");
		out->retries_used = hdr_uint(req, "X-LW-Retries-Used");
		out->no_retry = hdr_uint(req, "X-LW-No-Retry") != 0;
	} else if (rc == NE_CONNECT || rc == NE_LOOKUP) {
		out->fail = LW_HTTPC_CONNECT;
	} else if (rc == NE_TIMEOUT) {
		out->fail = LW_HTTPC_TIMEOUT;
	} else {
		out->fail = LW_HTTPC_BROKEN;
	}
	if (out->fail)
		snprintf(out->error, sizeof(out->error), "%s", ne_get_error(c->sess));
	ne_request_destroy(req);
	if (out->fail)
		ne_close_connection(c->sess);
}

/*
 * lw_httpc_command() - send one request for the command-line client @prog and print the body of
 * the answer. Returns the exit status: 0 on success, 1 if the server is unreachable or rejects the
 * request, 2 if @addr is malformed.
 */
int lw_httpc_command(const char *prog, const char *addr, const char *method, const char *path,
		     lw_str_t body)
{
	lw_httpc_t *c = lw_httpc_new(addr);
	lw_http_reply_t r;

	if (!c) {
		fprintf(stderr, "%s: '%s' is not ip:port; write e.g. 127.0.0.1:7102\n", prog, addr);
		return 2;
	}
	lw_httpc_call(c, method, path, NULL, 0, body, COMMAND_TIMEOUT_MS, true, &r);
	lw_httpc_free(c);
	if (r.fail) {
		fprintf(stderr, "%s: no answer from %s; is it running there?\n", prog, addr);
		return 1;
	}
	fwrite(r.body ? r.body : "", 1, r.len, stdout);
	free(r.body);
	return r.status < 300 ? 0 : 1;
}

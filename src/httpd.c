/* HTTP server based on libmicrohttpd; see httpd.h. */
#include "httpd.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "endconn.h"
#include "linux/clock.h"
#include "linux/sock.h"
#include "xalloc.h"

#define HTTPD_BODY_MAX	(2 * 1024 * 1024)
#define HTTPD_CONNS_MAX 4096 /* one thread and about 12 KB each (CAPACITY.md) */

typedef struct conn {
	int fd;
	bool busy; /* a request has started and is not answered completely */
	bool ended; /* the last answer was sent: no request is taken any more */
	struct conn *prev, *next;
} conn_t;

struct lw_httpd {
	struct MHD_Daemon *d;
	lw_http_handler_fn fn;
	void *ctx;
	int fd;
	int active; /* requests that have started and are not answered completely */
	uint64_t last_ms; /* when the last request started */
	pthread_mutex_t lock; /* of the rest and of the connections */
	conn_t *conns;
	bool ending;
	lw_str_t last; /* answer to what arrives after the end */
};

typedef struct upload {
	char *buf;
	size_t len;
	bool too_big;
	bool refused; /* arrived after the last answer of its connection */
} upload_t;

static conn_t *conn_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info->socket_context;
}

static void end_conn(lw_httpd_t *h, conn_t *c)
{
	lw_endconn_send(c->fd, h->last);
	c->ended = true;
}

static void open_conn(lw_httpd_t *h, struct MHD_Connection *conn, void **ctx)
{
	conn_t *c = xcalloc(1, sizeof(*c));

	c->fd = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	pthread_mutex_lock(&h->lock);
	DL_APPEND(h->conns, c);
	if (h->ending)
		end_conn(h, c);
	pthread_mutex_unlock(&h->lock);
	*ctx = c;
}

static void close_conn(lw_httpd_t *h, void **ctx)
{
	conn_t *c = *ctx;

	pthread_mutex_lock(&h->lock);
	DL_DELETE(h->conns, c);
	pthread_mutex_unlock(&h->lock);
	free(c);
	*ctx = NULL;
}

static void on_conn(void *cls, struct MHD_Connection *conn, void **ctx,
		    enum MHD_ConnectionNotificationCode what)
{
	if (what == MHD_CONNECTION_NOTIFY_STARTED)
		open_conn(cls, conn, ctx);
	else if (*ctx)
		close_conn(cls, ctx);
}

/* a request starts on @conn; false if the connection has had its last answer */
static bool begin_request(lw_httpd_t *h, struct MHD_Connection *conn)
{
	conn_t *c = conn_of(conn);
	bool taken;

	pthread_mutex_lock(&h->lock);
	taken = !c->ended;
	c->busy = taken;
	if (taken)
		__atomic_add_fetch(&h->active, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&h->lock);
	__atomic_store_n(&h->last_ms, lw_now_ms(), __ATOMIC_RELAXED);
	return taken;
}

static void end_request(lw_httpd_t *h, struct MHD_Connection *conn)
{
	conn_t *c = conn_of(conn);

	pthread_mutex_lock(&h->lock);
	c->busy = false;
	if (h->ending)
		end_conn(h, c);
	__atomic_sub_fetch(&h->active, 1, __ATOMIC_ACQ_REL);
	pthread_mutex_unlock(&h->lock);
}

static enum MHD_Result send_resp(struct MHD_Connection *conn, lw_http_resp_t *r)
{
	struct MHD_Response *mr = MHD_create_response_from_buffer(r->len, r->body ? r->body : "",
								  r->body ? MHD_RESPMEM_MUST_FREE :
									    MHD_RESPMEM_PERSISTENT);
	enum MHD_Result ok;

	MHD_add_response_header(mr, "Content-Type", r->ctype ? r->ctype : "text/plain");
	for (int i = 0; i < r->nhdr; i++)
		MHD_add_response_header(mr, r->hdr[i][0], r->hdr[i][1]);
	ok = MHD_queue_response(conn, (unsigned)r->status, mr);
	MHD_destroy_response(mr);
	return ok;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *data_size, void **con_cls)
{
	lw_httpd_t *h = cls;
	upload_t *up = *con_cls;
	lw_http_req_t req;
	lw_http_resp_t resp;

	(void)version;
	if (!up) {
		up = xcalloc(1, sizeof(*up));
		up->refused = !begin_request(h, conn);
		*con_cls = up;
		return MHD_YES;
	}
	if (*data_size) {
		if (up->len + *data_size > HTTPD_BODY_MAX) {
			up->too_big = true;
		} else {
			up->buf = xrealloc(up->buf, up->len + *data_size);
			memcpy(up->buf + up->len, data, *data_size);
			up->len += *data_size;
		}
		*data_size = 0;
		return MHD_YES;
	}
	if (up->refused)
		return MHD_NO;
	memset(&resp, 0, sizeof(resp));
	if (up->too_big) {
		lw_http_replyf(&resp, 413, "body over 2 MiB; send a smaller body\n");
	} else {
		req = (lw_http_req_t){ method, url, { up->buf, up->len }, conn };
		h->fn(h->ctx, &req, &resp);
	}
	return resp.drop ? MHD_NO : send_resp(conn, &resp);
}

static void on_done(void *cls, struct MHD_Connection *conn, void **con_cls,
		    enum MHD_RequestTerminationCode toe)
{
	upload_t *up = *con_cls;

	(void)toe;
	if (up) {
		if (!up->refused)
			end_request(cls, conn);
		free(up->buf);
		free(up);
	}
	*con_cls = NULL;
}

/*
 * lw_httpd_start() - serve HTTP on "ip:port" @addr and call @fn for each complete request. Returns
 * LW_ERR_IO if the address cannot be bound.
 */
lw_status_t lw_httpd_start(const char *addr, lw_http_handler_fn fn, void *ctx, lw_httpd_t **out)
{
	lw_httpd_t *h = xcalloc(1, sizeof(*h));
	lw_status_t st = lw_sock_listen(addr, &h->fd);

	if (st) {
		free(h);
		return st;
	}
	h->fn = fn;
	h->ctx = ctx;
	pthread_mutex_init(&h->lock, NULL);
	/* poll, not select: select resets every connection whose fd is over 1023 */
	h->d = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
					MHD_USE_POLL | MHD_USE_ITC,
				0, NULL, NULL, on_access, h, MHD_OPTION_LISTEN_SOCKET, h->fd,
				MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTPD_CONNS_MAX,
				MHD_OPTION_NOTIFY_COMPLETED, on_done, h,
				MHD_OPTION_NOTIFY_CONNECTION, on_conn, h,
				MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)60, MHD_OPTION_END);
	if (!h->d) {
		close(h->fd);
		free(h);
		return lw_error(LW_ERR_IO, "HTTP server on %s did not start; check the address",
				addr);
	}
	*out = h;
	return LW_OK;
}

static void end_waiting(void *ctx, int fd)
{
	const lw_httpd_t *h = ctx;

	lw_endconn_send(fd, h->last);
}

/*
 * lw_httpd_end() - ends every connection with the answer @last, a whole HTTP answer that stays
 * valid: idle ones and those that wait to be accepted at once, the others after the answer in
 * progress. No request is taken from now on, and new connections are refused.
 */
void lw_httpd_end(lw_httpd_t *h, lw_str_t last)
{
	conn_t *c;

	MHD_quiesce_daemon(h->d);
	pthread_mutex_lock(&h->lock);
	h->last = last;
	h->ending = true;
	DL_FOREACH(h->conns, c)
	{
		if (!c->busy)
			end_conn(h, c);
	}
	pthread_mutex_unlock(&h->lock);
	lw_endconn_listener(h->fd, end_waiting, h);
}

/* lw_httpd_stop() - stop serving, after handlers in progress have finished; @h may be NULL. */
void lw_httpd_stop(lw_httpd_t *h)
{
	if (!h)
		return;
	MHD_stop_daemon(h->d);
	close(h->fd);
	free(h);
}

/* lw_httpd_active() - number of requests that have started and are not answered completely. */
int lw_httpd_active(const lw_httpd_t *h)
{
	return __atomic_load_n(&h->active, __ATOMIC_ACQUIRE);
}

/* lw_httpd_last_ms() - monotonic time at which the last request started. */
uint64_t lw_httpd_last_ms(const lw_httpd_t *h)
{
	return __atomic_load_n(&h->last_ms, __ATOMIC_RELAXED);
}

/* lw_http_header() - value of the request header @name, or NULL. */
const char *lw_http_header(const lw_http_req_t *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

/* lw_http_arg() - value of the query argument @name, or NULL. */
const char *lw_http_arg(const lw_http_req_t *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND, name);
}

/* lw_http_set_header() - add a response header; only the first 8 are kept. */
void lw_http_set_header(lw_http_resp_t *resp, const char *name, const char *fmt, ...)
{
	va_list ap;

	if (resp->nhdr == LW_HTTP_HDRS_MAX)
		return;
	snprintf(resp->hdr[resp->nhdr][0], 64, "%s", name);
	va_start(ap, fmt);
	vsnprintf(resp->hdr[resp->nhdr][1], 64, fmt, ap);
	va_end(ap);
	resp->nhdr++;
}

/* lw_http_reply() - set the status and a copy of @body. */
void lw_http_reply(lw_http_resp_t *resp, int status, const char *body, size_t len)
{
	resp->status = status;
	free(resp->body);
	resp->body = xstrndup(body ? body : "", len);
	resp->len = len;
}

/* lw_http_replyf() - set the status and a formatted body. */
void lw_http_replyf(lw_http_resp_t *resp, int status, const char *fmt, ...)
{
	va_list ap;
	char *s = NULL;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&s, fmt, ap);
	va_end(ap);
	if (n < 0) {
		lw_http_reply(resp, status, "", 0);
		return;
	}
	resp->status = status;
	free(resp->body);
	resp->body = s;
	resp->len = (size_t)n;
}

/* HTTP server based on libmicrohttpd; see httpd.h. */
#include "httpd.h"

#include <microhttpd.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "linux/clock.h"
#include "linux/sock.h"
#include "xalloc.h"

#define HTTPD_BODY_MAX	(2 * 1024 * 1024)
#define HTTPD_CONNS_MAX 4096 /* one thread and about 12 KB each (CAPACITY.md) */

struct lw_httpd {
	struct MHD_Daemon *d;
	lw_http_handler_fn fn;
	void *ctx;
	int fd;
	int active; /* requests that have started and are not answered completely */
	uint64_t last_ms; /* when the last request started */
};

typedef struct upload {
	char *buf;
	size_t len;
	bool too_big;
} upload_t;

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
		*con_cls = xcalloc(1, sizeof(upload_t));
		__atomic_add_fetch(&h->active, 1, __ATOMIC_ACQ_REL);
		__atomic_store_n(&h->last_ms, lw_now_ms(), __ATOMIC_RELAXED);
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

	lw_httpd_t *h = cls;

	(void)conn;
	(void)toe;
	if (up) {
		__atomic_sub_fetch(&h->active, 1, __ATOMIC_ACQ_REL);
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
	/* poll, not select: select resets every connection whose fd is over 1023 */
	h->d = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0,
		NULL, NULL, on_access, h, MHD_OPTION_LISTEN_SOCKET, h->fd,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTPD_CONNS_MAX, MHD_OPTION_NOTIFY_COMPLETED,
		on_done, h, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)60, MHD_OPTION_END);
	if (!h->d) {
		close(h->fd);
		free(h);
		return lw_error(LW_ERR_IO, "HTTP server on %s did not start; check the address",
				addr);
	}
	*out = h;
	return LW_OK;
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

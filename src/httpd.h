/*
 * Small HTTP/1.1 server based on libmicrohttpd, with one thread per connection, so that handlers
 * may block while they forward requests.
 */
#ifndef LW_HTTPD_H
#define LW_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"
#include "status.h"

#define LW_HTTP_HDRS_MAX 8

typedef struct lw_http_req {
	const char *method;
	const char *url;
	lw_str_t body;
	void *conn; /* struct MHD_Connection */
} lw_http_req_t;

typedef struct lw_http_resp {
	int status;
	char *body; /* allocated; owned by the response */
	size_t len;
	const char *ctype;
	char hdr[LW_HTTP_HDRS_MAX][2][64];
	int nhdr;
	bool drop; /* close the connection without an answer (used by the stub servers) */
} lw_http_resp_t;

typedef void (*lw_http_handler_fn)(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp);

typedef struct lw_httpd lw_httpd_t;

lw_status_t lw_httpd_start(const char *addr, lw_http_handler_fn fn, void *ctx, lw_httpd_t **out);
void lw_httpd_end(lw_httpd_t *h, lw_str_t last);
void lw_httpd_stop(lw_httpd_t *h);
int lw_httpd_active(const lw_httpd_t *h);
uint64_t lw_httpd_last_ms(const lw_httpd_t *h);
const char *lw_http_header(const lw_http_req_t *req, const char *name);
const char *lw_http_arg(const lw_http_req_t *req, const char *name);
void lw_http_set_header(lw_http_resp_t *resp, const char *name, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void lw_http_reply(lw_http_resp_t *resp, int status, const char *body, size_t len);
void lw_http_replyf(lw_http_resp_t *resp, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif

/*
 * HTTP/1.1 client based on neon. Each lw_httpc_t is one persistent connection to one server and
 * must be used by one thread at a time.
 */
#ifndef LW_HTTPC_H
#define LW_HTTPC_H

#include <stdbool.h>
#include <stddef.h>

#include "lwstr.h"
#include "status.h"

typedef struct lw_httpc lw_httpc_t;

typedef enum lw_httpc_fail {
	LW_HTTPC_OK = 0,
	LW_HTTPC_CONNECT, /* not connected: the server cannot have received the request */
	LW_HTTPC_TIMEOUT, /* sent, no answer in time */
	LW_HTTPC_BROKEN, /* failed after sending began */
} lw_httpc_fail_t;

typedef struct lw_http_reply {
	lw_httpc_fail_t fail;
	int status;
	char *body; /* allocated; the caller frees it */
	size_t len;
	char outcome[16];
	char reason[24];
	char index[24];
	char error[96]; /* on failure: where the exchange stopped, in neon's words */
	char captured[24]; /* value of the header named with lw_httpc_capture_header() */
	unsigned retry_after_ms;
	unsigned retries_used;
	bool no_retry;
} lw_http_reply_t;

typedef struct lw_http_hdr {
	const char *name;
	char value[160];
} lw_http_hdr_t;

lw_httpc_t *lw_httpc_new(const char *addr);
void lw_httpc_free(lw_httpc_t *c);
void lw_httpc_capture_header(lw_httpc_t *c, const char *header);
void lw_httpc_bound_bodies(lw_httpc_t *c, size_t max_bytes);
void lw_httpc_call(lw_httpc_t *c, const char *method, const char *path, const lw_http_hdr_t *hdrs,
		   size_t nhdr, lw_str_t body, int timeout_ms, bool idempotent,
		   lw_http_reply_t *out);
int lw_httpc_command(const char *prog, const char *addr, const char *method, const char *path,
		     lw_str_t body);

#endif

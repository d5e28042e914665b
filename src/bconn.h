/*
 * One HTTP/1.1 connection to the backend server on this host. It carries one
 * request at a time and tells its user, through a vtable, what came of it.
 */
#ifndef LW_BCONN_H
#define LW_BCONN_H

#include <ev.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

#include "bytebuf.h"
#include "httphead.h"
#include "evloop.h"

typedef struct lw_bconn lw_bconn_t;

typedef struct lw_bconn_ops {
	/* @bytes more of what was queued were given to the kernel */
	void (*written)(void *user, size_t bytes);
	/* the head of the answer; false: the answer is not for this request */
	bool (*head)(void *user, const lw_httphead_t *h);
	void (*body)(void *user, lw_str_t data);
	/* the answer is complete; @reusable: the connection can take another */
	void (*done)(void *user, bool reusable);
	/* the connection ended first; @sent: the server may have the request */
	void (*broken)(void *user, bool sent);
} lw_bconn_ops_t;

struct lw_bconn {
	const lw_bconn_ops_t *ops;
	void *user; /* NULL while idle */
	lw_evloop_t *evloop;
	int fd;
	ev_io io;
	bool connecting;
	bool established; /* the server took the connection */
	bool failed; /* reported at the next turn of the loop */
	bool closed;
	bool paused; /* the answer is not read on */
	bool in_body; /* the head of the answer is through */
	bool completed; /* the parser saw the end of the answer */
	bool keep; /* the server keeps the connection open */
	bool sent; /* bytes of this request reached the kernel */
	bool long_body; /* of the request: the server may pause in it */
	bool is_head; /* the answer to a HEAD request has no body */
	uint32_t requests; /* carried so far */
	uint32_t idle_limit_s; /* announced by the server; 0: none */
	uint64_t idle_since_us;
	http_parser parser;
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	struct lw_bconn *next; /* in a list of idle connections */
	lw_evloop_fn on_idle_end; /* an idle connection was closed by the server */
	void *idle_ctx;
};

lw_bconn_t *lw_bconn_open(lw_evloop_t *evloop, const char *addr);
void lw_bconn_start(lw_bconn_t *c, const lw_bconn_ops_t *ops, void *user, bool is_head);
void lw_bconn_long_body(lw_bconn_t *c);
void lw_bconn_queue(lw_bconn_t *c, lw_str_t data);
void lw_bconn_flush(lw_bconn_t *c);
void lw_bconn_pause(lw_bconn_t *c, bool pause);
void lw_bconn_idle(lw_bconn_t *c);
void lw_bconn_close(lw_bconn_t *c);

#endif

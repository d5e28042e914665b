/*
 * One HTTP/1.1 connection to the backend server on this host. It carries one request at a time and
 * reports its progress and outcome to its user through a vtable.
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
	/* @bytes more of the queued data were passed to the kernel */
	void (*written)(void *user, size_t bytes);
	/* the head of the answer; returns false if the answer does not belong to this request */
	bool (*head)(void *user, const lw_httphead_t *h);
	void (*body)(void *user, lw_str_t data);
	/* the answer is complete; @reusable: the connection can carry another request */
	void (*done)(void *user, bool reusable);
	/*
	 * the connection closed before the answer was complete; @sent: the server may have received
	 * the request
	 */
	void (*broken)(void *user, bool sent);
} lw_bconn_ops_t;

/* Requests that a connection remembers: it does not carry the id of any of them again. */
#define LW_BCONN_REQUESTS_REMEMBERED 64

struct lw_bconn {
	const lw_bconn_ops_t *ops;
	void *user; /* NULL while idle */
	lw_evloop_t *evloop;
	int fd;
	ev_io io;
	bool connecting;
	bool established; /* the server accepted the connection */
	bool failed; /* a failure will be reported in the next loop iteration */
	bool closed;
	bool paused; /* reading of the answer is paused */
	bool in_body; /* the head of the answer was processed */
	bool completed; /* the parser reached the end of the answer */
	bool keep; /* the server keeps the connection open */
	bool sent; /* bytes of this request were passed to the kernel */
	bool long_body; /* the server may pause while it reads the long body of the request */
	bool is_head; /* the answer to a HEAD request has no body */
	bool carried_head; /* so may the copy of an answer, whatever length it announces */
	bool skipping; /* the answer being read is passed over */
	size_t head_bytes; /* of interim answers to the current request */
	size_t body_bytes; /* of the body of the answer so far, as sent */
	size_t data_bytes; /* of that: content */
	bool answered_without_id; /* the last answer had no request id */
	uint32_t requests; /* number of requests carried so far */
	/* digests of the ids of the last of them; the oldest is overwritten first */
	uint64_t carried[LW_BCONN_REQUESTS_REMEMBERED];
	uint32_t idle_limit_s; /* idle timeout announced by the server; 0: none */
	uint64_t idle_since_us;
	http_parser parser;
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	struct lw_bconn *next; /* next in the list of idle connections */
	lw_evloop_fn on_idle_end; /* called when the server closes the idle connection */
	void *idle_ctx;
};

lw_bconn_t *lw_bconn_open(lw_evloop_t *evloop, const char *addr);
void lw_bconn_start(lw_bconn_t *c, const lw_bconn_ops_t *ops, void *user, bool is_head);
void lw_bconn_remember(lw_bconn_t *c, uint64_t id_digest);
bool lw_bconn_has_carried(const lw_bconn_t *c, uint64_t id_digest);
bool lw_bconn_skip_answer(lw_bconn_t *c, const lw_httphead_t *h);
void lw_bconn_long_body(lw_bconn_t *c);
void lw_bconn_queue(lw_bconn_t *c, lw_str_t data);
void lw_bconn_flush(lw_bconn_t *c);
void lw_bconn_pause(lw_bconn_t *c, bool pause);
void lw_bconn_idle(lw_bconn_t *c);
void lw_bconn_close(lw_bconn_t *c);

#endif

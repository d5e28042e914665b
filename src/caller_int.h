/* Internal to the caller module; other modules use caller.h. */
#ifndef LW_CALLER_INT_H
#define LW_CALLER_INT_H

#include <ev.h>
#include <http_parser.h>

#include "bufbound.h"
#include "bytebuf.h"
#include "caller.h"

/* limit on the unprocessed bytes read from a caller, which may pipeline requests */
#define READ_AHEAD_BYTES 65536

typedef enum {
	CALLER_HEAD, /* waiting for or reading the head of a request */
	CALLER_BODY, /* reading the body */
	CALLER_WAIT, /* the request is complete, the answer is not */
} caller_state_t;

typedef struct lw_caller {
	lw_reply_t reply;
	struct lw_callers *set;
	int fd;
	ev_io io;
	caller_state_t state;
	lw_exchange_t *x; /* NULL before a request and after its answer */
	lw_bytebuf_t in;
	lw_bytebuf_t out;
	http_parser parser;
	uint64_t since_us; /* when the current state began */
	/* how long the data being read was unread because the host was suspended */
	uint64_t late_us;
	uint64_t body_seen;
	uint32_t uncredited; /* body bytes queued in out, to be credited once out is written */
	bool ready_only;
	bool eof;
	bool closing; /* close once out is empty */
	bool lingering; /* everything is sent; what still arrives is discarded */
	bool keep; /* the connection stays open after the request */
	bool is_head;
	bool chunked_answer;
	bool http10;
	bool answered; /* the answer to the current request is complete */
	/* reset the connection on close, as the truncated answer would look complete */
	bool reset_on_close;
	bool closed;
	bool body_done;
	bool starting; /* the exchange is receiving the first bytes of the body */
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
	lw_evloop_t *evloop;
	lw_caller_t *conns;
	lw_listener_t *listeners;
	uint32_t count;
	bool ready;
	lw_fleet_limits_t limits;
	lw_callers_stats_t stats;
	ev_check resume_check;
	lw_bufbound_t buffers; /* state of the buffers at the last tick */
};

extern const lw_reply_ops_t lw_caller_reply_ops;
size_t lw_caller_read_ahead(const lw_caller_t *c);
bool lw_caller_answers_unread(const lw_caller_t *c);
void lw_caller_on_io(struct ev_loop *loop, ev_io *w, int revents);
void lw_caller_watch(lw_caller_t *c);
void lw_caller_close(lw_caller_t *c);
void lw_caller_flush(lw_caller_t *c);
void lw_caller_answer_done(lw_caller_t *c);
void lw_caller_put_local_answer(lw_caller_t *c, uint32_t status, const char *why,
				uint32_t retry_after_ms);
void lw_caller_reject(lw_caller_t *c, uint32_t status, const char *why);
void lw_caller_process(lw_caller_t *c);
void lw_caller_readable(lw_caller_t *c);

#endif

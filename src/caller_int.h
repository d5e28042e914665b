/* Shared by the files of the caller module only; others use caller.h. */
#ifndef LW_CALLER_INT_H
#define LW_CALLER_INT_H

#include <ev.h>
#include <http_parser.h>

#include "bytebuf.h"
#include "caller.h"

/* a caller that sends ahead of its answers is not read beyond this */
#define AHEAD_MAX_BYTES 65536

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
	bool cut; /* reset when it is closed: the answer would look whole */
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
	lw_evloop_t *evloop;
	lw_caller_t *conns;
	lw_listener_t *listeners;
	uint32_t count;
	bool ready;
	lw_fleet_limits_t limits;
	lw_callers_stats_t stats;
	ev_check wake;
};

extern const lw_reply_ops_t lw_caller_reply_ops;
void lw_caller_watch(lw_caller_t *c);
void lw_caller_close(lw_caller_t *c);
void lw_caller_flush(lw_caller_t *c);
void lw_caller_answer_done(lw_caller_t *c);
void lw_caller_put_own(lw_caller_t *c, uint32_t status, const char *why, uint32_t retry_after_ms);
void lw_caller_reject(lw_caller_t *c, uint32_t status, const char *why);
void lw_caller_process(lw_caller_t *c);
void lw_caller_readable(lw_caller_t *c);

#endif

/*
 * Connections to peer nodes: pooled TCP connections with one request at a time on each, and the
 * calls made over them.
 *
 * A connection can go silent permanently while new ones work, if a device between the two ends has
 * lost its state. A caller that receives nothing for a while therefore asks the peer, on a new
 * connection, for the state of its attempt (a Query frame). A peer that never received the attempt
 * refuses it from then on, which turns "unknown" into "not run"; a peer that completed it returns
 * the answer.
 */
#ifndef LW_POOL_H
#define LW_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "frame.h"

typedef enum lw_pool_fail {
	LW_POOL_OK = 0,
	LW_POOL_CONNECT, /* no connection: the peer cannot have received the request */
	LW_POOL_WRITE, /* the frame was not passed to the kernel completely */
	LW_POOL_NOT_RECEIVED, /* the peer never received it and refuses it from now on */
	LW_POOL_TIMEOUT, /* sent, no reply in time */
	LW_POOL_BROKEN, /* sent, then the connection closed or the reply was invalid */
} lw_pool_fail_t;

typedef struct lw_pool lw_pool_t;

/* Parameters of lw_pool_call() besides the request. */
typedef struct lw_pool_call {
	const char *addr; /* the peer, "ip:port" */
	int timeout_ms; /* for the whole call */
	int probe_ms; /* send a query after this time without a reply; 0: never */
	uint64_t incarnation; /* of the peer, as received before the call; 0: unknown */
} lw_pool_call_t;

lw_pool_t *lw_pool_new(void);
void lw_pool_free(lw_pool_t *p);
lw_pool_fail_t lw_pool_call(lw_pool_t *p, const lw_pool_call_t *call, const Lw__Frame *req,
			    Lw__Frame **reply);
bool lw_pool_request(lw_pool_t *p, const char *addr, const Lw__Frame *req, int timeout_ms,
		     bool fresh, Lw__Frame **reply);
void lw_pool_trim(lw_pool_t *p, uint32_t idle_ms);
size_t lw_pool_idle_count(lw_pool_t *p);
unsigned lw_pool_silent_replaced(const lw_pool_t *p);
unsigned lw_pool_queries(const lw_pool_t *p);

#endif

/*
 * Connections to peer nodes: pooled TCP, one request at a time on each, and
 * the calls made over them.
 *
 * A connection can go silent for good while new ones work, when something
 * between the two ends has lost track of it. A caller that hears nothing for
 * a while therefore asks the peer, on a new connection, what became of its
 * attempt (a Query frame). A peer that never received it bars it, which
 * turns "unknown" into "not run"; one that finished it hands over the answer.
 */
#ifndef LW_POOL_H
#define LW_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "frame.h"

typedef enum lw_pool_fail {
	LW_POOL_OK = 0,
	LW_POOL_CONNECT, /* no connection: the peer cannot have the request */
	LW_POOL_WRITE, /* the frame was not handed whole to the kernel */
	LW_POOL_NOT_RECEIVED, /* the peer never got it and refuses it from now on */
	LW_POOL_TIMEOUT, /* sent, no reply in time */
	LW_POOL_BROKEN, /* sent, then the connection closed or garbled */
} lw_pool_fail_t;

typedef struct lw_pool lw_pool_t;

/* what lw_pool_call() needs besides the request */
typedef struct lw_pool_call {
	const char *addr; /* the peer, "ip:port" */
	int timeout_ms; /* for the whole call */
	int probe_ms; /* silent for so long: ask; 0 never asks */
	uint64_t incarnation; /* the peer's, heard before the call; 0 unknown */
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

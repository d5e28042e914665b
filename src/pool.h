/*
 * Pooled TCP connections to peer nodes, one pool per peer address. A
 * connection carries one request at a time; a connection whose request
 * timed out is closed, never reused, so a late reply cannot reach the
 * next caller on that connection.
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
	LW_POOL_TIMEOUT, /* sent, no reply in time */
	LW_POOL_BROKEN, /* sent, then the connection closed or garbled */
} lw_pool_fail_t;

typedef struct lw_pool lw_pool_t;

typedef void (*lw_pool_pong_fn)(void *ctx, const char *addr, const Lw__Ping *pong);

lw_pool_t *lw_pool_new(void);
void lw_pool_free(lw_pool_t *p);
lw_pool_fail_t lw_pool_call(lw_pool_t *p, const char *addr, const Lw__Frame *req, int timeout_ms,
			    Lw__Frame **reply);
void lw_pool_heartbeat(lw_pool_t *p, uint64_t now_ms, int timeout_ms, lw_pool_pong_fn fn,
		       void *ctx);
unsigned lw_pool_silent_replaced(const lw_pool_t *p);

#endif

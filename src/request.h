/*
 * A request as the node handles it, received over HTTP from a caller or the local backend server,
 * or in a frame from a peer.
 */
#ifndef LW_REQUEST_H
#define LW_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "httpd.h"
#include "lw.pb-c.h"
#include "platconf.h"
#include "records.h"

#define LW_ROUTE_MAX 128 /* "service/name", terminator included */
#define LW_IDEM_MAX  128 /* idempotency key, terminator included */

#define LW_DEFAULT_DEADLINE_MS 2000
#define LW_DEADLINE_MAX_MS     600000
#define LW_DEFAULT_BUDGET      2
#define LW_BUDGET_MAX	       10

typedef struct lw_request {
	char route[LW_ROUTE_MAX];
	lw_class_t cls;
	bool idempotent;
	bool repeat; /* an earlier attempt with this key ended with outcome "unknown" */
	uint32_t deadline_ms; /* time left when it was received */
	uint32_t retry_budget;
	char idem_key[LW_IDEM_MAX]; /* empty: none */
	char user_id[LW_NAME_MAX]; /* id of the user request, for tracing */
	uint32_t depth; /* number of calls between the user's request and this one */
	uint64_t parent; /* inbound request that it belongs to; 0: none */
	lw_key_t attempt_key; /* requests from frames: identifies the sender and its attempt */
	lw_str_t body; /* borrowed from the connection */
} lw_request_t;

lw_status_t lw_request_from_http(const lw_http_req_t *req, const char *route,
				 const lw_platconf_t *pc, lw_request_t *rq);
lw_status_t lw_request_from_frame(const Lw__Request *f, const lw_platconf_t *pc, lw_request_t *rq);
lw_key_t lw_request_idem_key(const char *route, const char *idem_key);
lw_key_t lw_request_attempt_key(uint64_t sender_incarnation, uint64_t request_id);

#endif

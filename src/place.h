/*
 * Placement: which backend server a request goes to, from what this node has
 * seen of each. Load pattern: servers of one service differ in speed, some
 * turn slow, cold or faulty, and every node chooses without asking the others.
 * No I/O and no clock: the time is given.
 */
#ifndef LW_PLACE_H
#define LW_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "call.h"
#include "fleetconf.h"
#include "retrylimit.h"

/* A backend server and what is known of it. Valid while listed or referenced. */
typedef struct lw_place_host {
	char id[LW_NAME_MAX];
	uint64_t born_ms; /* start of its process; 0: not told */
	char node[LW_NAME_MAX]; /* mesh address of the node beside it */
	struct lw_place_service *service;
	bool self; /* the backend server on this host */
	bool same_zone;
	bool listed; /* in the newest list */
	uint64_t removed_us; /* when its entry was found missing; 0: it is not */
	uint64_t use_until_us; /* it may have work until then although it is not listed */
	bool draining; /* its process leaves, as the list or its answers say; never taken back */
	uint32_t slots;
	lw_load_t load; /* as its node told last */
	uint64_t load_us; /* when; 0: never */
	uint32_t sent; /* requests of ours since then */
	uint32_t inflight; /* requests of ours without an outcome */
	double failures; /* moving average: 0 none, 1 all failed */
	uint64_t failures_us; /* when the last outcome was counted */
	uint64_t suspect_until_us; /* gets no new work while another can take it */
	uint64_t replaced_until_us; /* another server has its address, its entry is old */
	uint32_t backoff_ms; /* length of the last suspicion */
	uint32_t refs;
	struct lw_place_host *next; /* of the same service */
} lw_place_host_t;

typedef struct lw_place_service {
	char name[LW_NAME_MAX];
	lw_place_host_t *hosts;
	lw_retrylimit_t retries;
	struct lw_place_service *next;
} lw_place_service_t;

typedef struct lw_place {
	lw_place_service_t *services;
	char zone[LW_NAME_MAX];
	char backend[LW_NAME_MAX]; /* of this host */
	uint32_t mesh_port;
	uint32_t nhosts; /* listed */
	uint32_t nsharing; /* of which the nodes may send repeats: listed, or lately so */
	lw_retryallowance_t terms;
} lw_place_t;

/* A load that was told longer ago says nothing, us. */
#define LW_PLACE_LOAD_STALE_US 3000000

/* Hosts that a request has been to already. */
#define LW_PLACE_TRIED_MAX 8
typedef struct lw_place_tried {
	const lw_place_host_t *host[LW_PLACE_TRIED_MAX];
	bool rejected
		[LW_PLACE_TRIED_MAX]; /* it handed the request back when it was last sent there */
	size_t n;
} lw_place_tried_t;

/* What a choice depends on beside the hosts. */
typedef struct lw_place_query {
	uint64_t now_us;
	int64_t body_length; /* of the request; -1: not known */
	uint32_t random; /* spreads the choices of the nodes */
} lw_place_query_t;

void lw_place_init(lw_place_t *p, const char *zone, const char *backend, uint32_t mesh_port,
		   lw_retryallowance_t terms);
void lw_place_free(lw_place_t *p);
void lw_place_update(lw_place_t *p, const lw_serverlist_t *sl, uint64_t now_us,
		     uint64_t lapsed_until_us);
bool lw_place_usable(const lw_place_host_t *h, uint64_t now_us);
bool lw_place_assert_alive(lw_place_t *p, const char *node, const char *id, uint64_t born_ms,
			   uint64_t now_us);
void lw_place_node_addr(char *dst, size_t len, const char *backend, uint32_t mesh_port);
lw_place_service_t *lw_place_service(lw_place_t *p, const char *name);
void lw_place_add_tried(lw_place_tried_t *tried, const lw_place_host_t *h);
void lw_place_mark_rejected(lw_place_tried_t *tried, const lw_place_host_t *h);
lw_place_host_t *lw_place_pick(lw_place_service_t *s, const lw_place_tried_t *tried,
			       const lw_place_query_t *ask);
lw_place_host_t *lw_place_pick_resend(lw_place_service_t *s, const lw_place_tried_t *tried,
				      const lw_place_query_t *ask);
lw_place_host_t *lw_place_pick_room(const lw_place_service_t *s, const lw_place_tried_t *tried,
				    const lw_place_query_t *ask, bool load_known);
uint64_t lw_place_process(const char *id, uint64_t born_ms);
lw_place_host_t *lw_place_pick_trial(const lw_place_service_t *s, uint64_t key,
				     const uint64_t *crashed, size_t n, uint64_t now_us);
bool lw_place_accepts_work(const lw_place_host_t *h, uint64_t now_us);
void lw_place_request_sent(lw_place_host_t *h);
void lw_place_request_done(lw_place_host_t *h, bool ok, uint64_t now_us);
void lw_place_mark_replaced(lw_place_host_t *h, uint64_t now_us);
bool lw_place_mark_leaving(lw_place_host_t *h);
bool lw_place_load_reported(lw_place_host_t *h, const lw_load_t *load, uint64_t now_us);
const lw_place_host_t *lw_place_node_load_reported(lw_place_t *p, const char *node,
						   const lw_load_t *load, uint64_t now_us);
void lw_place_node_lost(lw_place_t *p, const char *node, bool used, uint64_t now_us);
typedef void (*lw_place_node_fn)(void *ctx, const char *node);
void lw_place_each(const lw_place_t *p, lw_place_node_fn fn, void *ctx, uint64_t now_us);
void lw_place_each_suspect(const lw_place_t *p, lw_place_node_fn fn, void *ctx);
bool lw_place_has_rate_limit(const lw_place_t *p, const char *service, uint64_t now_us);
uint32_t lw_place_level(const lw_place_service_t *s, uint64_t now_us);
void lw_place_add_level(const lw_place_service_t *s, uint32_t work_us, uint64_t now_us,
			lw_path_levels_t *out);
const lw_place_host_t *lw_place_self(const lw_place_t *p, bool *known);

#endif

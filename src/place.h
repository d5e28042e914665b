/*
 * Placement: the choice of the backend server for a request, by what this
 * node has observed of each server. The servers of a service differ in speed,
 * and some become slow, cold or faulty; every node chooses without asking the
 * others. No I/O and no clock: the caller passes the time.
 */
#ifndef LW_PLACE_H
#define LW_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "call.h"
#include "fleetconf.h"
#include "leaving.h"
#include "retrylimit.h"
#include "zoneplan.h"

/* A backend server and its observed state. Valid while listed or referenced. */
typedef struct lw_place_host {
	const char *id; /* interned, like all names here */
	uint64_t born_ms; /* start time of its process; 0: unknown */
	char node[LW_NAME_MAX]; /* mesh address of its node */
	struct lw_place_service *service;
	bool self; /* it is the backend server on this host */
	bool same_zone;
	bool listed; /* in the latest server list */
	uint64_t removed_us; /* when its entry was found missing; 0: it is not missing */
	bool superseded; /* another process of its server has been listed since */
	uint64_t use_until_us; /* until then it may get work although it is not listed */
	bool asserted; /* because its node asserts that its server is alive */
	bool list_draining; /* its process is stopping according to the list; never reset */
	/* until then its entry may be an old one of a server that left, us; 0: no doubt */
	uint64_t doubt_until_us;
	bool removed_in_doubt; /* a list lacked its entry, so that its health check shows nothing */
	lw_leaving_t leaving; /* whether its process is stopping according to its answers */
	bool leaving_in_doubt; /* that answer may be of another process with the same id */
	bool withdrawn; /* its entry was withdrawn, so its server left */
	bool draining; /* it gets no new work: it is, or may be, stopping by the list or its answers */
	uint64_t draining_us; /* when this node learned that */
	uint32_t slots;
	lw_load_t load; /* as reported last by its node */
	uint64_t load_us; /* time of that report; 0: none */
	uint32_t sent; /* requests sent by this node since then */
	uint32_t inflight; /* requests sent by this node that have no outcome yet */
	double failures; /* moving average; 0: none failed, 1: all failed */
	uint64_t failures_us; /* when the last outcome was counted */
	uint64_t suspect_until_us; /* until then it gets new work only as a last resort */
	uint64_t replaced_until_us; /* no work until then: another server has its address */
	uint32_t backoff_ms; /* length of the last suspect period */
	uint32_t refs;
	struct lw_place_host *next; /* next host of the same service */
} lw_place_host_t;

typedef struct lw_place_service {
	const char *name;
	lw_place_host_t *hosts;
	lw_retrylimit_t retries;
	lw_zonestate_t zone;
	struct lw_place_service *next;
} lw_place_service_t;

/* Called when a list has a host @entry for the id of @known, which is draining. */
typedef void (*lw_place_entry_fn)(void *ctx, const lw_place_host_t *known,
				  const lw_place_host_t *entry);

/* Called when a list has @h, which lists before lacked, or when its entry is no longer in doubt. */
typedef void (*lw_place_back_fn)(void *ctx, const lw_place_host_t *h);

typedef struct lw_place {
	lw_place_service_t *services;
	lw_place_entry_fn on_leaving_entry; /* may be NULL */
	void *on_leaving_entry_ctx;
	lw_place_back_fn on_back; /* may be NULL */
	lw_place_back_fn on_doubt_ended; /* may be NULL */
	void *on_back_ctx; /* of these two */
	uint64_t doubted; /* how many entries were in doubt */
	const char *zone;
	char backend[LW_NAME_MAX]; /* address of the backend server on this host */
	uint32_t mesh_port;
	uint32_t nhosts; /* number of listed hosts */
	uint32_t nsharing; /* hosts whose nodes may send retries: listed now or recently */
	lw_retryallowance_t retry_allowance;
} lw_place_t;

/* What is known of the server of a host that a list has and the list before had not. */
typedef struct lw_place_return {
	bool returns; /* this process was known, and could no longer be used */
	bool former; /* a later process was known */
	bool drained; /* that one drained, or the one that replaced this one */
	bool replaces; /* the list before had another process of the server */
} lw_place_return_t;

/* A load report that is older than this is ignored, us. */
#define LW_PLACE_LOAD_STALE_US 3000000

/* Hosts that a request has been sent to. */
#define LW_PLACE_TRIED_MAX 8
typedef struct lw_place_tried {
	const lw_place_host_t *host[LW_PLACE_TRIED_MAX];
	bool rejected[LW_PLACE_TRIED_MAX]; /* returned unexecuted when it was last sent there */
	size_t n;
} lw_place_tried_t;

/* Input of a choice besides the state of the hosts. */
typedef struct lw_place_query {
	uint64_t now_us;
	int64_t body_length; /* length of the request body; -1: unknown */
	uint32_t random; /* makes the nodes choose differently */
	uint32_t kind; /* kind of work, see worktime.h; 0: unknown */
	/* time until the request misses its latency objective; 0: unknown or already missed */
	uint32_t target_left_ms;
} lw_place_query_t;

void lw_place_init(lw_place_t *p, const char *zone, const char *backend, uint32_t mesh_port,
		   lw_retryallowance_t retry_allowance);
void lw_place_free(lw_place_t *p);
void lw_place_update(lw_place_t *p, const lw_serverlist_t *sl, uint64_t now_us,
		     uint64_t lapsed_until_us);
bool lw_place_usable(const lw_place_host_t *h, uint64_t now_us);
void lw_place_end_assertion(lw_place_t *p, const char *node);
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
bool lw_place_is_last(const lw_place_host_t *self, uint64_t now_us);
bool lw_place_accepts_work(const lw_place_host_t *h, uint64_t now_us);
void lw_place_request_sent(lw_place_host_t *h);
void lw_place_request_done(lw_place_host_t *h, bool ok, uint64_t now_us);
void lw_place_mark_replaced(lw_place_host_t *h, uint64_t now_us);
void lw_place_list_draining(lw_place_host_t *h, uint64_t now_us);
bool lw_place_mark_leaving(lw_place_host_t *h, uint64_t seen_ms, uint64_t now_us);
lw_leaving_change_t lw_place_notice_reported(lw_place_host_t *h, const lw_notice_t *n,
					     uint64_t now_us);
void lw_place_inherit_leaving(lw_place_host_t *h, const lw_place_host_t *other, uint64_t now_us);
void lw_place_note_return(lw_place_return_t *r, const lw_place_host_t *h,
			  const lw_place_host_t *other);
void lw_place_judge_return(lw_place_t *p, lw_place_host_t *h, const lw_place_return_t *r,
			   bool proven, uint64_t now_us);
void lw_place_end_doubts(lw_place_t *p, uint64_t now_us);
lw_leaving_change_t lw_place_load_reported(lw_place_host_t *h, const lw_load_t *load,
					   uint64_t now_us);
const lw_place_host_t *lw_place_node_load_reported(lw_place_t *p, const char *node,
						   const lw_load_t *load, uint64_t now_us);
bool lw_place_node_leaving(const lw_place_t *p, const char *node);
void lw_place_node_lost(lw_place_t *p, const char *node, bool used, uint64_t now_us);
typedef void (*lw_place_node_fn)(void *ctx, const char *node);
void lw_place_each(const lw_place_t *p, lw_place_node_fn fn, void *ctx, uint64_t now_us);
/* Hosts of a service without a listed one that a node asks whether they are alive. */
#define LW_PLACE_LAPSED_ASKED 4
void lw_place_each_lapsed(const lw_place_t *p, lw_place_node_fn fn, void *ctx);
void lw_place_each_suspect(const lw_place_t *p, lw_place_node_fn fn, void *ctx);
bool lw_place_has_rate_limit(const lw_place_t *p, const char *service, uint64_t now_us);
uint32_t lw_place_level(const lw_place_service_t *s, uint64_t now_us);
void lw_place_add_level(const lw_place_service_t *s, uint32_t work_us, uint64_t now_us,
			lw_path_levels_t *out);
uint32_t lw_place_retries_used(const lw_place_service_t *s, const lw_retryallowance_t *t,
			       uint64_t now_us);
void lw_place_zone_plans(const lw_place_t *p, uint64_t sum[LW_ZONE_PLAN_COUNT]);
const lw_place_host_t *lw_place_self(const lw_place_t *p, bool *known);

#endif

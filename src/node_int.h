/*
 * State and functions shared by the modules of the node: inbound.c and
 * outbound.c (requests), peersrv.c (frames from peers), heartbeat.c
 * (membership), confwatch.c (configuration) and adminpage.c (operators).
 * node.c starts and stops them.
 */
#ifndef LW_NODE_INT_H
#define LW_NODE_INT_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "answer.h"
#include "backend.h"
#include "counter.h"
#include "httpd.h"
#include "node.h"
#include "policy.h"
#include "pool.h"
#include "request.h"
#include "settings.h"
#include "timer.h"

typedef enum lw_call_state {
	LW_CALL_WAIT,
	LW_CALL_ADMITTED,
	LW_CALL_LOOKUP,
	LW_CALL_SEND,
	LW_CALL_ANSWERED,
} lw_call_state_t;

/* the reducer's decision about one request, filled in from its effects */
typedef struct lw_result {
	lw_outcome_t outcome;
	lw_reason_t reason;
	uint32_t retry_after_ms;
	uint32_t retries_used;
	bool no_retry;
	lw_answer_t *answer; /* when done: a counted reference; the owner of the result drops it */
} lw_result_t;

/* a request in progress; lives on the stack of the thread that serves it */
typedef struct lw_call {
	uint64_t id;
	lw_call_state_t state;
	pthread_cond_t cond;
	lw_result_t res;
	int peer;
	uint32_t attempt, timeout_ms, probe_ms, retry_budget, depth;
	UT_hash_handle hh;
} lw_call_t;

/* a node that sent requests recently; a drain is announced to it immediately */
typedef struct lw_caller {
	char addr[LW_NAME_MAX];
	uint64_t seen_ms;
	UT_hash_handle hh;
} lw_caller_t;

typedef struct lw_node_counters {
	lw_counter_t *answers[LW_CLASS_COUNT][3];
	lw_counter_t *outbound[3];
	lw_counter_t *late_replies;
	lw_counter_t *heartbeats;
	lw_counter_t *config_fetches;
	lw_counter_t *control_bytes;
	lw_counter_t *late_wakes;
} lw_node_counters_t;

struct lw_node {
	lw_settings_t set;
	uint64_t incarnation; /* identifies this start of the process; never 0 */
	pthread_mutex_t lock; /* policy, calls, callers */
	lw_policy_t *policy;
	lw_call_t *calls;
	lw_caller_t *callers;
	uint64_t next_id;
	lw_record_state_t query_state; /* result of the last QUERY event */
	lw_answer_t *query_answer;
	lw_platconf_t *config; /* RCU-protected; replaced as a whole */
	pthread_mutex_t config_lock; /* serialises writers of config */
	pthread_cond_t config_cond;
	char config_hint[LW_NAME_MAX]; /* address of a peer that has a newer version */
	bool config_fetching;
	lw_backend_t *backend;
	lw_pool_t *pool;
	lw_timer_t *timer;
	int tick_sub;
	lw_httpd_t *http, *admin;
	int peer_fd;
	pthread_mutex_t conns_lock; /* of the connections from peers */
	struct lw_peer_conn *conns;
	bool conns_ending;
	lw_str_t last_reply; /* encoded frame that ends each connection from a peer */
	uint64_t last_alive_ms; /* set by the timer thread; a gap means a pause of the process */
	int serving; /* requests that were read and whose answer has not been sent yet */
	int stopping;
	bool exit_ready;
	int joined; /* requests are accepted; see heartbeat.c */
	lw_node_counters_t count;
};

void lw_node_step(lw_node_t *n, lw_event_t *ev);
lw_call_t *lw_node_call_open(lw_node_t *n, lw_call_t *c);
void lw_node_call_close(lw_node_t *n, lw_call_t *c);
uint32_t lw_node_load_permille(const lw_node_t *n);
uint32_t lw_node_paused_ms(lw_node_t *n);
bool lw_node_joined(const lw_node_t *n);

void lw_inbound_serve(lw_node_t *n, const lw_request_t *rq, lw_result_t *res);
void lw_inbound_end(lw_node_t *n);
void lw_inbound_http(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp);
void lw_inbound_backend_done(void *ctx, uint64_t id, const lw_backend_result_t *res);
void lw_outbound_serve(lw_node_t *n, const char *service, const lw_request_t *rq, lw_result_t *res);
bool lw_outbound_lookup(lw_node_t *n, const lw_request_t *rq, lw_answer_t **answer);

lw_status_t lw_peersrv_start(lw_node_t *n);
void lw_peersrv_end(lw_node_t *n);
void lw_heartbeat_start(lw_node_t *n);
void lw_heartbeat_fill(lw_node_t *n, Lw__Ping *ping);
void lw_heartbeat_received(lw_node_t *n, const Lw__Ping *ping);
void lw_heartbeat_notify_callers(lw_node_t *n);
void lw_confwatch_start(lw_node_t *n);
bool lw_confwatch_fetching(lw_node_t *n);
void lw_confwatch_peer_has(lw_node_t *n, const char *addr, uint64_t version);
void lw_adminpage_http(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp);

#endif

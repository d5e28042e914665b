/*
 * The policy core: one reducer over all events of a node, with effects as
 * data. It does no I/O and reads no clock; the shell (node.c) turns sockets
 * and timers into events, calls step(), and carries out the effects. There
 * are two reducers with the same operations table: the guard (guard.c) and
 * the naive baseline (naive.c) that the differential tests compare it with.
 */
#ifndef LW_POLICY_H
#define LW_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peerset.h"
#include "platconf.h"
#include "records.h"

typedef enum lw_outcome {
	LW_DONE = 0, /* the backend answered; the answer is forwarded */
	LW_NOT_RUN = 1, /* no backend can have received the request */
	LW_UNKNOWN = 2, /* sent, but not answered in time: it may have been executed */
} lw_outcome_t;

typedef enum lw_reason {
	LW_R_NONE = 0,
	LW_R_OVERLOADED,
	LW_R_DRAINING,
	LW_R_DEADLINE,
	LW_R_NO_BACKEND,
	LW_R_IN_FLIGHT, /* a request with the same idempotency key is executing now */
	LW_R_BACKEND_ERROR,
	LW_R_TIMEOUT,
	LW_R_NOT_RECEIVED, /* the peer never received it and will refuse it from now on */
	LW_R_NO_RECORD, /* a retry whose first attempt has no record at any node */
	LW_R_STARTING, /* the node has not joined the fleet yet */
	LW_R_COUNT
} lw_reason_t;

typedef enum lw_event_kind {
	LW_EV_IN_REQUEST, /* a request of a caller or peer for this node's backend server */
	LW_EV_IN_RECORD, /* result of a lookup for a retry at other nodes: outcome, answer */
	LW_EV_IN_DONE, /* this node's backend server finished a request */
	LW_EV_OUT_REQUEST, /* the local backend server calls another service */
	LW_EV_OUT_REPLY, /* a peer answered or failed to answer */
	LW_EV_PEER_STATE, /* a heartbeat reported the state of a peer */
	LW_EV_QUERY, /* a peer asks for the outcome of an attempt or a key */
	LW_EV_TICK, /* tick of the timer service */
	LW_EV_CONFIG, /* a newer configuration was accepted */
	LW_EV_DRAIN, /* SIGTERM or lwctl drain */
	LW_EV_COUNT
} lw_event_kind_t;

typedef struct lw_event {
	lw_event_kind_t kind;
	uint64_t now_ms; /* monotonic time, passed by the shell */
	uint64_t id; /* request id of IN_* and OUT_* events; query id of QUERY */
	lw_class_t cls;
	uint32_t deadline_ms; /* time remaining */
	uint32_t retry_budget;
	lw_key_t idem_key; /* hash of route and idempotency key */
	lw_key_t attempt_key; /* hash of the sender and its attempt; QUERY: the key asked for */
	bool repeat; /* the outcome of an earlier attempt with this key is unknown */
	bool idempotent;
	uint32_t depth; /* IN_REQUEST: number of calls between the user request and this one */
	uint64_t parent; /* OUT_REQUEST: the inbound request that makes the call, or 0 */
	uint32_t service; /* OUT_REQUEST: index of the target service */
	int peer; /* OUT_REPLY, PEER_STATE: index into the peer set */
	lw_outcome_t outcome;
	lw_reason_t reason;
	bool reached; /* OUT_REPLY: the peer itself answered */
	bool server_error; /* OUT_REPLY: done, but with a 5xx status */
	bool draining;
	bool no_retry;
	bool refuse; /* QUERY: if the attempt was never received, refuse it from now on */
	uint64_t incarnation; /* OUT_REPLY, PEER_STATE: incarnation of the peer */
	uint32_t retries_used;
	uint32_t load_permille;
	uint32_t latency_ms;
	void *answer; /* IN_DONE, IN_RECORD: the shell's handle of the stored answer */
	size_t answer_bytes;
	const lw_platconf_t *config;
} lw_event_t;

typedef enum lw_effect_kind {
	LW_FX_ADMIT, /* execute request id on the local backend server now */
	LW_FX_QUEUE, /* hold request id until ADMIT or ANSWER */
	LW_FX_ANSWER, /* answer request id with outcome and reason */
	LW_FX_REPLAY, /* answer request id with the stored answer */
	LW_FX_LOOKUP, /* look up request id's key at the other nodes of this service */
	LW_FX_SEND, /* send request id to peer, with timeout_ms */
	LW_FX_RECORD, /* answer query id with record and answer */
	LW_FX_RELEASE, /* the stored answer handle is no longer needed */
	LW_FX_ARM, /* send a TICK event at at_ms */
	LW_FX_LOG, /* write event log_id with a, b */
	LW_FX_EXIT, /* drain is complete */
} lw_effect_kind_t;

typedef struct lw_effect {
	lw_effect_kind_t kind;
	uint64_t id;
	lw_outcome_t outcome;
	lw_reason_t reason;
	uint32_t retry_after_ms;
	uint32_t retries_used;
	bool no_retry;
	int peer;
	uint32_t attempt;
	uint32_t timeout_ms;
	uint32_t probe_ms; /* SEND: after this time of silence, ask the peer for the outcome */
	uint32_t retry_budget; /* SEND, ADMIT: budget left for the calls that the request makes */
	uint32_t depth; /* SEND: depth in the call graph */
	lw_record_state_t record;
	uint64_t at_ms;
	void *answer;
	int log_id;
	int64_t a, b;
} lw_effect_t;

/* A growing list; initialise with zeroes, free with lw_effects_free(). */
typedef struct lw_effects {
	size_t n, cap;
	lw_effect_t *fx;
} lw_effects_t;

typedef struct lw_policy lw_policy_t;

typedef struct lw_policy_ops {
	const char *name;
	void (*step)(lw_policy_t *p, const lw_event_t *ev, lw_effects_t *out);
	void (*destroy)(lw_policy_t *p);
} lw_policy_ops_t;

/* Counters of the reducer; the shell reads them for /metrics. */
typedef struct lw_policy_stats {
	uint64_t admitted[LW_CLASS_COUNT];
	uint64_t shed[LW_CLASS_COUNT];
	uint64_t queued[LW_CLASS_COUNT];
	uint64_t retries;
	uint64_t retries_denied;
	uint64_t dedup_hits;
	uint64_t late_replies;
	uint64_t lookups;
	uint64_t refused_for_good; /* queries without a record: the attempt is barred */
} lw_policy_stats_t;

typedef struct lw_policy_info {
	bool draining;
	uint32_t inflight;
	uint32_t queued;
	uint32_t outbound;
	double limit;
	uint64_t config_version;
	char preset[LW_NAME_MAX];
	size_t records;
	size_t record_bytes;
	const lw_peerset_t *peers;
} lw_policy_info_t;

/* The first member of every reducer, so that callers need only this header. */
struct lw_policy {
	const lw_policy_ops_t *ops;
	lw_policy_stats_t stats;
	lw_policy_info_t info;
};

lw_policy_t *lw_guard_new(const char *zone, uint32_t slots, uint64_t seed);
lw_policy_t *lw_naive_new(const char *zone, uint32_t slots, uint64_t seed);
lw_policy_t *lw_policy_new(const char *name, const char *zone, uint32_t slots, uint64_t seed);
void lw_effects_push(lw_effects_t *out, const lw_effect_t *fx);
void lw_effects_free(lw_effects_t *out);
void lw_effects_log(lw_effects_t *out, int log_id, int64_t a, int64_t b);
const char *lw_outcome_name(lw_outcome_t o);
const char *lw_reason_name(lw_reason_t r);

#endif

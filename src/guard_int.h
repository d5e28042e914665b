/*
 * Private to the parts of the guard: guard_in.c (requests of callers and
 * peers to the local backend server), guard_out.c (calls of the backend
 * server to other services) and guard.c (the reducer that dispatches each
 * event to one of them).
 */
#ifndef LW_GUARD_INT_H
#define LW_GUARD_INT_H

#include <uthash.h>

#include "admission.h"
#include "policy.h"
#include "retrybudget.h"

/* retry-after delay for a service without free capacity */
#define GUARD_OUT_RETRY_MS 200

typedef struct guard_in_call {
	uint64_t id;
	lw_class_t cls;
	lw_key_t idem_key, attempt_key;
	uint32_t deadline_ms;
	uint32_t budget; /* retries left for the calls it makes */
	uint32_t depth;
	bool running; /* executing at the backend server, not queued */
	bool child_failed; /* a call made by the request failed, after any retries */
	UT_hash_handle hh;
} guard_in_call_t;

typedef struct guard_out_call {
	uint64_t id;
	uint64_t parent; /* inbound call that the budget was borrowed from, or 0 */
	uint32_t service;
	bool idempotent;
	bool maybe_ran; /* an attempt has an unknown outcome: never answer "not run" */
	uint64_t deadline_at;
	lw_user_budget_t budget;
	uint32_t depth;
	uint32_t attempt;
	int peer;
	UT_hash_handle hh;
} guard_out_call_t;

typedef struct guard {
	lw_policy_t base;
	lw_admission_t admission;
	lw_retry_bucket_t bucket;
	lw_peerset_t *peers;
	lw_records_t *by_idem_key, *by_attempt;
	guard_in_call_t *in;
	guard_out_call_t *out;
	uint32_t timeout_ms;
	bool draining;
} guard_t;

void guard_release(void *ctx, void *stored);
guard_in_call_t *guard_in_find(guard_t *g, uint64_t id);
void guard_in_forget(guard_t *g, guard_in_call_t *c);
void guard_in_refuse(guard_t *g, guard_in_call_t *c, lw_reason_t why, lw_effects_t *out);
void guard_check_drained(guard_t *g, lw_effects_t *out);
void guard_on_in_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out);
void guard_on_in_record(const lw_event_t *ev, lw_effects_t *out);
void guard_on_in_done(guard_t *g, const lw_event_t *ev, lw_effects_t *out);
void guard_on_query(guard_t *g, const lw_event_t *ev, lw_effects_t *out);
void guard_on_out_request(guard_t *g, const lw_event_t *ev, lw_effects_t *out);
void guard_on_out_reply(guard_t *g, const lw_event_t *ev, lw_effects_t *out);

#endif

/* Admission of requests to the backend server on this host; see gate.h. */
#include "gate_int.h"

#include <stdio.h>
#include <string.h>

#include "admit.h"
#include "log.h"

/* limit on the memory used by the bodies of queued requests, in bytes */
#define QUEUE_BYTES_MAX (32u * 1024 * 1024)
/* interval of the check for expired requests in the queue, in seconds */
#define EXPIRY_INTERVAL_S 0.02
/* assumed execution time before any request was executed, us */
#define SERVICE_INITIAL_US 50000
/* a server that accepted no connection is retried after this, us */
#define DOWN_RETRY_US 250000

/* what this node knows about the backend server; zero: fields that this gate does not measure */
static void server_load(const lw_gate_t *g, lw_load_t *out)
{
	memset(out, 0, sizeof(*out));
	out->running = lw_gate_busy_slots(g);
	out->level = g->level.level;
	out->failing = (uint32_t)(g->failing * 1000);
	out->queued = (uint32_t)g->queue.len;
	out->limit = g->exiting ? 0 : g->limit;
	out->service_us = (uint32_t)g->service_us;
	out->backlog_us = g->by_kind ? g->use.work_us + g->queue.work_us : 0;
	if (g->by_kind)
		lw_worktable_report(&g->work, &out->work);
	out->leaving = lw_gate_leaving(g) || g->exiting || g->evloop->peers_notified;
	out->down = g->evloop->now_us < g->down_until_us;
	out->machine_percent = lw_machine_percent(&g->machine, g->evloop->now_us);
	lw_gate_report_notice(g, &out->notice);
	lw_retrylimit_arrivals(&g->arrivals, g->retry_allowance, g->evloop->now_us, &out->arrivals);
}

/*
 * lw_gate_load() - the load that is reported to other nodes. A backend server with a rate limit
 * gets no more slots in the report than the limit can keep busy. With its real number of slots it
 * would look idle and attract requests that it has to reject.
 */
void lw_gate_load(const lw_gate_t *g, lw_load_t *out)
{
	uint32_t slots = lw_ratelimit_slots(&g->ratelimit, g->service_us);

	server_load(g, out);
	if (out->limit > slots)
		out->limit = slots;
}

/*
 * lw_gate_learn_load() - process the load that the backend server reports in its answers. The
 * report also covers work that did not pass through this gate, such as health checks.
 */
void lw_gate_learn_load(lw_gate_t *g, lw_str_t value)
{
	char text[64];
	unsigned running, waiting, slots;
	int end = 0;

	if (!value.ptr || value.len >= sizeof(text))
		return;
	memcpy(text, value.ptr, value.len);
	text[value.len] = '\0';
	if (sscanf(text, "%u,%u,%u%n", &running, &waiting, &slots, &end) != 3 || !slots)
		return;
	if (text[end] == ',' && !lw_machine_learn(&g->machine, text + end + 1, g->evloop->now_us))
		g->stats.invalid_machine++;
	if (slots != g->slots) {
		g->slots = slots;
		g->limit = lw_admit_limit(slots);
	}
	g->reports_load = true;
	g->reported_busy = running + waiting;
	g->started_since_report = 0;
}

/* starts the queued request @w, or rejects it if it would not complete before the exit */
static void start_queued(lw_gate_t *g, lw_waiter_t *w)
{
	lw_job_t *j = lw_job_of_waiter(w);
	uint64_t now_us = g->evloop->now_us;
	lw_stopask_t ask = {
		.deadline_us = j->deadline_us > now_us ? j->deadline_us - now_us : 0,
		.kind = j->kind,
		.longest_us = j->longest_us,
		.idempotent = j->idempotent,
	};

	j->stop = lw_gate_judge_stop(g, &ask);
	if (j->stop.basis == LW_STOPBASIS_NONE) {
		lw_job_fail(j, LW_FAIL_LEAVING);
		return;
	}
	lw_gate_count_start(g, w);
	lw_waitq_remove(&g->queue, w);
	g->queued_bytes -= lw_bytebuf_len(&j->body);
	if (!lw_job_start(j))
		lw_job_fail(j, LW_FAIL_NO_SERVER);
}

/* lw_gate_dispatch() - start the queued requests for which there is room. */
void lw_gate_dispatch(lw_gate_t *g)
{
	uint64_t now_us = g->evloop->now_us;
	lw_waiter_t *w;

	while (lw_gate_busy_slots(g) < g->limit && lw_ratelimit_ready(&g->ratelimit, now_us) &&
	       (w = lw_slotshare_next(&g->share, &g->use, &g->queue, g->limit, now_us)) != NULL)
		start_queued(g, w);
	if (!g->queue.first) {
		ev_timer_stop(g->evloop->loop, &g->expiry_timer);
		lw_handback_queue_empty(&g->handback);
	}
}

static void on_expiry_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_waiter_t *x;

	(void)loop;
	(void)revents;
	while ((x = lw_waitq_expired(&g->queue, g->evloop->now_us)) != NULL)
		lw_job_fail(lw_job_of_waiter(x), LW_FAIL_EXPIRED);
	lw_gate_dispatch(g);
}

static lw_stopverdict_t judge_stop(const lw_gate_t *g, const lw_admit_state_t *st,
				   const lw_call_request_t *req)
{
	lw_stopask_t ask = {
		.wait_us = (uint64_t)lw_admit_expected_wait_ms(st) * 1000,
		.deadline_us = (uint64_t)req->deadline_ms * 1000,
		.kind = req->kind,
		.longest_us = req->longest_us,
		.idempotent = req->idempotent,
	};

	return lw_gate_judge_stop(g, &ask);
}

static lw_fail_t refusal_reason(const lw_gate_t *g, const lw_stopverdict_t *stop,
				const lw_call_request_t *req)
{
	if (lw_gate_leaving(g) && (!req->target.len || lw_str_eq_c(req->target, g->server_id)))
		return LW_FAIL_LEAVING;
	if (g->exiting)
		return LW_FAIL_LEAVING;
	if (stop->basis == LW_STOPBASIS_NONE)
		return LW_FAIL_LEAVING;
	if (g->evloop->now_us < g->down_until_us)
		return LW_FAIL_NO_SERVER;
	if (req->target.len && lw_str_eq_c(req->target, g->replaced_id))
		return LW_FAIL_NO_SERVER;
	if (g->queued_bytes > QUEUE_BYTES_MAX)
		return LW_FAIL_BUSY;
	return LW_FAIL_NONE;
}

static lw_waiter_t waiter_of(const lw_gate_t *g, const lw_admit_state_t *st,
			     const lw_call_request_t *req)
{
	uint64_t left_us = (uint64_t)req->target_left_ms * 1000;
	uint32_t priority = req->rank / LW_RANKS_PER_PRIORITY;
	uint32_t work_us = st->work_us ? st->work_us : st->load.service_us;

	return (lw_waiter_t){
		.priority = priority,
		.late = left_us < work_us,
		.target_us = g->evloop->now_us + left_us,
		.expires_us = g->evloop->now_us + (uint64_t)lw_admit_wait_ms(st, req) * 1000,
		.work_us = work_us,
		.is_long = lw_slotshare_is_long(&g->share, work_us, priority, left_us),
		.queued_us = g->evloop->now_us,
		.each_us = lw_gate_promised_us(g, req),
	};
}

/* a request that crashed servers is admitted only as a trial, and only one copy at a time */
static bool quarantine_admits(const lw_gate_t *g, lw_quarantine_verdict_t verdict,
			      const lw_fingerprint_t *print)
{
	if (verdict == LW_QUARANTINE_CLEAR)
		return true;
	for (const lw_job_t *j = g->by_id; j; j = j->hh.next)
		if (j->print.value.whole == print->whole)
			return false;
	return verdict == LW_QUARANTINE_TRIAL;
}

static void count_submitted(lw_gate_t *g, const lw_call_request_t *req)
{
	lw_workarrival_t arrival = { req->kind, req->rank / LW_RANKS_PER_PRIORITY,
				     (uint64_t)req->target_left_ms * 1000 };

	lw_level_arrival(&g->level, req->rank);
	if (!ev_is_active(&g->level_timer)) {
		lw_gate_update_kinds(g);
		ev_timer_again(g->evloop->loop, &g->level_timer);
	}
	lw_worktable_arrival(&g->work, &arrival, g->evloop->now_us);
}

/*
 * Starts a request that did not have to wait. Without a connection it is rejected by the return
 * value: its sink is not ready to be invoked before lw_gate_submit() has returned the call.
 */
static bool start_arrived(lw_job_t *j, lw_fail_t *why)
{
	if (lw_job_start(j))
		return true;
	*why = LW_FAIL_NO_SERVER;
	j->gate->stats.refused[*why]++;
	lw_job_release(j);
	return false;
}

/*
 * lw_gate_submit() - send a request to the backend server or add it to the queue.
 * Returns the call, whose outcome is reported to @sink. On rejection returns NULL, sets the reason
 * in @why and the delay before a retry in @retry_after_ms, and does not invoke @sink.
 */
lw_call_t *lw_gate_submit(lw_gate_t *g, lw_sink_t *sink, const lw_call_request_t *req,
			  lw_str_t body, bool fin, lw_fail_t *why, uint32_t *retry_after_ms)
{
	lw_quarantine_verdict_t verdict;
	lw_fingerprinter_t print;
	lw_stopverdict_t stop;
	lw_waiter_t candidate;
	lw_admit_state_t st;
	lw_job_t *j;

	lw_fingerprinter_begin(&print, req->head, g->evloop->names->header[LW_HEADER_ORGANISATION]);
	lw_fingerprinter_body(&print, body, fin);
	lw_gate_accept_reported_limit(g, &req->notice);
	verdict = lw_quarantine_verdict(g->quarantine, &print.value, g->evloop->now_us);
	count_submitted(g, req);
	server_load(g, &st.load);
	st.work_us = g->by_kind ? lw_worktable_us(&g->work, req->kind, st.load.service_us) : 0;
	g->arrived_us += st.work_us;
	candidate = waiter_of(g, &st, req);
	st.slot_wait_us = lw_gate_slot_wait_us(g, &candidate);
	st.ahead = (uint32_t)lw_waitq_count_ahead(&g->queue, &candidate);
	st.rate_wait_ms = lw_ratelimit_wait_ms(&g->ratelimit, st.ahead, g->evloop->now_us);
	*retry_after_ms = lw_admit_retry_after_ms(&st.load);
	stop = judge_stop(g, &st, req);
	*why = refusal_reason(g, &stop, req);
	if (!*why && !quarantine_admits(g, verdict, &print.value))
		*why = LW_FAIL_BUSY;
	if (!*why)
		*why = lw_gate_admit(&st, req);
	if (*why) {
		g->stats.refused[*why]++;
		g->stats.paced += *why == LW_FAIL_BUSY && st.rate_wait_ms;
		return NULL;
	}
	j = lw_job_new(g, sink, req);
	j->print = print;
	j->stop = stop;
	j->tried_alone = verdict == LW_QUARANTINE_TRIAL;
	j->fin = fin;
	lw_bytebuf_append_str(&j->body, body);
	g->ncalls++;
	HASH_ADD_KEYPTR(hh, g->by_id, j->request_id, strlen(j->request_id), j);
	j->waiter = candidate;
	if (lw_gate_starts_at_once(g, &candidate)) {
		lw_gate_count_start(g, &j->waiter);
		return start_arrived(j, why) ? &j->call : NULL;
	}
	g->queued_bytes += body.len;
	lw_waitq_push(&g->queue, &j->waiter);
	ev_timer_again(g->evloop->loop, &g->expiry_timer);
	return &j->call;
}

/* lw_gate_oldest_us() - age of the oldest call, at least 1; 0: there are no calls. */
uint64_t lw_gate_oldest_us(const lw_gate_t *g)
{
	/* the hash table keeps the order of insertion */
	return g->by_id ? g->evloop->now_us - g->by_id->arrived_us + 1 : 0;
}

/* lw_gate_reject_queued() - reject all queued requests with @why. */
void lw_gate_reject_queued(lw_gate_t *g, lw_fail_t why)
{
	lw_waiter_t *w;

	while ((w = g->queue.first) != NULL)
		lw_job_fail(lw_job_of_waiter(w), why);
}

/*
 * lw_gate_server_down() - the backend server accepted no connection. The queued requests would
 * fail the same way one after the other, so they are rejected at once, while there is still time
 * to send them to another server.
 */
void lw_gate_server_down(lw_gate_t *g)
{
	if (g->evloop->now_us < g->down_until_us) {
		lw_gate_confirm_crash(g);
		return;
	}
	g->down_until_us = g->evloop->now_us + DOWN_RETRY_US;
	lw_log(LW_LOG_backend_error, "server=%s why=no_connection queued=%zu", g->server_id,
	       g->queue.len);
	lw_gate_reject_queued(g, LW_FAIL_NO_SERVER);
	lw_gate_confirm_crash(g);
}

/* nothing known about the previous process applies to the new one */
static void forget_server(lw_gate_t *g)
{
	g->replaced_id = lw_name_none;
	g->down_until_us = 0;
	g->failing = 0;
	g->reported_busy = 0;
	g->machine = (lw_machine_t){ 0 };
	g->started_since_report = 0;
	lw_gate_forget_kinds(g);
	lw_handback_reset(&g->handback);
}

/*
 * lw_gate_set_server() - set the registration of the backend server on this host. If the server is
 * leaving, all queued requests are rejected at once.
 */
void lw_gate_set_server(lw_gate_t *g, const lw_place_host_t *server)
{
	bool other = strcmp(g->server_id, server->id) != 0;
	bool restarted = !other && g->server_born_ms && server->born_ms != g->server_born_ms;

	if (server->slots && server->slots != g->slots) {
		g->slots = server->slots;
		g->limit = lw_admit_limit(server->slots);
	}
	if (other || restarted)
		forget_server(g);
	if (other)
		lw_gate_server_changed(g, server);
	else if (restarted)
		lw_gate_process_changed(g, server);
	g->server_id = server->id;
	g->server_born_ms = server->born_ms;
	g->notice.server = lw_notice_server_digest(server->id);
	g->notice.born_ms = server->born_ms;
	g->list_draining |= server->list_draining;
	lw_gate_set_leaving(g, server->list_draining || server->doubt_until_us);
}

/*
 * lw_gate_set_leaving() - set whether the server list says that the backend server accepts no new
 * work.
 */
void lw_gate_set_leaving(lw_gate_t *g, bool leaving)
{
	g->leaving = leaving;
	if (leaving)
		lw_gate_reject_queued(g, LW_FAIL_LEAVING);
}

static lw_job_t *job_by_id(const lw_gate_t *g, lw_str_t id)
{
	lw_job_t *j;

	HASH_FIND(hh, g->by_id, id.ptr, id.len, j);
	return j;
}

/*
 * lw_gate_parent() - look up the request with @id and return in @out what a nested call inherits
 * from it. Returns false if no such request is queued or executing here.
 */
bool lw_gate_parent(const lw_gate_t *g, lw_str_t id, lw_gate_parent_t *out)
{
	const lw_job_t *j = job_by_id(g, id);

	if (!j)
		return false;
	*out = (lw_gate_parent_t){ j->rank, j->repeat, j->call_retried, j->target_us };
	return true;
}

/*
 * lw_gate_note_call() - add the load reported with the answer to a nested call to its parent
 * request @parent_id.
 */
void lw_gate_note_call(lw_gate_t *g, lw_str_t parent_id, const lw_load_t *load)
{
	lw_job_t *j = job_by_id(g, parent_id);

	if (!j)
		return;
	if (load->depth + 1 > j->depth)
		j->depth = load->depth + 1;
	if (load->retry_used > j->retry_used)
		j->retry_used = load->retry_used;
	for (uint32_t i = 0; i < load->hots.n; i++)
		lw_path_levels_add(&j->hots, &load->hots.hot[i]);
}

/* lw_gate_note_failure() - record that a nested call of request @parent_id failed. */
void lw_gate_note_failure(lw_gate_t *g, lw_str_t parent_id)
{
	lw_job_t *j = job_by_id(g, parent_id);

	if (j)
		j->call_failed = true;
}

/* lw_gate_note_retry() - record that a nested call of request @parent_id is retried. */
void lw_gate_note_retry(lw_gate_t *g, lw_str_t parent_id)
{
	lw_job_t *j = job_by_id(g, parent_id);

	if (j)
		j->call_retried = true;
}

/* lw_gate_init() - initialise the gate of the backend server named in the settings. */
void lw_gate_init(lw_gate_t *g, lw_evloop_t *evloop, lw_quarantine_t *quarantine,
		  const lw_retryallowance_t *retry_allowance)
{
	memset(g, 0, sizeof(*g));
	g->server_id = g->replaced_id = lw_name_none;
	g->evloop = evloop;
	g->quarantine = quarantine;
	g->retry_allowance = retry_allowance;
	g->limit = lw_admit_limit(0);
	g->service_us = SERVICE_INITIAL_US;
	ev_timer_init(&g->expiry_timer, on_expiry_timer, 0, EXPIRY_INTERVAL_S);
	g->expiry_timer.data = g;
	lw_gate_level_init(g);
	lw_gate_crash_init(g);
	lw_evloop_on_tick(evloop, lw_gate_close_expired_idle, g);
}

/*
 * Start and stop of the node, and the exchange of events and effects between
 * its threads and the reducer. The thread that received a request also serves
 * it: the thread passes events to the reducer under the node lock and waits on
 * the request's condition variable for the effect on this request.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "linux/clock.h"
#include "log.h"
#include "node_int.h"
#include "xalloc.h"

#define RECORDS_TICK_MS 500 /* interval of the expiry of records */
#define ALIVE_TICK_MS	100
#define PAUSE_MIN_MS	500 /* a timer gap of at least this length: the process was paused */
#define NAIVE_WORKERS	1024
#define LINGER_QUIET_MS 300 /* after a drain: exit once no request has arrived for this time */
#define LINGER_MAX_MS	2000 /* after a drain: exit at the latest after this time */
#define WAIT_POLL_MS	5
#define LAST_ANSWERS_MS 500 /* at the exit: answers in progress are sent within this time */
#define LAST_READ_MS	100 /* the last answers are read before the sockets are closed */

static void log_effect(lw_node_t *n, const lw_effect_t *fx)
{
	const lw_peer_t *p = lw_peerset_get(n->policy->info.peers, (int)fx->a);

	switch (fx->log_id) {
	case LW_LOG_peer_suspected:
	case LW_LOG_peer_recovered:
	case LW_LOG_peer_draining:
		lw_log((lw_event_id_t)fx->log_id, "peer=%s fails=%lld", p ? p->addr : "?",
		       (long long)fx->b);
		break;
	case LW_LOG_late_reply_dropped:
		lw_counter_add(n->count.late_replies, 1);
		lw_log(LW_LOG_late_reply_dropped, "call=%lld peer=%lld", (long long)fx->a,
		       (long long)fx->b);
		break;
	case LW_LOG_request_shed:
		lw_log(LW_LOG_request_shed, "class=%s inflight=%lld",
		       lw_class_name((lw_class_t)fx->a), (long long)fx->b);
		break;
	case LW_LOG_deadline_rejected:
		lw_log(LW_LOG_deadline_rejected, "left_ms=%lld usual_ms=%lld", (long long)fx->a,
		       (long long)fx->b);
		break;
	case LW_LOG_retry:
		lw_log(LW_LOG_retry, "call=%lld attempt=%lld", (long long)fx->a, (long long)fx->b);
		break;
	case LW_LOG_retry_denied:
		lw_log(LW_LOG_retry_denied, "call=%lld used=%lld", (long long)fx->a,
		       (long long)fx->b);
		break;
	case LW_LOG_queue_timeout:
		lw_log(LW_LOG_queue_timeout, "call=%lld class=%s", (long long)fx->a,
		       lw_class_name((lw_class_t)fx->b));
		break;
	case LW_LOG_drain_started:
		lw_log(LW_LOG_drain_started, "inflight=%lld queued=%lld", (long long)fx->a,
		       (long long)fx->b);
		break;
	default:
		lw_log((lw_event_id_t)fx->log_id, "a=%lld b=%lld", (long long)fx->a,
		       (long long)fx->b);
	}
}

static void answer_call(lw_call_t *c, const lw_effect_t *e)
{
	c->state = LW_CALL_ANSWERED;
	c->res.outcome = e->kind == LW_FX_REPLAY ? LW_DONE : e->outcome;
	c->res.reason = e->reason;
	c->res.retry_after_ms = e->retry_after_ms;
	c->res.retries_used = e->retries_used;
	c->res.no_retry = e->no_retry;
	c->res.answer = lw_answer_ref(e->answer);
	if (e->kind == LW_FX_REPLAY)
		c->res.retries_used = c->res.answer->retries_used;
}

static void send_call(lw_call_t *c, const lw_effect_t *e)
{
	c->state = LW_CALL_SEND;
	c->peer = e->peer;
	c->attempt = e->attempt;
	c->timeout_ms = e->timeout_ms;
	c->probe_ms = e->probe_ms;
	c->depth = e->depth;
	c->retry_budget = e->retry_budget;
}

/* the thread abandoned its request while the request was queued: free the slot */
static void release_abandoned(lw_node_t *n, uint64_t id)
{
	lw_event_t ev = {
		.kind = LW_EV_IN_DONE, .id = id, .outcome = LW_NOT_RUN, .reason = LW_R_DEADLINE
	};

	lw_node_step(n, &ev);
}

/* apply one effect; called with the node lock held */
static void apply_effect(lw_node_t *n, const lw_effect_t *e)
{
	lw_call_t *c = NULL;

	HASH_FIND(hh, n->calls, &e->id, sizeof(e->id), c);
	switch (e->kind) {
	case LW_FX_ADMIT:
		if (!c) {
			release_abandoned(n, e->id);
			return;
		}
		c->state = LW_CALL_ADMITTED;
		c->retry_budget = e->retry_budget;
		break;
	case LW_FX_ANSWER:
	case LW_FX_REPLAY:
		if (c)
			answer_call(c, e);
		break;
	case LW_FX_LOOKUP:
		if (c)
			c->state = LW_CALL_LOOKUP;
		break;
	case LW_FX_SEND:
		if (c)
			send_call(c, e);
		break;
	case LW_FX_RECORD:
		n->query_state = e->record;
		n->query_answer = lw_answer_ref(e->answer);
		return;
	case LW_FX_RELEASE:
		lw_answer_unref(e->answer);
		return;
	case LW_FX_ARM:
		lw_timer_arm(n->timer, n->tick_sub, e->at_ms);
		return;
	case LW_FX_LOG:
		log_effect(n, e);
		return;
	case LW_FX_EXIT:
		n->exit_ready = true;
		return;
	case LW_FX_QUEUE:
		return;
	}
	if (c)
		pthread_cond_signal(&c->cond);
}

/*
 * lw_node_step() - pass @ev to the reducer and apply its effects. The caller
 * holds the node lock; this function sets the event's time.
 */
void lw_node_step(lw_node_t *n, lw_event_t *ev)
{
	lw_effects_t fx = { 0 };

	ev->now_ms = lw_now_ms();
	n->policy->ops->step(n->policy, ev, &fx);
	for (size_t i = 0; i < fx.n; i++)
		apply_effect(n, &fx.fx[i]);
	lw_effects_free(&fx);
}

/* lw_node_call_open() - assign an id to @c and register it for effects; lock held. */
lw_call_t *lw_node_call_open(lw_node_t *n, lw_call_t *c)
{
	memset(c, 0, sizeof(*c));
	c->id = ++n->next_id;
	c->state = LW_CALL_WAIT;
	lw_cond_init_monotonic(&c->cond);
	HASH_ADD(hh, n->calls, id, sizeof(c->id), c);
	return c;
}

/* lw_node_call_close() - unregister @c: effects no longer reach it; lock held. */
void lw_node_call_close(lw_node_t *n, lw_call_t *c)
{
	HASH_DEL(n->calls, c);
	pthread_cond_destroy(&c->cond);
}

/* lw_node_load_permille() - running and queued requests per limit, in per mille; sent to peers. */
uint32_t lw_node_load_permille(const lw_node_t *n)
{
	const lw_policy_info_t *in = &n->policy->info;

	return in->limit > 0 ? (uint32_t)(1000.0 * (in->inflight + in->queued) / in->limit) : 0;
}

/*
 * lw_node_paused_ms() - length in ms of a pause of the process that has just
 * ended, or 0 if there was none. Requests that waited in the sockets during the
 * pause have that much less time left; executing them without the deduction
 * would be work for callers that have already timed out.
 */
uint32_t lw_node_paused_ms(lw_node_t *n)
{
	uint64_t alive = __atomic_load_n(&n->last_alive_ms, __ATOMIC_RELAXED);
	uint64_t now = lw_now_ms();

	if (now < alive + PAUSE_MIN_MS)
		return 0;
	lw_counter_add(n->count.late_wakes, 1);
	return (uint32_t)(now - alive);
}

/* lw_node_joined() - false while the node has to reject requests; see heartbeat.c. */
bool lw_node_joined(const lw_node_t *n)
{
	return __atomic_load_n(&n->joined, __ATOMIC_ACQUIRE) != 0;
}

static void on_alive(void *ctx, uint64_t now)
{
	lw_node_t *n = ctx;

	__atomic_store_n(&n->last_alive_ms, now, __ATOMIC_RELAXED);
}

static void on_tick(void *ctx, uint64_t now)
{
	lw_node_t *n = ctx;
	lw_event_t ev = { .kind = LW_EV_TICK };

	(void)now;
	pthread_mutex_lock(&n->lock);
	lw_node_step(n, &ev);
	pthread_mutex_unlock(&n->lock);
}

static void make_counters(lw_node_t *n)
{
	const char *svc = n->set.service;
	char labels[96];

	for (int c = 0; c < LW_CLASS_COUNT; c++)
		for (int o = 0; o < 3; o++) {
			snprintf(labels, sizeof(labels),
				 "service=\"%.40s\",class=\"%s\",outcome=\"%s\"", svc,
				 lw_class_name((lw_class_t)c), lw_outcome_name((lw_outcome_t)o));
			n->count.answers[c][o] =
				lw_counter_new("lw_requests_total",
					       "inbound requests answered, by outcome", labels);
		}
	for (int o = 0; o < 3; o++) {
		snprintf(labels, sizeof(labels), "service=\"%.40s\",outcome=\"%s\"", svc,
			 lw_outcome_name((lw_outcome_t)o));
		n->count.outbound[o] = lw_counter_new("lw_outbound_total",
						      "calls of the local backend server", labels);
	}
	n->count.late_replies = lw_counter_new(
		"lw_late_replies_total", "replies dropped: the caller had an answer already", "");
	n->count.heartbeats = lw_counter_new("lw_heartbeats_total", "heartbeats sent to peers", "");
	n->count.config_fetches =
		lw_counter_new("lw_config_fetches_total", "configurations fetched from a peer", "");
	n->count.control_bytes = lw_counter_new("lw_control_bytes_total",
						"bytes of heartbeats and configurations", "");
	n->count.late_wakes =
		lw_counter_new("lw_late_wakes_total", "requests read after a process pause", "");
}

static uint64_t new_incarnation(void)
{
	uint64_t v = 0;

	while (v == 0)
		if (getrandom(&v, sizeof(v), 0) != sizeof(v))
			v = lw_now_us() ^ (uint64_t)getpid() << 40;
	return v;
}

/*
 * lw_node_start() - start a node with settings @s: its HTTP, peer and
 * admin listeners, the configuration watch, heartbeats and timers.
 * Returns LW_ERR_IO if an address cannot be bound; the message names it.
 */
lw_status_t lw_node_start(const lw_settings_t *s, lw_node_t **out)
{
	lw_node_t *n = xcalloc(1, sizeof(*n));
	uint32_t workers;
	lw_status_t st;

	n->set = *s;
	if (!n->set.advertise[0])
		memcpy(n->set.advertise, n->set.peer_listen, sizeof(n->set.advertise));
	n->incarnation = new_incarnation();
	n->last_alive_ms = lw_now_ms();
	pthread_mutex_init(&n->lock, NULL);
	pthread_mutex_init(&n->config_lock, NULL);
	lw_cond_init_monotonic(&n->config_cond);
	n->policy = lw_policy_new(s->policy, s->zone, s->backend_slots, n->incarnation);
	n->pool = lw_pool_new();
	/* the baseline admits all requests, so the worker count must not limit its calls */
	workers = strcmp(s->policy, "naive") == 0 ? NAIVE_WORKERS : s->backend_slots;
	n->backend = lw_backend_new(s->backend, workers, lw_inbound_backend_done, n);
	make_counters(n);
	signal(SIGPIPE, SIG_IGN);
	n->timer = lw_timer_start();
	n->tick_sub = lw_timer_subscribe(n->timer, RECORDS_TICK_MS, on_tick, n);
	lw_timer_subscribe(n->timer, ALIVE_TICK_MS, on_alive, n);
	if ((st = lw_peersrv_start(n)) ||
	    (st = lw_httpd_start(s->listen, lw_inbound_http, n, &n->http)) ||
	    (st = lw_httpd_start(s->admin, lw_adminpage_http, n, &n->admin)))
		return st; /* the process exits, so nothing is released */
	lw_confwatch_start(n);
	lw_heartbeat_start(n);
	lw_log(LW_LOG_started, "service=%s zone=%s listen=%s peer=%s admin=%s backend=%s policy=%s",
	       s->service, s->zone, s->listen, n->set.advertise, s->admin, s->backend, s->policy);
	*out = n;
	return LW_OK;
}

/* lw_node_drain() - reject new requests with not_run+draining; finish those in progress. */
void lw_node_drain(lw_node_t *n)
{
	lw_event_t ev = { .kind = LW_EV_DRAIN };
	bool first;

	pthread_mutex_lock(&n->lock);
	first = !n->policy->info.draining;
	lw_node_step(n, &ev);
	pthread_mutex_unlock(&n->lock);
	if (first)
		lw_heartbeat_notify_callers(n);
}

/* every request that was read has its answer sent */
static bool all_answered(lw_node_t *n)
{
	return __atomic_load_n(&n->serving, __ATOMIC_ACQUIRE) == 0 && lw_httpd_active(n->http) == 0;
}

/* lw_node_drained() - true once a drain was started and no request is in progress. */
bool lw_node_drained(lw_node_t *n)
{
	bool ready;

	pthread_mutex_lock(&n->lock);
	ready = n->exit_ready;
	pthread_mutex_unlock(&n->lock);
	/* exiting would truncate an answer that has not been sent completely */
	return ready && all_answered(n);
}

/* LINGER_QUIET_MS have passed since the drain ended and since the last request began */
static bool callers_quiet(lw_node_t *n, uint64_t drained_at, uint64_t now)
{
	uint64_t last = lw_httpd_last_ms(n->http);

	return now - (last > drained_at ? last : drained_at) >= LINGER_QUIET_MS;
}

/*
 * lw_node_wait() - wait until a drain has finished or the drain timeout has
 * passed. The drain has finished when every request that was read has its
 * answer sent, and callers have stopped sending requests or have had
 * LINGER_MAX_MS to receive "not run" and an orderly close of their persistent
 * connections. What still arrives gets its answer in lw_node_stop().
 * Returns 0 when drained, 1 on timeout.
 */
int lw_node_wait(lw_node_t *n)
{
	uint64_t until = lw_now_ms() + n->set.drain_timeout_ms;
	uint64_t drained_at = 0;

	for (;;) {
		uint64_t now = lw_now_ms();
		bool drained = lw_node_drained(n);

		if (drained && !drained_at)
			drained_at = now;
		if (drained &&
		    (callers_quiet(n, drained_at, now) || now - drained_at >= LINGER_MAX_MS))
			return 0;
		if (now >= until)
			return 1;
		usleep(WAIT_POLL_MS * 1000);
	}
}

/*
 * Requests arrive until the listeners are closed, and the kernel accepts them for a process that
 * exits. A request that ends with a reset connection counts as possibly executed at its sender,
 * and no node has a record of it. So each connection ends with the answer "not run".
 */
static void end_connections(lw_node_t *n)
{
	uint64_t until = lw_now_ms() + LAST_ANSWERS_MS;

	lw_inbound_end(n);
	lw_peersrv_end(n);
	while (!all_answered(n) && lw_now_ms() < until)
		usleep(WAIT_POLL_MS * 1000);
	usleep(LAST_READ_MS * 1000);
}

/*
 * lw_node_stop() - end the connections to @n with an answer and stop its listeners; the process
 * exits afterwards.
 */
void lw_node_stop(lw_node_t *n)
{
	__atomic_store_n(&n->stopping, 1, __ATOMIC_RELAXED);
	end_connections(n);
	lw_timer_stop(n->timer);
	lw_httpd_stop(n->http);
	close(n->peer_fd);
	/* exit() ends the threads in long polls and on idle connections */
}

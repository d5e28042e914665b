/* Admission to the backend server on this host; see gate.h. */
#include "gate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "admit.h"
#include "log.h"
#include "xalloc.h"

/* an answer up to this size is passed on in one piece */
#define ANSWER_WHOLE_BYTES 32768
/* the backend server is given so much more time to answer at its deadline, ms */
#define DEADLINE_SLACK_MS 150
/* what a body of a request still queued may hold in memory, in bytes */
#define QUEUE_BYTES_MAX (32u * 1024 * 1024)
/* waiting requests are looked through for expired ones so often, in seconds */
#define EXPIRY_STEP_S 0.02
/* weight of one more request in the average time a request runs */
#define SERVICE_EWMA 0.05
/* first guess of that time, before any request has run, us */
#define SERVICE_FIRST_US 50000
/* an idle connection is not used in the last part of the announced limit, us */
#define IDLE_MARGIN_US 1500000
/* an idle connection without an announced limit is used so long, us */
#define IDLE_DEFAULT_US 4000000

/* a request that runs so many times as long as usual may have lost its answer */
#define LOST_FACTOR   8
#define LOST_LEAST_US 100000
/* steps without work after which the level's timer stops */
#define QUIET_STEPS 20

typedef struct lw_job {
	lw_call_t call;
	lw_waiter_t waiter;
	lw_gate_t *gate;
	lw_bconn_t *conn; /* NULL while queued */
	lw_bytebuf_t head;
	lw_bytebuf_t body; /* of the request, while queued */
	lw_bytebuf_t answer; /* collected up to ANSWER_WHOLE_BYTES */
	lw_answer_t answer_head;
	lw_bytebuf_t answer_head_text;
	char *request_id; /* of any length: ids of nested calls grow with their depth */
	char target[LW_NAME_MAX];
	int64_t body_length;
	uint64_t deadline_us;
	uint64_t came_us;
	uint64_t started_us; /* 0 while queued */
	size_t unacked; /* body bytes queued to the connection, not yet credited */
	size_t head_left; /* bytes of the head not yet written */
	int64_t window; /* answer bytes the sink will still take */
	ev_timer timer;
	bool fin; /* the request's body is complete */
	bool head_passed; /* the sink has the head of the answer */
	bool not_run; /* the backend server says that it did not run it */
	bool dead;
	uint32_t rank;
	bool repeat;
	bool call_failed; /* a call made for it failed */
	uint32_t depth; /* levels of calls below it, as far as told */
	lw_hots_t hots; /* told by the answers to its calls */
	UT_hash_handle hh;
} lw_job_t;

#define JOB_OF_WAITER(w) ((lw_job_t *)(void *)((char *)(w)-offsetof(lw_job_t, waiter)))

static void dispatch(lw_gate_t *g);

/* slots of the backend server that are in use */
static uint32_t occupied(const lw_gate_t *g)
{
	return g->running > g->lost ? g->running - g->lost : 0;
}

/* lw_gate_load() - what callers are told of the backend server. */
void lw_gate_load(const lw_gate_t *g, lw_load_t *out)
{
	out->running = occupied(g);
	out->level = g->level.level;
	out->queued = (uint32_t)g->queue.len;
	out->limit = g->limit;
	out->service_us = (uint32_t)g->service_us;
	out->leaving = g->leaving || g->hub->leaving;
	out->call_failed = false;
	out->depth = 0;
	out->hots.n = 0;
}

/* the same, and what the job's own calls were told */
static void job_load(const lw_job_t *j, lw_load_t *out)
{
	lw_gate_load(j->gate, out);
	out->call_failed = j->call_failed;
	out->depth = j->depth;
	for (uint32_t i = 0; i < j->hots.n; i++)
		lw_hots_add(&out->hots, j->hots.hot[i].service, j->hots.hot[i].level);
}

static void job_release(lw_job_t *j)
{
	lw_gate_t *g = j->gate;

	if (j->dead)
		return;
	j->dead = true;
	ev_timer_stop(g->hub->loop, &j->timer);
	if (j->started_us) {
		g->running--;
	} else {
		lw_waitq_remove(&g->queue, &j->waiter);
		g->queued_bytes -= lw_bytebuf_len(&j->body);
	}
	g->ncalls--;
	HASH_DEL(g->by_id, j);
	lw_bytebuf_free(&j->head);
	lw_bytebuf_free(&j->body);
	lw_bytebuf_free(&j->answer);
	lw_bytebuf_free(&j->answer_head_text);
	free(j->request_id);
	j->request_id = NULL;
	lw_hub_free_later(g->hub, j);
}

static void job_fail(lw_job_t *j, lw_fail_t why)
{
	lw_gate_t *g = j->gate;
	lw_sink_t *sink = j->call.sink;
	lw_load_t load;

	if (j->dead)
		return;
	g->stats.refused[why]++;
	lw_log(LW_LOG_call_ended,
	       "id=%s server=%s why=%s ran_ms=%llu waited_ms=%llu running=%u queued=%zu limit=%u",
	       j->request_id, j->target, lw_fail_name(why),
	       j->started_us ? (unsigned long long)((g->hub->now_us - j->started_us) / 1000) : 0,
	       (unsigned long long)(((j->started_us ? j->started_us : g->hub->now_us) -
				     j->came_us) /
				    1000),
	       g->running, g->queue.len, g->limit);
	if (j->conn) {
		lw_bconn_close(j->conn);
		j->conn = NULL;
	}
	job_load(j, &load);
	job_release(j);
	sink->ops->fail(sink, why, lw_admit_retry_after_ms(&load), &load);
	dispatch(g);
}

static void on_job_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	job_fail(w->data, LW_FAIL_TIMEOUT);
}

static void pass_answer(lw_job_t *j, bool fin)
{
	lw_sink_t *sink = j->call.sink;
	lw_str_t body = { lw_bytebuf_head(&j->answer), lw_bytebuf_len(&j->answer) };
	lw_load_t load;

	if (!j->head_passed) {
		j->head_passed = true;
		job_load(j, &load);
		if (fin && j->answer_head.body_length < 0)
			j->answer_head.body_length = (int64_t)body.len;
		j->answer_head.head = (lw_str_t){ lw_bytebuf_head(&j->answer_head_text),
						  lw_bytebuf_len(&j->answer_head_text) };
		j->window -= (int64_t)body.len;
		sink->ops->answer(sink, &j->answer_head, body, fin, &load);
	} else {
		j->window -= (int64_t)body.len;
		sink->ops->data(sink, body, fin);
	}
	if (!j->dead)
		lw_bytebuf_consume(&j->answer, body.len);
}

static void on_written(void *user, size_t bytes)
{
	lw_job_t *j = user;
	size_t of_head = bytes < j->head_left ? bytes : j->head_left;
	size_t credit;

	j->head_left -= of_head;
	credit = bytes - of_head;
	if (credit > j->unacked)
		credit = j->unacked;
	j->unacked -= credit;
	if (credit && !j->fin)
		j->call.sink->ops->credit(j->call.sink, (uint32_t)credit);
}

/* the backend server's own figures; what it runs beside our requests counts too */
static void learn_load(lw_gate_t *g, lw_str_t value)
{
	char text[64];
	unsigned running, waiting, slots;

	if (!value.ptr || value.len >= sizeof(text))
		return;
	memcpy(text, value.ptr, value.len);
	text[value.len] = '\0';
	if (sscanf(text, "%u,%u,%u", &running, &waiting, &slots) != 3 || !slots)
		return;
	if (slots != g->slots) {
		g->slots = slots;
		g->limit = lw_admit_limit(slots);
	}
	g->tells_load = true;
	g->told_busy = running + waiting;
	g->since_told = 0;
}

/*
 * A backend server that loses answers has room although its requests seem to
 * run: each would hold a slot here until its deadline, and with three answers
 * in ten lost nine slots in ten were held so. A request counts as lost when
 * it takes far longer than usual and the server says that it runs fewer.
 */
static void count_lost(lw_gate_t *g)
{
	uint64_t limit_us = (uint64_t)(g->service_us * LOST_FACTOR);
	uint32_t known = g->told_busy + g->since_told;
	uint32_t overdue = 0;

	if (limit_us < LOST_LEAST_US)
		limit_us = LOST_LEAST_US;
	g->lost = 0;
	if (!g->tells_load || g->running <= known)
		return;
	for (const lw_job_t *j = g->by_id; j; j = j->hh.next)
		overdue += j->started_us && g->hub->now_us - j->started_us > limit_us;
	g->lost = overdue < g->running - known ? overdue : g->running - known;
}

/*
 * A faulty server may send a second answer late, at the place of the next
 * one. The caller would get another request's data; only the id tells.
 */
static bool on_head(void *user, const lw_httphead_t *h)
{
	lw_job_t *j = user;
	lw_gate_t *g = j->gate;
	lw_str_t id = lw_httphead_find(h, LW_HEADER_REQUEST_ID);
	bool not_run = lw_httphead_find(h, LW_HEADER_NOT_RUN).ptr || h->status == 421;

	learn_load(g, lw_httphead_find(h, LW_HEADER_LOAD));
	if (j->request_id[0] && !lw_str_eq_c(id, j->request_id) && !(not_run && !id.ptr)) {
		g->stats.invalid_answers++;
		return false;
	}
	j->not_run = not_run;
	j->answer_head.status = h->status;
	j->answer_head.body_length = h->body_length < 0 ? -1 : h->body_length;
	lw_httphead_forward(h, &j->answer_head_text);
	return true;
}

static void on_body(void *user, lw_str_t data)
{
	lw_job_t *j = user;

	if (j->not_run)
		return;
	lw_bytebuf_append_str(&j->answer, data);
	if (j->head_passed || lw_bytebuf_len(&j->answer) > ANSWER_WHOLE_BYTES)
		pass_answer(j, false);
	if (!j->dead && j->window <= 0)
		lw_bconn_pause(j->conn, true);
}

static void keep_connection(lw_gate_t *g, lw_bconn_t *c);

static void on_done(void *user, bool reusable)
{
	lw_job_t *j = user;
	lw_gate_t *g = j->gate;
	lw_bconn_t *c = j->conn;
	uint64_t took = g->hub->now_us - j->started_us;

	/* a request that is not read to its end leaves bytes the server may misread */
	if (!j->fin || j->unacked)
		reusable = false;
	j->conn = NULL;
	if (reusable)
		keep_connection(g, c);
	else
		lw_bconn_close(c);
	if (j->not_run) {
		job_fail(j, j->answer_head.status == 421 ? LW_FAIL_MISDIRECTED : LW_FAIL_SHED);
		return;
	}
	g->service_us += SERVICE_EWMA * ((double)took - g->service_us);
	g->stats.answered++;
	/* told after this request has left, so that its place shows as free */
	g->running--;
	pass_answer(j, true);
	g->running++;
	job_release(j);
	dispatch(g);
}

static void on_broken(void *user, bool sent)
{
	lw_job_t *j = user;

	j->conn = NULL;
	job_fail(j, sent ? LW_FAIL_BROKEN : LW_FAIL_NO_SERVER);
}

static const lw_bconn_ops_t conn_ops = {
	.written = on_written,
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.broken = on_broken,
};

/* an idle connection ended: drop it from the list */
static void on_idle_end(void *ctx)
{
	lw_gate_t *g = ctx;
	lw_bconn_t **at = &g->idle;

	while (*at) {
		if ((*at)->closed) {
			*at = (*at)->next;
			g->nidle--;
		} else {
			at = &(*at)->next;
		}
	}
}

static void keep_connection(lw_gate_t *g, lw_bconn_t *c)
{
	lw_bconn_idle(c);
	c->on_idle_end = on_idle_end;
	c->idle_ctx = g;
	c->next = g->idle;
	g->idle = c;
	g->nidle++;
}

static uint64_t idle_limit_us(const lw_bconn_t *c)
{
	uint64_t limit = (uint64_t)c->idle_limit_s * 1000000;

	if (!limit)
		return IDLE_DEFAULT_US;
	return limit > 2 * IDLE_MARGIN_US ? limit - IDLE_MARGIN_US : limit / 2;
}

/*
 * A server closes an idle connection without a word at its limit; a request
 * sent at that moment is lost, and one that may not be repeated fails.
 */
static void close_old_idle(void *ctx)
{
	lw_gate_t *g = ctx;

	for (lw_bconn_t *c = g->idle; c; c = c->next)
		if (g->hub->now_us - c->idle_since_us > idle_limit_us(c))
			lw_bconn_close(c);
	on_idle_end(g);
}

static lw_bconn_t *take_connection(lw_gate_t *g)
{
	lw_bconn_t *c;

	close_old_idle(g);
	c = g->idle;
	if (c) {
		g->idle = c->next;
		g->nidle--;
		return c;
	}
	g->stats.connections++;
	return lw_bconn_open(g->hub, g->hub->set->backend);
}

/* body bytes to the connection, framed as the head said */
static void send_body(lw_job_t *j, lw_str_t data, bool fin)
{
	char line[32];

	if (data.len) {
		if (j->body_length < 0) {
			snprintf(line, sizeof(line), "%zx\r\n", data.len);
			lw_bconn_queue(j->conn, lw_str_c(line));
		}
		lw_bconn_queue(j->conn, data);
		if (j->body_length < 0)
			lw_bconn_queue(j->conn, LW_STR("\r\n"));
		j->unacked += data.len;
	}
	if (fin && j->body_length < 0)
		lw_bconn_queue(j->conn, LW_STR("0\r\n\r\n"));
}

static uint32_t time_left_ms(const lw_job_t *j)
{
	uint64_t now = j->gate->hub->now_us;

	return j->deadline_us > now ? (uint32_t)((j->deadline_us - now) / 1000) : 0;
}

static void send_head(lw_job_t *j)
{
	const lw_wirenames_t *names = j->gate->hub->names;
	lw_bytebuf_t *h = &j->head;
	const char *method = lw_bytebuf_head(h);

	lw_httphead_framing(h, j->body_length, *method != 'P');
	lw_bytebuf_printf(h, "%s: %u\r\n", names->header[LW_HEADER_DEADLINE], time_left_ms(j));
	if (j->target[0])
		lw_bytebuf_printf(h, "%s: %s\r\n", names->header[LW_HEADER_TARGET], j->target);
	lw_bytebuf_append_c(h, "\r\n");
	j->head_left = lw_bytebuf_len(h);
	lw_bconn_queue(j->conn, (lw_str_t){ lw_bytebuf_head(h), j->head_left });
}

static void start_job(lw_job_t *j)
{
	lw_gate_t *g = j->gate;
	bool is_head =
		lw_bytebuf_len(&j->head) > 5 && memcmp(lw_bytebuf_head(&j->head), "HEAD ", 5) == 0;

	j->conn = take_connection(g);
	j->started_us = g->hub->now_us;
	g->running++;
	g->since_told++;
	if (!j->conn) {
		job_fail(j, LW_FAIL_NO_SERVER);
		return;
	}
	g->stats.started++;
	lw_histogram_add(&g->stats.wait, j->started_us - j->came_us);
	lw_bconn_start(j->conn, &conn_ops, j, is_head);
	send_head(j);
	lw_bytebuf_free(&j->head);
	send_body(j, (lw_str_t){ lw_bytebuf_head(&j->body), lw_bytebuf_len(&j->body) }, j->fin);
	lw_bytebuf_free(&j->body);
	ev_timer_init(&j->timer, on_job_timeout, 0, 0);
	ev_timer_set(&j->timer, (time_left_ms(j) + DEADLINE_SLACK_MS) / 1000.0, 0);
	j->timer.data = j;
	ev_timer_start(g->hub->loop, &j->timer);
	lw_bconn_flush(j->conn);
}

/* start what may start now */
static void dispatch(lw_gate_t *g)
{
	while (g->queue.first && occupied(g) < g->limit) {
		lw_waiter_t *w = lw_waitq_pop(&g->queue);
		lw_job_t *j = JOB_OF_WAITER(w);

		g->queued_bytes -= lw_bytebuf_len(&j->body);
		start_job(j);
	}
	if (!g->queue.first)
		ev_timer_stop(g->hub->loop, &g->expiry);
}

static void on_expiry(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_waiter_t *x;

	(void)loop;
	(void)revents;
	while ((x = lw_waitq_expired(&g->queue, g->hub->now_us)) != NULL)
		job_fail(JOB_OF_WAITER(x), LW_FAIL_EXPIRED);
	dispatch(g);
}

static void job_body(lw_call_t *call, lw_str_t data, bool fin)
{
	lw_job_t *j = (lw_job_t *)call;

	if (j->dead)
		return;
	j->fin = fin;
	if (!j->conn) {
		lw_bytebuf_append_str(&j->body, data);
		j->gate->queued_bytes += data.len;
		return;
	}
	send_body(j, data, fin);
	lw_bconn_flush(j->conn);
}

static void job_credit(lw_call_t *call, uint32_t bytes)
{
	lw_job_t *j = (lw_job_t *)call;

	if (j->dead)
		return;
	j->window += bytes;
	if (j->conn && j->conn->paused && j->window > 0)
		lw_bconn_pause(j->conn, false);
}

/*
 * The caller left: closing the connection makes the backend server drop the
 * request, which otherwise runs on for nobody.
 */
static void job_cancel(lw_call_t *call)
{
	lw_job_t *j = (lw_job_t *)call;
	lw_gate_t *g = j->gate;

	if (j->dead)
		return;
	if (j->conn) {
		lw_bconn_close(j->conn);
		j->conn = NULL;
	}
	job_release(j);
	dispatch(g);
}

static const lw_call_ops_t job_ops = {
	.body = job_body,
	.credit = job_credit,
	.cancel = job_cancel,
};

static lw_job_t *job_new(lw_gate_t *g, lw_sink_t *sink, const lw_ask_t *ask)
{
	lw_job_t *j = xcalloc(1, sizeof(*j));

	j->call.ops = &job_ops;
	j->call.sink = sink;
	j->gate = g;
	j->body_length = ask->body_length;
	j->came_us = g->hub->now_us;
	j->deadline_us = g->hub->now_us + (uint64_t)ask->deadline_ms * 1000;
	j->window = LW_CALL_WINDOW;
	j->waiter.priority = ask->rank / LW_RANKS_PER_PRIORITY;
	j->rank = ask->rank;
	j->repeat = ask->repeat;
	lw_bytebuf_append_str(&j->head, ask->head);
	j->request_id = lw_str_dup(ask->request_id);
	lw_str_copy(j->target, sizeof(j->target), ask->target);
	ev_timer_init(&j->timer, on_job_timeout, 0, 0);
	return j;
}

static lw_fail_t refusal(const lw_gate_t *g, const lw_ask_t *ask)
{
	if (g->leaving && (!ask->target.len || lw_str_eq_c(ask->target, g->server_id)))
		return LW_FAIL_LEAVING;
	if (g->queued_bytes > QUEUE_BYTES_MAX)
		return LW_FAIL_BUSY;
	return LW_FAIL_NONE;
}

/*
 * lw_gate_submit() - hand a request to the backend server or to the queue in
 * front of it. Returns the call, whose outcome @sink will hear; or NULL with
 * the reason in @why and when to come back, and @sink is not called.
 */
lw_call_t *lw_gate_submit(lw_gate_t *g, lw_sink_t *sink, const lw_ask_t *ask, lw_str_t body,
			  bool fin, lw_fail_t *why, uint32_t *retry_after_ms)
{
	lw_waiter_t probe = { .priority = ask->rank / LW_RANKS_PER_PRIORITY };
	lw_admit_state_t st;
	lw_job_t *j;

	lw_level_arrival(&g->level, ask->rank);
	if (!ev_is_active(&g->step))
		ev_timer_again(g->hub->loop, &g->step);
	lw_gate_load(g, &st.load);
	probe.expires_us = g->hub->now_us + (uint64_t)lw_admit_wait_ms(&st, ask) * 1000;
	st.ahead = (uint32_t)lw_waitq_ahead(&g->queue, &probe);
	*retry_after_ms = lw_admit_retry_after_ms(&st.load);
	*why = refusal(g, ask);
	if (!*why)
		*why = lw_admit(&st, ask);
	if (*why) {
		g->stats.refused[*why]++;
		return NULL;
	}
	j = job_new(g, sink, ask);
	j->fin = fin;
	lw_bytebuf_append_str(&j->body, body);
	g->ncalls++;
	HASH_ADD_KEYPTR(hh, g->by_id, j->request_id, strlen(j->request_id), j);
	if (occupied(g) < g->limit && !g->queue.first) {
		start_job(j);
		return &j->call;
	}
	j->waiter.expires_us = probe.expires_us;
	g->queued_bytes += body.len;
	lw_waitq_push(&g->queue, &j->waiter);
	ev_timer_again(g->hub->loop, &g->expiry);
	return &j->call;
}

/*
 * lw_gate_set_server() - the backend server on this host as it registered
 * itself. When it is leaving, what still waits is handed back at once.
 */
void lw_gate_set_server(lw_gate_t *g, const char *id, uint32_t slots, bool leaving)
{
	lw_waiter_t *w;

	if (slots && slots != g->slots) {
		g->slots = slots;
		g->limit = lw_admit_limit(slots);
	}
	lw_str_copy(g->server_id, sizeof(g->server_id), lw_str_c(id));
	g->leaving = leaving;
	while (leaving && (w = g->queue.first) != NULL)
		job_fail(JOB_OF_WAITER(w), LW_FAIL_LEAVING);
}

static lw_job_t *job_by_id(const lw_gate_t *g, lw_str_t id)
{
	lw_job_t *j;

	HASH_FIND(hh, g->by_id, id.ptr, id.len, j);
	return j;
}

/*
 * lw_gate_parent() - whether the request with @id runs here, and what a call
 * made for it takes over: its rank, and that it was sent before.
 */
bool lw_gate_parent(const lw_gate_t *g, lw_str_t id, uint32_t *rank, bool *repeat)
{
	const lw_job_t *j = job_by_id(g, id);

	if (!j)
		return false;
	*rank = j->rank;
	*repeat = j->repeat;
	return true;
}

/* lw_gate_note_call() - what the answer to a call of request @parent_id told. */
void lw_gate_note_call(lw_gate_t *g, lw_str_t parent_id, const lw_load_t *load)
{
	lw_job_t *j = job_by_id(g, parent_id);

	if (!j)
		return;
	if (load->depth + 1 > j->depth)
		j->depth = load->depth + 1;
	for (uint32_t i = 0; i < load->hots.n; i++)
		lw_hots_add(&j->hots, load->hots.hot[i].service, load->hots.hot[i].level);
}

/* lw_gate_note_failure() - a call made for request @parent_id failed. */
void lw_gate_note_failure(lw_gate_t *g, lw_str_t parent_id)
{
	lw_job_t *j = job_by_id(g, parent_id);

	if (j)
		j->call_failed = true;
}

static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_level_input_t in = { (uint32_t)g->queue.len, occupied(g), g->limit, g->service_us };
	bool quiet = !g->ncalls && !g->level.arrivals && g->level.level == LW_LEVEL_OPEN;

	(void)revents;
	g->quiet_steps = quiet ? g->quiet_steps + 1 : 0;
	lw_level_step(&g->level, &in);
	count_lost(g);
	if (g->queue.first)
		dispatch(g);
	if (g->quiet_steps > QUIET_STEPS)
		ev_timer_stop(loop, &g->step);
}

/* lw_gate_init() - a gate in front of the backend server of the settings. */
void lw_gate_init(lw_gate_t *g, lw_hub_t *hub)
{
	memset(g, 0, sizeof(*g));
	g->hub = hub;
	g->limit = lw_admit_limit(0);
	g->service_us = SERVICE_FIRST_US;
	ev_timer_init(&g->expiry, on_expiry, 0, EXPIRY_STEP_S);
	g->expiry.data = g;
	lw_level_init(&g->level);
	ev_timer_init(&g->step, on_step, 0, LW_LEVEL_STEP_MS / 1000.0);
	g->step.data = g;
	lw_hub_on_tick(hub, close_old_idle, g);
}

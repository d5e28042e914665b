/* Admission to the backend server on this host; see gate.h. */
#include "gate_int.h"

#include <math.h>
#include <string.h>

#include "admit.h"
#include "log.h"
#include "stopplan.h"

/* what a body of a request still queued may hold in memory, in bytes */
#define QUEUE_BYTES_MAX (32u * 1024 * 1024)
/* waiting requests are looked through for expired ones so often, in seconds */
#define EXPIRY_STEP_S 0.02
/* first guess of that time, before any request has run, us */
#define SERVICE_FIRST_US 50000
/* a request that runs so many times as long as usual may have lost its answer */
#define LOST_FACTOR   8
#define LOST_LEAST_US 100000
/* the average of failures fades by this in each step: it halves in about 3 s */
#define FAILING_FADES 0.977
/* the longest run of late counts half after this, us */
#define LONGEST_HALVES_US 7000000
/* a server that took no connection is tried again after this, us */
#define DOWN_US 250000
/* steps without work after which the level's timer stops */
#define QUIET_STEPS 20
/* a limit below this counts as this one in the level, requests a second */
#define LEVEL_LEAST_PER_S 0.1
#define JOB_OF_WAITER(w)  ((lw_job_t *)(void *)((char *)(w)-offsetof(lw_job_t, waiter)))

/* slots of the backend server that are in use */
static uint32_t occupied(const lw_gate_t *g)
{
	return g->running > g->lost ? g->running - g->lost : 0;
}

/* what is known of the backend server here */
static void own_load(const lw_gate_t *g, lw_load_t *out)
{
	out->running = occupied(g);
	out->level = g->level.level;
	out->failing = (uint32_t)(g->failing * 1000);
	out->queued = (uint32_t)g->queue.len;
	out->limit = g->refusing ? 0 : g->limit;
	out->service_us = (uint32_t)g->service_us;
	out->leaving = lw_gate_leaving(g) || g->refusing || g->evloop->peers_notified;
	out->down = g->evloop->now_us < g->down_until_us;
	out->call_failed = false;
	out->ran_us = 0;
	out->depth = 0;
	out->retry_used = 0;
	out->hots.n = 0;
	out->notice = g->notice.leaving || g->notice.limited ? g->notice : (lw_notice_t){ 0 };
}

/*
 * lw_gate_load() - what others are told of the backend server. One that takes only so
 * many requests a second has no more slots for them than these keep busy: by its own
 * slots it would look idle, and be sent what has to come back.
 */
void lw_gate_load(const lw_gate_t *g, lw_load_t *out)
{
	uint32_t slots = lw_pace_slots(&g->pace, g->service_us);

	own_load(g, out);
	if (out->limit > slots)
		out->limit = slots;
}

/* lw_gate_learn_load() - the backend server's own figures; what it runs beside our requests counts too */
void lw_gate_learn_load(lw_gate_t *g, lw_str_t value)
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
		overdue += j->started_us && g->evloop->now_us - j->started_us > limit_us;
	g->lost = overdue < g->running - known ? overdue : g->running - known;
}

/* the longest run of late; it fades with time, also while nothing runs */
static double longest_run_us(const lw_gate_t *g)
{
	return g->longest_us *
	       exp2(-(double)(g->evloop->now_us - g->longest_at_us) / LONGEST_HALVES_US);
}

/* lw_gate_ran() - a run took @took_us. */
void lw_gate_ran(lw_gate_t *g, uint64_t took_us)
{
	if ((double)took_us < longest_run_us(g))
		return;
	g->longest_us = (double)took_us;
	g->longest_at_us = g->evloop->now_us;
}

/* whether a request that starts after @wait_us is over before this process exits */
static bool ends_in_time(const lw_gate_t *g, uint64_t wait_us, uint64_t deadline_us)
{
	const lw_evloop_t *evloop = g->evloop;
	uint64_t left_us = evloop->exit_us > evloop->now_us ? evloop->exit_us - evloop->now_us : 0;

	return !evloop->exit_us ||
	       lw_stopplan_takes(left_us, wait_us, (uint64_t)longest_run_us(g), deadline_us);
}

/* what waits, once its turn has come: started, or handed back as it would meet the exit */
static void start_next(lw_gate_t *g)
{
	lw_job_t *j = JOB_OF_WAITER(g->queue.first);
	uint64_t now_us = g->evloop->now_us;
	uint64_t left_us = j->deadline_us > now_us ? j->deadline_us - now_us : 0;

	if (!ends_in_time(g, 0, left_us)) {
		lw_job_fail(j, LW_FAIL_LEAVING);
		return;
	}
	lw_waitq_pop(&g->queue);
	g->queued_bytes -= lw_bytebuf_len(&j->body);
	lw_job_start(j);
}

/* lw_gate_dispatch() - start what may start now */
void lw_gate_dispatch(lw_gate_t *g)
{
	while (g->queue.first && occupied(g) < g->limit &&
	       lw_pace_ready(&g->pace, g->evloop->now_us))
		start_next(g);
	if (!g->queue.first)
		ev_timer_stop(g->evloop->loop, &g->expiry);
}

static void on_expiry(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_waiter_t *x;

	(void)loop;
	(void)revents;
	while ((x = lw_waitq_expired(&g->queue, g->evloop->now_us)) != NULL)
		lw_job_fail(JOB_OF_WAITER(x), LW_FAIL_EXPIRED);
	lw_gate_dispatch(g);
}

static lw_fail_t refusal(const lw_gate_t *g, const lw_admit_state_t *st, const lw_ask_t *ask)
{
	if (lw_gate_leaving(g) && (!ask->target.len || lw_str_eq_c(ask->target, g->server_id)))
		return LW_FAIL_LEAVING;
	if (g->refusing)
		return LW_FAIL_LEAVING;
	if (!ends_in_time(g, (uint64_t)lw_admit_expected_wait_ms(st) * 1000,
			  (uint64_t)ask->deadline_ms * 1000))
		return LW_FAIL_LEAVING;
	if (g->evloop->now_us < g->down_until_us)
		return LW_FAIL_NO_SERVER;
	if (ask->target.len && lw_str_eq_c(ask->target, g->replaced_id))
		return LW_FAIL_NO_SERVER;
	if (g->queued_bytes > QUEUE_BYTES_MAX)
		return LW_FAIL_BUSY;
	return LW_FAIL_NONE;
}

static lw_waiter_t waiter_of(const lw_gate_t *g, const lw_admit_state_t *st, const lw_ask_t *ask)
{
	uint64_t left_us = (uint64_t)ask->target_left_ms * 1000;

	return (lw_waiter_t){
		.priority = ask->rank / LW_RANKS_PER_PRIORITY,
		.late = left_us < (uint64_t)g->service_us,
		.target_us = g->evloop->now_us + left_us,
		.expires_us = g->evloop->now_us + (uint64_t)lw_admit_wait_ms(st, ask) * 1000,
	};
}

/* what servers ended under is given to this one alone, or not at all */
static bool may_be_given(const lw_gate_t *g, lw_quarantine_verdict_t verdict,
			 const lw_fingerprint_t *print)
{
	if (verdict == LW_QUARANTINE_CLEAR)
		return true;
	for (const lw_job_t *j = g->by_id; j; j = j->hh.next)
		if (j->print.value.whole == print->whole)
			return false;
	return verdict == LW_QUARANTINE_TRIAL;
}

/*
 * lw_gate_submit() - hand a request to the backend server or to the queue in
 * front of it. Returns the call, whose outcome @sink will hear; or NULL with
 * the reason in @why and when to come back, and @sink is not called.
 */
lw_call_t *lw_gate_submit(lw_gate_t *g, lw_sink_t *sink, const lw_ask_t *ask, lw_str_t body,
			  bool fin, lw_fail_t *why, uint32_t *retry_after_ms)
{
	lw_quarantine_verdict_t verdict;
	lw_fingerprinter_t print;
	lw_waiter_t probe;
	lw_admit_state_t st;
	lw_job_t *j;

	lw_fingerprinter_begin(&print, ask->head, g->evloop->names->header[LW_HEADER_ORGANISATION]);
	lw_fingerprinter_body(&print, body, fin);
	lw_gate_take_word(g, &ask->notice);
	verdict = lw_quarantine_verdict(g->quarantine, &print.value, g->evloop->now_us);
	lw_level_arrival(&g->level, ask->rank);
	if (!ev_is_active(&g->step))
		ev_timer_again(g->evloop->loop, &g->step);
	own_load(g, &st.load);
	probe = waiter_of(g, &st, ask);
	st.ahead = (uint32_t)lw_waitq_ahead(&g->queue, &probe);
	st.pace_ms = lw_pace_wait_ms(&g->pace, st.ahead, g->evloop->now_us);
	*retry_after_ms = lw_admit_retry_after_ms(&st.load);
	*why = refusal(g, &st, ask);
	if (!*why && !may_be_given(g, verdict, &print.value))
		*why = LW_FAIL_BUSY;
	if (!*why)
		*why = lw_admit(&st, ask);
	if (*why) {
		g->stats.refused[*why]++;
		g->stats.paced += *why == LW_FAIL_BUSY && st.pace_ms;
		return NULL;
	}
	j = lw_job_new(g, sink, ask);
	j->print = print;
	j->tried = verdict == LW_QUARANTINE_TRIAL;
	j->fin = fin;
	lw_bytebuf_append_str(&j->body, body);
	g->ncalls++;
	HASH_ADD_KEYPTR(hh, g->by_id, j->request_id, strlen(j->request_id), j);
	if (occupied(g) < g->limit && !g->queue.first &&
	    lw_pace_ready(&g->pace, g->evloop->now_us)) {
		lw_job_start(j);
		return &j->call;
	}
	j->waiter = probe;
	g->queued_bytes += body.len;
	lw_waitq_push(&g->queue, &j->waiter);
	ev_timer_again(g->evloop->loop, &g->expiry);
	return &j->call;
}

/* lw_gate_oldest_us() - age of the oldest call here, at least 1; 0: there is none. */
uint64_t lw_gate_oldest_us(const lw_gate_t *g)
{
	/* the table keeps the order of insertion */
	return g->by_id ? g->evloop->now_us - g->by_id->came_us + 1 : 0;
}

/* lw_gate_hand_back() - what waits goes back unrun. */
void lw_gate_hand_back(lw_gate_t *g, lw_fail_t why)
{
	lw_waiter_t *w;

	while ((w = g->queue.first) != NULL)
		lw_job_fail(JOB_OF_WAITER(w), why);
}

/*
 * lw_gate_server_down() - the backend server took no connection. What waits
 * would meet the same one after the other; it goes elsewhere while there is time.
 */
void lw_gate_server_down(lw_gate_t *g)
{
	if (g->evloop->now_us < g->down_until_us) {
		lw_gate_look_down(g);
		return;
	}
	g->down_until_us = g->evloop->now_us + DOWN_US;
	lw_log(LW_LOG_backend_error, "server=%s why=no_connection queued=%zu", g->server_id,
	       g->queue.len);
	lw_gate_hand_back(g, LW_FAIL_NO_SERVER);
	lw_gate_look_down(g);
}

/*
 * lw_gate_refuse() - this node is about to exit: what waits is handed back,
 * nothing new is taken, what runs goes on.
 */
void lw_gate_refuse(lw_gate_t *g)
{
	g->refusing = true;
	lw_gate_hand_back(g, LW_FAIL_LEAVING);
}

/* what was learned of the process before says nothing of the new one */
static void forget_server(lw_gate_t *g, const lw_place_host_t *server)
{
	g->replaced_id[0] = '\0';
	g->down_until_us = 0;
	g->failing = 0;
	g->told_busy = 0;
	g->since_told = 0;
	/* what others told before the first list is of this process, unless they named another */
	if (g->server_id[0] || !lw_notice_is_of(&g->notice, server->id, server->born_ms))
		lw_gate_forget_notice(g);
}

/*
 * lw_gate_set_server() - the backend server on this host as it registered
 * itself. When it is leaving, what still waits is handed back at once.
 */
void lw_gate_set_server(lw_gate_t *g, const lw_place_host_t *server)
{
	bool other = strcmp(g->server_id, server->id) != 0;

	if (server->slots && server->slots != g->slots) {
		g->slots = server->slots;
		g->limit = lw_admit_limit(server->slots);
	}
	if (other || (g->server_born_ms && server->born_ms != g->server_born_ms))
		forget_server(g, server);
	lw_str_copy(g->server_id, sizeof(g->server_id), lw_str_c(server->id));
	g->server_born_ms = server->born_ms;
	g->notice.server = lw_notice_server(server->id);
	g->notice.born_ms = server->born_ms;
	/* told to nodes that start anew, too, whatever the store still has then */
	g->notice.leaving |= server->draining;
	lw_gate_set_leaving(g, server->draining);
}

/* lw_gate_set_leaving() - whether the list says that the backend server takes no new work. */
void lw_gate_set_leaving(lw_gate_t *g, bool leaving)
{
	g->leaving = leaving;
	if (leaving)
		lw_gate_hand_back(g, LW_FAIL_LEAVING);
}

static lw_job_t *job_by_id(const lw_gate_t *g, lw_str_t id)
{
	lw_job_t *j;

	HASH_FIND(hh, g->by_id, id.ptr, id.len, j);
	return j;
}

/*
 * lw_gate_parent() - whether the request with @id runs here, and what a call
 * made for it takes over.
 */
bool lw_gate_parent(const lw_gate_t *g, lw_str_t id, lw_gate_parent_t *out)
{
	const lw_job_t *j = job_by_id(g, id);

	if (!j)
		return false;
	*out = (lw_gate_parent_t){ j->rank, j->repeat, j->target_us };
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
	if (load->retry_used > j->retry_used)
		j->retry_used = load->retry_used;
	for (uint32_t i = 0; i < load->hots.n; i++)
		lw_hots_add(&j->hots, &load->hots.hot[i]);
}

/* lw_gate_note_failure() - a call made for request @parent_id failed. */
void lw_gate_note_failure(lw_gate_t *g, lw_str_t parent_id)
{
	lw_job_t *j = job_by_id(g, parent_id);

	if (j)
		j->call_failed = true;
}

/* a limit of requests a second is one slot that each of them holds for its part of a second */
static lw_level_input_t level_input(const lw_gate_t *g)
{
	uint32_t queued = (uint32_t)g->queue.len;
	double each_us = g->pace.on ? 1e6 / fmax(g->pace.per_s, LEVEL_LEAST_PER_S) : 0;

	if (each_us > g->service_us / g->limit)
		return (lw_level_input_t){ queued, occupied(g), 1, each_us };
	return (lw_level_input_t){ queued, occupied(g), g->limit, g->service_us };
}

static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	lw_gate_t *g = w->data;
	lw_level_input_t in = level_input(g);
	bool quiet = !g->ncalls && !g->level.arrivals && g->level.level == LW_LEVEL_OPEN;

	(void)revents;
	g->quiet_steps = quiet ? g->quiet_steps + 1 : 0;
	lw_level_step(&g->level, &in);
	g->failing *= FAILING_FADES;
	count_lost(g);
	if (g->queue.first)
		lw_gate_dispatch(g);
	if (g->quiet_steps > QUIET_STEPS)
		ev_timer_stop(loop, &g->step);
}

/* lw_gate_init() - a gate in front of the backend server of the settings. */
void lw_gate_init(lw_gate_t *g, lw_evloop_t *evloop, lw_quarantine_t *quarantine)
{
	memset(g, 0, sizeof(*g));
	g->evloop = evloop;
	g->quarantine = quarantine;
	g->limit = lw_admit_limit(0);
	g->service_us = SERVICE_FIRST_US;
	ev_timer_init(&g->expiry, on_expiry, 0, EXPIRY_STEP_S);
	g->expiry.data = g;
	lw_level_init(&g->level);
	lw_gate_look_init(g);
	ev_timer_init(&g->step, on_step, 0, LW_LEVEL_STEP_MS / 1000.0);
	g->step.data = g;
	lw_evloop_on_tick(evloop, lw_gate_close_old_idle, g);
}

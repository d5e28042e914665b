/* Calls to the local backend server; see backend.h. */
#include "backend.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpc.h"
#include "linux/clock.h"
#include "log.h"
#include "xalloc.h"

#define WORKER_STACK (256 * 1024)

typedef struct job {
	uint64_t id;
	lw_request_t rq; /* a private copy, as the caller may return first */
	uint32_t retry_budget;
	uint64_t deadline_at;
	struct job *next;
} job_t;

struct lw_backend {
	char addr[LW_NAME_MAX];
	uint32_t workers, workers_max;
	uint32_t idle; /* workers that wait for a job, also those that were woken for one */
	uint32_t queued; /* jobs that no worker has taken yet */
	pthread_mutex_t lock;
	pthread_cond_t more;
	job_t *head, **tail;
	bool down; /* the last connect failed; only changes are logged */
	lw_backend_done_fn done;
	void *ctx;
};

static lw_outcome_t outcome_parse(const char *s)
{
	if (strcmp(s, "not_run") == 0)
		return LW_NOT_RUN;
	if (strcmp(s, "unknown") == 0)
		return LW_UNKNOWN;
	return LW_DONE;
}

static lw_reason_t reason_parse(const char *s)
{
	for (int r = LW_R_NONE; r < LW_R_COUNT; r++)
		if (strcmp(s, lw_reason_name((lw_reason_t)r)) == 0)
			return (lw_reason_t)r;
	return LW_R_NONE;
}

static void note_reachable(lw_backend_t *b, bool reachable)
{
	bool was_down = __atomic_exchange_n(&b->down, !reachable, __ATOMIC_RELAXED);

	if (!reachable && !was_down)
		lw_log(LW_LOG_backend_error, "backend=%s", b->addr);
}

static void read_result(lw_backend_t *b, lw_http_reply_t *r, lw_backend_result_t *res)
{
	note_reachable(b, r->fail != LW_HTTPC_CONNECT);
	res->retries_used = r->retries_used;
	if (r->fail == LW_HTTPC_CONNECT) {
		res->outcome = LW_NOT_RUN;
		res->reason = LW_R_BACKEND_ERROR;
	} else if (r->fail) {
		res->outcome = LW_UNKNOWN;
		res->reason = LW_R_TIMEOUT;
	} else {
		res->outcome = outcome_parse(r->outcome);
		res->reason = reason_parse(r->reason);
	}
	if (res->outcome == LW_DONE) {
		res->answer = lw_answer_new(1, r->status, r->body, r->len, r->retries_used);
		r->body = NULL;
	}
}

static void run_job(lw_backend_t *b, lw_httpc_t *c, const job_t *j)
{
	const lw_request_t *rq = &j->rq;
	lw_http_hdr_t h[6] = { { "X-LW-Deadline-Ms", "" },     { "X-LW-Retry-Budget", "" },
			       { "X-LW-Idempotency-Key", "" }, { "X-LW-Request-Id", "" },
			       { "X-LW-Class", "" },	       { "X-LW-Parent", "" } };
	uint64_t now = lw_now_ms();
	uint32_t left = j->deadline_at > now ? (uint32_t)(j->deadline_at - now) : 1;
	const char *name = strchr(rq->route, '/');
	lw_backend_result_t res = { 0 };
	lw_http_reply_t r;

	snprintf(h[0].value, sizeof(h[0].value), "%u", left);
	snprintf(h[1].value, sizeof(h[1].value), "%u", j->retry_budget);
	snprintf(h[2].value, sizeof(h[2].value), "%s", rq->idem_key);
	snprintf(h[3].value, sizeof(h[3].value), "%s", rq->user_id);
	snprintf(h[4].value, sizeof(h[4].value), "%s", lw_class_name(rq->cls));
	snprintf(h[5].value, sizeof(h[5].value), "%llu", (unsigned long long)j->id);
	lw_httpc_call(c, "POST", name ? name : "/", h, 6, rq->body, (int)left, rq->idempotent, &r);
	res.latency_ms = (uint32_t)(lw_now_ms() - now);
	read_result(b, &r, &res);
	free(r.body);
	b->done(b->ctx, j->id, &res);
	lw_answer_unref(res.answer);
}

static void *worker_main(void *arg)
{
	lw_backend_t *b = arg;
	lw_httpc_t *c = lw_httpc_new(b->addr);

	for (;;) {
		job_t *j;

		pthread_mutex_lock(&b->lock);
		b->idle++;
		while (!b->head)
			pthread_cond_wait(&b->more, &b->lock);
		b->idle--;
		j = b->head;
		b->head = j->next;
		b->queued--;
		if (!b->head)
			b->tail = &b->head;
		pthread_mutex_unlock(&b->lock);
		run_job(b, c, j);
		free((char *)j->rq.body.ptr);
		free(j);
	}
	return NULL;
}

static void start_worker(lw_backend_t *b)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, WORKER_STACK);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, worker_main, b) == 0)
		b->workers++;
	pthread_attr_destroy(&attr);
}

/*
 * lw_backend_new() - create a client of the backend server at "ip:port" @addr, which at most
 * @workers_max threads call at once. @done is called with each result, from a worker thread. The
 * client lives as long as the process.
 */
lw_backend_t *lw_backend_new(const char *addr, uint32_t workers_max, lw_backend_done_fn done,
			     void *ctx)
{
	lw_backend_t *b = xcalloc(1, sizeof(*b));

	snprintf(b->addr, sizeof(b->addr), "%s", addr);
	b->workers_max = workers_max;
	b->done = done;
	b->ctx = ctx;
	b->tail = &b->head;
	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->more, NULL);
	return b;
}

/*
 * lw_backend_run() - execute request @rq on the backend server and report the result under @id.
 * @retry_budget: retries left for the request's nested calls, passed in a header.
 * @deadline_at_ms: monotonic time; the remaining time is passed in a header.
 */
void lw_backend_run(lw_backend_t *b, uint64_t id, const lw_request_t *rq, uint32_t retry_budget,
		    uint64_t deadline_at_ms)
{
	job_t *j = xcalloc(1, sizeof(*j));

	j->id = id;
	j->rq = *rq;
	j->rq.body.ptr = xstrndup(rq->body.ptr ? rq->body.ptr : "", rq->body.len);
	j->retry_budget = retry_budget;
	j->deadline_at = deadline_at_ms;
	pthread_mutex_lock(&b->lock);
	*b->tail = j;
	b->tail = &j->next;
	b->queued++;
	/* a worker that was woken for an earlier job is idle until it has taken that job */
	if (b->queued > b->idle && b->workers < b->workers_max)
		start_worker(b);
	pthread_cond_signal(&b->more);
	pthread_mutex_unlock(&b->lock);
}

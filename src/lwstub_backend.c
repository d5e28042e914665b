/*
 * lwstub-backend: a stub backend server for tests and the demo. It has a
 * number of slots and sheds requests (not_run, overloaded) when all are busy.
 * It simulates a service time, is slower while cold, calls other services
 * through its node, drains, and can be made slow. A request whose deadline
 * would pass is cancelled before its commit point and reported as "not run".
 * Once a downstream call that is not a read has been executed, the request is
 * never reported as "not run" but as "unknown"; --calls marks reads with "?".
 * Every committed execution is written to the log for the history checker:
 *   exec SERVICE ROUTE KEY REQUEST_ID
 */
#include <math.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "httpc.h"
#include "httpd.h"
#include "linux/clock.h"
#include "log.h"
#include "platconf.h"
#include "xalloc.h"

#define CALLS_MAX 16

typedef struct downstream {
	char route[LW_NAME_MAX]; /* this server's route */
	char target[LW_NAME_MAX]; /* "service/name" it calls */
	bool read; /* the call has no side effects */
} downstream_t;

static struct {
	char service[LW_NAME_MAX];
	char node[LW_NAME_MAX];
	unsigned slots;
	unsigned busy;
	unsigned queue, waiting; /* limit and number of the requests that wait for a slot */
	pthread_cond_t slot_free;
	double service_ms;
	unsigned cold_ms;
	uint64_t started_ms;
	unsigned extra_ms; /* injected slowness */
	bool draining;
	bool fake_healthy; /* report good health and no load in any case */
	unsigned lose_percent; /* of the requests: execute, then close without an answer */
	unsigned fail_percent; /* of the requests: execute, then answer 500 */
	downstream_t calls[CALLS_MAX];
	int ncalls;
	FILE *log;
	pthread_mutex_t lock;
	uint64_t execs;
} be = { .lock = PTHREAD_MUTEX_INITIALIZER };

static __thread lw_httpc_t *tl_node;
static __thread unsigned short tl_rng[3];

static void answer_not_run(lw_http_resp_t *resp, const char *reason)
{
	lw_http_set_header(resp, "X-LW-Outcome", "not_run");
	lw_http_set_header(resp, "X-LW-Reason", "%s", reason);
	lw_http_replyf(resp, 503, "not_run %s\n", reason);
}

/* take a slot; up to be.queue requests wait for one until @deadline_at */
static bool slot_acquire(uint64_t deadline_at)
{
	bool ok;

	pthread_mutex_lock(&be.lock);
	if (!be.draining && be.busy >= be.slots && be.waiting < be.queue) {
		be.waiting++;
		while (be.busy >= be.slots && lw_now_ms() < deadline_at)
			lw_cond_wait_until(&be.slot_free, &be.lock, deadline_at);
		be.waiting--;
	}
	ok = !be.draining && be.busy < be.slots;
	if (ok)
		be.busy++;
	pthread_mutex_unlock(&be.lock);
	return ok;
}

static void slot_release(void)
{
	pthread_mutex_lock(&be.lock);
	be.busy--;
	pthread_cond_signal(&be.slot_free);
	pthread_mutex_unlock(&be.lock);
}

/*
 * Service time in ms: exponential with scale be.service_ms, truncated at three
 * times the scale; three times longer while cold; extra_ms is added.
 */
static unsigned service_time(void)
{
	static unsigned short seeds;
	double u;

	if (!tl_rng[0]) {
		/* seeds differ by thread; otherwise each connection would have the same times */
		tl_rng[0] = (unsigned short)(__atomic_add_fetch(&seeds, 1, __ATOMIC_RELAXED) | 1);
		tl_rng[1] = (unsigned short)getpid();
		erand48(tl_rng);
	}
	u = erand48(tl_rng);
	double t = -be.service_ms * log(1.0 - u * 0.95);

	if (lw_now_ms() - be.started_ms < be.cold_ms)
		t *= 3;
	return (unsigned)t + __atomic_load_n(&be.extra_ms, __ATOMIC_RELAXED);
}

/*
 * Call the downstream services of @route in order. If a call fails, set @resp
 * to the answer to the request and return false. @retries is increased by the
 * retries of the calls; @had_effects is set after a call that is not a read.
 */
static bool call_downstream(const lw_http_req_t *req, const char *route, uint64_t deadline_at,
			    lw_http_resp_t *resp, unsigned *retries, bool *had_effects)
{
	const char *key = lw_http_header(req, "X-LW-Idempotency-Key");
	const char *uid = lw_http_header(req, "X-LW-Request-Id");
	const char *budget = lw_http_header(req, "X-LW-Retry-Budget");
	const char *parent = lw_http_header(req, "X-LW-Parent");

	for (int i = 0; i < be.ncalls; i++) {
		lw_http_hdr_t h[5] = { { "X-LW-Deadline-Ms", "" },
				       { "X-LW-Retry-Budget", "" },
				       { "X-LW-Idempotency-Key", "" },
				       { "X-LW-Request-Id", "" },
				       { "X-LW-Parent", "" } };
		char path[LW_NAME_MAX * 2];
		uint64_t now = lw_now_ms();
		lw_http_reply_t r;

		if (strcmp(be.calls[i].route, route))
			continue;
		if (!tl_node)
			tl_node = lw_httpc_new(be.node);
		snprintf(h[0].value, sizeof(h[0].value), "%llu",
			 (unsigned long long)(deadline_at > now ? deadline_at - now : 1));
		snprintf(h[1].value, sizeof(h[1].value), "%s", budget ? budget : "2");
		snprintf(h[2].value, sizeof(h[2].value), "%s%s%s", key ? key : "", key ? ":" : "",
			 key ? be.calls[i].target : "");
		snprintf(h[3].value, sizeof(h[3].value), "%s", uid ? uid : "");
		snprintf(h[4].value, sizeof(h[4].value), "%s", parent ? parent : "0");
		snprintf(path, sizeof(path), "/v1/out/%s", be.calls[i].target);
		lw_httpc_call(tl_node, "POST", path, h, 5, req->body,
			      (int)(deadline_at > now ? deadline_at - now : 1),
			      key == NULL || !key[0], &r);
		*retries += r.retries_used;
		if (r.fail || strcmp(r.outcome, "done") || r.status >= 500) {
			/*
			 * nothing is committed here, so the request has the callee's
			 * outcome; it is "unknown" if the callee reported none or "done"
			 * with an error, or if an earlier call had effects
			 */
			const char *o = r.fail || *had_effects || !r.outcome[0] ||
							strcmp(r.outcome, "done") == 0 ?
						"unknown" :
						r.outcome;

			lw_http_set_header(resp, "X-LW-Outcome", "%s", o);
			lw_http_set_header(resp, "X-LW-Reason", "%s",
					   r.reason[0] ? r.reason : "timeout");
			lw_http_set_header(resp, "X-LW-Retries-Used", "%u", *retries);
			lw_http_replyf(resp, 503, "%s from %s\n", o, be.calls[i].target);
			free(r.body);
			return false;
		}
		*had_effects |= !be.calls[i].read;
		free(r.body);
	}
	return true;
}

static void serve_work(const lw_http_req_t *req, lw_http_resp_t *resp)
{
	const char *route = req->url + 1;
	const char *dl = lw_http_header(req, "X-LW-Deadline-Ms");
	const char *key = lw_http_header(req, "X-LW-Idempotency-Key");
	const char *uid = lw_http_header(req, "X-LW-Request-Id");
	uint64_t start = lw_now_ms();
	uint64_t deadline_at = start + (dl ? strtoul(dl, NULL, 10) : 2000);
	unsigned retries = 0, t;
	bool had_effects = false;

	if (!slot_acquire(deadline_at)) {
		answer_not_run(resp, be.draining ? "draining" : "overloaded");
		return;
	}
	if (!call_downstream(req, route, deadline_at, resp, &retries, &had_effects)) {
		slot_release();
		return;
	}
	t = service_time();
	if (lw_now_ms() + t > deadline_at) {
		/* cancelled before the commit point: the request has no effect here */
		uint64_t now = lw_now_ms();

		if (deadline_at > now)
			usleep((useconds_t)(deadline_at - now) * 1000);
		slot_release();
		if (!had_effects) {
			answer_not_run(resp, "deadline");
			return;
		}
		lw_http_set_header(resp, "X-LW-Outcome", "unknown");
		lw_http_set_header(resp, "X-LW-Reason", "deadline");
		lw_http_replyf(resp, 504, "unknown deadline\n");
		return;
	}
	usleep(t * 1000);
	pthread_mutex_lock(&be.lock);
	__atomic_add_fetch(&be.execs, 1, __ATOMIC_RELAXED);
	if (be.log) {
		fprintf(be.log, "exec %s %s %s %s\n", be.service, route, key && key[0] ? key : "-",
			uid && uid[0] ? uid : "-");
		fflush(be.log);
	}
	pthread_mutex_unlock(&be.lock);
	slot_release();
	if (erand48(tl_rng) * 100 < __atomic_load_n(&be.lose_percent, __ATOMIC_RELAXED)) {
		resp->drop = true;
		return;
	}
	lw_http_set_header(resp, "X-LW-Outcome", "done");
	lw_http_set_header(resp, "X-LW-Retries-Used", "%u", retries);
	if (erand48(tl_rng) * 100 < __atomic_load_n(&be.fail_percent, __ATOMIC_RELAXED)) {
		lw_http_replyf(resp, 500, "failed %s %s\n", be.service, uid ? uid : "-");
		return;
	}
	lw_http_replyf(resp, 200, "ok %s %s %s\n", be.service, route, uid ? uid : "-");
	(void)start;
}

/* set the strength of an injected fault; without a value it is turned off */
static void set_fault(unsigned *fault, const char *value, lw_http_resp_t *resp)
{
	unsigned v = value ? (unsigned)strtoul(value, NULL, 10) : 0;

	__atomic_store_n(fault, v, __ATOMIC_RELAXED);
	lw_http_replyf(resp, 200, "%u\n", v);
}

static void on_request(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	(void)ctx;
	if (strcmp(req->url, "/health") == 0) {
		pthread_mutex_lock(&be.lock);
		bool ok = be.fake_healthy || (!be.draining && be.busy < be.slots);
		pthread_mutex_unlock(&be.lock);
		lw_http_replyf(resp, ok ? 200 : 503, ok ? "ok\n" : "busy\n");
	} else if (strcmp(req->url, "/load") == 0) {
		pthread_mutex_lock(&be.lock);
		lw_http_replyf(resp, 200, "busy %u\nslots %u\nexecs %llu\n",
			       be.fake_healthy ? 0 : be.busy, be.slots,
			       (unsigned long long)be.execs);
		pthread_mutex_unlock(&be.lock);
	} else if (strcmp(req->url, "/ctl/slow") == 0) {
		set_fault(&be.extra_ms, lw_http_arg(req, "ms"), resp);
	} else if (strcmp(req->url, "/ctl/lose") == 0) {
		set_fault(&be.lose_percent, lw_http_arg(req, "percent"), resp);
	} else if (strcmp(req->url, "/ctl/fail") == 0) {
		set_fault(&be.fail_percent, lw_http_arg(req, "percent"), resp);
	} else if (strcmp(req->url, "/ctl/drain") == 0) {
		pthread_mutex_lock(&be.lock);
		be.draining = true;
		pthread_mutex_unlock(&be.lock);
		lw_http_replyf(resp, 200, "draining\n");
	} else if (strcmp(req->url, "/ctl/lie") == 0) {
		be.fake_healthy = true;
		lw_http_replyf(resp, 200, "lying\n");
	} else {
		serve_work(req, resp);
	}
}

static int parse_calls(const char *spec)
{
	/* ROUTE=svc/name?,svc/name, where ? marks a read */
	const char *eq = strchr(spec, '=');
	char *list, *tok, *save;

	if (!eq)
		return -1;
	list = xstrdup(eq + 1);
	for (tok = strtok_r(list, ",", &save); tok && be.ncalls < CALLS_MAX;
	     tok = strtok_r(NULL, ",", &save)) {
		downstream_t *d = &be.calls[be.ncalls++];

		snprintf(d->route, sizeof(d->route), "%.*s", (int)(eq - spec), spec);
		d->read = tok[strlen(tok) - 1] == '?';
		if (d->read)
			tok[strlen(tok) - 1] = '\0';
		snprintf(d->target, sizeof(d->target), "%s", tok);
	}
	free(list);
	return 0;
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwstub-backend");
	struct arg_str *listen = arg_str0(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_str *service = arg_str0(NULL, "service", "NAME", "service name");
	struct arg_str *node =
		arg_str0(NULL, "node", "IP:PORT", "address of its lwnode for downstream calls");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "requests served at once (default 8)");
	struct arg_dbl *ms = arg_dbl0(NULL, "service-ms", "MS", "mean service time (default 5)");
	struct arg_int *cold =
		arg_int0(NULL, "cold-ms", "MS", "triple service time for this long after start");
	struct arg_str *calls = arg_strn(NULL, "calls", "ROUTE=SVC/NAME[?],..", 0, 8,
					 "downstream calls; ? marks reads");
	struct arg_file *logf = arg_file0(NULL, "log", "FILE", "execution log for history checks");
	struct arg_int *extra = arg_int0(NULL, "extra-ms", "MS", "added to every service time");
	struct arg_int *queue =
		arg_int0(NULL, "queue", "N", "requests that may wait for a slot (default 0)");
	struct arg_str *to =
		arg_str0(NULL, "to", "IP:PORT", "client mode: address of a running stub");
	struct arg_str *ctl =
		arg_str0(NULL, "ctl", "FAULT",
			 "client mode: slow?ms=N, lose?percent=N, fail?percent=N, drain, lie");
	void *table[] = { cli.help, cli.version, listen, service, node, slots, ms,     queue,
			  cold,	    calls,	 logf,	 extra,	  to,	ctl,   cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	char path[128];
	lw_httpd_t *h;
	sigset_t set;
	int sig;

	lw_log_init("lwstub-backend", LOG_INFO);
	if (rc != LW_CLI_RUN)
		return rc;
	if (to->count && ctl->count) {
		snprintf(path, sizeof(path), "/ctl/%s", ctl->sval[0]);
		return lw_httpc_command("lwstub-backend", to->sval[0], "POST", path,
					(lw_str_t){ NULL, 0 });
	}
	if (!listen->count || !service->count) {
		fprintf(stderr,
			"lwstub-backend: --listen and --service are required; see --help\n");
		return 2;
	}
	snprintf(be.service, sizeof(be.service), "%s", service->sval[0]);
	snprintf(be.node, sizeof(be.node), "%s", node->count ? node->sval[0] : "127.0.0.1:7100");
	be.slots = slots->count ? (unsigned)slots->ival[0] : 8;
	be.queue = queue->count ? (unsigned)queue->ival[0] : 0;
	lw_cond_init_monotonic(&be.slot_free);
	be.service_ms = ms->count ? ms->dval[0] : 5;
	be.cold_ms = cold->count ? (unsigned)cold->ival[0] : 0;
	be.started_ms = lw_now_ms();
	be.extra_ms = extra->count ? (unsigned)extra->ival[0] : 0;
	for (int i = 0; i < calls->count; i++)
		if (parse_calls(calls->sval[i])) {
			fprintf(stderr, "lwstub-backend: --calls must be ROUTE=SVC/NAME,...\n");
			return 2;
		}
	if (logf->count && !(be.log = fopen(logf->filename[0], "a"))) {
		fprintf(stderr, "lwstub-backend: cannot open %s\n", logf->filename[0]);
		return 2;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (lw_httpd_start(listen->sval[0], on_request, NULL, &h)) {
		fprintf(stderr, "lwstub-backend: %s\n", lw_error_last());
		return 1;
	}
	lw_log(LW_LOG_started, "service=%s listen=%s slots=%u", be.service, listen->sval[0],
	       be.slots);
	sigwait(&set, &sig);
	lw_log(LW_LOG_stopped, "signal=%d execs=%llu", sig,
	       (unsigned long long)__atomic_load_n(&be.execs, __ATOMIC_RELAXED));
	return 0;
}

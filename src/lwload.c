/*
 * lwload: the load generator. It sends a mix of routes to the nodes of their
 * services with open-loop (Poisson) arrivals. Clients can retry aggressively,
 * and an optional surge multiplies the rate of sheddable routes. lwload prints
 * "N done, N not_run, N unknown" per route, goodput, latency percentiles and
 * the recovery time, and can write a history file:
 *   invoke ID ROUTE KEY T_MS
 *   attempt ID NODE BEGIN_MS END_MS OUTCOME REASON ["ERROR"]   (unless done)
 *   complete ID OUTCOME STATUS T_MS ATTEMPTS REASON
 * Latency and deadline are measured from the time a request was due, not from
 * when a free client sent it, so that saturated clients do not hide the wait.
 */
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "httpc.h"
#include "linux/clock.h"
#include "lwload_int.h"
#include "platconf.h"
#include "policy.h"
#include "xalloc.h"

lw_load_run_t load_run = { .lock = PTHREAD_MUTEX_INITIALIZER,
			   .queue_changed = PTHREAD_COND_INITIALIZER };

static int parse_mix(const char *spec)
{
	/* service/name:weight[!][~], where ! is keyed (not idempotent) and ~ sheddable */
	char *s = xstrdup(spec), *tok, *save;

	for (tok = strtok_r(s, ",", &save); tok && load_run.nroutes < ROUTES_MAX;
	     tok = strtok_r(NULL, ",", &save)) {
		route_t *r = &load_run.routes[load_run.nroutes];
		char *slash = strchr(tok, '/'), *colon = strchr(tok, ':');

		if (!slash || !colon || colon < slash) {
			fprintf(stderr, "lwload: --mix item '%s' must be service/name:weight\n",
				tok);
			free(s);
			return -1;
		}
		snprintf(r->service, sizeof(r->service), "%.*s", (int)(slash - tok), tok);
		snprintf(r->name, sizeof(r->name), "%.*s", (int)(colon - slash - 1), slash + 1);
		r->weight = strtod(colon + 1, NULL);
		r->keyed = strchr(colon, '!') != NULL;
		r->sheddable = strchr(colon, '~') != NULL;
		load_run.nroutes++;
	}
	free(s);
	return 0;
}

static int parse_target(const char *spec)
{
	const char *eq = strchr(spec, '=');

	if (!eq || load_run.ntargets == TARGETS_MAX) {
		fprintf(stderr, "lwload: --node must be SERVICE=IP:PORT, got '%s'\n", spec);
		return -1;
	}
	snprintf(load_run.targets[load_run.ntargets].service, LW_NAME_MAX, "%.*s", (int)(eq - spec),
		 spec);
	snprintf(load_run.targets[load_run.ntargets].addr, LW_NAME_MAX, "%s", eq + 1);
	load_run.ntargets++;
	return 0;
}

static double rate_at(double t, const route_t *r, double total_weight)
{
	double rate = load_run.rate * r->weight / total_weight;

	if (r->sheddable && t >= load_run.surge_from && t < load_run.surge_to)
		rate *= load_run.surge_mult;
	return rate;
}

static void push(job_t j)
{
	pthread_mutex_lock(&load_run.lock);
	if (load_run.qlen == load_run.qcap) {
		load_run.dropped++; /* the clients are saturated; the report shows it */
	} else {
		load_run.queue[(load_run.qhead + load_run.qlen) % load_run.qcap] = j;
		load_run.qlen++;
		pthread_cond_signal(&load_run.queue_changed);
	}
	pthread_mutex_unlock(&load_run.lock);
}

static void *generator(void *arg)
{
	unsigned short rng[3] = { 1, 2, 3 };
	double total = 0, t = 0;
	uint64_t id = 0;

	(void)arg;
	for (int i = 0; i < load_run.nroutes; i++)
		total += load_run.routes[i].weight;
	while (t < load_run.seconds) {
		double sum = 0, pick;
		int r;

		for (int i = 0; i < load_run.nroutes; i++)
			sum += rate_at(t, &load_run.routes[i], total);
		t += -log(1.0 - erand48(rng)) / sum;
		pick = erand48(rng) * sum;
		for (r = 0; r < load_run.nroutes - 1; r++) {
			pick -= rate_at(t, &load_run.routes[r], total);
			if (pick < 0)
				break;
		}
		uint64_t due = load_run.t0 + (uint64_t)(t * 1000);
		uint64_t now = lw_now_ms();

		if (due > now)
			usleep((useconds_t)(due - now) * 1000);
		push((job_t){ ++id, r, due });
	}
	pthread_mutex_lock(&load_run.lock);
	load_run.done_generating = true;
	pthread_cond_broadcast(&load_run.queue_changed);
	pthread_mutex_unlock(&load_run.lock);
	return NULL;
}

/* the node of @service for attempt number @id; -1 if there is none */
static int target_for(const char *service, uint64_t id)
{
	int match[TARGETS_MAX], n = 0;

	for (int i = 0; i < load_run.ntargets; i++)
		if (strcmp(load_run.targets[i].service, service) == 0)
			match[n++] = i;
	return n ? match[id % (uint64_t)n] : -1;
}

static lw_httpc_t *client_for(lw_httpc_t **cache, int t)
{
	if (t < 0)
		return NULL;
	if (!cache[t])
		cache[t] = lw_httpc_new(load_run.targets[t].addr);
	return cache[t];
}

/* the final answer of a request */
typedef struct request_result {
	int outcome;
	int status;
	int attempts;
	char reason[24];
} request_result_t;

static void record(const job_t *j, const request_result_t *v)
{
	route_t *r = &load_run.routes[j->route];
	uint64_t end_us = lw_now_us();
	uint64_t lat = end_us - j->due_ms * 1000;
	bool good = v->outcome == LW_DONE && v->status < 500 && lat / 1000 <= load_run.deadline_ms;

	pthread_mutex_lock(&load_run.lock);
	r->n[v->outcome]++;
	r->good += good;
	if (load_run.nsamples == load_run.capsamples) {
		load_run.capsamples = load_run.capsamples ? load_run.capsamples * 2 : 4096;
		load_run.samples =
			xrealloc(load_run.samples, load_run.capsamples * sizeof(*load_run.samples));
	}
	load_run.samples[load_run.nsamples++] =
		(sample_t){ .second = (uint16_t)((j->due_ms - load_run.t0) / 1000),
			    .good = good,
			    .lat_us = (uint32_t)lat };
	load_run.attempts += (uint64_t)v->attempts;
	if (load_run.history)
		fprintf(load_run.history, "complete u%s-%llu %s %d %llu %d %s\n", load_run.run,
			(unsigned long long)j->id, lw_outcome_name((lw_outcome_t)v->outcome),
			v->status, (unsigned long long)(end_us / 1000 - load_run.t0), v->attempts,
			v->reason[0] ? v->reason : "-");
	pthread_mutex_unlock(&load_run.lock);
}

static int outcome_of(const lw_http_reply_t *r)
{
	if (r->fail == LW_HTTPC_CONNECT)
		return LW_NOT_RUN;
	if (r->fail)
		return LW_UNKNOWN;
	if (strcmp(r->outcome, "not_run") == 0)
		return LW_NOT_RUN;
	if (strcmp(r->outcome, "unknown") == 0)
		return LW_UNKNOWN;
	return LW_DONE;
}

static void job_path(const route_t *r, char *path, size_t len)
{
	if (load_run.path_mode == PATH_DIRECT)
		snprintf(path, len, "/%s", r->name);
	else if (load_run.path_mode == PATH_OUT)
		snprintf(path, len, "/v1/out/%s/%s", r->service, r->name);
	else
		snprintf(path, len, "/v1/call/%s", r->name);
}

static void check_own_answer(const lw_http_reply_t *rep, const char *user_id)
{
	/* lwstub-backend returns the request id in the body */
	if (rep->body && strstr(rep->body, user_id))
		return;
	pthread_mutex_lock(&load_run.lock);
	load_run.crossed_answers++;
	pthread_mutex_unlock(&load_run.lock);
}

/* what an attempt without the wanted answer met: the key to a request that ends "no_record" */
static void record_attempt(const char *id, const char *node, uint64_t begin_ms,
			   const lw_http_reply_t *rep)
{
	if (!load_run.history)
		return;
	pthread_mutex_lock(&load_run.lock);
	fprintf(load_run.history, "attempt %s %s %llu %llu %s %s \"%s\"\n", id, node,
		(unsigned long long)(begin_ms - load_run.t0),
		(unsigned long long)(lw_now_ms() - load_run.t0),
		lw_outcome_name((lw_outcome_t)outcome_of(rep)),
		rep->fail ? "no_answer" : rep->reason, rep->error);
	pthread_mutex_unlock(&load_run.lock);
}

static void run_job(lw_httpc_t **cache, const job_t *j)
{
	route_t *r = &load_run.routes[j->route];
	lw_http_hdr_t h[4] = { { "X-LW-Deadline-Ms", "" },
			       { "X-LW-Request-Id", "" },
			       { "X-LW-Repeat", "0" },
			       { "X-LW-Idempotency-Key", "" } };
	char path[LW_NAME_MAX * 2 + 16];
	uint64_t deadline_at = j->due_ms + load_run.deadline_ms;
	request_result_t v = { .outcome = LW_NOT_RUN };

	/* keys are unique to a run, or a node would replay the answer of an earlier run */
	snprintf(h[1].value, sizeof(h[1].value), "u%s-%llu", load_run.run,
		 (unsigned long long)j->id);
	snprintf(h[3].value, sizeof(h[3].value), "k%s-%llu", load_run.run,
		 (unsigned long long)j->id);
	job_path(r, path, sizeof(path));
	if (load_run.history) {
		pthread_mutex_lock(&load_run.lock);
		fprintf(load_run.history, "invoke %s %s/%s %s %llu\n", h[1].value, r->service,
			r->name, r->keyed ? h[3].value : "-",
			(unsigned long long)(j->due_ms - load_run.t0));
		pthread_mutex_unlock(&load_run.lock);
	}
	/* an aggressive client: it retries immediately and ignores Retry-After */
	while (v.attempts <= load_run.client_retries) {
		int t = target_for(r->service, j->id + (uint64_t)v.attempts);
		lw_httpc_t *c = client_for(cache, t);
		uint64_t now = lw_now_ms();
		lw_http_reply_t rep;

		if (!c || now >= deadline_at)
			break;
		snprintf(h[0].value, sizeof(h[0].value), "%llu",
			 (unsigned long long)(deadline_at - now));
		v.attempts++;
		lw_httpc_call(c, "POST", path, h, r->keyed ? 4 : 2, (lw_str_t){ "x", 1 },
			      (int)(deadline_at - now), !r->keyed, &rep);
		v.outcome = outcome_of(&rep);
		v.status = rep.status;
		snprintf(v.reason, sizeof(v.reason), "%s", rep.fail ? "no_answer" : rep.reason);
		if (v.outcome == LW_DONE)
			check_own_answer(&rep, h[1].value);
		else
			record_attempt(h[1].value, load_run.targets[t].addr, now, &rep);
		/* the request may have been executed: mark all further attempts as retries */
		if (v.outcome == LW_UNKNOWN)
			snprintf(h[2].value, sizeof(h[2].value), "1");
		free(rep.body);
		if (v.outcome == LW_DONE)
			break;
	}
	/* the last attempt was rejected, but an earlier one may have been executed */
	if (v.outcome == LW_NOT_RUN && h[2].value[0] == '1')
		v.outcome = LW_UNKNOWN;
	record(j, &v);
}

static void *worker(void *arg)
{
	lw_httpc_t *cache[TARGETS_MAX] = { 0 };

	(void)arg;
	for (;;) {
		job_t j;

		pthread_mutex_lock(&load_run.lock);
		while (load_run.qlen == 0 && !load_run.done_generating)
			pthread_cond_wait(&load_run.queue_changed, &load_run.lock);
		if (load_run.qlen == 0) {
			pthread_mutex_unlock(&load_run.lock);
			break;
		}
		j = load_run.queue[load_run.qhead];
		load_run.qhead = (load_run.qhead + 1) % load_run.qcap;
		load_run.qlen--;
		pthread_mutex_unlock(&load_run.lock);
		run_job(cache, &j);
	}
	for (int i = 0; i < TARGETS_MAX; i++)
		lw_httpc_free(cache[i]);
	return NULL;
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwload");
	struct arg_str *mix = arg_str1(NULL, "mix", "SVC/NAME:W[!][~],..",
				       "routes with weights; ! with idempotency key, ~ sheddable");
	struct arg_str *nodes =
		arg_strn(NULL, "node", "SVC=IP:PORT", 1, TARGETS_MAX, "a node of a service");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "requests per second (default 50)");
	struct arg_dbl *secs = arg_dbl0(NULL, "seconds", "S", "length of the run (default 5)");
	struct arg_int *workers = arg_int0(NULL, "workers", "N", "concurrent clients (default 32)");
	struct arg_int *dl =
		arg_int0(NULL, "deadline-ms", "MS", "deadline per user request (default 1000)");
	struct arg_int *retries =
		arg_int0(NULL, "client-retries", "N", "retries per request (default 0)");
	struct arg_str *surge =
		arg_str0(NULL, "surge", "FROM:TO:MULT",
			 "multiply the rate of sheddable routes by MULT from second FROM to TO");
	struct arg_file *hist = arg_file0(NULL, "history", "FILE", "write a history to FILE");
	struct arg_str *via =
		arg_str0(NULL, "via", "call|out|direct",
			 "send to a node as caller (default), to a node as backend server, or "
			 "directly to backend servers");
	void *table[] = { cli.help, cli.version, mix,	nodes, rate, secs,   workers,
			  dl,	    retries,	 surge, hist,  via,  cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	pthread_t gen, *ws;

	if (rc != LW_CLI_RUN)
		return rc;
	if (parse_mix(mix->sval[0]))
		return 2;
	for (int i = 0; i < nodes->count; i++)
		if (parse_target(nodes->sval[i]))
			return 2;
	if (via->count)
		load_run.path_mode = !strcmp(via->sval[0], "out")    ? PATH_OUT :
				     !strcmp(via->sval[0], "direct") ? PATH_DIRECT :
								       PATH_CALL;
	load_run.rate = rate->count ? rate->dval[0] : 50;
	load_run.seconds = secs->count ? secs->dval[0] : 5;
	load_run.workers = workers->count ? workers->ival[0] : 32;
	load_run.deadline_ms = dl->count ? (unsigned)dl->ival[0] : 1000;
	load_run.client_retries = retries->count ? retries->ival[0] : 0;
	if (surge->count && sscanf(surge->sval[0], "%lf:%lf:%lf", &load_run.surge_from,
				   &load_run.surge_to, &load_run.surge_mult) != 3) {
		fprintf(stderr,
			"lwload: --surge must be FROM:TO:MULT with times in seconds, e.g. 2:4:3\n");
		return 2;
	}
	if (hist->count && !(load_run.history = fopen(hist->filename[0], "w"))) {
		fprintf(stderr, "lwload: cannot write %s\n", hist->filename[0]);
		return 2;
	}
	load_run.qcap = 4096;
	load_run.queue = xcalloc(load_run.qcap, sizeof(*load_run.queue));
	load_run.t0 = lw_now_ms();
	snprintf(load_run.run, sizeof(load_run.run), "%x%llx", (unsigned)getpid(),
		 (unsigned long long)(lw_now_us() & 0xffffff));
	ws = xcalloc((size_t)load_run.workers, sizeof(*ws));
	for (int i = 0; i < load_run.workers; i++)
		pthread_create(&ws[i], NULL, worker, NULL);
	pthread_create(&gen, NULL, generator, NULL);
	pthread_join(gen, NULL);
	for (int i = 0; i < load_run.workers; i++)
		pthread_join(ws[i], NULL);
	if (load_run.history)
		fclose(load_run.history);
	lw_load_report();
	return 0;
}

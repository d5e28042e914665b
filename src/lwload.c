/*
 * lwload: the load and experiment tool. Open-loop arrivals (Poisson) of a
 * mix of routes sent to the nodes of their services, by clients that retry
 * hard if told to; an optional surge multiplies the sheddable routes' rate.
 * It prints per route "N done, N not_run, N unknown", goodput, latency
 * percentiles and the recovery time, and can write a history file:
 *   invoke ID ROUTE KEY T_MS
 *   complete ID OUTCOME STATUS T_MS ATTEMPTS
 */
#include <argtable2.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "httpc.h"
#include "linux/clock.h"
#include "platconf.h"
#include "policy.h"
#include "version.h"
#include "xalloc.h"

#define ROUTES_MAX  16
#define TARGETS_MAX 64
#define SECONDS_MAX 600

/* where requests are sent: a node's caller port, a node's outbound port
 * (both node passes of a call between services), or a backend directly */
typedef enum path_mode { PATH_CALL, PATH_OUT, PATH_DIRECT } path_mode_t;

typedef struct route {
	char service[LW_NAME_MAX];
	char name[LW_NAME_MAX];
	double weight;
	bool keyed; /* not idempotent: send an idempotency key */
	bool sheddable;
	uint64_t n[3];
	uint64_t good;
} route_t;

typedef struct target {
	char service[LW_NAME_MAX];
	char addr[LW_NAME_MAX];
} target_t;

typedef struct job {
	uint64_t id;
	int route;
	uint64_t due_ms;
} job_t;

static struct {
	route_t routes[ROUTES_MAX];
	int nroutes;
	target_t targets[TARGETS_MAX];
	int ntargets;
	double rate;
	double seconds;
	int workers;
	unsigned deadline_ms;
	int client_retries;
	double surge_from, surge_to, surge_mult;
	FILE *history;
	pthread_mutex_t lock;
	pthread_cond_t more;
	job_t *queue;
	size_t qhead, qlen, qcap;
	bool done_generating;
	uint64_t t0;
	uint32_t *lat_us;
	size_t nlat, caplat;
	uint64_t sec_total[SECONDS_MAX], sec_good[SECONDS_MAX];
	uint64_t dropped;
	uint64_t attempts;
	uint64_t crossed; /* answers that were not this caller's */
	char run[32]; /* this run's nonce, part of every id and key */
	path_mode_t path_mode;
} ld = { .lock = PTHREAD_MUTEX_INITIALIZER, .more = PTHREAD_COND_INITIALIZER };

static int parse_mix(const char *spec)
{
	/* service/name:weight[!][~] ; ! = keyed (not idempotent), ~ = sheddable */
	char *s = xstrdup(spec), *tok, *save;

	for (tok = strtok_r(s, ",", &save); tok && ld.nroutes < ROUTES_MAX;
	     tok = strtok_r(NULL, ",", &save)) {
		route_t *r = &ld.routes[ld.nroutes];
		char *slash = strchr(tok, '/'), *colon = strchr(tok, ':');

		if (!slash || !colon || colon < slash) {
			fprintf(stderr, "lwload: --mix item '%s' is not service/name:weight\n",
				tok);
			free(s);
			return -1;
		}
		snprintf(r->service, sizeof(r->service), "%.*s", (int)(slash - tok), tok);
		snprintf(r->name, sizeof(r->name), "%.*s", (int)(colon - slash - 1), slash + 1);
		r->weight = strtod(colon + 1, NULL);
		r->keyed = strchr(colon, '!') != NULL;
		r->sheddable = strchr(colon, '~') != NULL;
		ld.nroutes++;
	}
	free(s);
	return 0;
}

static int parse_target(const char *spec)
{
	const char *eq = strchr(spec, '=');

	if (!eq || ld.ntargets == TARGETS_MAX) {
		fprintf(stderr, "lwload: --node wants SERVICE=IP:PORT, got '%s'\n", spec);
		return -1;
	}
	snprintf(ld.targets[ld.ntargets].service, LW_NAME_MAX, "%.*s", (int)(eq - spec), spec);
	snprintf(ld.targets[ld.ntargets].addr, LW_NAME_MAX, "%s", eq + 1);
	ld.ntargets++;
	return 0;
}

static double rate_at(double t, const route_t *r, double total_weight)
{
	double rate = ld.rate * r->weight / total_weight;

	if (r->sheddable && t >= ld.surge_from && t < ld.surge_to)
		rate *= ld.surge_mult;
	return rate;
}

static void push(job_t j)
{
	pthread_mutex_lock(&ld.lock);
	if (ld.qlen == ld.qcap) {
		ld.dropped++; /* the client side is saturated: counted, not hidden */
	} else {
		ld.queue[(ld.qhead + ld.qlen) % ld.qcap] = j;
		ld.qlen++;
		pthread_cond_signal(&ld.more);
	}
	pthread_mutex_unlock(&ld.lock);
}

static void *generator(void *arg)
{
	unsigned short rng[3] = { 1, 2, 3 };
	double total = 0, t = 0;
	uint64_t id = 0;

	(void)arg;
	for (int i = 0; i < ld.nroutes; i++)
		total += ld.routes[i].weight;
	while (t < ld.seconds) {
		double sum = 0, pick;
		int r;

		for (int i = 0; i < ld.nroutes; i++)
			sum += rate_at(t, &ld.routes[i], total);
		t += -log(1.0 - erand48(rng)) / sum;
		pick = erand48(rng) * sum;
		for (r = 0; r < ld.nroutes - 1; r++) {
			pick -= rate_at(t, &ld.routes[r], total);
			if (pick < 0)
				break;
		}
		uint64_t due = ld.t0 + (uint64_t)(t * 1000);
		uint64_t now = lw_now_ms();

		if (due > now)
			usleep((useconds_t)(due - now) * 1000);
		push((job_t){ ++id, r, due });
	}
	pthread_mutex_lock(&ld.lock);
	ld.done_generating = true;
	pthread_cond_broadcast(&ld.more);
	pthread_mutex_unlock(&ld.lock);
	return NULL;
}

static lw_httpc_t *client_for(lw_httpc_t **cache, const char *service, uint64_t id)
{
	int match[TARGETS_MAX], n = 0;

	for (int i = 0; i < ld.ntargets; i++)
		if (strcmp(ld.targets[i].service, service) == 0)
			match[n++] = i;
	if (n == 0)
		return NULL;
	int t = match[id % (uint64_t)n];

	if (!cache[t])
		cache[t] = lw_httpc_new(ld.targets[t].addr);
	return cache[t];
}

static void record(const job_t *j, int outcome, int status, uint64_t start_us, int attempts)
{
	route_t *r = &ld.routes[j->route];
	uint64_t end_us = lw_now_us();
	uint64_t lat = end_us - start_us;
	bool good = outcome == 0 && status < 500 && lat / 1000 <= ld.deadline_ms;
	size_t sec = (size_t)((j->due_ms - ld.t0) / 1000);

	pthread_mutex_lock(&ld.lock);
	r->n[outcome]++;
	if (good)
		r->good++;
	if (sec < SECONDS_MAX) {
		ld.sec_total[sec]++;
		ld.sec_good[sec] += good;
	}
	if (ld.nlat == ld.caplat) {
		ld.caplat = ld.caplat ? ld.caplat * 2 : 4096;
		ld.lat_us = xrealloc(ld.lat_us, ld.caplat * sizeof(*ld.lat_us));
	}
	ld.lat_us[ld.nlat++] = (uint32_t)lat;
	ld.attempts += (uint64_t)attempts;
	if (ld.history)
		fprintf(ld.history, "complete u%s-%llu %s %d %llu %d\n", ld.run,
			(unsigned long long)j->id, lw_outcome_name((lw_outcome_t)outcome), status,
			(unsigned long long)(end_us / 1000 - ld.t0), attempts);
	pthread_mutex_unlock(&ld.lock);
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

static void run_job(lw_httpc_t **cache, const job_t *j)
{
	route_t *r = &ld.routes[j->route];
	lw_http_hdr_t h[3] = { { "X-LW-Deadline-Ms", "" },
			       { "X-LW-Request-Id", "" },
			       { "X-LW-Idempotency-Key", "" } };
	char path[LW_NAME_MAX + 16];
	uint64_t start = lw_now_us();
	uint64_t deadline_at = start / 1000 + ld.deadline_ms;
	int outcome = LW_NOT_RUN, status = 0, attempts = 0;

	/* keys must not repeat across runs, or a node replays an earlier run's answer */
	snprintf(h[1].value, sizeof(h[1].value), "u%s-%llu", ld.run, (unsigned long long)j->id);
	snprintf(h[2].value, sizeof(h[2].value), "k%s-%llu", ld.run, (unsigned long long)j->id);
	if (ld.path_mode == PATH_DIRECT)
		snprintf(path, sizeof(path), "/%s", r->name);
	else if (ld.path_mode == PATH_OUT)
		snprintf(path, sizeof(path), "/v1/out/%s/%s", r->service, r->name);
	else
		snprintf(path, sizeof(path), "/v1/call/%s", r->name);
	if (ld.history) {
		pthread_mutex_lock(&ld.lock);
		fprintf(ld.history, "invoke %s %s/%s %s %llu\n", h[1].value, r->service, r->name,
			r->keyed ? h[2].value : "-", (unsigned long long)(start / 1000 - ld.t0));
		pthread_mutex_unlock(&ld.lock);
	}
	for (;;) {
		lw_httpc_t *c = client_for(cache, r->service, j->id + (uint64_t)attempts);
		uint64_t now = lw_now_us() / 1000;
		lw_http_reply_t rep;

		if (!c || now >= deadline_at)
			break;
		snprintf(h[0].value, sizeof(h[0].value), "%llu",
			 (unsigned long long)(deadline_at - now));
		attempts++;
		lw_httpc_call(c, "POST", path, h, r->keyed ? 3 : 2, (lw_str_t){ "x", 1 },
			      (int)(deadline_at - now), !r->keyed, &rep);
		outcome = outcome_of(&rep);
		status = rep.status;
		/* each caller must get its own answer: the stand-in echoes the request id */
		if (outcome == LW_DONE && (!rep.body || !strstr(rep.body, h[1].value))) {
			pthread_mutex_lock(&ld.lock);
			ld.crossed++;
			pthread_mutex_unlock(&ld.lock);
		}
		free(rep.body);
		/* a hard-retrying client: it ignores Retry-After, as the brief's clients do */
		if (outcome == LW_DONE || attempts > ld.client_retries)
			break;
		if (outcome == LW_UNKNOWN && r->keyed && !rep.fail)
			continue; /* the key makes a repeat safe: the node replays or refuses */
	}
	record(j, outcome, status, start, attempts);
}

static void *worker(void *arg)
{
	lw_httpc_t *cache[TARGETS_MAX] = { 0 };

	(void)arg;
	for (;;) {
		job_t j;

		pthread_mutex_lock(&ld.lock);
		while (ld.qlen == 0 && !ld.done_generating)
			pthread_cond_wait(&ld.more, &ld.lock);
		if (ld.qlen == 0) {
			pthread_mutex_unlock(&ld.lock);
			break;
		}
		j = ld.queue[ld.qhead];
		ld.qhead = (ld.qhead + 1) % ld.qcap;
		ld.qlen--;
		pthread_mutex_unlock(&ld.lock);
		run_job(cache, &j);
	}
	for (int i = 0; i < TARGETS_MAX; i++)
		lw_httpc_free(cache[i]);
	return NULL;
}

static int cmp_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Recovery time: from the end of the surge until the first second whose
 * success ratio is back within 10% of the ratio before the surge.
 */
static double recovery_s(void)
{
	size_t from = (size_t)ld.surge_from, to = (size_t)ld.surge_to, end = (size_t)ld.seconds;
	uint64_t good = 0, total = 0;

	if (ld.surge_mult <= 1 || from == 0)
		return 0;
	for (size_t s = 0; s < from && s < SECONDS_MAX; s++) {
		good += ld.sec_good[s];
		total += ld.sec_total[s];
	}
	double before = total ? (double)good / (double)total : 1;

	for (size_t s = to; s < end && s < SECONDS_MAX; s++)
		if (ld.sec_total[s] &&
		    (double)ld.sec_good[s] / (double)ld.sec_total[s] >= before * 0.9)
			return (double)(s - to);
	return -1;
}

static void report(void)
{
	uint64_t tot[3] = { 0 }, good = 0;

	for (int i = 0; i < ld.nroutes; i++) {
		route_t *r = &ld.routes[i];

		printf("%-28s %llu done, %llu not_run, %llu unknown\n", r->name,
		       (unsigned long long)r->n[0], (unsigned long long)r->n[1],
		       (unsigned long long)r->n[2]);
		for (int k = 0; k < 3; k++)
			tot[k] += r->n[k];
		good += r->good;
	}
	printf("%-28s %llu done, %llu not_run, %llu unknown\n", "total", (unsigned long long)tot[0],
	       (unsigned long long)tot[1], (unsigned long long)tot[2]);
	uint64_t all = tot[0] + tot[1] + tot[2];

	printf("goodput %llu of %llu (%.1f%%), %.1f/s\n", (unsigned long long)good,
	       (unsigned long long)all, 100.0 * (double)good / (double)(all ? all : 1),
	       (double)good / ld.seconds);
	if (ld.nlat) {
		size_t p50 = ld.nlat / 2, p99 = ld.nlat * 99 / 100;

		qsort(ld.lat_us, ld.nlat, sizeof(*ld.lat_us), cmp_u32);
		printf("latency_ms p50 %.2f p99 %.2f max %.2f\n", ld.lat_us[p50] / 1000.0,
		       ld.lat_us[p99] / 1000.0, ld.lat_us[ld.nlat - 1] / 1000.0);
	}
	printf("attempts %llu client_dropped %llu crossed %llu\n", (unsigned long long)ld.attempts,
	       (unsigned long long)ld.dropped, (unsigned long long)ld.crossed);
	for (int i = 0; i < ld.nroutes; i++)
		printf("goodput_route %s/%s %llu\n", ld.routes[i].service, ld.routes[i].name,
		       (unsigned long long)ld.routes[i].good);
	if (ld.surge_mult > 1)
		printf("recovery_s %.0f\n", recovery_s());
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
	struct arg_str *mix =
		arg_str1(NULL, "mix", "SVC/NAME:W[!][~],..", "routes; ! keyed, ~ sheddable");
	struct arg_str *nodes =
		arg_strn(NULL, "node", "SVC=IP:PORT", 1, TARGETS_MAX, "a node of a service");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "requests a second (default 50)");
	struct arg_dbl *secs = arg_dbl0(NULL, "seconds", "S", "how long to send (default 5)");
	struct arg_int *workers = arg_int0(NULL, "workers", "N", "concurrent clients (default 32)");
	struct arg_int *dl =
		arg_int0(NULL, "deadline-ms", "MS", "deadline per user request (default 1000)");
	struct arg_int *retries =
		arg_int0(NULL, "client-retries", "N", "retries of a client (default 0)");
	struct arg_str *surge =
		arg_str0(NULL, "surge", "FROM:TO:MULT", "sheddable rate times MULT");
	struct arg_file *hist = arg_file0(NULL, "history", "FILE", "write the history here");
	struct arg_str *via =
		arg_str0(NULL, "via", "call|out|direct",
			 "node caller port (default), node outbound port, or backend");
	struct arg_end *end = arg_end(5);
	void *table[] = { help, version, mix,	nodes, rate, secs, workers,
			  dl,	retries, surge, hist,  via,  end };
	pthread_t gen, *ws;

	if (arg_parse(argc, argv, table) > 0 && !help->count && !version->count) {
		arg_print_errors(stderr, end, "lwload");
		fprintf(stderr, "try 'lwload --help'\n");
		return 2;
	}
	if (help->count) {
		printf("Usage: lwload");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-32s %s\n");
		return 0;
	}
	if (version->count) {
		printf("lwload %s\n", LW_VERSION);
		return 0;
	}
	if (parse_mix(mix->sval[0]))
		return 2;
	for (int i = 0; i < nodes->count; i++)
		if (parse_target(nodes->sval[i]))
			return 2;
	if (via->count)
		ld.path_mode = !strcmp(via->sval[0], "out")    ? PATH_OUT :
			       !strcmp(via->sval[0], "direct") ? PATH_DIRECT :
								 PATH_CALL;
	ld.rate = rate->count ? rate->dval[0] : 50;
	ld.seconds = secs->count ? secs->dval[0] : 5;
	ld.workers = workers->count ? workers->ival[0] : 32;
	ld.deadline_ms = dl->count ? (unsigned)dl->ival[0] : 1000;
	ld.client_retries = retries->count ? retries->ival[0] : 0;
	if (surge->count && sscanf(surge->sval[0], "%lf:%lf:%lf", &ld.surge_from, &ld.surge_to,
				   &ld.surge_mult) != 3) {
		fprintf(stderr, "lwload: --surge wants FROM:TO:MULT in seconds, e.g. 2:4:3\n");
		return 2;
	}
	if (hist->count && !(ld.history = fopen(hist->filename[0], "w"))) {
		fprintf(stderr, "lwload: cannot write %s\n", hist->filename[0]);
		return 2;
	}
	ld.qcap = 4096;
	ld.queue = xcalloc(ld.qcap, sizeof(*ld.queue));
	ld.t0 = lw_now_ms();
	snprintf(ld.run, sizeof(ld.run), "%x%llx", (unsigned)getpid(),
		 (unsigned long long)(lw_now_us() & 0xffffff));
	ws = xcalloc((size_t)ld.workers, sizeof(*ws));
	for (int i = 0; i < ld.workers; i++)
		pthread_create(&ws[i], NULL, worker, NULL);
	pthread_create(&gen, NULL, generator, NULL);
	pthread_join(gen, NULL);
	for (int i = 0; i < ld.workers; i++)
		pthread_join(ws[i], NULL);
	if (ld.history)
		fclose(ld.history);
	report();
	return 0;
}

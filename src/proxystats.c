/* The metrics page of the proxy; see proxystats.h. */
#include "proxystats.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "httpd.h"
#include "storepos.h"

/* the loop looks twice a second whether the status is wanted; longest wait, s */
#define STATUS_WAIT_S 3

static lw_proxystats_t latest;
static lw_routestats_t latest_routes;
static struct {
	bool wanted; /* atomic */
	uint64_t number; /* of the text */
	char *text;
	size_t len;
} status;
static pthread_mutex_t latest_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t status_written = PTHREAD_COND_INITIALIZER;

/* lw_proxystats_publish() - from the loop: what the page shows from now on. */
void lw_proxystats_publish(const lw_proxystats_t *s)
{
	pthread_mutex_lock(&latest_lock);
	latest = *s;
	latest.routes = &latest_routes;
	latest_routes.n = s->routes->n;
	memcpy(latest_routes.at, s->routes->at, s->routes->n * sizeof(s->routes->at[0]));
	pthread_mutex_unlock(&latest_lock);
}

/* lw_proxystats_status_wanted() - from the loop: somebody waits for the status. */
bool lw_proxystats_status_wanted(void)
{
	return __atomic_exchange_n(&status.wanted, false, __ATOMIC_RELAXED);
}

/* lw_proxystats_put_status() - from the loop: the status; @text is owned from here on. */
void lw_proxystats_set_status(char *text, size_t len)
{
	pthread_mutex_lock(&latest_lock);
	free(status.text);
	status.text = text;
	status.len = len;
	status.number++;
	pthread_cond_broadcast(&status_written);
	pthread_mutex_unlock(&latest_lock);
}

/* the next status the loop writes; 503 if the loop does not turn */
static void reply_status(lw_http_resp_t *resp)
{
	struct timespec until;
	uint64_t number;
	int rc = 0;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += STATUS_WAIT_S;
	pthread_mutex_lock(&latest_lock);
	number = status.number;
	__atomic_store_n(&status.wanted, true, __ATOMIC_RELAXED);
	while (status.number == number && !rc)
		rc = pthread_cond_timedwait(&status_written, &latest_lock, &until);
	if (rc)
		lw_http_replyf(resp, 503, "the request loop does not answer; see the log\n");
	else
		lw_http_reply(resp, 200, status.text, status.len);
	pthread_mutex_unlock(&latest_lock);
}

static void counter(FILE *f, const char *name, const char *help, uint64_t value)
{
	fprintf(f, "# HELP %s %s\n# TYPE %s counter\n%s %llu\n", name, help, name, name,
		(unsigned long long)value);
}

static void gauge(FILE *f, const char *name, const char *help, uint64_t value)
{
	fprintf(f, "# HELP %s %s\n# TYPE %s gauge\n%s %llu\n", name, help, name, name,
		(unsigned long long)value);
}

static void print_requests(FILE *f, const lw_engine_stats_t *e)
{
	counter(f, "lw_requests_total", "requests taken from callers and the backend server",
		e->requests);
	counter(f, "lw_nested_total", "of these, calls made for a running request", e->nested);
	counter(f, "lw_answered_total", "answered by a backend server", e->answered);
	counter(f, "lw_refused_total", "refused: certain not to have run", e->refused);
	counter(f, "lw_failed_total", "failed: may have run", e->failed);
	counter(f, "lw_timeouts_total", "not answered in time", e->timeouts);
	counter(f, "lw_cancelled_total", "given up by the caller", e->cancelled);
	counter(f, "lw_cut_total", "answers that broke off", e->cut);
	counter(f, "lw_no_route_total", "no route matched", e->no_route);
	counter(f, "lw_no_config_total", "came before the first configuration", e->no_config);
	counter(f, "lw_retries_total", "sent to another backend server again", e->retries);
	counter(f, "lw_retries_denied_total", "not sent again for lack of allowance",
		e->retries_denied);
	counter(f, "lw_handed_back_total", "placed elsewhere, as no server had it", e->handed_back);
	counter(f, "lw_not_identified_total", "carried no key, or one that nobody holds",
		e->not_identified);
	counter(f, "lw_over_limit_total", "of the refused, by the limit of their organisation",
		e->over_limit);
	counter(f, "lw_held_total", "refused, as backend servers ended under them", e->held);
	fprintf(f, "# HELP lw_latency_seconds until the last byte of the answer is queued\n"
		   "# TYPE lw_latency_seconds histogram\n");
	lw_histogram_print(f, "lw_latency_seconds", "kind=\"user\"", &e->latency_user);
	lw_histogram_print(f, "lw_latency_seconds", "kind=\"nested\"", &e->latency_nested);
}

static void print_gate(FILE *f, const lw_proxystats_t *s)
{
	counter(f, "lw_gate_started_total", "requests given to the backend server",
		s->gate.started);
	counter(f, "lw_gate_answered_total", "answered by it", s->gate.answered);
	counter(f, "lw_gate_connections_total", "connections opened to it", s->gate.connections);
	counter(f, "lw_gate_invalid_total", "answers that belonged to no request",
		s->gate.invalid_answers);
	fprintf(f, "# HELP lw_gate_ended_total calls that ended without an answer\n"
		   "# TYPE lw_gate_ended_total counter\n");
	for (int i = LW_FAIL_NONE + 1; i < LW_FAIL_COUNT; i++)
		fprintf(f, "lw_gate_ended_total{why=\"%s\"} %llu\n", lw_fail_name((lw_fail_t)i),
			(unsigned long long)s->gate.refused[i]);
	gauge(f, "lw_gate_running", "requests at the backend server", s->load.running);
	gauge(f, "lw_gate_queued", "requests that wait for it", s->load.queued);
	gauge(f, "lw_gate_limit", "most requests given to it at once", s->load.limit);
	counter(f, "lw_gate_paced_total", "handed back for the limit that it names", s->gate.paced);
	counter(f, "lw_server_limit_invalid_total", "answers with a limit that is no number",
		s->gate.invalid_limits);
	gauge(f, "lw_server_limited", "1: the backend server names a limit",
	      s->load.notice.limited);
	fprintf(f,
		"# HELP lw_server_limit_per_s requests a second that it takes; 0 also without one\n"
		"# TYPE lw_server_limit_per_s gauge\nlw_server_limit_per_s %.3f\n",
		s->load.notice.limited ? s->load.notice.limit_per_s : 0);
	gauge(f, "lw_gate_service_us", "average time a request runs", s->load.service_us);
	gauge(f, "lw_gate_level", "first rank refused (8000: none)", s->level);
	fprintf(f, "# HELP lw_gate_wait_seconds wait in front of the backend server\n"
		   "# TYPE lw_gate_wait_seconds histogram\n");
	lw_histogram_print(f, "lw_gate_wait_seconds", "kind=\"all\"", &s->gate.wait);
}

static void print_organisation(FILE *f, const char *name, const lw_quota_count_t *c)
{
	fprintf(f,
		"lw_organisation_requests_total{organisation=\"%s\",outcome=\"asked\"} %llu\n"
		"lw_organisation_requests_total{organisation=\"%s\",outcome=\"over_limit\"} %llu\n",
		name, (unsigned long long)c->asked, name, (unsigned long long)c->refused);
}

static void print_organisations(FILE *f, const lw_proxystats_t *s)
{
	if (!s->norgs)
		return;
	fprintf(f, "# HELP lw_organisation_requests_total of organisations with a limit\n"
		   "# TYPE lw_organisation_requests_total counter\n");
	for (size_t i = 0; i < s->norgs; i++)
		print_organisation(f, s->orgs[i].name, &s->orgs[i]);
	print_organisation(f, "others", &s->other_orgs);
	fprintf(f, "# HELP lw_organisation_admit_permille of its requests, as the keepers told\n"
		   "# TYPE lw_organisation_admit_permille gauge\n");
	for (size_t i = 0; i < s->norgs; i++)
		fprintf(f, "lw_organisation_admit_permille{organisation=\"%s\"} %u\n",
			s->orgs[i].name, s->orgs[i].admit_permille);
	gauge(f, "lw_limits_alone", "1: no keeper of limits is heard of", s->quota_alone);
}

static void print_rest(FILE *f, const lw_proxystats_t *s)
{
	counter(f, "lw_callers_accepted_total", "connections of callers", s->callers.accepted);
	counter(f, "lw_callers_malformed_total", "requests that were no proper HTTP/1.1",
		s->callers.malformed);
	counter(f, "lw_callers_too_large_total", "heads or bodies above the limits",
		s->callers.too_large);
	counter(f, "lw_callers_left_total", "callers that left before their answer",
		s->callers.left);
	gauge(f, "lw_callers_open", "open connections of callers", s->connections);
	gauge(f, "lw_active", "requests under way", s->active);
	counter(f, "lw_links_opened_total", "connections opened to other nodes",
		s->mesh.links_opened);
	counter(f, "lw_links_lost_total", "of any direction, ended", s->mesh.links_lost);
	counter(f, "lw_links_silent_total", "given up as silent", s->mesh.links_silent);
	counter(f, "lw_link_queries_total", "asked what became of the requests on a lost one",
		s->mesh.queries);
	counter(f, "lw_requests_moved_total", "went on over another connection", s->mesh.moved);
	counter(f, "lw_requests_never_received_total", "never reached the peer, placed elsewhere",
		s->mesh.never_received);
	counter(f, "lw_frames_in_total", "frames received", s->mesh.frames_in);
	counter(f, "lw_frames_out_total", "frames sent", s->mesh.frames_out);
	counter(f, "lw_mesh_bytes_out_total", "bytes sent to other nodes", s->mesh.bytes_out);
	counter(f, "lw_control_bytes_total", "of these, beside requests and answers",
		lw_mesh_control_bytes(&s->mesh));
	fprintf(f, "# HELP lw_control_frame_bytes_total queued for other nodes, by kind of frame\n"
		   "# TYPE lw_control_frame_bytes_total counter\n");
	for (size_t i = 0; i < LW_MESH_FRAME_KINDS; i++)
		if (lw_mesh_control_name(i))
			fprintf(f, "lw_control_frame_bytes_total{kind=\"%s\"} %llu\n",
				lw_mesh_control_name(i), (unsigned long long)s->mesh.bytes_of[i]);
	fprintf(f, "# HELP lw_store_calls_total calls to the configuration store\n"
		   "# TYPE lw_store_calls_total counter\n");
	for (int i = 0; i < LW_FEED_WHY_COUNT; i++)
		fprintf(f, "lw_store_calls_total{why=\"%s\"} %llu\n",
			lw_feed_why_name((lw_feed_why_t)i), (unsigned long long)s->feed.calls[i]);
	counter(f, "lw_store_failures_total", "of these, failed", s->feed.failures);
	counter(f, "lw_store_resyncs_total", "times everything was read anew", s->feed.resyncs);
	gauge(f, "lw_store_reader", "1: this node reads the store for others", s->reader);
	gauge(f, "lw_store_news_age_ms", "since the store was last read by anyone", s->news_age_ms);
	gauge(f, "lw_suspects", "requests tried alone or held, as backend servers ended under them",
	      s->suspects);
	gauge(f, "lw_config_version", "configuration in force", s->config_version);
	gauge(f, "lw_servers", "backend servers in the list", s->servers);
	gauge(f, "lw_servers_revision", "revision of that list",
	      lw_storepos_revision(s->servers_revision));
	gauge(f, "lw_store_era", "era of the store that it is of",
	      lw_storepos_era(s->servers_revision));
	gauge(f, "lw_loop_longest_turn_us", "longest turn of the request loop since the start",
	      s->longest_turn_us);
	gauge(f, "lw_ready", "1: callers may come", s->ready);
	gauge(f, "lw_leaving", "1: stopping", s->leaving);
	counter(f, "lw_log_dropped_total", "log lines dropped for volume", s->log_dropped);
}

static void on_request(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	lw_proxystats_t now;
	size_t len = 0;
	char *text = NULL;
	FILE *f;

	(void)ctx;
	if (strcmp(req->url, "/status") == 0) {
		reply_status(resp);
		return;
	}
	if (strcmp(req->url, "/metrics") != 0) {
		lw_http_replyf(resp, 404, "only /metrics and /status are served here\n");
		return;
	}
	f = open_memstream(&text, &len);
	pthread_mutex_lock(&latest_lock);
	now = latest;
	if (now.routes)
		lw_routestats_print(f, now.routes);
	pthread_mutex_unlock(&latest_lock);
	print_requests(f, &now.engine);
	print_gate(f, &now);
	print_organisations(f, &now);
	print_rest(f, &now);
	fclose(f);
	resp->status = 200;
	resp->body = text;
	resp->len = len;
}

/* lw_proxystats_serve() - serve GET /metrics and /status at "ip:port" on a thread of its own. */
lw_status_t lw_proxystats_serve(const char *addr)
{
	static lw_httpd_t *httpd;

	return lw_httpd_start(addr, on_request, NULL, &httpd);
}

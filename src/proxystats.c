/* The metrics page of the proxy; see proxystats.h. */
#include "proxystats.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "httpd.h"
#include "name.h"
#include "storepos.h"

/*
 * longest wait for the status page, in seconds; the event loop checks twice a
 * second whether it is wanted
 */
#define STATUS_WAIT_S 3

static lw_proxystats_t latest;
static lw_routestats_t latest_routes;
static struct {
	bool wanted; /* atomic */
	uint64_t number; /* sequence number of the text; rises with each new text */
	char *text;
	size_t len;
} status;
static pthread_mutex_t latest_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t status_written = PTHREAD_COND_INITIALIZER;

/*
 * lw_proxystats_publish() - replaces the figures shown on the page; called by the
 * event loop.
 */
void lw_proxystats_publish(const lw_proxystats_t *s)
{
	pthread_mutex_lock(&latest_lock);
	latest = *s;
	latest.routes = &latest_routes;
	latest_routes.n = s->routes->n;
	memcpy(latest_routes.at, s->routes->at, s->routes->n * sizeof(s->routes->at[0]));
	pthread_mutex_unlock(&latest_lock);
}

/*
 * lw_proxystats_status_wanted() - returns whether a client waits for the status
 * page; called by the event loop.
 */
bool lw_proxystats_status_wanted(void)
{
	return __atomic_exchange_n(&status.wanted, false, __ATOMIC_RELAXED);
}

/*
 * lw_proxystats_set_status() - sets the text of the status page and takes
 * ownership of @text; called by the event loop.
 */
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

/*
 * Replies with the next status text of the event loop; 503 if the event loop is
 * stuck.
 */
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
		lw_http_replyf(resp, 503, "the event loop does not respond; see the log\n");
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
	counter(f, "lw_requests_total",
		"requests received from callers and from the local backend server", e->requests);
	counter(f, "lw_nested_total", "requests made on behalf of another request", e->nested);
	counter(f, "lw_answered_total", "requests answered by a backend server", e->answered);
	counter(f, "lw_no_buffers_total",
		"requests refused because the buffers of this process are full", e->no_buffers);
	counter(f, "lw_refused_total", "requests refused: certainly not executed", e->refused);
	counter(f, "lw_failed_total", "requests failed: may have been executed", e->failed);
	counter(f, "lw_timeouts_total", "requests not answered in time", e->timeouts);
	counter(f, "lw_cancelled_total", "requests cancelled by the caller", e->cancelled);
	counter(f, "lw_cut_total", "answers that were truncated", e->cut);
	counter(f, "lw_no_route_total", "requests that matched no route", e->no_route);
	counter(f, "lw_no_config_total", "requests received before the first configuration",
		e->no_config);
	counter(f, "lw_retries_total", "retries on another backend server", e->retries);
	counter(f, "lw_retries_denied_total", "retries denied by the retry limit",
		e->retries_denied);
	counter(f, "lw_returned_total", "attempts that a host returned from its queue",
		e->returned);
	counter(f, "lw_put_back_total",
		"returned attempts that were put back, as no other host had room", e->put_back);
	counter(f, "lw_handed_back_total",
		"requests sent to another backend server because none had received them",
		e->handed_back);
	counter(f, "lw_not_identified_total", "requests without a key or with an unknown key",
		e->not_identified);
	counter(f, "lw_over_limit_total",
		"requests refused because of the limit of their organisation", e->over_limit);
	counter(f, "lw_held_total",
		"requests refused because backend servers crashed while executing them", e->held);
	fprintf(f, "# HELP lw_latency_seconds time until the last byte of the answer is queued\n"
		   "# TYPE lw_latency_seconds histogram\n");
	lw_histogram_print(f, "lw_latency_seconds", "kind=\"user\"", &e->latency_user);
	lw_histogram_print(f, "lw_latency_seconds", "kind=\"nested\"", &e->latency_nested);
}

static void print_gate(FILE *f, const lw_proxystats_t *s)
{
	counter(f, "lw_gate_started_total", "requests sent to the backend server", s->gate.started);
	counter(f, "lw_gate_answered_total", "requests answered by the backend server",
		s->gate.answered);
	counter(f, "lw_gate_connections_total", "connections opened to the backend server",
		s->gate.connections);
	counter(f, "lw_gate_connections_apart_total",
		"those of them opened although idle ones were there, as these could not carry the request",
		s->gate.connections_apart);
	counter(f, "lw_gate_connections_unnamed_total",
		"connections closed after an answer without a request id",
		s->gate.connections_unnamed);
	counter(f, "lw_gate_invalid_total", "answers without a matching request",
		s->gate.invalid_answers);
	fprintf(f,
		"# HELP lw_gate_ended_total requests to the backend server that ended without an answer\n"
		"# TYPE lw_gate_ended_total counter\n");
	for (int i = LW_FAIL_NONE + 1; i < LW_FAIL_COUNT; i++)
		fprintf(f, "lw_gate_ended_total{why=\"%s\"} %llu\n", lw_fail_name((lw_fail_t)i),
			(unsigned long long)s->gate.refused[i]);
	gauge(f, "lw_gate_running", "requests in progress at the backend server", s->load.running);
	gauge(f, "lw_gate_queued", "requests in the queue of the backend server", s->load.queued);
	gauge(f, "lw_gate_limit", "maximum of concurrent requests at the backend server",
	      s->load.limit);
	counter(f, "lw_gate_returned_total",
		"queued requests returned to their senders, as the backend server became slower",
		s->gate.refused[LW_FAIL_RETURNED]);
	counter(f, "lw_gate_cut_off_total",
		"requests at the backend server interrupted by the exit of this process",
		s->gate.cut_off);
	counter(f, "lw_gate_paced_total",
		"requests returned unexecuted because of the limit announced by the backend server",
		s->gate.paced);
	counter(f, "lw_server_limit_invalid_total", "answers with a limit that is not a number",
		s->gate.invalid_limits);
	gauge(f, "lw_server_limited", "1: the backend server announces a limit",
	      s->load.notice.limited);
	fprintf(f,
		"# HELP lw_server_limit_per_s announced limit in requests per second; 0 also if none\n"
		"# TYPE lw_server_limit_per_s gauge\nlw_server_limit_per_s %.3f\n",
		s->load.notice.limited ? s->load.notice.limit_per_s : 0);
	gauge(f, "lw_gate_machine_percent",
	      "how long work takes on the machine of the backend server, 100: as usual, 0: unknown",
	      s->load.machine_percent);
	counter(f, "lw_server_machine_invalid_total",
		"answers with a speed of the machine that is no number or out of range",
		s->gate.invalid_machine);
	gauge(f, "lw_gate_service_us", "average execution time of a request", s->load.service_us);
	gauge(f, "lw_gate_work_kinds",
	      "kinds of work whose execution times are used; 0: the average of all work",
	      s->load.work.n);
	counter(f, "lw_gate_ahead_of_long_total",
		"requests started while long work before them in the queue had no slot left",
		s->gate.ahead_of_long);
	counter(f, "lw_gate_long_due_total",
		"long work started beyond its slots, as it could not start later",
		s->gate.long_due);
	gauge(f, "lw_gate_level", "admission level: lowest rank that is refused (8000: none)",
	      s->level);
	fprintf(f, "# HELP lw_gate_wait_seconds wait in the queue of the backend server\n"
		   "# TYPE lw_gate_wait_seconds histogram\n");
	lw_histogram_print(f, "lw_gate_wait_seconds", "kind=\"all\"", &s->gate.wait);
}

static void print_zones(FILE *f, const lw_proxystats_t *s)
{
	fprintf(f,
		"# HELP lw_zone_requests_total requests placed, by whether they stayed in the zone and why they left\n"
		"# TYPE lw_zone_requests_total counter\n");
	for (int i = 0; i < LW_ZONE_PLAN_COUNT; i++)
		fprintf(f, "lw_zone_requests_total{plan=\"%s\"} %llu\n",
			lw_zoneplan_name((lw_zoneplan_t)i), (unsigned long long)s->zone_plans[i]);
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
	fprintf(f, "# HELP lw_organisation_requests_total requests of organisations with a limit\n"
		   "# TYPE lw_organisation_requests_total counter\n");
	for (size_t i = 0; i < s->norgs; i++)
		print_organisation(f, s->orgs[i].name, &s->orgs[i]);
	print_organisation(f, "others", &s->other_orgs);
	fprintf(f,
		"# HELP lw_organisation_admit_permille admitted share of requests, from the coordinators\n"
		"# TYPE lw_organisation_admit_permille gauge\n");
	for (size_t i = 0; i < s->norgs; i++)
		fprintf(f, "lw_organisation_admit_permille{organisation=\"%s\"} %u\n",
			s->orgs[i].name, s->orgs[i].admit_permille);
	gauge(f, "lw_limits_alone", "1: no quota coordinator replies", s->quota_alone);
}

static void print_shares(FILE *f, const lw_fairshare_state_t *s)
{
	gauge(f, "lw_fair_shares", "1: requests are ranked by fair shares among organisations",
	      s->in_effect);
	gauge(f, "lw_fair_shares_organisations", "organisations with recent requests", s->norgs);
	gauge(f, "lw_fair_shares_told", "of those: demand reported by a quota coordinator",
	      s->ntold);
	counter(f, "lw_fair_shares_moved_total", "requests moved to a less urgent rank",
		s->moved_back);
}

static void print_rest(FILE *f, const lw_proxystats_t *s)
{
	counter(f, "lw_callers_accepted_total", "connections accepted from callers",
		s->callers.accepted);
	counter(f, "lw_callers_malformed_total", "requests that were not valid HTTP/1.1",
		s->callers.malformed);
	counter(f, "lw_callers_too_large_total", "requests with a head or body above the limits",
		s->callers.too_large);
	counter(f, "lw_callers_left_total", "callers that disconnected before their answer",
		s->callers.left);
	gauge(f, "lw_callers_open", "open connections of callers", s->connections);
	gauge(f, "lw_active", "requests in progress", s->active);
	counter(f, "lw_links_opened_total", "connections opened to other nodes",
		s->mesh.links_opened);
	counter(f, "lw_links_lost_total",
		"connections between nodes that ended, in either direction", s->mesh.links_lost);
	counter(f, "lw_links_retired_total",
		"connections to other nodes closed because they were not used",
		s->mesh.links_retired);
	counter(f, "lw_links_silent_total",
		"connections between nodes closed because nothing was received",
		s->mesh.links_silent);
	counter(f, "lw_link_queries_total",
		"queries for the outcome of the requests of a lost connection", s->mesh.queries);
	counter(f, "lw_requests_moved_total", "requests continued over another connection",
		s->mesh.moved);
	counter(f, "lw_requests_never_received_total",
		"requests that never reached the peer and were sent elsewhere",
		s->mesh.never_received);
	counter(f, "lw_frames_in_total", "frames received", s->mesh.frames_in);
	counter(f, "lw_frames_out_total", "frames sent", s->mesh.frames_out);
	counter(f, "lw_mesh_bytes_out_total", "bytes sent to other nodes", s->mesh.bytes_out);
	counter(f, "lw_control_bytes_total",
		"bytes sent to other nodes in frames other than requests and answers",
		lw_mesh_control_bytes(&s->mesh));
	fprintf(f,
		"# HELP lw_control_frame_bytes_total bytes queued for other nodes, by kind of frame\n"
		"# TYPE lw_control_frame_bytes_total counter\n");
	for (size_t i = 0; i < LW_MESH_FRAME_KINDS; i++)
		if (lw_mesh_control_name(i))
			fprintf(f, "lw_control_frame_bytes_total{kind=\"%s\"} %llu\n",
				lw_mesh_control_name(i), (unsigned long long)s->mesh.bytes_of[i]);
	fprintf(f, "# HELP lw_store_calls_total calls to the configuration store\n"
		   "# TYPE lw_store_calls_total counter\n");
	for (int i = 0; i < LW_STOREREADER_REASON_COUNT; i++)
		fprintf(f, "lw_store_calls_total{why=\"%s\"} %llu\n",
			lw_storereader_reason_name((lw_storereader_reason_t)i),
			(unsigned long long)s->store_reader.calls[i]);
	counter(f, "lw_store_failures_total", "calls to the configuration store that failed",
		s->store_reader.failures);
	counter(f, "lw_store_entries_overruled_total",
		"entries of backend servers that had no effect, as another entry overrules them",
		s->store_reader.entries_overruled);
	counter(f, "lw_store_entries_removed_total",
		"entries of backend servers that were found to be gone",
		s->store_reader.entries_removed);
	counter(f, "lw_store_entries_withdrawn_total",
		"those of them that cannot have expired, as they were written shortly before",
		s->store_reader.entries_withdrawn);
	counter(f, "lw_entries_doubted_total",
		"listed servers that got no work at first, as they may have left",
		s->entries_doubted);
	counter(f, "lw_store_start_times_ignored_total",
		"start times of backend servers that were ignored, as they are in the future",
		s->store_reader.start_times_ignored);
	counter(f, "lw_store_resyncs_total", "full reads of the configuration store",
		s->store_reader.resyncs);
	counter(f, "lw_config_rejected_total",
		"versions of the configuration that failed their checks",
		s->store_reader.configs_rejected);
	gauge(f, "lw_config_rejected_version",
	      "the last of them; if it is above lw_config_version, the nodes use an outdated one",
	      s->store_reader.rejected_version);
	gauge(f, "lw_store_reader", "1: this node reads the store for others", s->reader);
	gauge(f, "lw_store_news_age_ms", "milliseconds since the store was last read by any node",
	      s->news_age_ms);
	gauge(f, "lw_suspects",
	      "requests isolated or refused because backend servers crashed while executing them",
	      s->suspects);
	gauge(f, "lw_config_version", "version of the configuration in force", s->config_version);
	gauge(f, "lw_names", "distinct names of services, routes, organisations, servers and zones",
	      lw_names_count());
	gauge(f, "lw_names_bytes", "memory of these names, which are kept until the process ends",
	      lw_names_bytes());
	gauge(f, "lw_servers", "backend servers in the list", s->servers);
	gauge(f, "lw_servers_revision", "revision of the list of backend servers",
	      lw_storepos_revision(s->servers_revision));
	gauge(f, "lw_store_era", "store era of the list of backend servers",
	      lw_storepos_era(s->servers_revision));
	gauge(f, "lw_loop_longest_turn_us", "longest iteration of the event loop since the start",
	      s->longest_iteration_us);
	gauge(f, "lw_ready", "1: ready for requests of callers", s->ready);
	gauge(f, "lw_leaving", "1: this node is stopping", s->leaving);
	counter(f, "lw_log_dropped_total", "log lines dropped to bound the log volume",
		s->log_dropped);
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
	print_zones(f, &now);
	print_organisations(f, &now);
	print_shares(f, &now.shares);
	print_rest(f, &now);
	fclose(f);
	resp->status = 200;
	resp->body = text;
	resp->len = len;
}

/*
 * lw_proxystats_serve() - serves GET /metrics and /status at "ip:port" on a
 * separate thread.
 */
lw_status_t lw_proxystats_serve(const char *addr)
{
	static lw_httpd_t *httpd;

	return lw_httpd_start(addr, on_request, NULL, &httpd);
}

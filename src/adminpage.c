/* The admin port: /status, /metrics, /config and POST /drain. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "linux/clock.h"
#include "node_int.h"
#include "xalloc.h"

static void print_peers(FILE *f, const lw_peerset_t *ps, uint64_t now)
{
	for (size_t i = 0; i < lw_peerset_count(ps); i++) {
		const lw_peer_t *p = lw_peerset_get(ps, (int)i);

		if (!p->listed)
			continue;
		fprintf(f,
			"peer %s service=%s zone=%s state=%s inflight=%u load=%u latency_ms=%.1f fail_ratio=%.2f\n",
			p->addr, lw_peerset_service_name(ps, p->service), p->zone,
			lw_peer_state_name(lw_peer_state(p, now)), p->inflight, p->load_permille,
			p->latency_ms, p->fail_ratio);
	}
}

static size_t listed_peers(const lw_peerset_t *ps)
{
	size_t n = 0;

	for (size_t i = 0; i < lw_peerset_count(ps); i++)
		n += lw_peerset_get(ps, (int)i)->listed;
	return n;
}

static void set_body(lw_http_resp_t *resp, char *buf, size_t len)
{
	resp->status = 200;
	resp->body = buf;
	resp->len = len;
}

static void status(lw_node_t *n, lw_http_resp_t *resp)
{
	char *buf = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&buf, &len);
	const lw_policy_info_t *in = &n->policy->info;

	pthread_mutex_lock(&n->lock);
	fprintf(f,
		"service %s\nzone %s\npolicy %s\npreset %s\nconfig_version %" PRIu64 "\n"
		"joined %s\ndraining %s\ninflight %u\nqueued %u\noutbound %u\nlimit %.1f\nrecords %zu\n"
		"record_bytes %zu\npeers %zu\n",
		n->set.service, n->set.zone, n->policy->ops->name, in->preset, in->config_version,
		lw_node_joined(n) ? "yes" : "no", in->draining ? "yes" : "no", in->inflight,
		in->queued, in->outbound, in->limit, in->records, in->record_bytes,
		listed_peers(in->peers));
	print_peers(f, in->peers, lw_now_ms());
	pthread_mutex_unlock(&n->lock);
	fclose(f);
	set_body(resp, buf, len);
}

static void print_stats(FILE *f, const lw_node_t *n)
{
	const lw_policy_stats_t *s = &n->policy->stats;
	const lw_policy_info_t *in = &n->policy->info;

	for (int c = 0; c < LW_CLASS_COUNT; c++) {
		const char *cls = lw_class_name((lw_class_t)c);

		fprintf(f, "lw_admitted_total{service=\"%s\",class=\"%s\"} %" PRIu64 "\n",
			n->set.service, cls, s->admitted[c]);
		fprintf(f, "lw_shed_total{service=\"%s\",class=\"%s\"} %" PRIu64 "\n",
			n->set.service, cls, s->shed[c]);
		fprintf(f, "lw_queued_total{service=\"%s\",class=\"%s\"} %" PRIu64 "\n",
			n->set.service, cls, s->queued[c]);
	}
	fprintf(f,
		"lw_retries_total %" PRIu64 "\nlw_retries_denied_total %" PRIu64 "\n"
		"lw_dedup_hits_total %" PRIu64 "\nlw_lookups_total %" PRIu64 "\n"
		"lw_attempts_barred_total %" PRIu64 "\nlw_silent_conns_total %u\n"
		"lw_attempt_queries_total %u\nlw_idle_conns %zu\n"
		"lw_config_version %" PRIu64 "\nlw_limit %.1f\nlw_inflight %u\nlw_queued %u\n"
		"lw_records %zu\nlw_record_bytes %zu\n",
		s->retries, s->retries_denied, s->dedup_hits, s->lookups, s->refused_for_good,
		lw_pool_silent_replaced(n->pool), lw_pool_queries(n->pool),
		lw_pool_idle_count(n->pool), in->config_version, in->limit, in->inflight,
		in->queued, in->records, in->record_bytes);
}

static void metrics(lw_node_t *n, lw_http_resp_t *resp)
{
	char *buf = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&buf, &len);

	lw_counter_print(f);
	pthread_mutex_lock(&n->lock);
	print_stats(f, n);
	pthread_mutex_unlock(&n->lock);
	fclose(f);
	set_body(resp, buf, len);
}

static void config(lw_node_t *n, lw_http_resp_t *resp)
{
	const lw_platconf_t *pc;

	rcu_read_lock();
	pc = rcu_dereference(n->config);
	if (pc)
		lw_http_reply(resp, 200, pc->text, pc->textlen);
	else
		lw_http_replyf(resp, 404, "no configuration yet\n");
	rcu_read_unlock();
}

/* lw_adminpage_http() - serve one request on the admin port. */
void lw_adminpage_http(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	lw_node_t *n = ctx;

	if (strcmp(req->url, "/metrics") == 0) {
		metrics(n, resp);
	} else if (strcmp(req->url, "/status") == 0) {
		status(n, resp);
	} else if (strcmp(req->url, "/drain") == 0 && strcmp(req->method, "POST") == 0) {
		lw_node_drain(n);
		lw_http_replyf(resp, 202, "draining\n");
	} else if (strcmp(req->url, "/config") == 0) {
		config(n, resp);
	} else {
		lw_http_replyf(resp, 404,
			       "unknown path; use /metrics, /status, /config or POST /drain\n");
	}
}

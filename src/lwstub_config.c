/*
 * lwstub-config: a stub of the platform's configuration service, for tests
 * and the demo. Clients read values, or watch them by long poll with an index:
 * GET /v1/kv/KEY?index=N&wait=MS answers when the key's index exceeds N or the
 * wait time has passed. Tests publish values with PUT and inject faults with
 * POST /v1/fault?mode=ok|down|stale|slow&ms=N. The stub counts every call.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "httpc.h"
#include "httpd.h"
#include "linux/clock.h"
#include "log.h"
#include "xalloc.h"

#define KEYS_MAX  64
#define VALUE_MAX (1024 * 1024)

typedef struct kv {
	char name[128];
	char *value;
	size_t len;
	uint64_t index;
	char *frozen; /* value served in "stale" mode */
	size_t frozen_len;
	uint64_t frozen_index;
} kv_t;

typedef enum fault { FAULT_OK, FAULT_DOWN, FAULT_STALE, FAULT_SLOW } fault_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	kv_t keys[KEYS_MAX];
	int nkeys;
	uint64_t index;
	fault_t fault;
	unsigned slow_ms;
	uint64_t reads, watches, writes;
} st = { .lock = PTHREAD_MUTEX_INITIALIZER };

static kv_t *key_get(const char *name, bool create)
{
	for (int i = 0; i < st.nkeys; i++)
		if (strcmp(st.keys[i].name, name) == 0)
			return &st.keys[i];
	if (!create || st.nkeys == KEYS_MAX)
		return NULL;
	snprintf(st.keys[st.nkeys].name, sizeof(st.keys[0].name), "%s", name);
	return &st.keys[st.nkeys++];
}

static void key_set(const char *name, const char *val, size_t len)
{
	kv_t *k = key_get(name, true);

	if (!k)
		return;
	free(k->value);
	k->value = xstrndup(val, len);
	k->len = len;
	k->index = ++st.index;
	st.writes++;
	pthread_cond_broadcast(&st.changed);
}

static void freeze_all(void)
{
	for (int i = 0; i < st.nkeys; i++) {
		kv_t *k = &st.keys[i];

		free(k->frozen);
		k->frozen = k->value ? xstrndup(k->value, k->len) : NULL;
		k->frozen_len = k->len;
		k->frozen_index = k->index;
	}
}

static void serve_get(const lw_http_req_t *req, const char *name, lw_http_resp_t *resp)
{
	const char *idx = lw_http_arg(req, "index");
	const char *wait = lw_http_arg(req, "wait");
	uint64_t after = idx ? strtoull(idx, NULL, 10) : 0;
	uint64_t until = lw_now_ms() + (wait ? strtoul(wait, NULL, 10) : 0);
	kv_t *k;

	pthread_mutex_lock(&st.lock);
	if (wait)
		st.watches++;
	else
		st.reads++;
	for (;;) {
		k = key_get(name, false);
		uint64_t cur = !k ? 0 : st.fault == FAULT_STALE ? k->frozen_index : k->index;

		if ((k && cur > after) || !wait || st.fault == FAULT_DOWN ||
		    lw_cond_wait_until(&st.changed, &st.lock, until))
			break;
	}
	if (st.fault == FAULT_DOWN) {
		pthread_mutex_unlock(&st.lock);
		lw_http_replyf(resp, 503, "down (injected)\n");
		return;
	}
	if (!k || !k->value) {
		pthread_mutex_unlock(&st.lock);
		lw_http_replyf(resp, 404, "no key %s\n", name);
		return;
	}
	if (st.fault == FAULT_STALE) {
		lw_http_set_header(resp, "X-LW-Index", "%llu", (unsigned long long)k->frozen_index);
		lw_http_reply(resp, 200, k->frozen ? k->frozen : "", k->frozen_len);
	} else {
		lw_http_set_header(resp, "X-LW-Index", "%llu", (unsigned long long)k->index);
		lw_http_reply(resp, 200, k->value, k->len);
	}
	pthread_mutex_unlock(&st.lock);
}

static void serve_fault(const lw_http_req_t *req, lw_http_resp_t *resp)
{
	const char *mode = lw_http_arg(req, "mode");
	const char *ms = lw_http_arg(req, "ms");
	static const char *const names[] = { "ok", "down", "stale", "slow" };

	pthread_mutex_lock(&st.lock);
	for (int i = 0; mode && i < 4; i++)
		if (strcmp(mode, names[i]) == 0) {
			if (i == FAULT_STALE && st.fault != FAULT_STALE)
				freeze_all();
			st.fault = (fault_t)i;
			st.slow_ms = ms ? (unsigned)strtoul(ms, NULL, 10) : 0;
			pthread_cond_broadcast(&st.changed);
			pthread_mutex_unlock(&st.lock);
			lw_http_replyf(resp, 200, "fault %s\n", mode);
			return;
		}
	pthread_mutex_unlock(&st.lock);
	lw_http_replyf(resp, 400, "unknown mode; use ok, down, stale or slow\n");
}

static void on_request(void *ctx, const lw_http_req_t *req, lw_http_resp_t *resp)
{
	(void)ctx;
	if (strncmp(req->url, "/v1/fault", 9) == 0) {
		serve_fault(req, resp);
		return;
	}
	if (strcmp(req->url, "/v1/stats") == 0) {
		pthread_mutex_lock(&st.lock);
		lw_http_replyf(resp, 200, "reads %llu\nwatches %llu\nwrites %llu\nindex %llu\n",
			       (unsigned long long)st.reads, (unsigned long long)st.watches,
			       (unsigned long long)st.writes, (unsigned long long)st.index);
		pthread_mutex_unlock(&st.lock);
		return;
	}
	if (st.slow_ms)
		usleep(st.slow_ms * 1000);
	if (strncmp(req->url, "/v1/kv/", 7) != 0 || !req->url[7]) {
		lw_http_replyf(resp, 404, "use /v1/kv/KEY, /v1/fault or /v1/stats\n");
		return;
	}
	if (strcmp(req->method, "PUT") == 0) {
		if (req->body.len > VALUE_MAX) {
			lw_http_replyf(resp, 413, "value over 1 MiB\n");
			return;
		}
		pthread_mutex_lock(&st.lock);
		if (st.fault == FAULT_DOWN) {
			pthread_mutex_unlock(&st.lock);
			lw_http_replyf(resp, 503, "down (injected)\n");
			return;
		}
		key_set(req->url + 7, req->body.ptr, req->body.len);
		lw_http_set_header(resp, "X-LW-Index", "%llu", (unsigned long long)st.index);
		pthread_mutex_unlock(&st.lock);
		lw_http_replyf(resp, 200, "ok\n");
		return;
	}
	serve_get(req, req->url + 7, resp);
}

static int load_file(const char *spec)
{
	const char *eq = strchr(spec, '=');
	char key[128];
	char *buf;
	size_t n;
	FILE *f;

	if (!eq || eq == spec || (size_t)(eq - spec) >= sizeof(key)) {
		fprintf(stderr, "lwstub-config: --load must be KEY=FILE, got '%s'\n", spec);
		return -1;
	}
	snprintf(key, sizeof(key), "%.*s", (int)(eq - spec), spec);
	f = fopen(eq + 1, "rb");
	if (!f) {
		fprintf(stderr, "lwstub-config: cannot open %s; check the path\n", eq + 1);
		return -1;
	}
	buf = xmalloc(VALUE_MAX);
	n = fread(buf, 1, VALUE_MAX, f);
	fclose(f);
	pthread_mutex_lock(&st.lock);
	key_set(key, buf, n);
	pthread_mutex_unlock(&st.lock);
	free(buf);
	return 0;
}

/*
 * Client mode, in place of the operators' console: send one request to the
 * running stub at @to, to publish @file, set a fault or read the call counts.
 */
static int client(const char *to, const char *method, const char *path, const char *file)
{
	char *buf = NULL;
	size_t n = 0;
	int rc;

	if (file) {
		FILE *f = fopen(file, "rb");

		if (!f) {
			fprintf(stderr, "lwstub-config: cannot open %s\n", file);
			return 2;
		}
		buf = xmalloc(VALUE_MAX + 1);
		n = fread(buf, 1, VALUE_MAX + 1, f);
		fclose(f);
	}
	rc = lw_httpc_command("lwstub-config", to, method, path, (lw_str_t){ buf, n });
	free(buf);
	return rc;
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwstub-config");
	struct arg_str *listen = arg_str0(NULL, "listen", "IP:PORT",
					  "address to listen on (default 127.0.0.1:7000)");
	struct arg_str *load =
		arg_strn(NULL, "load", "KEY=FILE", 0, 16, "publish FILE under KEY at start");
	struct arg_str *to =
		arg_str0(NULL, "to", "IP:PORT", "client mode: address of a running stub");
	struct arg_str *key =
		arg_str0(NULL, "key", "KEY", "client mode: key to publish (default lavenderward)");
	struct arg_file *publish = arg_file0(NULL, "publish", "FILE", "client mode: publish FILE");
	struct arg_str *fault =
		arg_str0(NULL, "fault", "MODE[:MS]", "client mode: ok, down, stale, slow:MS");
	struct arg_lit *stats = arg_lit0(NULL, "stats", "client mode: print the call counts");
	void *table[] = { cli.help, cli.version, listen, load,	to,
			  key,	    publish,	 fault,	 stats, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	char path[256];
	lw_httpd_t *h;
	sigset_t set;
	int sig;

	lw_log_init("lwstub-config", LOG_INFO);
	if (rc != LW_CLI_RUN)
		return rc;
	if (to->count) {
		if (publish->count) {
			snprintf(path, sizeof(path), "/v1/kv/%s",
				 key->count ? key->sval[0] : "lavenderward");
			return client(to->sval[0], "PUT", path, publish->filename[0]);
		}
		if (fault->count) {
			const char *colon = strchr(fault->sval[0], ':');

			snprintf(path, sizeof(path), "/v1/fault?mode=%.*s&ms=%s",
				 (int)(colon ? colon - fault->sval[0] :
					       (long)strlen(fault->sval[0])),
				 fault->sval[0], colon ? colon + 1 : "0");
			return client(to->sval[0], "POST", path, NULL);
		}
		return client(to->sval[0], "GET", "/v1/stats", NULL);
	}
	(void)stats;
	lw_cond_init_monotonic(&st.changed);
	for (int i = 0; i < load->count; i++)
		if (load_file(load->sval[i]))
			return 2;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (lw_httpd_start(listen->count ? listen->sval[0] : "127.0.0.1:7000", on_request, NULL,
			   &h)) {
		fprintf(stderr, "lwstub-config: %s\n", lw_error_last());
		return 1;
	}
	lw_log(LW_LOG_started, "listen=%s", listen->count ? listen->sval[0] : "127.0.0.1:7000");
	sigwait(&set, &sig);
	/* the exit ends long polls in progress */
	lw_log(LW_LOG_stopped, "signal=%d", sig);
	return 0;
}

/*
 * Scripted runs of the proxy's decisions: commands in, expected output. A
 * script is a text file. A line that starts with "> " is a command; the lines
 * up to the next command are its output, word for word. Lines starting with #
 * are comments. Each script starts with fresh modules. Times are in ms.
 */
#include <dirent.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admit.h"
#include "comeback.h"
#include "fleetconf.h"
#include "hotpath.h"
#include "httphead.h"
#include "level.h"
#include "lwtest.h"
#include "place.h"
#include "readers.h"
#include "retrylimit.h"
#include "retryrule.h"
#include "serverset.h"
#include "waitq.h"
#include "xalloc.h"
#include "../platform/documents.h"
#include "../platform/names.h"

#define WORDS_MAX   48
#define WAITERS_MAX 64

typedef struct world {
	lw_fleetconf_t *conf;
	lw_level_t level;
	lw_hotpath_t *hot;
	lw_retrylimit_t retries;
	lw_place_t place;
	lw_serverset_t *entries;
	lw_serverlist_t list;
	lw_waitq_t queue;
	struct {
		lw_waiter_t w;
		char name[16];
	} waiter[WAITERS_MAX];
	size_t nwaiters;
	lw_bytebuf_t out;
} world_t;

typedef struct words {
	char *w[WORDS_MAX];
	int n;
} words_t;

static const char *word(const words_t *a, int i)
{
	return i < a->n ? a->w[i] : "";
}

static long num(const words_t *a, int i)
{
	return strtol(word(a, i), NULL, 10);
}

static uint64_t ms(const words_t *a, int i)
{
	return (uint64_t)num(a, i) * 1000;
}

static void say(world_t *w, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

static void say(world_t *w, const char *fmt, ...)
{
	char line[1024];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	lw_bytebuf_append_c(&w->out, line);
	lw_bytebuf_append_c(&w->out, "\n");
}

/* route-add HOST PREFIX NAME SERVICE:WEIGHT... | routes-seal | route HOST PATH */
static void do_route_add(world_t *w, const words_t *a)
{
	lw_fleet_route_t *r = lw_fleetconf_add(w->conf, lw_str_c(word(a, 1)), lw_str_c(word(a, 2)));

	lw_str_copy(r->name, sizeof(r->name), lw_str_c(word(a, 3)));
	for (int i = 4; i < a->n; i++) {
		char *colon = strchr(a->w[i], ':');

		*colon = '\0';
		lw_fleet_route_split(r, lw_str_c(a->w[i]), (uint32_t)atoi(colon + 1));
	}
}

static void do_routes_seal(world_t *w, const words_t *a)
{
	(void)a;
	lw_fleetconf_seal(w->conf);
}

static void do_route(world_t *w, const words_t *a)
{
	const lw_fleet_route_t *r =
		lw_fleetconf_match(w->conf, lw_str_c(word(a, 1)), lw_str_c(word(a, 2)));

	say(w, "%s", r ? r->name : "none");
}

/* split HOST PATH COUNT: which share of COUNT requests each part gets */
static void do_split(world_t *w, const words_t *a)
{
	lw_fleet_route_t *r =
		lw_fleetconf_match(w->conf, lw_str_c(word(a, 1)), lw_str_c(word(a, 2)));
	int got[8] = { 0 };

	for (long i = 0; i < num(a, 3); i++) {
		const char *s = lw_fleet_route_next(r);

		for (size_t k = 0; k < r->nsplits; k++)
			got[k] += strcmp(r->splits[k].service, s) == 0;
	}
	for (size_t k = 0; k < r->nsplits; k++)
		say(w, "%s %d", r->splits[k].service, got[k]);
}

/* \r, \n, \t and \0 in scripts */
static lw_str_t unescape(char *s)
{
	char *to = s;

	for (const char *from = s; *from; from++) {
		if (*from != '\\') {
			*to++ = *from;
			continue;
		}
		from++;
		*to++ = *from == 'r' ? '\r' : *from == 'n' ? '\n' : *from == 't' ? '\t' : '\0';
	}
	return (lw_str_t){ s, (size_t)(to - s) };
}

/* head request|response TEXT: the whole rest of the line */
static void do_head(world_t *w, bool request, char *text)
{
	static const char *const results[] = { "ok", "malformed", "too_large" };
	lw_httphead_t h;
	http_parser parser;
	lw_httphead_error_t err;
	lw_bytebuf_t out = { 0 };

	http_parser_init(&parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
	err = lw_httphead_parse(&h, &parser, &lw_platform_names, unescape(text));
	if (err) {
		say(w, "%s", results[err]);
		return;
	}
	say(w, "ok status=%u body=%lld keep=%d host=%.*s target=%.*s", h.status,
	    (long long)h.body_length, h.keep_alive, (int)h.host.len, h.host.ptr ? h.host.ptr : "",
	    (int)h.target.len, h.target.ptr ? h.target.ptr : "");
	lw_httphead_forward(&h, &out);
	for (const char *at = lw_bytebuf_head(&out), *end = at + lw_bytebuf_len(&out); at < end;) {
		const char *nl = memchr(at, '\r', (size_t)(end - at));

		say(w, "| %.*s", (int)(nl - at), at);
		at = nl + 2;
	}
	lw_bytebuf_free(&out);
}

/* level-step QUEUED RUNNING LIMIT SERVICE_MS [COUNT RANK]...: one step with arrivals */
static void do_level_step(world_t *w, const words_t *a)
{
	lw_level_input_t in = { (uint32_t)num(a, 1), (uint32_t)num(a, 2), (uint32_t)num(a, 3),
				(double)num(a, 4) * 1000 };

	for (int i = 5; i + 1 < a->n; i += 2)
		for (long k = 0; k < num(a, i); k++)
			lw_level_arrival(&w->level, (uint32_t)num(a, i + 1));
	lw_level_step(&w->level, &in);
	say(w, "level %u", w->level.level);
}

/* level-load LIMIT SERVICE_MS ARRIVALS PRIORITY STEPS: arrivals spread over a priority */
static void do_level_load(world_t *w, const words_t *a)
{
	uint32_t limit = (uint32_t)num(a, 1);
	double service_us = (double)num(a, 2) * 1000;
	double queue = 0;

	for (long step = 0; step < num(a, 5); step++) {
		double runs = limit * LW_LEVEL_STEP_MS * 1000.0 / service_us;
		lw_level_input_t in = { 0, limit, limit, service_us };
		long admitted = 0;

		for (long k = 0; k < num(a, 3); k++) {
			uint32_t rank = (uint32_t)num(a, 4) * LW_RANKS_PER_PRIORITY +
					(uint32_t)((k * 617 + step * 31) % LW_RANKS_PER_PRIORITY);

			if (rank >= w->level.level)
				continue;
			lw_level_arrival(&w->level, rank);
			admitted++;
		}
		queue += (double)admitted - runs;
		if (queue < 0)
			queue = 0;
		in.queued = (uint32_t)queue;
		lw_level_step(&w->level, &in);
	}
	say(w, "level %u queue_ms %.0f", w->level.level, queue * service_us / limit / 1000);
}

/* hot-told ROUTE AT DEPTH [SERVICE LEVEL]... | hot-admits ROUTE RANK AT | hot-depth ROUTE */
static void do_hot_told(world_t *w, const words_t *a)
{
	lw_hots_t hots = { .n = 0 };

	for (int i = 4; i + 1 < a->n; i += 2)
		lw_hots_add(&hots, word(a, i), (uint32_t)num(a, i + 1));
	lw_hotpath_told(w->hot, word(a, 1), &hots, (uint32_t)num(a, 3), ms(a, 2));
}

static void do_hot_admits(world_t *w, const words_t *a)
{
	lw_hot_t by;

	if (lw_hotpath_admits(w->hot, word(a, 1), (uint32_t)num(a, 2), ms(a, 3), &by))
		say(w, "admitted");
	else
		say(w, "refused by %s at %u", by.service, by.level);
}

static void do_hot_depth(world_t *w, const words_t *a)
{
	say(w, "%u", lw_hotpath_depth(w->hot, word(a, 1)));
}

static bool has(const words_t *a, const char *flag)
{
	for (int i = 1; i < a->n; i++)
		if (strcmp(a->w[i], flag) == 0)
			return true;
	return false;
}

static const lw_retryterms_t retry_terms = { .ratio = 0.2, .extra = 40, .window_s = 10 };

/* retry-requests COUNT AT | retry-inherited COUNT AT | retry-take TIMES ABOVE BELOW NODES AT */
static void do_retry_requests(world_t *w, const words_t *a)
{
	for (long i = 0; i < num(a, 1); i++)
		lw_retrylimit_request(&w->retries, &retry_terms, ms(a, 2));
}

static void do_retry_inherited(world_t *w, const words_t *a)
{
	for (long i = 0; i < num(a, 1); i++)
		lw_retrylimit_repeat(&w->retries, &retry_terms, ms(a, 2));
}

static void do_retry_take(world_t *w, const words_t *a)
{
	lw_retryplace_t at = { (uint32_t)num(a, 4), (uint32_t)num(a, 2), (uint32_t)num(a, 3),
			       has(a, "urgent") ? 0 : LW_RANKS_PER_PRIORITY };
	long got = 0;

	for (long i = 0; i < num(a, 1); i++)
		got += lw_retrylimit_take(&w->retries, &retry_terms, &at, ms(a, 5));
	say(w, "%ld", got);
}

/* retry-ranks TIMES BELOW-RANK AT: the last of four levels, one of 10 nodes, ranks of one priority */
static void do_retry_ranks(world_t *w, const words_t *a)
{
	lw_retryplace_t at = { 10, 3, 0, 0 };
	long low = 0, high = 0;

	for (long i = 0; i < num(a, 1); i++) {
		at.rank = (uint32_t)(i * 7919 % LW_RANKS_PER_PRIORITY);
		if (!lw_retrylimit_take(&w->retries, &retry_terms, &at, ms(a, 3)))
			continue;
		if ((long)at.rank < num(a, 2))
			low++;
		else
			high++;
	}
	say(w, "below %ld, others %ld", low, high);
}

static lw_fail_t fail_of(const char *name)
{
	for (int i = 0; i < LW_FAIL_COUNT; i++)
		if (strcmp(lw_fail_name((lw_fail_t)i), name) == 0)
			return (lw_fail_t)i;
	return LW_FAIL_NONE;
}

/* verdict WHY GIVEN MAX HANDED_BACK LEFT [idempotent] [kept] [maybe_ran] [nested] [resent] */
static void do_verdict(world_t *w, const words_t *a)
{
	static const char *const names[] = { "again",  "again_counted", "same_counted",
					     "refuse", "fail",		"timeout" };
	lw_attempts_t t = {
		.idempotent = has(a, "idempotent"),
		.nested = has(a, "nested"),
		.resent = has(a, "resent") ? LW_RESENDS_MAX : 0,
		.body_kept = has(a, "kept"),
		.maybe_ran = has(a, "maybe_ran"),
		.given = (uint32_t)num(a, 2),
		.max_given = (uint32_t)num(a, 3),
		.handed_back = (uint32_t)num(a, 4),
		.left_ms = (uint32_t)num(a, 5),
	};

	say(w, "%s", names[lw_retry_verdict(&t, fail_of(word(a, 1)))]);
}

/* comeback ROOM PRIORITY LEFT: the shortest and the longest wait */
static void do_comeback(world_t *w, const words_t *a)
{
	uint32_t room = (uint32_t)num(a, 1), prio = (uint32_t)num(a, 2), left = (uint32_t)num(a, 3);

	say(w, "%u to %u ms", lw_comeback_ms(room, prio, left, 0),
	    lw_comeback_ms(room, prio, left, UINT32_MAX));
}

/* admit RUNNING QUEUED AHEAD LIMIT SERVICE_MS DEADLINE QUEUE_MS */
static void do_admit(world_t *w, const words_t *a)
{
	lw_admit_state_t st = { .load = { .running = (uint32_t)num(a, 1),
					  .queued = (uint32_t)num(a, 2),
					  .limit = (uint32_t)num(a, 4),
					  .service_us = (uint32_t)num(a, 5) * 1000 },
				.ahead = (uint32_t)num(a, 3) };
	lw_ask_t ask = { .deadline_ms = (uint32_t)num(a, 6), .queue_ms = (uint32_t)num(a, 7) };

	say(w, "%s expected_wait=%u may_wait=%u retry_after=%u", lw_fail_name(lw_admit(&st, &ask)),
	    lw_admit_expected_wait_ms(&st), lw_admit_wait_ms(&st, &ask),
	    lw_admit_retry_after_ms(&st.load));
}

/* wait NAME PRIORITY EXPIRES | next | expired AT */
static void do_wait(world_t *w, const words_t *a)
{
	size_t i = w->nwaiters++;

	snprintf(w->waiter[i].name, sizeof(w->waiter[i].name), "%s", word(a, 1));
	w->waiter[i].w.priority = (uint32_t)num(a, 2);
	w->waiter[i].w.expires_us = ms(a, 3);
	lw_waitq_push(&w->queue, &w->waiter[i].w);
}

static void say_waiter(world_t *w, const lw_waiter_t *x)
{
	for (size_t i = 0; i < w->nwaiters; i++)
		if (x == &w->waiter[i].w)
			say(w, "%s", w->waiter[i].name);
	if (!x)
		say(w, "none");
}

static void do_next(world_t *w, const words_t *a)
{
	(void)a;
	say_waiter(w, lw_waitq_pop(&w->queue));
}

static void do_expired(world_t *w, const words_t *a)
{
	say_waiter(w, lw_waitq_expired(&w->queue, ms(a, 1)));
}

/* entry ID SERVICE ADDR ZONE SLOTS CREATED [draining] | entry-gone ID | entry-list AT ... */
static lw_server_entry_t entry_of(const words_t *a)
{
	lw_server_entry_t e = { .slots = (uint32_t)num(a, 5), .created = (uint64_t)num(a, 6) };

	lw_str_copy(e.id, sizeof(e.id), lw_str_c(word(a, 1)));
	lw_str_copy(e.service, sizeof(e.service), lw_str_c(word(a, 2)));
	lw_str_copy(e.addr, sizeof(e.addr), lw_str_c(word(a, 3)));
	lw_str_copy(e.zone, sizeof(e.zone), lw_str_c(word(a, 4)));
	e.draining = has(a, "draining");
	return e;
}

static void do_entry(world_t *w, const words_t *a)
{
	lw_server_entry_t e = entry_of(a);

	lw_serverset_put(w->entries, &e);
}

static void do_entry_gone(world_t *w, const words_t *a)
{
	lw_serverset_remove(w->entries, word(a, 1), (uint64_t)num(a, 2));
}

static void do_store_back(world_t *w, const words_t *a)
{
	lw_serverset_store_back(w->entries, ms(a, 1), (uint64_t)num(a, 2));
}

static void do_store_away(world_t *w, const words_t *a)
{
	lw_serverset_store_away(w->entries, ms(a, 1));
}

static void do_resume(world_t *w, const words_t *a)
{
	(void)a;
	lw_serverset_resume(w->entries);
}

static void do_reread(world_t *w, const words_t *a)
{
	if (strcmp(word(a, 1), "begin") == 0)
		lw_serverset_begin(w->entries);
	else
		lw_serverset_end(w->entries);
}

static int by_id(const void *x, const void *y)
{
	return strcmp(((const lw_server_entry_t *)x)->id, ((const lw_server_entry_t *)y)->id);
}

static void do_entry_list(world_t *w, const words_t *a)
{
	lw_serverlist_t *sl = lw_serverset_changed(w->entries, ms(a, 1));

	if (!sl) {
		say(w, "unchanged");
		return;
	}
	qsort(sl->servers, sl->nservers, sizeof(*sl->servers), by_id);
	for (size_t i = 0; i < sl->nservers; i++)
		say(w, "%s %s%s", sl->servers[i].id, sl->servers[i].service,
		    sl->servers[i].draining ? " draining" : "");
	if (!sl->nservers)
		say(w, "empty");
	lw_serverlist_free(sl);
}

/* host ...: as entry, into the list of placement | hosts-apply AT */
static void do_host(world_t *w, const words_t *a)
{
	w->list.servers =
		xrealloc(w->list.servers, (w->list.nservers + 1) * sizeof(*w->list.servers));
	w->list.servers[w->list.nservers++] = entry_of(a);
}

static void do_hosts_apply(world_t *w, const words_t *a)
{
	lw_place_update(&w->place, &w->list, ms(a, 1));
	w->list.nservers = 0;
}

static lw_place_host_t *host_of(world_t *w, const char *id)
{
	for (lw_place_service_t *s = w->place.services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			if (strcmp(h->id, id) == 0)
				return h;
	return NULL;
}

/* told ID RUNNING QUEUED LIMIT SERVICE_MS AT [leaving] */
static void do_told(world_t *w, const words_t *a)
{
	lw_load_t load = { .running = (uint32_t)num(a, 2),
			   .queued = (uint32_t)num(a, 3),
			   .limit = (uint32_t)num(a, 4),
			   .service_us = (uint32_t)num(a, 5) * 1000,
			   .leaving = has(a, "leaving") };

	lw_place_node_told(&w->place, host_of(w, word(a, 1))->node, &load, ms(a, 6));
}

static void do_lost(world_t *w, const words_t *a)
{
	lw_place_node_lost(&w->place, host_of(w, word(a, 1))->node, ms(a, 2));
}

/* outcomes ID ok|failed COUNT AT */
static void do_outcomes(world_t *w, const words_t *a)
{
	lw_place_host_t *h = host_of(w, word(a, 1));

	for (long i = 0; i < num(a, 3); i++) {
		lw_place_sent(h);
		lw_place_ended(h, strcmp(word(a, 2), "ok") == 0, ms(a, 4));
	}
}

/* pick SERVICE COUNT BODY AT [not ID]...: how often each host is chosen, loads unchanged */
static void do_pick(world_t *w, const words_t *a)
{
	lw_place_service_t *s = lw_place_service(&w->place, word(a, 1));
	lw_place_tried_t tried = { .n = 0 };
	uint32_t random = 12345;
	long none = 0, got[16] = { 0 };
	int k = 0;

	for (int i = 6; i < a->n; i += 2)
		tried.host[tried.n++] = host_of(w, word(a, i));
	for (long i = 0; i < num(a, 2); i++) {
		lw_place_ask_t ask = { ms(a, 4), num(a, 3), random };
		const lw_place_host_t *pick = lw_place_pick(s, &tried, &ask);

		random = random * 1103515245u + 12345u;
		k = 0;
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			got[k++] += h == pick;
		none += !pick;
	}
	k = 0;
	for (lw_place_host_t *h = s->hosts; h; h = h->next, k++)
		if (got[k])
			say(w, "%s %ld", h->id, got[k]);
	if (none)
		say(w, "none %ld", none);
}

/* readers ADDR...: which of the nodes beside these backend servers read */
static void do_readers(world_t *w, const words_t *a)
{
	lw_serverlist_t sl = { .servers = xcalloc(WORDS_MAX, sizeof(lw_server_entry_t)) };

	for (int i = 1; i < a->n; i++)
		lw_str_copy(sl.servers[sl.nservers++].addr, LW_NAME_MAX, lw_str_c(word(a, i)));
	for (int i = 1; i < a->n; i++)
		if (lw_readers_include(&sl, word(a, i)))
			say(w, "%s", word(a, i));
	free(sl.servers);
}

/* rank PRIORITY ID */
static void do_rank(world_t *w, const words_t *a)
{
	say(w, "%u", lw_rank((uint32_t)num(a, 1), lw_str_c(word(a, 2))));
}

typedef struct command {
	const char *name;
	void (*run)(world_t *w, const words_t *a);
} command_t;

static const command_t commands[] = {
	{ "route-add", do_route_add },
	{ "routes-seal", do_routes_seal },
	{ "route", do_route },
	{ "split", do_split },
	{ "level-step", do_level_step },
	{ "level-load", do_level_load },
	{ "hot-told", do_hot_told },
	{ "hot-admits", do_hot_admits },
	{ "hot-depth", do_hot_depth },
	{ "retry-requests", do_retry_requests },
	{ "retry-inherited", do_retry_inherited },
	{ "retry-take", do_retry_take },
	{ "retry-ranks", do_retry_ranks },
	{ "verdict", do_verdict },
	{ "comeback", do_comeback },
	{ "admit", do_admit },
	{ "wait", do_wait },
	{ "next", do_next },
	{ "expired", do_expired },
	{ "entry", do_entry },
	{ "entry-gone", do_entry_gone },
	{ "store-back", do_store_back },
	{ "resume", do_resume },
	{ "store-away", do_store_away },
	{ "reread", do_reread },
	{ "entry-list", do_entry_list },
	{ "host", do_host },
	{ "hosts-apply", do_hosts_apply },
	{ "told", do_told },
	{ "lost", do_lost },
	{ "outcomes", do_outcomes },
	{ "pick", do_pick },
	{ "readers", do_readers },
	{ "rank", do_rank },
};

static void run_command(world_t *w, char *line)
{
	words_t a = { .n = 0 };

	if (strncmp(line, "head request ", 13) == 0) {
		do_head(w, true, line + 13);
		return;
	}
	if (strncmp(line, "head response ", 14) == 0) {
		do_head(w, false, line + 14);
		return;
	}
	for (char *t = strtok(line, " "); t && a.n < WORDS_MAX; t = strtok(NULL, " "))
		a.w[a.n++] = t;
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (strcmp(commands[i].name, word(&a, 0)) == 0) {
			commands[i].run(w, &a);
			return;
		}
	say(w, "unknown command %s", word(&a, 0));
}

static void world_init(world_t *w)
{
	memset(w, 0, sizeof(*w));
	w->conf = lw_fleetconf_new();
	w->hot = lw_hotpath_new();
	w->entries = lw_serverset_new();
	lw_level_init(&w->level);
	lw_place_init(&w->place, "zone-a", "10.0.0.1:80", 7000, retry_terms);
}

/* run the script at @path; what it should print and what it prints */
static bool play(const char *path, lw_bytebuf_t *want, lw_bytebuf_t *got)
{
	FILE *f = fopen(path, "r");
	char line[2048];
	world_t w;

	if (!f)
		return false;
	world_init(&w);
	while (fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0] == '#' || !line[0])
			continue;
		if (strncmp(line, "> ", 2) != 0) {
			lw_bytebuf_printf(want, "%s\n", line);
			continue;
		}
		lw_bytebuf_printf(want, "%s\n", line);
		lw_bytebuf_printf(got, "%s\n", line);
		run_command(&w, line + 2);
		lw_bytebuf_append(got, lw_bytebuf_head(&w.out), lw_bytebuf_len(&w.out));
		lw_bytebuf_consume(&w.out, lw_bytebuf_len(&w.out));
	}
	fclose(f);
	lw_bytebuf_free(&w.out);
	lw_fleetconf_free(w.conf);
	lw_serverset_free(w.entries);
	free(w.list.servers);
	lw_bytebuf_append(want, "", 1);
	lw_bytebuf_append(got, "", 1);
	return true;
}

static const char *scripts_dir;

static void report(const char *name, const char *want, const char *got)
{
	int line = 1;

	while (*want && *want == *got) {
		line += *want == '\n';
		want++;
		got++;
	}
	while (line > 1 && want[-1] != '\n') {
		want--;
		got--;
	}
	fprintf(stderr, "\n  %s: want '%.*s' got '%.*s'\n", name, (int)strcspn(want, "\n"), want,
		(int)strcspn(got, "\n"), got);
}

static void run_scripts(void)
{
	DIR *d = opendir(scripts_dir);
	struct dirent *e;
	int played = 0;

	CU_ASSERT_PTR_NOT_NULL(d);
	while (d && (e = readdir(d)) != NULL) {
		lw_bytebuf_t want = { 0 }, got = { 0 };
		char path[512];
		bool same;

		if (!strstr(e->d_name, ".txt"))
			continue;
		snprintf(path, sizeof(path), "%s/%s", scripts_dir, e->d_name);
		same = play(path, &want, &got) && strcmp(want.data, got.data) == 0;
		if (!same && want.data)
			report(e->d_name, want.data, got.data);
		if (getenv("DECIDE_PRINT"))
			fprintf(stderr, "== %s\n%s", e->d_name, got.data);
		CU_ASSERT_TRUE(same);
		lw_bytebuf_free(&want);
		lw_bytebuf_free(&got);
		played++;
	}
	if (d)
		closedir(d);
	CU_ASSERT_TRUE(played > 0);
}

/* suite_decisions() - register the scripted runs in @dir. */
void suite_decisions(const char *dir)
{
	CU_pSuite s = CU_add_suite("decisions", NULL, NULL);

	scripts_dir = dir;
	CU_add_test(s, "scripted runs", run_scripts);
}

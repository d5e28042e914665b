/* Script commands for routes, message heads, admission levels and call paths. */
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "httphead.h"
#include "../platform/names.h"

/* route-add HOST PREFIX NAME SERVICE:WEIGHT... | routes-seal | route HOST PATH */
static void do_route_add(world_t *w, const words_t *a)
{
	lw_fleet_route_t *r = lw_fleetconf_add(w->conf, lw_str_c(word(a, 1)), lw_str_c(word(a, 2)));

	r->name = lw_name_c(word(a, 3));
	for (int i = 4; i < a->n; i++) {
		char *colon = strchr(a->w[i], ':');

		*colon = '\0';
		lw_fleet_route_split(r, lw_str_c(a->w[i]), (uint32_t)atoi(colon + 1));
	}
}

static void do_routes_seal(world_t *w, const words_t *a)
{
	(void)a;
	lw_fleetconf_finish(w->conf);
}

static void do_route(world_t *w, const words_t *a)
{
	const lw_fleet_route_t *r =
		lw_fleetconf_match(w->conf, lw_str_c(word(a, 1)), lw_str_c(word(a, 2)));

	emit(w, "%s", r ? r->name : "none");
}

/* split HOST PATH COUNT: the share of COUNT requests that each destination gets */
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
		emit(w, "%s %d", r->splits[k].service, got[k]);
}

/* decode \r, \n, \t and \0 in scripts */
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

/* head request|response TEXT: TEXT is the rest of the line */
void decide_head(world_t *w, bool request, char *text)
{
	static const char *const results[] = { "ok", "malformed" };
	static lw_httphead_t h;
	http_parser parser;
	lw_httphead_error_t err;
	lw_bytebuf_t out = { 0 };

	http_parser_init(&parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
	err = lw_httphead_parse(&h, &parser, &lw_platform_names, unescape(text));
	if (err) {
		emit(w, "%s", results[err]);
		return;
	}
	emit(w, "ok status=%u body=%lld keep=%d host=%.*s target=%.*s", h.status,
	     (long long)h.body_length, h.keep_alive, (int)h.host.len, h.host.ptr ? h.host.ptr : "",
	     (int)h.target.len, h.target.ptr ? h.target.ptr : "");
	lw_httphead_forward(&h, false, &out);
	for (const char *at = lw_bytebuf_head(&out), *end = at + lw_bytebuf_len(&out); at < end;) {
		const char *nl = memchr(at, '\r', (size_t)(end - at));

		emit(w, "| %.*s", (int)(nl - at), at);
		at = nl + 2;
	}
	lw_bytebuf_free(&out);
}

/* level-step QUEUED RUNNING LIMIT SERVICE_MS [COUNT RANK]...: one step with arrivals */
static void do_level_step(world_t *w, const words_t *a)
{
	lw_level_input_t in = { .queued = (uint32_t)num(a, 1),
				.running = (uint32_t)num(a, 2),
				.limit = (uint32_t)num(a, 3),
				.service_us = (double)num(a, 4) * 1000 };

	for (int i = 5; i + 1 < a->n; i += 2)
		for (long k = 0; k < num(a, i); k++)
			lw_level_arrival(&w->level, (uint32_t)num(a, i + 1));
	lw_level_step(&w->level, &in);
	emit(w, "level %u", w->level.level);
}

/* level-load LIMIT SERVICE_MS ARRIVALS PRIORITY STEPS: arrivals distributed over a priority */
static void do_level_load(world_t *w, const words_t *a)
{
	uint32_t limit = (uint32_t)num(a, 1);
	double service_us = (double)num(a, 2) * 1000;
	double queue = 0;

	for (long step = 0; step < num(a, 5); step++) {
		double runs = limit * LW_LEVEL_STEP_MS * 1000.0 / service_us;
		lw_level_input_t in = { .running = limit,
					.limit = limit,
					.service_us = service_us };
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
	emit(w, "level %u queue_ms %.0f", w->level.level, queue * service_us / limit / 1000);
}

static void add_hot(lw_path_levels_t *hots, const words_t *a, int i, uint32_t work_us)
{
	lw_service_level_t hot = { .level = (uint32_t)num(a, i + 1), .work_us = work_us };

	hot.service = lw_name_c(word(a, i));
	lw_path_levels_add(hots, &hot);
}

/*
 * hot-worked ROUTE PRIORITY AT SERVICE LEVEL MS: a request was answered and
 * executed there for this time.
 */
static void do_hot_worked(world_t *w, const words_t *a)
{
	lw_path_levels_t hots = { .n = 0 };

	add_hot(&hots, a, 4, (uint32_t)num(a, 6) * 1000);
	lw_overload_on_answer(w->hot, word(a, 1), &hots, 1, ms(a, 3));
	lw_overload_add_work(w->hot, word(a, 1), (uint32_t)num(a, 2), &hots, ms(a, 3));
}

/* hot-weighed ROUTE RANK AT */
static void do_hot_weighed(world_t *w, const words_t *a)
{
	emit(w, "%u", lw_overload_weighted_rank(w->hot, word(a, 1), (uint32_t)num(a, 2), ms(a, 3)));
}

/*
 * hot-heard SERVICE LEVEL AGE AT: a report of another node | hot-tell AT:
 * what is reported to other nodes.
 */
static void do_hot_heard(world_t *w, const words_t *a)
{
	lw_level_report_t heard = { .level = (uint32_t)num(a, 2), .age_ms = (uint32_t)num(a, 3) };

	heard.service = lw_name_c(word(a, 1));
	lw_overload_on_report(w->hot, &heard, ms(a, 4));
}

static void do_hot_tell(world_t *w, const words_t *a)
{
	lw_level_report_t out[4];
	uint32_t n = lw_overload_report(w->hot, ms(a, 1), out, 4);

	for (uint32_t i = 0; i < n; i++)
		emit(w, "%s %u age %u", out[i].service, out[i].level, out[i].age_ms);
	if (!n)
		emit(w, "none");
}

/*
 * hot-told ROUTE AT DEPTH [SERVICE LEVEL]...: an answer reported these levels
 * | hot-admits ROUTE RANK AT | hot-depth ROUTE
 */
static void do_hot_told(world_t *w, const words_t *a)
{
	lw_path_levels_t hots = { .n = 0 };

	for (int i = 4; i + 1 < a->n; i += 2)
		add_hot(&hots, a, i, 0);
	lw_overload_on_answer(w->hot, word(a, 1), &hots, (uint32_t)num(a, 3), ms(a, 2));
}

static void do_hot_admits(world_t *w, const words_t *a)
{
	lw_service_level_t by;

	if (lw_overload_admits(w->hot, word(a, 1), (uint32_t)num(a, 2), ms(a, 3), &by))
		emit(w, "admitted");
	else
		emit(w, "refused by %s at %u", by.service, by.level);
}

static void do_hot_depth(world_t *w, const words_t *a)
{
	emit(w, "%u", lw_overload_call_depth(w->hot, word(a, 1)));
}

/* rank PRIORITY ID */
static void do_rank(world_t *w, const words_t *a)
{
	emit(w, "%u", lw_rank((uint32_t)num(a, 1), lw_str_c(word(a, 2))));
}

const command_t decide_route_commands[] = {
	{ "route-add", do_route_add },
	{ "routes-seal", do_routes_seal },
	{ "route", do_route },
	{ "split", do_split },
	{ "level-step", do_level_step },
	{ "level-load", do_level_load },
	{ "hot-heard", do_hot_heard },
	{ "hot-tell", do_hot_tell },
	{ "hot-worked", do_hot_worked },
	{ "hot-weighed", do_hot_weighed },
	{ "hot-told", do_hot_told },
	{ "hot-admits", do_hot_admits },
	{ "hot-depth", do_hot_depth },
	{ "rank", do_rank },
	{ NULL, NULL },
};

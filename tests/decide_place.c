/* Script commands for server entries and placement. */
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "storepos.h"
#include "xalloc.h"

/*
 * entry ID SERVICE ADDR ZONE SLOTS CREATED [draining] [born N] [era N] [written N] |
 * entry-gone ID [REVISION] | entry-list AT
 */
static lw_server_entry_t entry_of(const words_t *a)
{
	lw_server_entry_t e = { .slots = (uint32_t)num(a, 5), .created = (uint64_t)num(a, 6) };

	e.id = lw_name_c(word(a, 1));
	e.service = lw_name_c(word(a, 2));
	lw_str_copy(e.addr, sizeof(e.addr), lw_str_c(word(a, 3)));
	e.zone = lw_name_c(word(a, 4));
	e.draining = has(a, "draining");
	for (int i = 7; i + 1 < a->n; i++)
		if (strcmp(word(a, i), "born") == 0)
			e.born_ms = (uint64_t)num(a, i + 1);
		else if (strcmp(word(a, i), "era") == 0)
			e.created = lw_storepos((uint32_t)num(a, i + 1), e.created);
		else if (strcmp(word(a, i), "written") == 0)
			e.written = (uint64_t)num(a, i + 1);
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

/* observed FROM TO: when the following entries are written or gone; entries live 4.5 s */
static void do_observed(world_t *w, const words_t *a)
{
	lw_serverset_set_expiry(w->entries, lw_expiry(1.5));
	lw_serverset_observe(w->entries, (lw_span_t){ ms(a, 1), ms(a, 2) });
}

/* store-back AT [REVISION]: the store is reachable | store-away AT: it is not */
static void do_store_back(world_t *w, const words_t *a)
{
	lw_serverset_store_reachable(w->entries, ms(a, 1), (uint64_t)num(a, 2));
}

static void do_store_away(world_t *w, const words_t *a)
{
	lw_serverset_store_unreachable(w->entries, ms(a, 1));
}

/* restoring: the store was restored from a copy, which is read now | restored AT ERA REVISION */
static void do_restoring(world_t *w, const words_t *a)
{
	(void)a;
	lw_serverset_begin_restore(w->entries);
}

static void do_restored(world_t *w, const words_t *a)
{
	lw_serverset_end_restore(w->entries, ms(a, 1),
				 lw_storepos((uint32_t)num(a, 2), (uint64_t)num(a, 3)));
}

/* seed ID SERVICE ADDR ZONE SLOTS CREATED ...: one server is in use and no other is known */
static void do_seed(world_t *w, const words_t *a)
{
	lw_server_entry_t e = entry_of(a);

	lw_serverset_replace(w->entries, &(lw_serverlist_t){ .servers = &e, .nservers = 1 }, 0);
}

/* places ERA REVISION ERA REVISION: whether the second position is later in the store's history */
static void do_places(world_t *w, const words_t *a)
{
	uint64_t first = lw_storepos((uint32_t)num(a, 1), (uint64_t)num(a, 2));
	uint64_t second = lw_storepos((uint32_t)num(a, 3), (uint64_t)num(a, 4));

	emit(w, "%s", second > first ? "later" : "not later");
}

static void do_resume(world_t *w, const words_t *a)
{
	(void)a;
	lw_serverset_resume(w->entries);
}

/* services NAME...: the services of the configuration */
static void do_services(world_t *w, const words_t *a)
{
	lw_fleetconf_t *fc = lw_fleetconf_new();

	for (int i = 1; i < a->n; i++)
		lw_fleetconf_add_service(fc, lw_str_c(word(a, i)), LW_STR(""));
	lw_serverset_set_services(w->entries, fc);
	lw_fleetconf_free(fc);
}

static void do_reread(world_t *w, const words_t *a)
{
	if (strcmp(word(a, 1), "begin") == 0)
		lw_serverset_begin_read(w->entries);
	else
		lw_serverset_end_read(w->entries);
}

static int by_id(const void *x, const void *y)
{
	return strcmp(((const lw_server_entry_t *)x)->id, ((const lw_server_entry_t *)y)->id);
}

static void do_entry_list(world_t *w, const words_t *a)
{
	lw_serverlist_t *sl = lw_serverset_take_changes(w->entries, ms(a, 1));

	if (!sl) {
		emit(w, "unchanged");
		return;
	}
	qsort(sl->servers, sl->nservers, sizeof(*sl->servers), by_id);
	for (size_t i = 0; i < sl->nservers; i++)
		emit(w, "%s %s%s", sl->servers[i].id, sl->servers[i].service,
		     sl->servers[i].draining ? " draining" : "");
	if (!sl->nservers)
		emit(w, "empty");
	lw_serverlist_free(sl);
}

/* host ...: like entry, added to the list of placement | hosts-apply AT [LAPSED-UNTIL] */
static void do_host(world_t *w, const words_t *a)
{
	w->list.servers =
		xrealloc(w->list.servers, (w->list.nservers + 1) * sizeof(*w->list.servers));
	w->list.servers[w->list.nservers++] = entry_of(a);
}

static void do_hosts_apply(world_t *w, const words_t *a)
{
	lw_place_update(&w->place, &w->list, ms(a, 1), ms(a, 2));
	w->list.nservers = 0;
}

/* decide_host() - the host with @id; NULL if there is none. */
lw_place_host_t *decide_host(world_t *w, const char *id)
{
	for (lw_place_service_t *s = w->place.services; s; s = s->next)
		for (lw_place_host_t *h = s->hosts; h; h = h->next)
			if (strcmp(h->id, id) == 0)
				return h;
	return NULL;
}

/*
 * [leaves ID born N [seen MS]], [accepts ID seen MS] or [takes PER_S] among the words: what the
 * node knows of its backend server
 */
static lw_notice_t notice_of(const words_t *a)
{
	lw_notice_t n = { 0 };

	if (has(a, "takes")) {
		n.server = lw_notice_server_digest(word(a, 1));
		n.limited = true;
		n.limit_per_s = atof(word(a, a->n - 1));
	}
	for (int i = 7; i + 1 < a->n; i++) {
		if (strcmp(word(a, i), "leaves") == 0 || strcmp(word(a, i), "accepts") == 0) {
			n.server = lw_notice_server_digest(word(a, i + 1));
			n.leaving = strcmp(word(a, i), "leaves") == 0;
		} else if (strcmp(word(a, i), "born") == 0) {
			n.born_ms = (uint64_t)num(a, i + 1);
		} else if (strcmp(word(a, i), "seen") == 0) {
			n.seen_ms = (uint64_t)num(a, i + 1);
		}
	}
	return n;
}

/* told ID RUNNING QUEUED LIMIT SERVICE_MS AT [leaving] [what notice_of() reads] */
static void do_told(world_t *w, const words_t *a)
{
	lw_load_t load = { .running = (uint32_t)num(a, 2),
			   .queued = (uint32_t)num(a, 3),
			   .limit = (uint32_t)num(a, 4),
			   .service_us = (uint32_t)num(a, 5) * 1000,
			   .leaving = has(a, "leaving"),
			   .notice = notice_of(a) };
	const lw_place_host_t *changed = lw_place_node_load_reported(
		&w->place, decide_host(w, word(a, 1))->node, &load, ms(a, 6));

	if (changed)
		emit(w, "news: %s %s", changed->id, changed->leaving.on ? "leaves" : "accepts");
}

/* passed-on ID AT SEEN_MS: an answer of the server that announces that it is leaving */
static void do_passed_on(world_t *w, const words_t *a)
{
	lw_place_mark_leaving(decide_host(w, word(a, 1)), (uint64_t)num(a, 3), ms(a, 2));
}

/* vouch ID AT [born N]: the node of the server asserts that the server is alive */
static void do_vouch(world_t *w, const words_t *a)
{
	uint64_t born = strcmp(word(a, 3), "born") == 0 ? (uint64_t)num(a, 4) : 0;
	bool again = lw_place_assert_alive(&w->place, decide_host(w, word(a, 1))->node, word(a, 1),
					   born, ms(a, 2));

	emit(w, "%s", again ? "used again" : "no change");
}

/* lost ID AT [tried]: the connection to the node was lost; tried: it was only attempted */
static void do_lost(world_t *w, const words_t *a)
{
	lw_place_node_lost(&w->place, decide_host(w, word(a, 1))->node, !has(a, "tried"), ms(a, 2));
}

/* outcomes ID ok|failed COUNT AT */
static void do_outcomes(world_t *w, const words_t *a)
{
	lw_place_host_t *h = decide_host(w, word(a, 1));

	for (long i = 0; i < num(a, 3); i++) {
		lw_place_request_sent(h);
		lw_place_request_done(h, strcmp(word(a, 2), "ok") == 0, ms(a, 4));
	}
}

/* pick SERVICE COUNT BODY AT [not ID]...: how often each host is chosen, with loads unchanged */
static void do_pick(world_t *w, const words_t *a)
{
	lw_place_service_t *s = lw_place_service(&w->place, word(a, 1));
	lw_place_tried_t tried = { .n = 0 };
	uint32_t random = 12345;
	long none = 0, got[16] = { 0 };
	int k = 0;

	for (int i = 6; i < a->n; i += 2)
		tried.host[tried.n++] = decide_host(w, word(a, i));
	for (long i = 0; i < num(a, 2); i++) {
		lw_place_query_t ask = { .now_us = ms(a, 4),
					 .body_length = num(a, 3),
					 .random = random };
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
			emit(w, "%s %ld", h->id, got[k]);
	if (none)
		emit(w, "none %ld", none);
}

/*
 * pick-again SERVICE AT [had ID | back ID]...: the host a request is resent
 * to, out of those that had it and did not reject it.
 */
static void do_pick_again(world_t *w, const words_t *a)
{
	lw_place_service_t *s = lw_place_service(&w->place, word(a, 1));
	lw_place_query_t ask = { .now_us = ms(a, 2), .random = 12345 };
	lw_place_tried_t tried = { .n = 0 };
	const lw_place_host_t *pick;

	for (int i = 3; i + 1 < a->n; i += 2) {
		lw_place_add_tried(&tried, decide_host(w, word(a, i + 1)));
		if (strcmp(word(a, i), "back") == 0)
			lw_place_mark_rejected(&tried, decide_host(w, word(a, i + 1)));
	}
	pick = lw_place_pick_resend(s, &tried, &ask);
	emit(w, "%s", pick ? pick->id : "none");
}

const command_t decide_place_commands[] = {
	{ "entry", do_entry },
	{ "entry-gone", do_entry_gone },
	{ "observed", do_observed },
	{ "services", do_services },
	{ "vouch", do_vouch },
	{ "store-back", do_store_back },
	{ "resume", do_resume },
	{ "restoring", do_restoring },
	{ "restored", do_restored },
	{ "seed", do_seed },
	{ "places", do_places },
	{ "store-away", do_store_away },
	{ "reread", do_reread },
	{ "entry-list", do_entry_list },
	{ "host", do_host },
	{ "hosts-apply", do_hosts_apply },
	{ "told", do_told },
	{ "passed-on", do_passed_on },
	{ "lost", do_lost },
	{ "outcomes", do_outcomes },
	{ "pick", do_pick },
	{ "pick-again", do_pick_again },
	{ NULL, NULL },
};

/* Script commands for requests that crash backend servers. */
#include <string.h>

#include "decide.h"

static lw_fingerprint_t print_of(const words_t *a, int i)
{
	lw_fingerprinter_t f;

	lw_fingerprinter_begin(&f, lw_str_c(word(a, i)), "X-Org");
	lw_fingerprinter_body(&f, (lw_str_t){ NULL, 0 }, true);
	return f.value;
}

static void emit_known(world_t *w, const lw_suspect_t *s)
{
	if (s)
		emit(w, "ends %u trials %u", s->ncrashes, s->trials);
	else
		emit(w, "nothing to tell");
}

/*
 * ended REQUEST PROCESS AT [tried]: the process crashed while it executed the
 * request; tried: the request was executed alone.
 */
static void do_ended(world_t *w, const words_t *a)
{
	lw_fingerprint_t p = print_of(a, 1);

	emit_known(w, lw_quarantine_server_crashed(w->quarantine, &p, (uint64_t)num(a, 2),
						   has(a, "tried"), ms(a, 3)));
}

/* answered REQUEST AT */
static void do_answered(world_t *w, const words_t *a)
{
	lw_fingerprint_t p = print_of(a, 1);

	emit_known(w, lw_quarantine_answered(w->quarantine, &p, ms(a, 2)));
}

/*
 * heard-of REQUEST ended AT by PROCESS trials N held UNTIL NOW | heard-of
 * REQUEST cleared AT NOW: a report of another node.
 */
static void do_heard_of(world_t *w, const words_t *a)
{
	lw_suspect_t s = { .print = print_of(a, 1) };

	if (has(a, "cleared")) {
		s.cleared_us = ms(a, 3);
	} else {
		s.last_crash_us = ms(a, 3);
		s.crashed_process[s.ncrashes++] = (uint64_t)num(a, 5);
		s.trials = (uint32_t)num(a, 7);
		s.held_until_us = ms(a, 9);
	}
	emit_known(w, lw_quarantine_merge(w->quarantine, &s, ms(a, a->n - 1)));
}

/* verdict-on REQUEST AT */
static void do_verdict_on(world_t *w, const words_t *a)
{
	static const char *const names[] = { "clear", "trial", "held" };
	lw_fingerprint_t p = print_of(a, 1);
	lw_quarantine_verdict_t v = lw_quarantine_verdict(w->quarantine, &p, ms(a, 2));

	if (v == LW_QUARANTINE_HELD)
		emit(w, "held for %u ms", lw_quarantine_held_ms(w->quarantine, &p, ms(a, 2)));
	else
		emit(w, "%s", names[v]);
}

/*
 * ended-many COUNT PROCESS AT: each crash with a different request in flight;
 * prints how many requests are remembered.
 */
static void do_ended_many(world_t *w, const words_t *a)
{
	lw_fingerprint_t p = { 0 };

	for (long i = 0; i < num(a, 1); i++) {
		p.whole = (uint64_t)i + 1000;
		lw_quarantine_server_crashed(w->quarantine, &p, (uint64_t)num(a, 2), false,
					     ms(a, 3));
	}
	emit(w, "%zu matter", lw_quarantine_count(w->quarantine));
}

/* forget AT */
static void do_forget(world_t *w, const words_t *a)
{
	lw_quarantine_expire(w->quarantine, ms(a, 1));
}

/*
 * trial-host SERVICE [ID]...: the host of the service on which a request is
 * tried after the servers with these ids crashed.
 */
static void do_trial_host(world_t *w, const words_t *a)
{
	lw_place_service_t *s = lw_place_service(&w->place, word(a, 1));
	uint64_t ended[WORDS_MAX];
	size_t n = 0;
	const lw_place_host_t *h;

	for (int i = 2; i < a->n; i++)
		ended[n++] = lw_place_process(word(a, i), 0);
	h = lw_place_pick_trial(s, 7, ended, n, 1000000);
	emit(w, "%s", h ? h->id : "none");
}

/*
 * same-request BODY BODY: whether two requests are the same, one with a
 * length and one in chunks of three bytes.
 */
static void do_same_request(world_t *w, const words_t *a)
{
	static const lw_str_t head = { "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n", 47 };
	static const lw_str_t again = { "POST /a HTTP/1.1\r\nX-Request-Id: 2\r\nHost: h\r\n", 47 };
	const char *chunks = word(a, 2);
	lw_fingerprinter_t f, g;

	lw_fingerprinter_begin(&f, head, "X-Org");
	lw_fingerprinter_body(&f, lw_str_c(word(a, 1)), true);
	lw_fingerprinter_begin(&g, again, "X-Org");
	for (size_t at = 0; at < strlen(chunks); at += 3)
		lw_fingerprinter_body(&g, (lw_str_t){ chunks + at, strnlen(chunks + at, 3) },
				      false);
	lw_fingerprinter_body(&g, (lw_str_t){ NULL, 0 }, true);
	emit(w, "%s", f.value.whole == g.value.whole ? "same" : "another");
}

const command_t decide_quarantine_commands[] = {
	{ "ended", do_ended },
	{ "answered", do_answered },
	{ "heard-of", do_heard_of },
	{ "verdict-on", do_verdict_on },
	{ "ended-many", do_ended_many },
	{ "forget", do_forget },
	{ "trial-host", do_trial_host },
	{ "same-request", do_same_request },
	{ NULL, NULL },
};

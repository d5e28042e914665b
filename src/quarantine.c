/* Requests that crash backend servers; see quarantine.h. */
#include "quarantine.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "xalloc.h"

/*
 * Crashes after which a request is executed alone: a single crash may have hit any request
 * in flight.
 */
#define TRIAL_CRASHES 2
/* how long requests that were in flight at a single crash are remembered, us */
#define ONE_CRASH_US 30000000
/* how long a request due for a trial is remembered if no caller sends it any more, us */
#define TRIAL_MEMORY_US 120000000
/* how long a request that was held is remembered after its last hold ended, us */
#define HELD_MEMORY_US 3600000000
/* how long an answer is remembered, so that it overrides older reports that arrive late, us */
#define ANSWER_MEMORY_US 30000000

/* hold times after the first, second and third trial that crashed a server, us */
static const uint64_t hold_us[] = { 15000000, 120000000, 960000000 };
#define NHOLDS (sizeof(hold_us) / sizeof(hold_us[0]))
/* after further such trials, the request is held until no caller has sent it for this long, us */
#define LAST_HOLD_US 3600000000

typedef struct entry {
	lw_suspect_t s;
	UT_hash_handle hh;
} entry_t;

struct lw_quarantine {
	entry_t *entries; /* by digest, oldest first */
};

/* lw_quarantine_new() - an empty table. */
lw_quarantine_t *lw_quarantine_new(void)
{
	return xcalloc(1, sizeof(lw_quarantine_t));
}

static void drop(lw_quarantine_t *q, entry_t *e)
{
	HASH_DEL(q->entries, e);
	free(e);
}

/* lw_quarantine_free() - release the table and its entries. */
void lw_quarantine_free(lw_quarantine_t *q)
{
	entry_t *e, *next;

	HASH_ITER(hh, q->entries, e, next)
	drop(q, e);
	free(q);
}

static entry_t *find(const lw_quarantine_t *q, const lw_fingerprint_t *print)
{
	entry_t *e;

	HASH_FIND(hh, q->entries, print, sizeof(*print), e);
	return e;
}

/*
 * lw_suspect_is_restricted() - whether the request must be executed alone or is held, now
 * or later.
 */
bool lw_suspect_is_restricted(const lw_suspect_t *s)
{
	return s->ncrashes >= TRIAL_CRASHES || s->trials;
}

/* free one entry if the table is full: the oldest that is not restricted, else the oldest */
static void make_room(lw_quarantine_t *q)
{
	entry_t *e, *next;

	if (HASH_COUNT(q->entries) < LW_QUARANTINE_MAX)
		return;
	HASH_ITER(hh, q->entries, e, next)
	{
		if (!lw_suspect_is_restricted(&e->s)) {
			drop(q, e);
			return;
		}
	}
	drop(q, q->entries);
}

static entry_t *get(lw_quarantine_t *q, const lw_fingerprint_t *print)
{
	entry_t *e = find(q, print);

	if (e)
		return e;
	make_room(q);
	e = xcalloc(1, sizeof(*e));
	e->s.print = *print;
	HASH_ADD(hh, q->entries, s.print, sizeof(e->s.print), e);
	return e;
}

static lw_quarantine_verdict_t verdict_of(const lw_suspect_t *s, uint64_t now_us)
{
	if (s->trials && now_us < s->held_until_us)
		return LW_QUARANTINE_HELD;
	return lw_suspect_is_restricted(s) ? LW_QUARANTINE_TRIAL : LW_QUARANTINE_CLEAR;
}

/* lw_quarantine_verdict() - how to handle a request that arrives now. */
lw_quarantine_verdict_t lw_quarantine_verdict(lw_quarantine_t *q, const lw_fingerprint_t *print,
					      uint64_t now_us)
{
	entry_t *e = q->entries ? find(q, print) : NULL;
	lw_quarantine_verdict_t v;

	if (!e)
		return LW_QUARANTINE_CLEAR;
	v = verdict_of(&e->s, now_us);
	if (v == LW_QUARANTINE_HELD && e->s.trials > NHOLDS)
		e->s.held_until_us = now_us + LAST_HOLD_US;
	return v;
}

/*
 * lw_quarantine_find() - the entry of a request with crashes that no answer has cleared;
 * else NULL.
 */
const lw_suspect_t *lw_quarantine_find(const lw_quarantine_t *q, const lw_fingerprint_t *print)
{
	const entry_t *e = q->entries ? find(q, print) : NULL;

	return e && (e->s.ncrashes || e->s.trials) ? &e->s : NULL;
}

/*
 * lw_quarantine_needs_body() - whether a request with the head digest @head may be
 * restricted. This depends on the body, so the caller must wait for the body.
 */
bool lw_quarantine_needs_body(const lw_quarantine_t *q, uint64_t head)
{
	for (const entry_t *e = q->entries; e; e = e->hh.next)
		if (e->s.print.head == head && lw_suspect_is_restricted(&e->s))
			return true;
	return false;
}

/*
 * lw_quarantine_held_ms() - time until a held request may be sent again, in ms; 0 if it is
 * not held.
 */
uint32_t lw_quarantine_held_ms(const lw_quarantine_t *q, const lw_fingerprint_t *print,
			       uint64_t now_us)
{
	const entry_t *e = find(q, print);

	if (!e || verdict_of(&e->s, now_us) != LW_QUARANTINE_HELD)
		return 0;
	return (uint32_t)((e->s.held_until_us - now_us) / 1000) + 1;
}

static void add_crash(lw_suspect_t *s, uint64_t process)
{
	for (uint32_t i = 0; i < s->ncrashes; i++)
		if (s->crashed_process[i] == process)
			return;
	if (s->ncrashes < LW_SUSPECT_CRASHES_MAX)
		s->crashed_process[s->ncrashes++] = process;
}

/*
 * lw_quarantine_server_crashed() - the server process @process crashed while it had the
 * request in flight; @tried: it executed the request alone. Returns the updated entry.
 */
const lw_suspect_t *lw_quarantine_server_crashed(lw_quarantine_t *q, const lw_fingerprint_t *print,
						 uint64_t process, bool tried, uint64_t now_us)
{
	lw_suspect_t *s = &get(q, print)->s;

	add_crash(s, process);
	s->last_crash_us = now_us;
	if (!tried)
		return s;
	s->held_until_us = now_us + (s->trials < NHOLDS ? hold_us[s->trials] : LAST_HOLD_US);
	s->trials++;
	return s;
}

static void clear(lw_suspect_t *s, uint64_t at_us)
{
	s->ncrashes = 0;
	s->trials = 0;
	s->last_crash_us = 0;
	s->held_until_us = 0;
	s->cleared_us = at_us;
}

/*
 * lw_quarantine_answered() - a server answered the request and is alive. Returns the entry
 * if other nodes must be informed, else NULL.
 */
const lw_suspect_t *lw_quarantine_answered(lw_quarantine_t *q, const lw_fingerprint_t *print,
					   uint64_t now_us)
{
	entry_t *e = q->entries ? find(q, print) : NULL;
	bool was_restricted;

	if (!e || !e->s.ncrashes)
		return NULL;
	was_restricted = lw_suspect_is_restricted(&e->s);
	clear(&e->s, now_us);
	return was_restricted ? &e->s : NULL;
}

static void merge(lw_suspect_t *s, const lw_suspect_t *report)
{
	if (report->cleared_us > s->cleared_us) {
		if (report->cleared_us >= s->last_crash_us)
			clear(s, report->cleared_us);
		s->cleared_us = report->cleared_us;
	}
	if (report->last_crash_us <= s->cleared_us)
		return;
	for (uint32_t i = 0; i < report->ncrashes; i++)
		add_crash(s, report->crashed_process[i]);
	if (report->trials > s->trials)
		s->trials = report->trials;
	if (report->last_crash_us > s->last_crash_us)
		s->last_crash_us = report->last_crash_us;
	if (report->held_until_us > s->held_until_us)
		s->held_until_us = report->held_until_us;
}

/*
 * lw_quarantine_merge() - merge a @report of another node. Returns the entry if the
 * request is handled differently from now on, so that other nodes must be informed; else
 * NULL.
 */
const lw_suspect_t *lw_quarantine_merge(lw_quarantine_t *q, const lw_suspect_t *report,
					uint64_t now_us)
{
	lw_suspect_t *s = &get(q, &report->print)->s;
	lw_quarantine_verdict_t before = verdict_of(s, now_us);
	uint32_t trials = s->trials;

	merge(s, report);
	return verdict_of(s, now_us) != before || s->trials != trials ? s : NULL;
}

/*
 * lw_quarantine_list() - the restricted requests, at most @most, for a node that has just
 * started. Returns their number.
 */
size_t lw_quarantine_list(const lw_quarantine_t *q, const lw_suspect_t **out, size_t most)
{
	size_t n = 0;

	for (const entry_t *e = q->entries; e && n < most; e = e->hh.next)
		if (lw_suspect_is_restricted(&e->s))
			out[n++] = &e->s;
	return n;
}

/* lw_quarantine_count() - number of restricted requests. */
size_t lw_quarantine_count(const lw_quarantine_t *q)
{
	size_t n = 0;

	for (const entry_t *e = q->entries; e; e = e->hh.next)
		n += lw_suspect_is_restricted(&e->s);
	return n;
}

static uint64_t expiry_us(const lw_suspect_t *s)
{
	if (s->trials)
		return (s->held_until_us > s->last_crash_us ? s->held_until_us : s->last_crash_us) +
		       HELD_MEMORY_US;
	if (lw_suspect_is_restricted(s))
		return s->last_crash_us + TRIAL_MEMORY_US;
	if (s->ncrashes)
		return s->last_crash_us + ONE_CRASH_US;
	return s->cleared_us + ANSWER_MEMORY_US;
}

/* lw_quarantine_expire() - remove entries that are no longer needed. */
void lw_quarantine_expire(lw_quarantine_t *q, uint64_t now_us)
{
	entry_t *e, *next;

	HASH_ITER(hh, q->entries, e, next)
	if (now_us >= expiry_us(&e->s))
		drop(q, e);
}

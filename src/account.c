/* Account of lost requests; see account.h. */
#include "account_int.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "log.h"
#include "xalloc.h"

/* lines about a request whose refusal has a line of its own: that line and request_ended */
#define LINES_OF_ANNOUNCED 2
/* most losses of a process that are kept until its next summary; beyond, they are settled */
#define ENTRIES_MAX   4096
#define ENTRIES_FIRST 32
/* a loss joins one of the last entries if it has the same row */
#define ENTRIES_SEARCHED 64
/* longest key of a process, in bytes: a path or host, and a process number */
#define KEY_MAX 4096
/* longest word that nodes write for a cause or a yes or no, in bytes */
#define WORD_MAX 64
#define PID_MAX	 16

/* Events of lost requests. */
static const struct {
	const char *event;
	uint32_t cause; /* LW_LOSS_CAUSES: the field why names it */
	bool announces; /* the request_ended line of the same request follows */
} loss_events[] = {
	{ "request_ended", LW_LOSS_CAUSES, false },
	{ "request_lost", LW_LOSS_CAUSES, false },
	{ "answer_cut", LW_LOSS_CUT, false },
	{ "request_interrupted", LW_LOSS_PROCESS_FAILED, false },
	{ "not_identified", LW_LOSS_NOT_IDENTIFIED, false },
	{ "path_busy", LW_FAIL_PATH_BUSY, true },
	{ "over_limit", LW_FAIL_OVER_LIMIT, true },
	{ "request_held", LW_FAIL_HELD, true },
};

#define LOSS_EVENTS (sizeof(loss_events) / sizeof(loss_events[0]))

/* lw_account_init() - prepares an empty account of at most @rows_max rows. */
void lw_account_init(lw_account_t *a, size_t rows_max)
{
	memset(a, 0, sizeof(*a));
	lw_accountrows_init(&a->rows, rows_max);
}

static lw_account_process_t *process_of(lw_account_t *a, const char *source, const lw_logline_t *l)
{
	char key[KEY_MAX];
	lw_str_t host = l->host.len ? l->host : lw_str_c(source);
	lw_account_process_t *p;
	size_t len;

	lw_str_copy(key, sizeof(key) - PID_MAX, host);
	len = strlen(key);
	len += (size_t)snprintf(key + len, sizeof(key) - len, " %u", l->pid);
	HASH_FIND(hh, a->processes, key, len, p);
	if (p)
		return p;
	p = xcalloc(1, sizeof(*p) + len + 1);
	memcpy(p->key, key, len);
	HASH_ADD(hh, a->processes, key, (unsigned)len, p);
	a->sums.processes++;
	return p;
}

static void count_line(lw_account_process_t *p, uint64_t at_s)
{
	if (at_s != p->line_s) {
		p->lines_before = at_s == p->line_s + 1 ? p->lines_now : 0;
		p->lines_now = 0;
		p->line_s = at_s;
	}
	p->lines_now++;
}

static void count_entry(lw_account_t *a, lw_account_process_t *p, const lw_account_loss_t *loss,
			uint64_t at_s)
{
	lw_account_row_t *r = lw_account_row_of(a, p, loss);
	size_t from = p->nentries > ENTRIES_SEARCHED ? p->nentries - ENTRIES_SEARCHED : 0;

	lw_account_add_loss(a, r, loss->cause, 1, 0);
	p->seen[loss->cause]++;
	if (from < p->window)
		from = p->window;
	for (size_t i = p->nentries; i-- > from;) {
		if (p->entries[i].row != r || p->entries[i].cause != loss->cause ||
		    p->entries[i].at_s != at_s)
			continue;
		p->entries[i].seen++;
		return;
	}
	if (p->nentries == ENTRIES_MAX)
		lw_account_settle(a, p);
	if (p->nentries == p->cap) {
		p->cap = p->cap ? p->cap * 2 : ENTRIES_FIRST;
		p->entries = xrealloc(p->entries, p->cap * sizeof(*p->entries));
	}
	p->entries[p->nentries++] = (lw_account_entry_t){ r, loss->cause, at_s, 1, 0 };
}

static const char *read_name(const char *fields, const char *key)
{
	lw_str_t name = lw_logline_value(fields, key);

	return name.len ? lw_name(name) : LW_ACCOUNT_UNKNOWN;
}

/* Reads the fields of the loss event @kind; returns false if the line is damaged. */
static bool read_loss(size_t kind, const char *fields, lw_account_loss_t *loss)
{
	char why[WORD_MAX] = "";
	lw_str_t route = lw_logline_value(fields, "route");

	loss->cause = loss_events[kind].cause;
	loss->id = lw_logline_value(fields, "id");
	if (!loss->id.ptr || !route.ptr)
		return false;
	loss->route = lw_name(route);
	if (loss->cause == LW_LOSS_CAUSES) {
		lw_logline_field(fields, "why", why, sizeof(why));
		loss->cause = lw_loss_by_name(why);
	}
	loss->service = read_name(fields, "service");
	loss->org = read_name(fields, "org");
	return loss->cause < LW_LOSS_CAUSES;
}

/* An answer that was cut after a 5xx status has been counted by its request_lost line. */
static bool counted_before(const char *fields)
{
	char ok[WORD_MAX];

	return lw_logline_field(fields, "answered_ok", ok, sizeof(ok)) && strcmp(ok, "0") == 0;
}

static void read_loss_event(lw_account_t *a, lw_account_process_t *p, size_t kind,
			    const lw_logline_t *l)
{
	bool ends = strcmp(loss_events[kind].event, "request_ended") == 0;
	lw_account_loss_t loss;
	uint64_t id;

	if (!read_loss(kind, l->fields, &loss)) {
		a->sums.damaged++;
		return;
	}
	id = XXH3_64bits(loss.id.ptr, loss.id.len);
	if (ends && p->announced == id) {
		p->announced = 0;
		return;
	}
	p->announced = 0;
	count_line(p, l->at_ms / 1000);
	/* older nodes name the service in request_ended alone */
	if (loss_events[kind].announces && !lw_logline_value(l->fields, "service").ptr)
		return;
	if (loss_events[kind].announces) {
		p->lines_now += LINES_OF_ANNOUNCED - 1;
		p->announced = id;
	}
	if (memchr(loss.id.ptr, '.', loss.id.len))
		p->nested++;
	else if (loss.cause != LW_LOSS_CUT || !counted_before(l->fields))
		count_entry(a, p, &loss, l->at_ms / 1000);
}

static size_t loss_event_of(const lw_logline_t *l)
{
	size_t kind = 0;

	while (kind < LOSS_EVENTS && !lw_str_eq_c(l->event, loss_events[kind].event))
		kind++;
	return kind;
}

static bool is_blank(const char *line)
{
	return line[strspn(line, " \t\r\n")] == '\0';
}

/*
 * lw_account_add() - adds a line of the log @source. The host is the one named before the line,
 * else the log. Lines in another format are counted as damaged.
 */
void lw_account_add(lw_account_t *a, const char *source, const char *line)
{
	lw_account_process_t *p;
	lw_logline_t l;
	size_t kind;

	if (is_blank(line))
		return;
	a->sums.lines++;
	if (!lw_logline_parse(&l, line) || !l.at_ms || l.stamp.len >= LW_ACCOUNT_STAMP_MAX) {
		a->sums.damaged++;
		return;
	}
	p = process_of(a, source, &l);
	lw_str_copy(p->stamp, sizeof(p->stamp), l.stamp);
	kind = loss_event_of(&l);
	if (kind < LOSS_EVENTS)
		read_loss_event(a, p, kind, &l);
	else if (lw_log_is_about_request((int)l.number))
		count_line(p, l.at_ms / 1000);
	else if (lw_str_eq_c(l.event, "log_dropped"))
		lw_account_read_dropped(a, p, l.at_ms / 1000, lw_logline_number(l.fields, "lines"));
	else if (lw_str_eq_c(l.event, "loss_summary"))
		lw_account_read_summary(a, p, l.fields);
	else if (lw_str_eq_c(l.event, "started"))
		lw_account_begin_process(a, p);
}

/* lw_account_finish() - all lines have been added; needed before anything is read. */
void lw_account_finish(lw_account_t *a)
{
	lw_account_process_t *p, *next;

	HASH_ITER(hh, a->processes, p, next)
	{
		lw_account_end_unchecked(a, p);
		if (p->dropped < p->dropped_counted)
			p->dropped = p->dropped_counted;
		if (p->missing > p->dropped)
			a->sums.missing += p->missing - p->dropped;
		free(p->entries);
		HASH_DEL(a->processes, p);
		free(p);
	}
}

/* lw_account_lost() - all lost requests. */
uint64_t lw_account_lost(const lw_account_t *a)
{
	uint64_t sum = 0;

	for (uint32_t cause = 0; cause < LW_LOSS_CAUSES; cause++)
		sum += a->sums.lost[cause];
	return sum;
}

/* lw_account_differs() - whether lines and counters differ by more than is tolerated. */
bool lw_account_differs(const lw_account_t *a)
{
	return (a->sums.missing + a->sums.excess) * 100 >
	       a->sums.counted * LW_ACCOUNT_DIFFERENCE_PERCENT;
}

/* lw_account_free() - releases the memory of the account. */
void lw_account_free(lw_account_t *a)
{
	lw_accountrows_free(&a->rows);
}

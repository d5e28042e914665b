/*
 * Estimates the lost requests among dropped lines, and checks and corrects the account of a process
 * with the counters of its summaries.
 */
#include <stdio.h>
#include <string.h>

#include "account_int.h"

/* a process whose first summary has at most this uptime has logged no earlier one, ms */
#define FIRST_SUMMARY_MS 11000
/* longest key of a counter, in bytes */
#define KEY_MAX 64

/* lw_account_add_loss() - adds lost requests to a row and to the sum of their cause. */
void lw_account_add_loss(lw_account_t *a, lw_account_row_t *r, uint32_t cause, uint64_t seen,
			 uint64_t estimated)
{
	lw_account_row_add(r, seen, estimated);
	a->sums.lost[cause] += seen + estimated;
	a->sums.estimated[cause] += estimated;
}

/* lw_account_row_of() - the row of a loss at the time of the process's last line. */
lw_account_row_t *lw_account_row_of(lw_account_t *a, const lw_account_process_t *p,
				    const lw_account_loss_t *loss)
{
	const char *const values[LW_ACCOUNT_COLUMNS] = {
		[LW_ACCOUNT_SECOND] = p->stamp,
		[LW_ACCOUNT_SERVICE] = loss->service,
		[LW_ACCOUNT_CAUSE] = lw_loss_name(loss->cause),
		[LW_ACCOUNT_ROUTE] = loss->route,
		[LW_ACCOUNT_ORG] = loss->org,
	};

	return lw_accountrows_get(&a->rows, values);
}

/* Sum over the entries of @cause: dropped lines estimated for them, or lines seen. */
static double weight_of(const lw_account_process_t *p, uint32_t cause, bool by_dropped)
{
	double weight = 0;

	for (size_t i = 0; i < p->nentries; i++)
		if (p->entries[i].cause == cause)
			weight += by_dropped ? p->entries[i].dropped : (double)p->entries[i].seen;
	return weight;
}

/*
 * Distributes @n requests of @cause without a line over the rows of the entries, in proportion to
 * the dropped lines estimated for each, else to the lines seen. Without an entry they are counted
 * in a row of their own.
 */
static void distribute(lw_account_t *a, lw_account_process_t *p, uint32_t cause, uint64_t n)
{
	bool by_dropped = weight_of(p, cause, true) > 0;
	double weight = weight_of(p, cause, by_dropped);
	double sum = 0;
	uint64_t given = 0;

	for (size_t i = 0; i < p->nentries && given < n; i++) {
		const lw_account_entry_t *e = &p->entries[i];
		uint64_t to;

		if (e->cause != cause)
			continue;
		sum += by_dropped ? e->dropped : (double)e->seen;
		to = (uint64_t)((double)n * sum / weight + 0.5);
		to = to < n ? to : n;
		lw_account_add_loss(a, e->row, cause, 0, to - given);
		given = to;
	}
	if (given < n) {
		lw_account_loss_t loss = { .cause = cause,
					   .service = LW_ACCOUNT_UNKNOWN,
					   .route = LW_ACCOUNT_UNKNOWN,
					   .org = LW_ACCOUNT_UNKNOWN };

		lw_account_add_loss(a, lw_account_row_of(a, p, &loss), cause, 0, n - given);
	}
}

/*
 * lw_account_settle() - adds what is estimated from reports of dropped lines alone to the rows.
 */
void lw_account_settle(lw_account_t *a, lw_account_process_t *p)
{
	for (uint32_t cause = 0; cause < LW_LOSS_CAUSES; cause++) {
		uint64_t n = (uint64_t)(weight_of(p, cause, true) + 0.5);

		if (n)
			distribute(a, p, cause, n);
		p->settled[cause] += n;
	}
	p->nentries = 0;
	p->window = 0;
}

static void begin_interval(lw_account_process_t *p)
{
	memset(p->seen, 0, sizeof(p->seen));
	memset(p->settled, 0, sizeof(p->settled));
	p->nested = 0;
	p->nentries = 0;
	p->window = 0;
}

/* lw_account_end_unchecked() - the time since the last summary ends without another one. */
void lw_account_end_unchecked(lw_account_t *a, lw_account_process_t *p)
{
	lw_account_settle(a, p);
	for (uint32_t cause = 0; cause < LW_LOSS_CAUSES; cause++)
		a->sums.unchecked += p->seen[cause] + p->settled[cause];
	a->sums.nested += p->nested;
	begin_interval(p);
}

/* The requests lost for @cause since the last summary are @counted by the node. */
static void check_cause(lw_account_t *a, lw_account_process_t *p, uint32_t cause, uint64_t counted)
{
	uint64_t placed = p->seen[cause] + p->settled[cause];

	if (lw_loss_has_line(cause)) {
		a->sums.counted += counted;
		if (counted > p->seen[cause])
			p->missing += counted - p->seen[cause];
	}
	if (counted > placed)
		distribute(a, p, cause, counted - placed);
	else
		a->sums.excess += placed - counted;
}

static void clear_base(lw_account_process_t *p)
{
	memset(&p->base, 0, sizeof(p->base));
}

/* Reads the counters of a summary; returns false if the line is damaged. */
static bool read_counters(const char *fields, lw_account_counters_t *c)
{
	char key[KEY_MAX];
	uint64_t sum = 0;

	for (uint32_t cause = 0; cause < LW_LOSS_CAUSES; cause++) {
		snprintf(key, sizeof(key), "lost_%s", lw_loss_name(cause));
		c->lost[cause] = lw_logline_number(fields, key);
		sum += c->lost[cause];
	}
	c->uptime_ms = lw_logline_number(fields, "uptime_ms");
	c->received = lw_logline_number(fields, "requests") - lw_logline_number(fields, "nested");
	c->lost_nested = lw_logline_number(fields, "lost_nested");
	c->lines_dropped = lw_logline_number(fields, "lines_dropped");
	return lw_logline_field(fields, "lost", key, sizeof(key)) &&
	       sum == lw_logline_number(fields, "lost");
}

/* Whether the counters at the begin of the time that ends with the summary @c are known. */
static bool can_check(const lw_account_process_t *p, const lw_account_counters_t *c)
{
	return (p->has_base && c->uptime_ms >= p->base.uptime_ms) ||
	       c->uptime_ms <= FIRST_SUMMARY_MS;
}

/*
 * Whether the counters @c can follow @base. Counters of one process never fall; two processes with
 * the same number in one log look like one.
 */
static bool follows(const lw_account_counters_t *c, const lw_account_counters_t *base)
{
	for (uint32_t cause = 0; cause < LW_LOSS_CAUSES; cause++)
		if (c->lost[cause] < base->lost[cause])
			return false;
	return c->uptime_ms >= base->uptime_ms && c->lost_nested >= base->lost_nested &&
	       c->received >= base->received && c->lines_dropped >= base->lines_dropped;
}

/*
 * lw_account_read_summary() - checks the time since the last summary with the counters of this one.
 */
void lw_account_read_summary(lw_account_t *a, lw_account_process_t *p, const char *fields)
{
	lw_account_counters_t c;

	if (!read_counters(fields, &c)) {
		a->sums.damaged++;
		return;
	}
	if (!p->has_base || !follows(&c, &p->base))
		clear_base(p);
	if (can_check(p, &c)) {
		for (uint32_t cause = 0; cause < LW_LOSS_CAUSES; cause++)
			check_cause(a, p, cause, c.lost[cause] - p->base.lost[cause]);
		a->sums.nested += c.lost_nested - p->base.lost_nested;
		a->sums.received += c.received - p->base.received;
		p->dropped_counted += c.lines_dropped - p->base.lines_dropped;
		begin_interval(p);
	} else {
		lw_account_end_unchecked(a, p);
	}
	p->base = c;
	p->has_base = true;
}

/*
 * lw_account_begin_process() - a process has started: what was logged under its number before
 * belongs to another one.
 */
void lw_account_begin_process(lw_account_t *a, lw_account_process_t *p)
{
	lw_account_end_unchecked(a, p);
	clear_base(p);
	p->has_base = true;
}

/*
 * lw_account_read_dropped() - estimates the requests among @lines dropped lines from the lines of
 * the last two seconds. The node reports dropped lines once a second.
 */
void lw_account_read_dropped(lw_account_t *a, lw_account_process_t *p, uint64_t at_s,
			     uint64_t lines)
{
	uint64_t seen = p->lines_now + (p->line_s + 1 >= at_s ? p->lines_before : 0);

	a->sums.dropped += lines;
	p->dropped += lines;
	for (size_t i = p->window; i < p->nentries && seen; i++)
		if (p->entries[i].at_s + 1 >= at_s)
			p->entries[i].dropped +=
				(double)lines * (double)p->entries[i].seen / (double)seen;
	p->window = p->nentries;
	p->lines_now = 0;
	p->lines_before = 0;
}

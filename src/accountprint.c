/* Text and CSV output of the account of lost requests; see account.h. */
#include "account.h"

#include <inttypes.h>
#include <string.h>

/* widest column of names; longer values move the rest of the row */
#define WIDTH_MAX 32

/* The first rows in full, the others as one sum. */
typedef struct cut_rows {
	size_t shown;
	size_t rest; /* rows that are summed */
	uint64_t rest_requests;
	uint64_t rest_estimated;
	int width[LW_ACCOUNT_COLUMNS];
} cut_rows_t;

static void widen(int *width, const char *value)
{
	size_t len = strlen(value);

	if (len > WIDTH_MAX)
		len = WIDTH_MAX;
	if ((int)len > *width)
		*width = (int)len;
}

/* Sorts the rows and finds how many are shown, 0 in @rows meaning all, and their widths. */
static cut_rows_t cut_rows(lw_account_t *a, size_t rows)
{
	cut_rows_t c = { 0 };
	const lw_account_row_t *r = NULL;

	lw_accountrows_sort(&a->rows);
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
		widen(&c.width[i], lw_account_column_name((lw_account_column_t)i));
	while ((r = lw_accountrows_next(&a->rows, r))) {
		if (rows && c.shown == rows) {
			c.rest++;
			c.rest_requests += lw_account_row_requests(r);
			c.rest_estimated += lw_account_row_estimated(r);
			continue;
		}
		c.shown++;
		for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
			widen(&c.width[i], lw_account_row_value(r, (lw_account_column_t)i));
	}
	for (int i = LW_ACCOUNT_COLUMNS - 1; i >= 0; i--) {
		if (!a->rows.columns[i])
			continue;
		c.width[i] = 0; /* nothing follows the last column */
		break;
	}
	return c;
}

static double percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}

static void print_causes(const lw_account_t *a, FILE *out)
{
	bool printed[LW_LOSS_CAUSES] = { false };

	fprintf(out, "\n%10s %10s %7s  %s\n", "requests", "estimated", "share", "cause");
	for (;;) {
		uint32_t most = LW_LOSS_CAUSES;

		for (uint32_t i = 0; i < LW_LOSS_CAUSES; i++)
			if (!printed[i] && a->sums.lost[i] &&
			    (most == LW_LOSS_CAUSES || a->sums.lost[i] > a->sums.lost[most]))
				most = i;
		if (most == LW_LOSS_CAUSES)
			break;
		printed[most] = true;
		fprintf(out, "%10" PRIu64 " %10" PRIu64 " %6.1f%%  %s\n", a->sums.lost[most],
			a->sums.estimated[most], percent(a->sums.lost[most], lw_account_lost(a)),
			lw_loss_name(most));
	}
}

static void print_row(const lw_account_t *a, const lw_account_row_t *r, const cut_rows_t *c,
		      FILE *out)
{
	fprintf(out, "%10" PRIu64 " %10" PRIu64, lw_account_row_requests(r),
		lw_account_row_estimated(r));
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
		if (a->rows.columns[i])
			fprintf(out, "  %-*s", c->width[i],
				lw_account_row_value(r, (lw_account_column_t)i));
	fprintf(out, "\n");
}

static void print_rows(lw_account_t *a, size_t rows, FILE *out)
{
	cut_rows_t c = cut_rows(a, rows);
	const lw_account_row_t *r = NULL;

	fprintf(out, "\n%10s %10s", "requests", "estimated");
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
		if (a->rows.columns[i])
			fprintf(out, "  %-*s", c.width[i],
				lw_account_column_name((lw_account_column_t)i));
	fprintf(out, "\n");
	for (size_t i = 0; i < c.shown; i++) {
		r = lw_accountrows_next(&a->rows, r);
		print_row(a, r, &c, out);
	}
	if (c.rest)
		fprintf(out, "%10" PRIu64 " %10" PRIu64 "  in %zu more rows\n", c.rest_requests,
			c.rest_estimated, c.rest);
}

/*
 * lw_account_print() - prints the account as text: the totals, the causes, then at most @rows rows
 * (0: all), the largest first.
 */
void lw_account_print(lw_account_t *a, size_t rows, FILE *out)
{
	const lw_account_sums_t *s = &a->sums;
	uint64_t lost = lw_account_lost(a), estimated = 0;

	for (uint32_t i = 0; i < LW_LOSS_CAUSES; i++)
		estimated += s->estimated[i];
	fprintf(out,
		"lost requests: %" PRIu64 " (attempts of callers), %" PRIu64
		" of them estimated, as they have no line\n",
		lost, estimated);
	fprintf(out,
		"received by the counters: %" PRIu64
		" requests of callers; lost calls of servers, not included: %" PRIu64 "\n",
		s->received, s->nested);
	fprintf(out,
		"read: %zu processes, %" PRIu64 " lines, %" PRIu64 " damaged, %" PRIu64
		" dropped by nodes\n",
		s->processes, s->lines, s->damaged, s->dropped);
	if (lost) {
		print_causes(a, out);
		print_rows(a, rows, out);
	}
}

/*
 * lw_account_warn() - prints what limits the account: lines that do not match the counters, and
 * requests that no counter checks.
 */
void lw_account_warn(const lw_account_t *a, FILE *out)
{
	const lw_account_sums_t *s = &a->sums;

	if (lw_account_differs(a))
		fprintf(out,
			"warning: lines and counters differ by more than %d%%: of %" PRIu64
			" requests counted as lost, %" PRIu64
			" have no line and no report of dropped lines; %" PRIu64
			" with a line are not counted; check that each log is complete and given once\n",
			LW_ACCOUNT_DIFFERENCE_PERCENT, s->counted, s->missing, s->excess);
	if (s->unchecked)
		fprintf(out,
			"note: %" PRIu64
			" lost requests are not checked, as no later summary (E1008) of their node was found\n",
			s->unchecked);
}

static void csv_value(const char *value, FILE *out)
{
	if (!value[strcspn(value, ",\"\r\n")]) {
		fputs(value, out);
		return;
	}
	fputc('"', out);
	for (; *value; value++) {
		if (*value == '"')
			fputc('"', out);
		fputc(*value, out);
	}
	fputc('"', out);
}

/*
 * lw_account_csv() - prints the rows as CSV, the largest first: at most @rows (0: all), then one
 * with the sum of the others.
 */
void lw_account_csv(lw_account_t *a, size_t rows, FILE *out)
{
	cut_rows_t c = cut_rows(a, rows);
	const lw_account_row_t *r = NULL;

	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
		if (a->rows.columns[i])
			fprintf(out, "%s,", lw_account_column_name((lw_account_column_t)i));
	fprintf(out, "requests,estimated\n");
	for (size_t n = 0; n < c.shown + (c.rest > 0); n++) {
		r = n < c.shown ? lw_accountrows_next(&a->rows, r) : NULL;
		for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++) {
			if (!a->rows.columns[i])
				continue;
			csv_value(r ? lw_account_row_value(r, (lw_account_column_t)i) : "rest",
				  out);
			fputc(',', out);
		}
		fprintf(out, "%" PRIu64 ",%" PRIu64 "\n",
			r ? lw_account_row_requests(r) : c.rest_requests,
			r ? lw_account_row_estimated(r) : c.rest_estimated);
	}
}

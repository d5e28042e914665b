/* Table of lost requests; see accountrows.h. */
#include "accountrows.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "bytebuf.h"
#include "xalloc.h"

/* value of the columns in the rows that requests beyond the bound share */
#define OTHERS "others"

struct lw_account_row {
	UT_hash_handle hh;
	uint64_t seen; /* requests with a line */
	uint64_t estimated; /* requests without one */
	uint32_t at[LW_ACCOUNT_COLUMNS]; /* where the value of a column begins in the key */
	char key[];
};

static const char *const column_names[LW_ACCOUNT_COLUMNS] = { "second", "service", "cause", "route",
							      "org" };

/* lw_account_column_name() - the column's name in the output and on the command line. */
const char *lw_account_column_name(lw_account_column_t column)
{
	return column_names[column];
}

/* lw_accountrows_init() - prepares an empty table of at most @max rows with all columns. */
void lw_accountrows_init(lw_accountrows_t *t, size_t max)
{
	*t = (lw_accountrows_t){ .max = max };
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
		t->columns[i] = true;
}

static bool set_column(lw_accountrows_t *t, const char *name, size_t len)
{
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++) {
		if (strlen(column_names[i]) != len || memcmp(column_names[i], name, len) != 0)
			continue;
		t->columns[i] = true;
		return true;
	}
	return false;
}

/*
 * lw_accountrows_set_columns() - from now on only the columns in the comma-separated @list
 * distinguish rows. Returns false if it contains any other name.
 */
bool lw_accountrows_set_columns(lw_accountrows_t *t, const char *list)
{
	memset(t->columns, 0, sizeof(t->columns));
	for (;;) {
		size_t len = strcspn(list, ",");

		if (!set_column(t, list, len))
			return false;
		if (!list[len])
			return true;
		list += len + 1;
	}
}

/* the values of the selected columns, joined; each ends with a zero byte */
typedef struct row_key {
	lw_bytebuf_t text;
	uint32_t at[LW_ACCOUNT_COLUMNS]; /* where each begins */
} row_key_t;

static void join_key(const lw_accountrows_t *t, const char *const *values, row_key_t *key)
{
	lw_bytebuf_consume(&key->text, lw_bytebuf_len(&key->text));
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++) {
		const char *value = t->columns[i] ? values[i] : "";

		key->at[i] = (uint32_t)lw_bytebuf_len(&key->text);
		lw_bytebuf_append(&key->text, value, strlen(value) + 1);
	}
}

static lw_account_row_t *find_row(const lw_accountrows_t *t, const row_key_t *key)
{
	lw_account_row_t *r;

	HASH_FIND(hh, t->rows, lw_bytebuf_head(&key->text), lw_bytebuf_len(&key->text), r);
	return r;
}

static lw_account_row_t *add_row(lw_accountrows_t *t, const row_key_t *key)
{
	size_t len = lw_bytebuf_len(&key->text);
	lw_account_row_t *r = xcalloc(1, sizeof(*r) + len);

	memcpy(r->at, key->at, sizeof(r->at));
	memcpy(r->key, lw_bytebuf_head(&key->text), len);
	HASH_ADD(hh, t->rows, key, (unsigned)len, r);
	return r;
}

static void fold_values(const char *const *values, const char **folded)
{
	for (int i = 0; i < LW_ACCOUNT_COLUMNS; i++)
		folded[i] = i == LW_ACCOUNT_CAUSE ? values[i] : OTHERS;
}

/*
 * lw_accountrows_get() - the row of these values, one for each column; added if it is new. If the
 * table is full: the shared row of the cause. Rows stay where they are until the table is freed.
 */
lw_account_row_t *lw_accountrows_get(lw_accountrows_t *t, const char *const *values)
{
	const char *folded[LW_ACCOUNT_COLUMNS];
	row_key_t key = { 0 };
	lw_account_row_t *r;

	join_key(t, values, &key);
	r = find_row(t, &key);
	if (!r && HASH_COUNT(t->rows) >= t->max) {
		fold_values(values, folded);
		join_key(t, folded, &key);
		r = find_row(t, &key);
	}
	if (!r)
		r = add_row(t, &key);
	lw_bytebuf_free(&key.text);
	return r;
}

/* lw_account_row_add() - adds requests with a line (@seen) and without one (@estimated). */
void lw_account_row_add(lw_account_row_t *r, uint64_t seen, uint64_t estimated)
{
	r->seen += seen;
	r->estimated += estimated;
}

/* lw_account_row_value() - the row's value in @column; empty if the column is not selected. */
const char *lw_account_row_value(const lw_account_row_t *r, lw_account_column_t column)
{
	return r->key + r->at[column];
}

/* lw_account_row_requests() - the requests of the row, with and without a line. */
uint64_t lw_account_row_requests(const lw_account_row_t *r)
{
	return r->seen + r->estimated;
}

/* lw_account_row_estimated() - those without a line. */
uint64_t lw_account_row_estimated(const lw_account_row_t *r)
{
	return r->estimated;
}

static int by_requests(const lw_account_row_t *x, const lw_account_row_t *y)
{
	uint64_t a = lw_account_row_requests(x), b = lw_account_row_requests(y);
	int order = 0;

	if (a != b)
		return a > b ? -1 : 1;
	for (int i = 0; i < LW_ACCOUNT_COLUMNS && !order; i++)
		order = strcmp(x->key + x->at[i], y->key + y->at[i]);
	return order;
}

/* lw_accountrows_sort() - sorts the rows, the largest first; returns their number. */
size_t lw_accountrows_sort(lw_accountrows_t *t)
{
	HASH_SORT(t->rows, by_requests);
	return HASH_COUNT(t->rows);
}

/* lw_accountrows_next() - the row after @r that has requests, the first one after NULL. */
const lw_account_row_t *lw_accountrows_next(const lw_accountrows_t *t, const lw_account_row_t *r)
{
	r = r ? r->hh.next : t->rows;
	while (r && !lw_account_row_requests(r))
		r = r->hh.next;
	return r;
}

/* lw_accountrows_free() - releases the memory of the table. */
void lw_accountrows_free(lw_accountrows_t *t)
{
	lw_account_row_t *r, *next;

	HASH_ITER(hh, t->rows, r, next)
	{
		HASH_DEL(t->rows, r);
		free(r);
	}
}

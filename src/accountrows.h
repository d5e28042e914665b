/*
 * Table of lost requests by second, service, cause, route and organisation. Its size is bounded:
 * beyond LW_ACCOUNT_ROWS_MAX rows, requests with new values share one row for each cause.
 */
#ifndef LW_ACCOUNTROWS_H
#define LW_ACCOUNTROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Most rows with values of their own. A row takes about 250 bytes. */
#define LW_ACCOUNT_ROWS_MAX 65536

typedef enum lw_account_column {
	LW_ACCOUNT_SECOND,
	LW_ACCOUNT_SERVICE,
	LW_ACCOUNT_CAUSE,
	LW_ACCOUNT_ROUTE,
	LW_ACCOUNT_ORG,
	LW_ACCOUNT_COLUMNS
} lw_account_column_t;

typedef struct lw_account_row lw_account_row_t;

typedef struct lw_accountrows {
	bool columns[LW_ACCOUNT_COLUMNS]; /* those that distinguish rows */
	size_t max; /* rows with values of their own */
	lw_account_row_t *rows; /* hash table */
} lw_accountrows_t;

void lw_accountrows_init(lw_accountrows_t *t, size_t max);
bool lw_accountrows_set_columns(lw_accountrows_t *t, const char *list);
lw_account_row_t *lw_accountrows_get(lw_accountrows_t *t, const char *const *values);
void lw_account_row_add(lw_account_row_t *r, uint64_t seen, uint64_t estimated);
const char *lw_account_row_value(const lw_account_row_t *r, lw_account_column_t column);
uint64_t lw_account_row_requests(const lw_account_row_t *r);
uint64_t lw_account_row_estimated(const lw_account_row_t *r);
size_t lw_accountrows_sort(lw_accountrows_t *t);
const lw_account_row_t *lw_accountrows_next(const lw_accountrows_t *t, const lw_account_row_t *r);
const char *lw_account_column_name(lw_account_column_t column);
void lw_accountrows_free(lw_accountrows_t *t);

#endif

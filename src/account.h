/*
 * Account of lost requests from the logs of nodes. Each lost request of a caller is counted at the
 * node where it entered, by second, service, cause, route and organisation. Lines that a node
 * dropped to bound the volume are distributed in proportion over what it logged at that time; the
 * counters of its next loss_summary line then correct the number for each cause.
 */
#ifndef LW_ACCOUNT_H
#define LW_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "accountrows.h"
#include "loss.h"

/* A difference between lines and counters above this is reported, percent of the counters. */
#define LW_ACCOUNT_DIFFERENCE_PERCENT 2

/* Sums over all logs, in requests of callers unless stated otherwise. */
typedef struct lw_account_sums {
	uint64_t lost[LW_LOSS_CAUSES]; /* in all rows */
	uint64_t estimated[LW_LOSS_CAUSES]; /* of those, requests without a line */
	uint64_t received; /* by the counters */
	uint64_t nested; /* lost requests that servers made for another one */
	uint64_t counted; /* lost by the counters, of causes that leave a line */
	uint64_t missing; /* of those, with no line nor a report of dropped lines */
	uint64_t excess; /* requests with a line that no counter includes */
	uint64_t unchecked; /* lost without a later summary of the node */
	uint64_t lines;
	uint64_t damaged; /* lines in no known format, or without the fields of a loss */
	uint64_t dropped; /* lines dropped by nodes */
	size_t processes;
} lw_account_sums_t;

typedef struct lw_account_process lw_account_process_t;

typedef struct lw_account {
	lw_accountrows_t rows;
	lw_account_sums_t sums;
	lw_account_process_t *processes; /* hash table */
} lw_account_t;

void lw_account_init(lw_account_t *a, size_t rows_max);
void lw_account_add(lw_account_t *a, const char *source, const char *line);
void lw_account_finish(lw_account_t *a);
uint64_t lw_account_lost(const lw_account_t *a);
bool lw_account_differs(const lw_account_t *a);
void lw_account_print(lw_account_t *a, size_t rows, FILE *out);
void lw_account_csv(lw_account_t *a, size_t rows, FILE *out);
void lw_account_warn(const lw_account_t *a, FILE *out);
void lw_account_free(lw_account_t *a);

#endif

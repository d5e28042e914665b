/*
 * Reconstructs the path of one request from the logs of several nodes: which
 * lines belong to the request and to the calls made for it, in order of time, and
 * what decided its outcome.
 */
#ifndef LW_EXPLAIN_H
#define LW_EXPLAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "lwstr.h"

/* One log line that belongs to the request. */
typedef struct lw_explain_line {
	uint64_t at_ms; /* time within the year, by the clock of the node that wrote the line */
	uint64_t seq; /* order in which the lines were read; for lines of the same time */
	uint32_t depth; /* 0: the request itself, 1: calls made for it, ... */
	char *source; /* name of the log file */
	char *stamp;
	char *event; /* name of the event */
	char *fields; /* key=value ... */
} lw_explain_line_t;

typedef struct lw_explain {
	char *id;
	lw_explain_line_t *lines;
	size_t nlines;
	size_t cap;
	uint64_t dropped; /* lines that the nodes report as dropped */
} lw_explain_t;

void lw_explain_init(lw_explain_t *e, const char *id);
void lw_explain_add(lw_explain_t *e, const char *source, const char *line);
void lw_explain_sort(lw_explain_t *e);
const lw_explain_line_t *lw_explain_cause(const lw_explain_t *e);
void lw_explain_print(const lw_explain_t *e, FILE *out);
void lw_explain_json(const lw_explain_t *e, FILE *out);
void lw_explain_free(lw_explain_t *e);

#endif

/* A line of an event log, as lw_log() writes it, taken apart. */
#ifndef LW_LOGLINE_H
#define LW_LOGLINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"

/* The parts of a line; they point into it. */
typedef struct lw_logline {
	/*
	 * last word before "<priority>", where a collector that merges the logs of hosts puts the
	 * host's name; empty: none
	 */
	lw_str_t host;
	lw_str_t stamp; /* "Mon DD HH:MM:SS.mmm" */
	uint64_t at_ms; /* the stamp as time within the year; every month counts as 31 days */
	uint32_t pid;
	uint32_t number; /* number of the event */
	lw_str_t event; /* name of the event */
	const char *fields; /* key=value ... up to the end of the line */
} lw_logline_t;

bool lw_logline_parse(lw_logline_t *l, const char *line);
lw_str_t lw_logline_value(const char *fields, const char *key);
bool lw_logline_field(const char *fields, const char *key, char *dst, size_t len);
uint64_t lw_logline_number(const char *fields, const char *key);

#endif

/*
 * Interned names: of services, routes, organisations, availability zones and backend servers. A
 * name may have any length. Equal names share one copy, which is valid until the process ends, so
 * a name is stored and passed on as a pointer and costs no memory where it is used.
 */
#ifndef LW_NAME_H
#define LW_NAME_H

#include <stddef.h>

#include "lwstr.h"

/* The empty name: not set. */
extern const char lw_name_none[];

const char *lw_name(lw_str_t text);
const char *lw_name_c(const char *text);
const char *lw_name_format(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
const char *lw_name_word(const char *name);
size_t lw_names_count(void);
size_t lw_names_bytes(void);

#endif

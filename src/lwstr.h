/* Strings with an explicit length: a pointer and a length, not NUL-terminated. */
#ifndef LW_LWSTR_H
#define LW_LWSTR_H

#include <stdbool.h>
#include <stddef.h>

typedef struct lw_str {
	const char *ptr;
	size_t len;
} lw_str_t;

#define LW_STR(lit) ((lw_str_t){ (lit), sizeof(lit) - 1 })

lw_str_t lw_str_c(const char *s);
bool lw_str_eq(lw_str_t a, lw_str_t b);
bool lw_str_eq_c(lw_str_t a, const char *b);
char *lw_str_dup(lw_str_t s);
void lw_str_copy(char *dst, size_t dstlen, lw_str_t s);

#endif

/* Strings with an explicit length; see lwstr.h. */
#include "lwstr.h"

#include <string.h>

#include "xalloc.h"

/* lw_str_c() - a view of the NUL-terminated string @s; NULL gives an empty view. */
lw_str_t lw_str_c(const char *s)
{
	lw_str_t r = { s ? s : "", s ? strlen(s) : 0 };

	return r;
}

/* lw_str_eq() - true when @a and @b have the same bytes. */
bool lw_str_eq(lw_str_t a, lw_str_t b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

/* lw_str_eq_c() - compare @a with the NUL-terminated @b. */
bool lw_str_eq_c(lw_str_t a, const char *b)
{
	return lw_str_eq(a, lw_str_c(b));
}

/* lw_str_dup() - a new NUL-terminated heap copy of @s. */
char *lw_str_dup(lw_str_t s)
{
	return xstrndup(s.ptr, s.len);
}

/*
 * lw_str_copy() - copy @s into the buffer @dst of @dstlen bytes, truncated
 * if it does not fit; the result is always NUL-terminated.
 */
void lw_str_copy(char *dst, size_t dstlen, lw_str_t s)
{
	size_t n = s.len < dstlen - 1 ? s.len : dstlen - 1;

	if (n)
		memcpy(dst, s.ptr, n);
	dst[n] = '\0';
}

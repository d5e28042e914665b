/* Allocation helpers that abort with a message instead of returning NULL. */
#ifndef LW_XALLOC_H
#define LW_XALLOC_H

#include <stddef.h>

void *xmalloc(size_t size);
void *xcalloc(size_t nmemb, size_t size);
void *xrealloc(void *ptr, size_t size);
char *xstrndup(const char *s, size_t len);
char *xstrdup(const char *s);

#endif

/*
 * Allocation helpers that never return NULL. A node without memory cannot keep
 * its guarantees, so the process logs an error and aborts.
 */
#include "xalloc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void die_oom(size_t size)
{
	fprintf(stderr,
		"<2>lavenderward: E0001 out_of_memory size=%zu remedy=\"give the process more memory\"\n",
		size);
	abort();
}

/*
 * xmalloc() - malloc() that never returns NULL.
 * @size: number of bytes; 0 is treated as 1.
 */
void *xmalloc(size_t size)
{
	void *p = malloc(size ? size : 1);

	if (!p)
		die_oom(size);
	return p;
}

/* xcalloc() - calloc() that never returns NULL. */
void *xcalloc(size_t nmemb, size_t size)
{
	void *p = calloc(nmemb ? nmemb : 1, size ? size : 1);

	if (!p)
		die_oom(nmemb * size);
	return p;
}

/* xrealloc() - realloc() that never returns NULL. */
void *xrealloc(void *ptr, size_t size)
{
	void *p = realloc(ptr, size ? size : 1);

	if (!p)
		die_oom(size);
	return p;
}

/* xstrndup() - copies @len bytes of @s into a new NUL-terminated string. */
char *xstrndup(const char *s, size_t len)
{
	char *p = xmalloc(len + 1);

	memcpy(p, s, len);
	p[len] = '\0';
	return p;
}

/* xstrdup() - copies the NUL-terminated string @s. */
char *xstrdup(const char *s)
{
	return xstrndup(s, strlen(s));
}

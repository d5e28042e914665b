/* The table of interned names; see name.h. */
#include "name.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "bytebuf.h"
#include "xalloc.h"

typedef struct lw_name_entry {
	UT_hash_handle hh;
	char text[]; /* NUL-terminated */
} lw_name_entry_t;

const char lw_name_none[] = "";

/* The event loop and the reader of the store both create names. */
static pthread_mutex_t table_lock = PTHREAD_MUTEX_INITIALIZER;
static lw_name_entry_t *table;
static size_t table_bytes;

static lw_name_entry_t *add(lw_str_t text)
{
	lw_name_entry_t *e = xmalloc(sizeof(*e) + text.len + 1);

	memcpy(e->text, text.ptr, text.len);
	e->text[text.len] = '\0';
	HASH_ADD_KEYPTR(hh, table, e->text, text.len, e);
	table_bytes += sizeof(*e) + text.len + 1;
	return e;
}

/*
 * lw_name() - the name with this text. It is never released: names are those that operators and
 * backend servers publish, not text that callers send.
 */
const char *lw_name(lw_str_t text)
{
	lw_name_entry_t *e;

	if (!text.len)
		return lw_name_none;
	pthread_mutex_lock(&table_lock);
	HASH_FIND(hh, table, text.ptr, text.len, e);
	if (!e)
		e = add(text);
	pthread_mutex_unlock(&table_lock);
	return e->text;
}

/* lw_name_c() - the same for a NUL-terminated text. */
const char *lw_name_c(const char *text)
{
	return lw_name(lw_str_c(text));
}

/* lw_name_format() - the same for a text composed as by printf(). */
const char *lw_name_format(const char *fmt, ...)
{
	const char *name;
	char *text;
	va_list ap;

	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		abort();
	va_end(ap);
	name = lw_name_c(text);
	free(text);
	return name;
}

static bool breaks_a_word(unsigned char c)
{
	return c <= ' ' || c == '%' || c == '"' || c == 0x7f;
}

/*
 * lw_name_word() - @name as one word of a log line: blanks, control bytes, quotes and percent signs
 * are written as % and two hexadecimal digits. In a "key=value" line a name with a blank would
 * otherwise end at the blank, and two names with the same first word would look like one.
 */
const char *lw_name_word(const char *name)
{
	lw_bytebuf_t word = { 0 };
	const char *p = name;

	while (*p && !breaks_a_word((unsigned char)*p))
		p++;
	if (!*p)
		return name;
	for (p = name; *p; p++) {
		if (breaks_a_word((unsigned char)*p))
			lw_bytebuf_printf(&word, "%%%02X", (unsigned)(unsigned char)*p);
		else
			lw_bytebuf_append(&word, p, 1);
	}
	name = lw_name((lw_str_t){ lw_bytebuf_head(&word), lw_bytebuf_len(&word) });
	lw_bytebuf_free(&word);
	return name;
}

/* lw_names_count() - number of names in the table. */
size_t lw_names_count(void)
{
	size_t n;

	pthread_mutex_lock(&table_lock);
	n = HASH_COUNT(table);
	pthread_mutex_unlock(&table_lock);
	return n;
}

/* lw_names_bytes() - memory that the names in the table use, in bytes, without the hash table. */
size_t lw_names_bytes(void)
{
	size_t n;

	pthread_mutex_lock(&table_lock);
	n = table_bytes;
	pthread_mutex_unlock(&table_lock);
	return n;
}

/* Growable byte queues; see bytebuf.h. */
#include "bytebuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "xalloc.h"

/* size of the first allocation, bytes; fits the head of most requests */
#define BYTEBUF_MIN 512
/* an empty queue releases its memory if it has allocated more than this number of bytes */
#define BYTEBUF_KEEP 16384

/* bytes in all queues of the process; atomic, as the thread that reads the store has some, too */
static size_t total;

static void count(size_t len)
{
	__atomic_add_fetch(&total, len, __ATOMIC_RELAXED);
}

/* @len bytes leave @b, which may have fewer: its user may have emptied it since it read them */
static void uncount(const lw_bytebuf_t *b, size_t len)
{
	size_t held = lw_bytebuf_len(b);

	__atomic_sub_fetch(&total, len < held ? len : held, __ATOMIC_RELAXED);
}

/* lw_bytebuf_total() - number of bytes in all queues of the process. */
size_t lw_bytebuf_total(void)
{
	return __atomic_load_n(&total, __ATOMIC_RELAXED);
}

/* lw_bytebuf_free() - release the memory; the queue is empty afterwards. */
void lw_bytebuf_free(lw_bytebuf_t *b)
{
	uncount(b, lw_bytebuf_len(b));
	free(b->data);
	memset(b, 0, sizeof(*b));
}

/* lw_bytebuf_len() - number of bytes in the queue. */
size_t lw_bytebuf_len(const lw_bytebuf_t *b)
{
	return b->end - b->start;
}

/* lw_bytebuf_head() - pointer to the first byte in the queue. */
char *lw_bytebuf_head(const lw_bytebuf_t *b)
{
	return b->data + b->start;
}

/*
 * lw_bytebuf_reserve() - make room for @len more bytes and return where to
 * write them. lw_bytebuf_commit() then adds them to the queue.
 */
char *lw_bytebuf_reserve(lw_bytebuf_t *b, size_t len)
{
	size_t held = lw_bytebuf_len(b);
	size_t cap;

	if (b->cap - b->end >= len)
		return b->data + b->end;
	if (b->start) {
		memmove(b->data, b->data + b->start, held);
		b->start = 0;
		b->end = held;
	}
	if (b->cap - b->end >= len)
		return b->data + b->end;
	cap = b->cap ? b->cap : BYTEBUF_MIN;
	while (cap - held < len)
		cap *= 2;
	b->data = xrealloc(b->data, cap);
	b->cap = cap;
	return b->data + b->end;
}

/* lw_bytebuf_commit() - add @len bytes that were written after lw_bytebuf_reserve(). */
void lw_bytebuf_commit(lw_bytebuf_t *b, size_t len)
{
	b->end += len;
	count(len);
}

/* lw_bytebuf_append() - append a copy of the @len bytes at @src. */
void lw_bytebuf_append(lw_bytebuf_t *b, const void *src, size_t len)
{
	if (!len)
		return;
	memcpy(lw_bytebuf_reserve(b, len), src, len);
	lw_bytebuf_commit(b, len);
}

/* lw_bytebuf_append_c() - append a NUL-terminated string without its NUL. */
void lw_bytebuf_append_c(lw_bytebuf_t *b, const char *s)
{
	lw_bytebuf_append(b, s, strlen(s));
}

/* lw_bytebuf_append_str() - append the bytes of @s. */
void lw_bytebuf_append_str(lw_bytebuf_t *b, lw_str_t s)
{
	lw_bytebuf_append(b, s.ptr, s.len);
}

/* lw_bytebuf_printf() - append formatted text. */
void lw_bytebuf_printf(lw_bytebuf_t *b, const char *fmt, ...)
{
	va_list ap, ap_print;
	int need;

	va_start(ap, fmt);
	va_copy(ap_print, ap);
	need = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (need > 0) {
		vsnprintf(lw_bytebuf_reserve(b, (size_t)need + 1), (size_t)need + 1, fmt, ap_print);
		lw_bytebuf_commit(b, (size_t)need);
	}
	va_end(ap_print);
}

/* lw_bytebuf_cut() - drop @len bytes from the end. */
void lw_bytebuf_cut(lw_bytebuf_t *b, size_t len)
{
	uncount(b, len);
	b->end -= len;
}

/* lw_bytebuf_consume() - drop @len bytes from the front. */
void lw_bytebuf_consume(lw_bytebuf_t *b, size_t len)
{
	uncount(b, len);
	b->start += len;
	if (b->start < b->end)
		return;
	b->start = 0;
	b->end = 0;
	if (b->cap > BYTEBUF_KEEP)
		lw_bytebuf_free(b);
}

/* A growable byte queue: data is appended at the end and consumed from the front. */
#ifndef LW_BYTEBUF_H
#define LW_BYTEBUF_H

#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"

/* An all-zero struct is an empty queue. The bytes of the queue are data[start] to data[end - 1]. */
typedef struct lw_bytebuf {
	char *data;
	size_t start;
	size_t end;
	size_t cap;
} lw_bytebuf_t;

size_t lw_bytebuf_total(void);
void lw_bytebuf_free(lw_bytebuf_t *b);
size_t lw_bytebuf_len(const lw_bytebuf_t *b);
char *lw_bytebuf_head(const lw_bytebuf_t *b);
char *lw_bytebuf_reserve(lw_bytebuf_t *b, size_t len);
void lw_bytebuf_commit(lw_bytebuf_t *b, size_t len);
void lw_bytebuf_append(lw_bytebuf_t *b, const void *src, size_t len);
void lw_bytebuf_append_c(lw_bytebuf_t *b, const char *s);
void lw_bytebuf_append_str(lw_bytebuf_t *b, lw_str_t s);
void lw_bytebuf_printf(lw_bytebuf_t *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void lw_bytebuf_cut(lw_bytebuf_t *b, size_t len);
void lw_bytebuf_consume(lw_bytebuf_t *b, size_t len);

#endif

/*
 * The head of one HTTP/1.1 request or response: parsed by http-parser, with additional strict
 * checks against request smuggling, and written again without the hop-by-hop headers.
 */
#ifndef LW_HTTPHEAD_H
#define LW_HTTPHEAD_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bytebuf.h"
#include "lwstr.h"
#include "notice.h"
#include "wirenames.h"

typedef enum lw_httphead_error {
	LW_HTTPHEAD_OK = 0,
	LW_HTTPHEAD_MALFORMED, /* 400 */
} lw_httphead_error_t;

typedef struct lw_httpfield {
	lw_str_t name;
	lw_str_t value;
	lw_header_t meaning;
	bool hop; /* hop-by-hop header */
} lw_httpfield_t;

/*
 * A parsed head. Its strings point into the parsed block and are valid as long as the block is.
 * Zero-initialised before it is first used; it can then be used again for the next head.
 */
typedef struct lw_httphead {
	lw_str_t start; /* the first line, without CRLF */
	lw_str_t method;
	lw_str_t target;
	lw_str_t host;
	uint32_t status;
	int64_t body_length; /* 0: none; -1: chunked; -2: until the connection closes */
	bool keep_alive;
	bool expect_continue;
	uint32_t keep_alive_s; /* idle timeout announced by the other side; 0: none */
	lw_httpfield_t *fields; /* released by lw_httphead_free() */
	size_t nfields;
	size_t fields_allocated;
} lw_httphead_t;

size_t lw_httphead_end(const char *data, size_t len);
lw_httphead_error_t lw_httphead_parse(lw_httphead_t *h, http_parser *parser,
				      const lw_wirenames_t *names, lw_str_t block);
void lw_httphead_free(lw_httphead_t *h);
lw_str_t lw_httphead_find(const lw_httphead_t *h, lw_header_t meaning);
lw_notice_fields_t lw_httphead_notice(const lw_httphead_t *h);
void lw_httphead_forward(const lw_httphead_t *h, bool drop_identity, lw_bytebuf_t *out);
void lw_httphead_framing(lw_bytebuf_t *out, int64_t body_length, bool may_omit);

#endif

/*
 * libFuzzer target: HTTP request and response heads. A head that is accepted and
 * written out must be accepted again with the same meaning.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/names.h"
#include "httphead.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static lw_httphead_t first, second;
	enum http_parser_type type = len && data[0] & 1 ? HTTP_REQUEST : HTTP_RESPONSE;
	lw_bytebuf_t out = { 0 };
	http_parser parser;
	size_t end;

	if (len < 2)
		return 0;
	data++;
	len--;
	end = lw_httphead_end((const char *)data, len);
	if (!end)
		return 0;
	http_parser_init(&parser, type);
	if (lw_httphead_parse(&first, &parser, &lw_platform_names,
			      (lw_str_t){ (const char *)data, end }))
		return 0;
	lw_httphead_forward(&first, false, &out);
	lw_httphead_framing(&out, first.body_length < 0 ? -1 : first.body_length, false);
	lw_bytebuf_append_c(&out, "\r\n");
	http_parser_init(&parser, type);
	if (lw_httphead_parse(&second, &parser, &lw_platform_names,
			      (lw_str_t){ lw_bytebuf_head(&out), lw_bytebuf_len(&out) }))
		abort();
	if (!lw_str_eq(first.target, second.target) || !lw_str_eq(first.method, second.method) ||
	    first.status != second.status)
		abort();
	if (first.body_length >= 0 && first.body_length != second.body_length)
		abort();
	lw_bytebuf_free(&out);
	return 0;
}

/*
 * libFuzzer target: API keys in request heads. A key that is found must lie inside the head,
 * and the forwarded head must contain neither a credential nor the caller's organisation header.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/names.h"
#include "credential.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static lw_httphead_t head, sent;
	lw_bytebuf_t out = { 0 };
	http_parser parser;
	lw_str_t key;
	size_t end = lw_httphead_end((const char *)data, len);

	if (!end)
		return 0;
	http_parser_init(&parser, HTTP_REQUEST);
	if (lw_httphead_parse(&head, &parser, &lw_platform_names,
			      (lw_str_t){ (const char *)data, end }))
		return 0;
	lw_credential_read(&head, lw_platform_names.credential_scheme, &key);
	if (key.len &&
	    (key.ptr < (const char *)data || key.ptr + key.len > (const char *)data + end))
		abort();
	lw_httphead_forward(&head, true, &out);
	lw_bytebuf_append_c(&out, "\r\n");
	http_parser_init(&parser, HTTP_REQUEST);
	if (!lw_httphead_parse(&sent, &parser, &lw_platform_names,
			       (lw_str_t){ lw_bytebuf_head(&out), lw_bytebuf_len(&out) }) &&
	    (lw_httphead_find(&sent, LW_HEADER_CREDENTIAL).ptr ||
	     lw_httphead_find(&sent, LW_HEADER_ORGANISATION).ptr))
		abort();
	lw_bytebuf_free(&out);
	return 0;
}

/* Parses and forwards heads of HTTP/1.1 messages; see httphead.h. */
#include "httphead.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "xalloc.h"

/* longest header line formatted by this module, in bytes */
#define LINE_MAX_BYTES 64
/* fields that a head has room for at first */
#define FIELDS_FIRST 32

/* hop-by-hop headers (RFC 9110, 7.6.1) */
static const char *const hop_names[] = {
	"Connection",
	"Keep-Alive",
	"Transfer-Encoding",
	"TE",
	"Trailer",
	"Upgrade",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Expect",
};

/* results of one http-parser pass over a head */
struct collect {
	lw_httphead_t *head;
	const lw_wirenames_t *names;
	bool complete;
};

static bool str_is(lw_str_t s, const char *name)
{
	return strlen(name) == s.len && strncasecmp(s.ptr, name, s.len) == 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct collect *c = p->data;
	lw_httphead_t *h = c->head;

	if (h->nfields == h->fields_allocated) {
		h->fields_allocated = h->fields_allocated ? 2 * h->fields_allocated : FIELDS_FIRST;
		h->fields = xrealloc(h->fields, h->fields_allocated * sizeof(*h->fields));
	}
	h->fields[h->nfields++] = (lw_httpfield_t){ .name = { at, len }, .value = { at, 0 } };
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct collect *c = p->data;

	if (c->head->nfields)
		c->head->fields[c->head->nfields - 1].value = (lw_str_t){ at, len };
	return 0;
}

static int on_headers_complete(http_parser *p)
{
	struct collect *c = p->data;

	c->complete = true;
	return 0;
}

static const http_parser_settings head_settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
};

/*
 * lw_httphead_end() - length of the head at the start of @data, including its empty line; 0 if the
 * empty line has not arrived yet.
 */
size_t lw_httphead_end(const char *data, size_t len)
{
	const char *end = memmem(data, len, "\r\n\r\n", 4);

	return end ? (size_t)(end - data) + 4 : 0;
}

/*
 * Rejects bare CR or LF, folded lines and NUL bytes. Parsers interpret these differently, so that
 * one request could be hidden inside another, and http-parser accepts some of them.
 */
static bool lines_strict(lw_str_t block)
{
	for (size_t i = 0; i < block.len; i++) {
		char c = block.ptr[i];

		if (c == '\0')
			return false;
		if (c == '\n' && (i == 0 || block.ptr[i - 1] != '\r'))
			return false;
		if (c == '\r' && (i + 1 == block.len || block.ptr[i + 1] != '\n'))
			return false;
		if (c == '\n' && i + 1 < block.len &&
		    (block.ptr[i + 1] == ' ' || block.ptr[i + 1] == '\t'))
			return false;
	}
	return true;
}

/*
 * Rejects header names that contain whitespace. http-parser treats a space before the colon as
 * part of the name; a server that trims it would see a header that was not checked here.
 */
static bool names_strict(const lw_httphead_t *h)
{
	for (size_t i = 0; i < h->nfields; i++) {
		lw_str_t name = h->fields[i].name;

		if (!name.len || memchr(name.ptr, ' ', name.len) ||
		    memchr(name.ptr, '\t', name.len))
			return false;
	}
	return true;
}

static lw_header_t meaning_of(const lw_wirenames_t *names, lw_str_t name)
{
	for (int i = LW_HEADER_OTHER + 1; i < LW_HEADER_COUNT; i++)
		if (str_is(name, names->header[i]))
			return (lw_header_t)i;
	return LW_HEADER_OTHER;
}

static bool is_hop(lw_str_t name)
{
	for (size_t i = 0; i < sizeof(hop_names) / sizeof(hop_names[0]); i++)
		if (str_is(name, hop_names[i]))
			return true;
	return false;
}

/* the next item of a comma-separated list, without the whitespace around it */
static lw_str_t take_item(lw_str_t *list)
{
	const char *comma = memchr(list->ptr, ',', list->len);
	lw_str_t item = { list->ptr, comma ? (size_t)(comma - list->ptr) : list->len };

	list->ptr += item.len + (comma ? 1 : 0);
	list->len -= item.len + (comma ? 1 : 0);
	while (item.len && (*item.ptr == ' ' || *item.ptr == '\t')) {
		item.ptr++;
		item.len--;
	}
	while (item.len && (item.ptr[item.len - 1] == ' ' || item.ptr[item.len - 1] == '\t'))
		item.len--;
	return item;
}

static int compare_names(const void *a, const void *b)
{
	const lw_str_t *x = a, *y = b;
	int c = strncasecmp(x->ptr, y->ptr, x->len < y->len ? x->len : y->len);

	return c ? c : (x->len > y->len) - (x->len < y->len);
}

/*
 * Headers listed in a Connection header are hop-by-hop too. The lists are sorted first: with long
 * ones and many headers, comparing each with each would hold up all other requests.
 */
static void mark_listed(lw_httphead_t *h)
{
	lw_str_t *items = NULL;
	size_t n = 0;

	for (size_t i = 0; i < h->nfields; i++) {
		lw_str_t list = h->fields[i].value;

		if (!str_is(h->fields[i].name, "Connection"))
			continue;
		items = xrealloc(items, (n + list.len / 2 + 1) * sizeof(*items));
		while (list.len) {
			lw_str_t item = take_item(&list);

			if (item.len)
				items[n++] = item;
		}
	}
	if (n)
		qsort(items, n, sizeof(*items), compare_names);
	for (size_t i = 0; n && i < h->nfields; i++)
		if (bsearch(&h->fields[i].name, items, n, sizeof(*items), compare_names))
			h->fields[i].hop = true;
	free(items);
}

static uint32_t keep_alive_timeout(lw_str_t value)
{
	static const char key[] = "timeout=";
	const char *at = memmem(value.ptr, value.len, key, sizeof(key) - 1);
	uint32_t s = 0;

	if (!at)
		return 0;
	at += sizeof(key) - 1;
	while (at < value.ptr + value.len && *at >= '0' && *at <= '9' && s < 100000)
		s = s * 10 + (uint32_t)(*at++ - '0');
	return s;
}

static bool classify(lw_httphead_t *h, const lw_wirenames_t *names)
{
	bool chunked = false;

	for (size_t i = 0; i < h->nfields; i++) {
		lw_httpfield_t *f = &h->fields[i];

		f->meaning = meaning_of(names, f->name);
		f->hop = f->hop || is_hop(f->name);
		if (str_is(f->name, "Host")) {
			if (h->host.ptr)
				return false;
			h->host = f->value;
		} else if (str_is(f->name, "Expect")) {
			h->expect_continue = str_is(f->value, "100-continue");
		} else if (str_is(f->name, "Keep-Alive")) {
			h->keep_alive_s = keep_alive_timeout(f->value);
		} else if (str_is(f->name, "Transfer-Encoding")) {
			if (chunked || !str_is(f->value, "chunked"))
				return false;
			chunked = true;
		}
	}
	mark_listed(h);
	return true;
}

static bool digits(const char *s, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (s[i] < '0' || s[i] > '9')
			return false;
	return true;
}

/* HTTP/1.0 or HTTP/1.1 */
static bool is_version(const char *s, size_t len)
{
	return len == 8 && memcmp(s, "HTTP/1.", 7) == 0 && (s[7] == '0' || s[7] == '1');
}

/*
 * Checks that the first line conforms to RFC 9112. http-parser skips empty lines and invalid bytes
 * before it, so the parsed line and the forwarded one could differ.
 */
static bool start_line(lw_httphead_t *h, lw_str_t block, bool request)
{
	const char *cr = memchr(block.ptr, '\r', block.len);
	size_t len = (size_t)(cr - block.ptr);
	const char *first = memchr(block.ptr, ' ', len);
	const char *second =
		first ? memchr(first + 1, ' ', len - (size_t)(first + 1 - block.ptr)) : NULL;
	size_t rest = first ? len - (size_t)(first + 1 - block.ptr) : 0;

	h->start = (lw_str_t){ block.ptr, len };
	if (!first)
		return false;
	if (!request)
		return is_version(block.ptr, (size_t)(first - block.ptr)) && rest >= 3 &&
		       digits(first + 1, 3) && (rest == 3 || first[4] == ' ');
	if (!second || first == block.ptr || second == first + 1)
		return false;
	h->method = (lw_str_t){ block.ptr, (size_t)(first - block.ptr) };
	h->target = (lw_str_t){ first + 1, (size_t)(second - first - 1) };
	return is_version(second + 1, len - (size_t)(second + 1 - block.ptr));
}

/*
 * lw_httphead_parse() - parse the head in @block, which ends with its empty line. @parser is
 * initialised by the caller and is used for the body afterwards. On success @h points into @block.
 */
lw_httphead_error_t lw_httphead_parse(lw_httphead_t *h, http_parser *parser,
				      const lw_wirenames_t *names, lw_str_t block)
{
	struct collect c = { .head = h, .names = names };
	void *data = parser->data;
	size_t used;

	*h = (lw_httphead_t){ .fields = h->fields, .fields_allocated = h->fields_allocated };
	if (!lines_strict(block))
		return LW_HTTPHEAD_MALFORMED;
	parser->data = &c;
	/* the caller of this function has bounded the head; trailers keep the parser's own bound */
	http_parser_set_max_header_size(UINT32_MAX);
	used = http_parser_execute(parser, &head_settings, block.ptr, block.len);
	http_parser_set_max_header_size(HTTP_MAX_HEADER_SIZE);
	parser->data = data;
	if (!c.complete || used != block.len || HTTP_PARSER_ERRNO(parser) != HPE_OK)
		return LW_HTTPHEAD_MALFORMED;
	if (!names_strict(h) || !classify(h, names))
		return LW_HTTPHEAD_MALFORMED;
	if (!start_line(h, block, parser->type == HTTP_REQUEST))
		return LW_HTTPHEAD_MALFORMED;
	h->status = parser->status_code;
	h->keep_alive = http_should_keep_alive(parser);
	if (parser->flags & F_CHUNKED)
		h->body_length = -1;
	else if (parser->flags & F_CONTENTLENGTH)
		h->body_length = (int64_t)parser->content_length;
	else
		h->body_length = parser->type == HTTP_RESPONSE ? -2 : 0;
	return LW_HTTPHEAD_OK;
}

/* lw_httphead_free() - release the list of fields. */
void lw_httphead_free(lw_httphead_t *h)
{
	free(h->fields);
	*h = (lw_httphead_t){ 0 };
}

/*
 * lw_httphead_find() - value of the first header with @meaning; its ptr is NULL if there is none.
 */
lw_str_t lw_httphead_find(const lw_httphead_t *h, lw_header_t meaning)
{
	for (size_t i = 0; i < h->nfields; i++)
		if (h->fields[i].meaning == meaning)
			return h->fields[i].value;
	return (lw_str_t){ NULL, 0 };
}

/* lw_httphead_notice() - the backend server's self-announcement in an answer. */
lw_notice_fields_t lw_httphead_notice(const lw_httphead_t *h)
{
	lw_notice_fields_t said = { 0 };

	for (size_t i = 0; i < h->nfields; i++)
		lw_notice_parse_field(&said, h->fields[i].meaning, h->fields[i].value);
	return said;
}

static bool is_identity(const lw_httpfield_t *f)
{
	return f->meaning == LW_HEADER_CREDENTIAL || f->meaning == LW_HEADER_ORGANISATION;
}

static bool set_by_node(const lw_httpfield_t *f)
{
	return f->meaning == LW_HEADER_DEADLINE || f->meaning == LW_HEADER_TARGET ||
	       f->meaning == LW_HEADER_CALLER || f->meaning == LW_HEADER_LOAD;
}

/*
 * lw_httphead_forward() - append the start line and the end-to-end headers, each with CRLF,
 * without the empty line. Hop-by-hop headers, the body framing and the headers that every node
 * sets itself are omitted; with @drop_identity also the API key and the sender's organisation
 * header.
 */
void lw_httphead_forward(const lw_httphead_t *h, bool drop_identity, lw_bytebuf_t *out)
{
	lw_bytebuf_append_str(out, h->start);
	lw_bytebuf_append(out, "\r\n", 2);
	for (size_t i = 0; i < h->nfields; i++) {
		const lw_httpfield_t *f = &h->fields[i];

		if (f->hop || set_by_node(f) || str_is(f->name, "Content-Length"))
			continue;
		if (drop_identity && is_identity(f))
			continue;
		lw_bytebuf_append_str(out, f->name);
		lw_bytebuf_append(out, ": ", 2);
		lw_bytebuf_append_str(out, f->value);
		lw_bytebuf_append(out, "\r\n", 2);
	}
}

/*
 * lw_httphead_framing() - append the header that frames a body of @body_length bytes (-1:
 * chunked). @may_omit: no header for an empty body.
 */
void lw_httphead_framing(lw_bytebuf_t *out, int64_t body_length, bool may_omit)
{
	char line[LINE_MAX_BYTES];

	if (body_length < 0) {
		lw_bytebuf_append_c(out, "Transfer-Encoding: chunked\r\n");
	} else if (body_length > 0 || !may_omit) {
		snprintf(line, sizeof(line), "Content-Length: %lld\r\n", (long long)body_length);
		lw_bytebuf_append_c(out, line);
	}
}

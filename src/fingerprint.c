/* Digests of requests; see fingerprint.h. */
#include "fingerprint.h"

#include <string.h>
#include <strings.h>

static uint64_t digest(const struct sha256_ctx *sha)
{
	struct sha256_ctx copy = *sha;
	uint64_t out;

	sha256_digest(&copy, sizeof(out), (uint8_t *)&out);
	return out;
}

static void update(lw_fingerprinter_t *f, const char *data, size_t len)
{
	sha256_update(&f->sha, len, (const uint8_t *)data);
}

/* the line that begins at @at, without its line end; @next: offset of the line after it */
static lw_str_t line_at(lw_str_t text, size_t at, size_t *next)
{
	const char *end = memchr(text.ptr + at, '\r', text.len - at);
	size_t len = end ? (size_t)(end - text.ptr) - at : text.len - at;

	*next = at + len + 2;
	return (lw_str_t){ text.ptr + at, len };
}

static bool is_header(lw_str_t line, const char *name)
{
	size_t len = strlen(name);

	return line.len > len && line.ptr[len] == ':' && strncasecmp(line.ptr, name, len) == 0;
}

/*
 * lw_fingerprinter_begin() - start the digest of the request with @head: its request line
 * and header lines, which end in CRLF. Of the header lines only the host and @org_header
 * are covered: a request of one organisation must not hold back an equal request of
 * another one. The other headers are left out, as some of them differ in every request.
 */
void lw_fingerprinter_begin(lw_fingerprinter_t *f, lw_str_t head, const char *org_header)
{
	size_t next = 0;
	bool first = true;

	sha256_init(&f->sha);
	f->left = LW_FINGERPRINT_BODY_BYTES;
	f->known = false;
	while (next < head.len) {
		lw_str_t line = line_at(head, next, &next);

		if (!first && !is_header(line, "host") && !is_header(line, org_header))
			continue;
		update(f, line.ptr, line.len);
		update(f, "\n", 1);
		first = false;
	}
	f->value.head = digest(&f->sha);
	f->value.whole = 0;
}

/* lw_fingerprinter_body() - add a part of the body; @fin: it was the last one. */
void lw_fingerprinter_body(lw_fingerprinter_t *f, lw_str_t data, bool fin)
{
	size_t len = data.len < f->left ? data.len : f->left;

	if (f->known)
		return;
	if (len)
		update(f, data.ptr, len);
	f->left -= (uint32_t)len;
	if (f->left && !fin)
		return;
	f->value.whole = digest(&f->sha);
	f->known = true;
}

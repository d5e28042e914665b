/* Self-announcements of backend servers; see notice.h. */
#include "notice.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "leaving.h"

/* headers that contain announcements */
static const lw_header_t announcement_headers[] = { LW_HEADER_LEAVING, LW_HEADER_LIMIT };
#define NANNOUNCEMENT_HEADERS (sizeof(announcement_headers) / sizeof(announcement_headers[0]))
/* longest text of a limit, in bytes */
#define LIMIT_TEXT_MAX 15

/* digits with at most one decimal point, which has a digit on each side */
static bool is_decimal(lw_str_t s)
{
	bool point = false;

	if (!s.len || s.len > LIMIT_TEXT_MAX || s.ptr[0] == '.' || s.ptr[s.len - 1] == '.')
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (s.ptr[i] == '.' && !point)
			point = true;
		else if (s.ptr[i] < '0' || s.ptr[i] > '9')
			return false;
	}
	return true;
}

static void parse_limit(lw_notice_fields_t *fields, lw_str_t value)
{
	char text[LIMIT_TEXT_MAX + 1];

	if (fields->limited || fields->limit_invalid || !is_decimal(value)) {
		fields->limited = false;
		fields->limit_invalid = true;
		return;
	}
	lw_str_copy(text, sizeof(text), value);
	fields->limited = true;
	fields->limit_per_s = strtod(text, NULL);
}

/*
 * lw_notice_parse_field() - add one response header, whose @meaning is known, to @fields,
 * which is all zero before the first call.
 */
void lw_notice_parse_field(lw_notice_fields_t *fields, lw_header_t meaning, lw_str_t value)
{
	if (meaning == LW_HEADER_LEAVING)
		fields->leaving |= lw_str_eq_c(value, "1");
	else if (meaning == LW_HEADER_LIMIT)
		parse_limit(fields, value);
}

static lw_str_t trimmed(lw_str_t s)
{
	while (s.len && (*s.ptr == ' ' || *s.ptr == '\t')) {
		s.ptr++;
		s.len--;
	}
	while (s.len && (s.ptr[s.len - 1] == ' ' || s.ptr[s.len - 1] == '\t'))
		s.len--;
	return s;
}

static void parse_line(lw_notice_fields_t *fields, lw_str_t line, const lw_wirenames_t *names)
{
	const char *colon = memchr(line.ptr, ':', line.len);
	size_t name_len;

	if (!colon)
		return;
	name_len = (size_t)(colon - line.ptr);
	for (size_t i = 0; i < NANNOUNCEMENT_HEADERS; i++) {
		const char *name = names->header[announcement_headers[i]];

		if (strlen(name) != name_len || strncasecmp(line.ptr, name, name_len) != 0)
			continue;
		lw_notice_parse_field(fields, announcement_headers[i],
				      trimmed((lw_str_t){ colon + 1, line.len - name_len - 1 }));
	}
}

/*
 * lw_notice_parse_head() - add the announcements in all header lines of @head, which end
 * in CRLF, to @fields. The node that passes a response on parses the head itself, as the
 * node on the server's host may run a version that does not.
 */
void lw_notice_parse_head(lw_notice_fields_t *fields, lw_str_t head, const lw_wirenames_t *names)
{
	while (head.len) {
		const char *end = memmem(head.ptr, head.len, "\r\n", 2);
		size_t len = end ? (size_t)(end - head.ptr) : head.len;
		size_t used = end ? len + 2 : len;

		parse_line(fields, (lw_str_t){ head.ptr, len }, names);
		head.ptr += used;
		head.len -= used;
	}
}

/* lw_notice_server_digest() - digest of a backend server's id, never 0. */
uint64_t lw_notice_server_digest(const char *id)
{
	return XXH64(id, strlen(id), 0) | 1;
}

static bool set_limit(lw_notice_limit_t *l, bool on, double per_s)
{
	bool changed = l->on != on || (on && l->per_s != per_s);

	l->on = on;
	l->per_s = on ? per_s : 0;
	return changed;
}

/*
 * lw_notice_limit_from_response() - apply the limit, or its absence, in the response to a
 * request sent at @sent_us; true if that changes the limit. Responses may arrive out of
 * order: a lower limit applies at once, a higher one or none only if its request was sent
 * after the lower limit was received.
 */
bool lw_notice_limit_from_response(lw_notice_limit_t *l, const lw_notice_fields_t *fields,
				   uint64_t sent_us, uint64_t now_us)
{
	bool higher = l->on && (!fields->limited || fields->limit_per_s > l->per_s);

	if (higher && sent_us < l->updated_us)
		return false;
	l->updated_us = now_us;
	return set_limit(l, fields->limited, fields->limit_per_s);
}

/*
 * lw_notice_limit_from_peer() - apply a limit that another node reports; true if that
 * changes the limit. It applies only until a response of the server itself has been
 * received, as in a process that has just started.
 */
bool lw_notice_limit_from_peer(lw_notice_limit_t *l, double per_s)
{
	if (l->updated_us || (l->on && l->per_s <= per_s))
		return false;
	return set_limit(l, true, per_s);
}

/* lw_notice_is_about() - whether @n is about a process of server @id. */
bool lw_notice_is_about(const lw_notice_t *n, const char *id)
{
	return n->server && n->server == lw_notice_server_digest(id);
}

/*
 * lw_notice_matches() - whether @n may be about the process of server @id that started at
 * @born_ms; an unknown start matches any.
 */
bool lw_notice_matches(const lw_notice_t *n, const char *id, uint64_t born_ms)
{
	if (!lw_notice_is_about(n, id))
		return false;
	/* an answer does not tell which process gave it, the server list does */
	if (n->seen_ms)
		return lw_leaving_may_concern(n->seen_ms, born_ms);
	return !n->born_ms || !born_ms || n->born_ms == born_ms;
}

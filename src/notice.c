/* What backend servers announce of themselves; see notice.h. */
#include "notice.h"

#include <string.h>
#include <strings.h>
#include <xxhash.h>

/* the headers that announce something */
static const lw_header_t meanings[] = { LW_HEADER_LEAVING };
#define NMEANINGS (sizeof(meanings) / sizeof(meanings[0]))

/*
 * lw_notice_field() - take over one header of an answer, of a known @meaning, into
 * @said, which is all zeroes before the first.
 */
void lw_notice_field(lw_notice_said_t *said, lw_header_t meaning, lw_str_t value)
{
	if (meaning == LW_HEADER_LEAVING)
		said->leaving |= lw_str_eq_c(value, "1");
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

static void take_line(lw_notice_said_t *said, lw_str_t line, const lw_wirenames_t *names)
{
	const char *colon = memchr(line.ptr, ':', line.len);
	size_t name_len;

	if (!colon)
		return;
	name_len = (size_t)(colon - line.ptr);
	for (size_t i = 0; i < NMEANINGS; i++) {
		const char *name = names->header[meanings[i]];

		if (strlen(name) != name_len || strncasecmp(line.ptr, name, name_len) != 0)
			continue;
		lw_notice_field(said, meanings[i],
				trimmed((lw_str_t){ colon + 1, line.len - name_len - 1 }));
	}
}

/*
 * lw_notice_in_head() - the same for all header lines of @head, CRLF each. A node
 * that passes an answer on reads it itself: the node beside the server may be of a
 * version that does not.
 */
void lw_notice_in_head(lw_notice_said_t *said, lw_str_t head, const lw_wirenames_t *names)
{
	while (head.len) {
		const char *end = memmem(head.ptr, head.len, "\r\n", 2);
		size_t len = end ? (size_t)(end - head.ptr) : head.len;
		size_t used = end ? len + 2 : len;

		take_line(said, (lw_str_t){ head.ptr, len }, names);
		head.ptr += used;
		head.len -= used;
	}
}

/* lw_notice_server() - digest of a backend server's id, never 0. */
uint64_t lw_notice_server(const char *id)
{
	return XXH64(id, strlen(id), 0) | 1;
}

/* lw_notice_is_of() - whether @n is of the process @born_ms of server @id; a start that is not told matches any. */
bool lw_notice_is_of(const lw_notice_t *n, const char *id, uint64_t born_ms)
{
	return n->server && n->server == lw_notice_server(id) &&
	       (!n->born_ms || !born_ms || n->born_ms == born_ms);
}

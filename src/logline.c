/* Lines of event logs; see logline.h. */
#include "logline.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER_MAX_BYTES 32

static uint64_t time_of(const char *stamp)
{
	static const char months[] = "JanFebMarAprMayJunJulAugSepOctNovDec";
	char month[4] = "";
	unsigned day = 0, h = 0, m = 0, s = 0, ms = 0;
	const char *at;

	if (sscanf(stamp, "%3s %u %u:%u:%u.%u", month, &day, &h, &m, &s, &ms) != 6)
		return 0;
	at = strstr(months, month);
	return ((((uint64_t)(at ? (at - months) / 3 : 0) * 31 + day) * 24 + h) * 60 + m) * 60000 +
	       s * 1000 + ms;
}

static lw_str_t last_word(const char *begin, const char *end)
{
	const char *at;

	while (end > begin && end[-1] == ' ')
		end--;
	at = end;
	while (at > begin && at[-1] != ' ')
		at--;
	return (lw_str_t){ at, (size_t)(end - at) };
}

/*
 * lw_logline_parse() - takes @line apart. Returns false for a line in any other
 * format.
 */
bool lw_logline_parse(lw_logline_t *l, const char *line)
{
	const char *head = strchr(line, '<');
	const char *stamp = head ? strchr(head, '>') : NULL;
	const char *event = stamp ? strstr(stamp, "]: E") : NULL;
	const char *name = event ? strchr(event + 4, ' ') : NULL;
	const char *fields = name ? strchr(name + 1, ' ') : NULL;
	const char *pid = event;

	if (!fields)
		return false;
	while (pid > stamp && pid[-1] != '[')
		pid--;
	l->host = last_word(line, head);
	l->stamp = (lw_str_t){ stamp + 1, strcspn(stamp + 1, ".") };
	l->at_ms = time_of(stamp + 1);
	l->pid = (uint32_t)strtoul(pid, NULL, 10);
	l->number = (uint32_t)strtoul(event + 4, NULL, 10);
	l->event = (lw_str_t){ name + 1, (size_t)(fields - name - 1) };
	l->fields = fields + 1;
	return true;
}

/*
 * lw_logline_value() - the value of @key in "key=value ...", which points into @fields; its ptr is
 * NULL if there is none.
 */
lw_str_t lw_logline_value(const char *fields, const char *key)
{
	size_t klen = strlen(key);

	for (const char *p = fields; p && *p; p = strchr(p, ' ')) {
		while (*p == ' ')
			p++;
		if (strncmp(p, key, klen) != 0 || p[klen] != '=')
			continue;
		p += klen + 1;
		return (lw_str_t){ p, strcspn(p, " \r\n") };
	}
	return (lw_str_t){ NULL, 0 };
}

/*
 * lw_logline_field() - copies the value of @key to @dst, truncated if it does not fit; returns
 * false if there is none.
 */
bool lw_logline_field(const char *fields, const char *key, char *dst, size_t len)
{
	lw_str_t value = lw_logline_value(fields, key);

	if (!value.ptr)
		return false;
	lw_str_copy(dst, len, value);
	return true;
}

/* lw_logline_number() - the value of @key as a whole number; 0 if there is none. */
uint64_t lw_logline_number(const char *fields, const char *key)
{
	char value[NUMBER_MAX_BYTES];

	return lw_logline_field(fields, key, value, sizeof(value)) ? strtoull(value, NULL, 10) : 0;
}

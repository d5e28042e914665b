/* API keys in request heads; see credential.h. */
#include "credential.h"

#include <string.h>
#include <strings.h>

/* the key after "SCHEME " in a header value; the scheme is case-insensitive (RFC 9110, 11.1) */
static bool read_value(lw_str_t value, const char *scheme, lw_str_t *key)
{
	size_t len = strlen(scheme);

	if (value.len <= len || strncasecmp(value.ptr, scheme, len) != 0 || value.ptr[len] != ' ')
		return false;
	value.ptr += len;
	value.len -= len;
	while (value.len && *value.ptr == ' ') {
		value.ptr++;
		value.len--;
	}
	*key = value;
	return value.len > 0;
}

/* lw_credential_read() - find the key of @scheme in @h; @key points into the head. */
lw_credential_t lw_credential_read(const lw_httphead_t *h, const char *scheme, lw_str_t *key)
{
	lw_credential_t found = LW_CREDENTIAL_NONE;

	*key = (lw_str_t){ NULL, 0 };
	for (size_t i = 0; i < h->nfields; i++) {
		if (h->fields[i].meaning != LW_HEADER_CREDENTIAL)
			continue;
		if (found != LW_CREDENTIAL_NONE)
			return LW_CREDENTIAL_DUPLICATE;
		found = read_value(h->fields[i].value, scheme, key) ? LW_CREDENTIAL_KEY :
								      LW_CREDENTIAL_UNSUPPORTED;
	}
	return found;
}

/* The API key in the head of a caller's request. No I/O; nothing is stored. */
#ifndef LW_CREDENTIAL_H
#define LW_CREDENTIAL_H

#include "httphead.h"

typedef enum lw_credential {
	LW_CREDENTIAL_NONE, /* the request has no key */
	LW_CREDENTIAL_KEY,
	LW_CREDENTIAL_UNSUPPORTED, /* of another scheme, or without a key */
	/* two header lines that may differ: other servers could use either */
	LW_CREDENTIAL_DUPLICATE,
} lw_credential_t;

lw_credential_t lw_credential_read(const lw_httphead_t *h, const char *scheme, lw_str_t *key);

#endif

/*
 * The key that a caller's request carries in its head. No I/O; nothing of it is
 * kept.
 */
#ifndef LW_CREDENTIAL_H
#define LW_CREDENTIAL_H

#include "httphead.h"

typedef enum lw_credential {
	LW_CREDENTIAL_NONE, /* the request carries none */
	LW_CREDENTIAL_KEY,
	LW_CREDENTIAL_UNSUPPORTED, /* of another scheme, or without a key */
	LW_CREDENTIAL_DUPLICATE, /* two that may differ: other servers could take either */
} lw_credential_t;

lw_credential_t lw_credential_read(const lw_httphead_t *h, const char *scheme, lw_str_t *key);

#endif

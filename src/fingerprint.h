/*
 * Digest that identifies equal requests: it covers the method, the host, the organisation,
 * the target and the first part of the body, computed as the body is forwarded. A retried
 * request has a new id but the same digest. SHA-256, as callers choose the content and
 * must not be able to construct a request with the digest of another caller's request. No
 * I/O.
 */
#ifndef LW_FINGERPRINT_H
#define LW_FINGERPRINT_H

#include <nettle/sha2.h>
#include <stdbool.h>
#include <stdint.h>

#include "lwstr.h"

/* Number of body bytes covered; the rest of the body is not waited for. */
#define LW_FINGERPRINT_BODY_BYTES 32768

/* The same for equal requests, whether sent with a length or in chunks. */
typedef struct lw_fingerprint {
	uint64_t head; /* of method, target, host and organisation */
	uint64_t whole; /* of these and the body */
} lw_fingerprint_t;

/* The digest of one request while its body is received. */
typedef struct lw_fingerprinter {
	struct sha256_ctx sha;
	uint32_t left; /* body bytes still to be covered */
	bool known; /* value.whole is final */
	lw_fingerprint_t value; /* value.head is final from the start */
} lw_fingerprinter_t;

void lw_fingerprinter_begin(lw_fingerprinter_t *f, lw_str_t head, const char *org_header);
void lw_fingerprinter_body(lw_fingerprinter_t *f, lw_str_t data, bool fin);

#endif

/*
 * A document that the whole fleet has, in its newest version and a few before.
 * Another node is sent what differs from the version that it has, compressed;
 * the whole document only if that one is not kept here any more. No I/O.
 */
#ifndef LW_REVDOC_H
#define LW_REVDOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"
#include "status.h"

/* Versions that are kept: a node is rarely further behind. */
#define LW_REVDOC_VERSIONS 4
/* Encoded forms that are kept, as many nodes ask for the same one. */
#define LW_REVDOC_ENCODED 4
/* Longest document, in bytes; a peer that declares more is not believed. */
#define LW_REVDOC_MAX_BYTES (4u * 1024 * 1024)

typedef struct lw_revdoc_version {
	uint64_t version; /* 0: there is none */
	uint64_t hash; /* of the bytes */
	char *bytes;
	size_t len;
} lw_revdoc_version_t;

/* The newest version as it is sent to a node that has @base. */
typedef struct lw_revdoc_encoded {
	uint64_t version; /* 0: not in use */
	uint64_t base; /* hash of the version it is a difference against; 0: whole */
	uint64_t hash; /* of the document */
	size_t length; /* of the document */
	char *bytes;
	size_t len;
} lw_revdoc_encoded_t;

typedef struct lw_revdoc {
	lw_revdoc_version_t at[LW_REVDOC_VERSIONS]; /* the newest first */
	lw_revdoc_encoded_t encoded[LW_REVDOC_ENCODED];
	uint32_t next_encoded;
} lw_revdoc_t;

void lw_revdoc_free(lw_revdoc_t *d);
uint64_t lw_revdoc_version(const lw_revdoc_t *d);
uint64_t lw_revdoc_hash(const lw_revdoc_t *d);
lw_str_t lw_revdoc_text(const lw_revdoc_t *d);
bool lw_revdoc_put(lw_revdoc_t *d, uint64_t version, lw_str_t bytes);
const lw_revdoc_encoded_t *lw_revdoc_encode(lw_revdoc_t *d, uint64_t base);
lw_status_t lw_revdoc_decode(const lw_revdoc_t *d, const lw_revdoc_encoded_t *e, char **out);

#endif

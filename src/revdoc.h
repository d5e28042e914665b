/*
 * A document that all nodes of the fleet have, in its newest version and a few previous
 * ones. Another node is sent the compressed difference from the version that it has; it is
 * sent the whole document only if that version is no longer stored here. No I/O.
 */
#ifndef LW_REVDOC_H
#define LW_REVDOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lwstr.h"
#include "status.h"

/* Number of stored versions: a node is rarely further behind. */
#define LW_REVDOC_VERSIONS 4
/* Number of cached encoded forms, as many nodes request the same one. */
#define LW_REVDOC_ENCODED 4
/* Longest document, in bytes; a longer one declared by a peer is rejected. */
#define LW_REVDOC_MAX_BYTES (4u * 1024 * 1024)

typedef struct lw_revdoc_version {
	uint64_t version; /* 0: unused */
	uint64_t hash; /* of the content */
	char *bytes;
	size_t len;
} lw_revdoc_version_t;

/* The newest version, encoded for a node whose document has the hash @base. */
typedef struct lw_revdoc_encoded {
	uint64_t version; /* 0: unused */
	uint64_t base; /* hash of the version that it is the difference from; 0: whole document */
	uint64_t hash; /* of the document */
	size_t length; /* of the document */
	char *bytes;
	size_t len;
} lw_revdoc_encoded_t;

typedef struct lw_revdoc {
	lw_revdoc_version_t at[LW_REVDOC_VERSIONS]; /* newest first */
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

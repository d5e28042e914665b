/*
 * Fetching a document from another node, piece by piece: the next piece is asked
 * for when the one before has come, so that a large document never fills a
 * connection that carries requests. One fetch is under way at a time. Failures
 * it answers: the source falls silent or is lost, its document changes midway,
 * a piece comes late or twice. No I/O; the time is given.
 */
#ifndef LW_DOCFETCH_H
#define LW_DOCFETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "revdoc.h"

/* Bytes of one piece. */
#define LW_DOCFETCH_PIECE 16384u
/* Another source is asked when no piece has come for so long, us. */
#define LW_DOCFETCH_TIMEOUT_US 300000

/* What is asked of the source. */
typedef struct lw_docfetch_request {
	uint64_t version; /* that the asker has begun to fetch; 0: whatever is newest */
	uint64_t base; /* hash of the asker's own version; 0: it has none */
	size_t offset; /* in the encoded form */
} lw_docfetch_request_t;

/* A part of an encoded document. */
typedef struct lw_docfetch_piece {
	lw_revdoc_encoded_t of; /* without its bytes; len is that of all pieces */
	size_t offset;
	lw_str_t bytes;
} lw_docfetch_piece_t;

typedef enum lw_docfetch_result {
	LW_DOCFETCH_IGNORED, /* not what was asked for */
	LW_DOCFETCH_MORE, /* ask for the next piece */
	LW_DOCFETCH_DONE, /* the document is complete */
	LW_DOCFETCH_CORRUPT, /* it was not what it should be; the fetch is over */
} lw_docfetch_result_t;

typedef struct lw_docfetch {
	const void *source; /* asked now; NULL: no fetch is under way */
	const void *failed; /* the last one that did not answer */
	uint64_t request_us;
	bool without_base; /* differences did not fit: ask for all of it */
	uint64_t
		rejected_version; /* version that was whole and yet of no use here; it is not asked for again */
	lw_revdoc_encoded_t got; /* len: of what has come so far */
	size_t expected; /* length of the encoded form */
} lw_docfetch_t;

bool lw_docfetch_can_start(const lw_docfetch_t *f, uint64_t now_us);
void lw_docfetch_start(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d, uint64_t now_us,
		       lw_docfetch_request_t *ask);
lw_docfetch_result_t lw_docfetch_receive(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d,
					 const lw_docfetch_piece_t *piece, uint64_t now_us,
					 lw_docfetch_request_t *ask, char **out);
void lw_docfetch_source_lost(lw_docfetch_t *f, const void *source);
bool lw_docfetch_piece(lw_revdoc_t *d, const lw_docfetch_request_t *ask, lw_docfetch_piece_t *out);

#endif

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
#define LW_DOCFETCH_WAIT_US 300000

/* What is asked of the source. */
typedef struct lw_docfetch_ask {
	uint64_t version; /* that the asker has begun to fetch; 0: whatever is newest */
	uint64_t base; /* hash of the asker's own version; 0: it has none */
	size_t offset; /* in the encoded form */
} lw_docfetch_ask_t;

/* A part of an encoded document. */
typedef struct lw_docfetch_piece {
	lw_revdoc_encoded_t of; /* without its bytes; len is that of all pieces */
	size_t offset;
	lw_str_t bytes;
} lw_docfetch_piece_t;

typedef enum lw_docfetch_step {
	LW_DOCFETCH_IGNORED, /* not what was asked for */
	LW_DOCFETCH_MORE, /* ask for the next piece */
	LW_DOCFETCH_DONE, /* the document is complete */
	LW_DOCFETCH_SPOILED, /* it was not what it should be; the fetch is over */
} lw_docfetch_step_t;

typedef struct lw_docfetch {
	const void *source; /* asked now; NULL: no fetch is under way */
	const void *failed; /* the last one that did not answer */
	uint64_t asked_us;
	bool whole; /* differences did not fit: ask for all of it */
	uint64_t
		refused; /* version that was whole and yet of no use here; it is not asked for again */
	lw_revdoc_encoded_t got; /* len: of what has come so far */
	size_t expected; /* length of the encoded form */
} lw_docfetch_t;

bool lw_docfetch_may_begin(const lw_docfetch_t *f, uint64_t now_us);
void lw_docfetch_begin(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d, uint64_t now_us,
		       lw_docfetch_ask_t *ask);
lw_docfetch_step_t lw_docfetch_take(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d,
				    const lw_docfetch_piece_t *piece, uint64_t now_us,
				    lw_docfetch_ask_t *ask, char **out);
void lw_docfetch_source_lost(lw_docfetch_t *f, const void *source);
bool lw_docfetch_piece(lw_revdoc_t *d, const lw_docfetch_ask_t *ask, lw_docfetch_piece_t *out);

#endif

/*
 * Transfer of a document from another node in chunks. The next chunk is requested only
 * after the previous one has arrived, so that a large document never fills a connection
 * that carries requests. One transfer per document is active at a time. Handles a source
 * that becomes silent or is lost, a document that changes during the transfer, and late or
 * duplicate chunks. No I/O; the caller passes the time.
 */
#ifndef LW_DOCFETCH_H
#define LW_DOCFETCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "revdoc.h"

/* Maximum size of one chunk, in bytes. */
#define LW_DOCFETCH_PIECE 16384u
/* Another source may be used after this time without a chunk, in us. */
#define LW_DOCFETCH_TIMEOUT_US 300000

/* Request for a chunk, sent to the source. */
typedef struct lw_docfetch_request {
	uint64_t version; /* version whose transfer has started; 0: the newest */
	uint64_t base; /* hash of the version that the requester has; 0: none */
	size_t offset; /* offset in the encoded form */
} lw_docfetch_request_t;

/* A chunk of an encoded document. */
typedef struct lw_docfetch_chunk {
	/* the document without its bytes; len is the total encoded length */
	lw_revdoc_encoded_t of;
	size_t offset;
	lw_str_t bytes;
} lw_docfetch_chunk_t;

typedef enum lw_docfetch_result {
	LW_DOCFETCH_IGNORED, /* not the requested chunk */
	LW_DOCFETCH_MORE, /* request the next chunk */
	LW_DOCFETCH_DONE, /* the document is complete */
	LW_DOCFETCH_CORRUPT, /* the document is corrupt; the transfer is aborted */
} lw_docfetch_result_t;

typedef struct lw_docfetch {
	const void *source; /* current source; NULL: no transfer is active */
	const void *failed; /* the last source that did not answer */
	uint64_t request_us;
	bool without_base; /* decoding the difference failed: request the whole document */
	/* complete version that this node could not use; it is not requested again */
	uint64_t rejected_version;
	lw_revdoc_encoded_t got; /* the data received so far; len is its length */
	size_t expected; /* length of the encoded form */
} lw_docfetch_t;

bool lw_docfetch_can_start(const lw_docfetch_t *f, uint64_t now_us);
void lw_docfetch_start(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d, uint64_t now_us,
		       lw_docfetch_request_t *request);
lw_docfetch_result_t lw_docfetch_receive(lw_docfetch_t *f, const void *source, const lw_revdoc_t *d,
					 const lw_docfetch_chunk_t *piece, uint64_t now_us,
					 lw_docfetch_request_t *request, char **out);
void lw_docfetch_source_lost(lw_docfetch_t *f, const void *source);
bool lw_docfetch_chunk(lw_revdoc_t *d, const lw_docfetch_request_t *request,
		       lw_docfetch_chunk_t *out);

#endif

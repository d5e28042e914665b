/* Versioned documents and their differences; see revdoc.h. */
#include "revdoc.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <zstd.h>

#include "xalloc.h"

#define ZSTD_LEVEL     3
#define WINDOW_LOG_MIN 10

static uint64_t hash_of(const char *bytes, size_t len)
{
	uint64_t hash = XXH3_64bits(bytes, len);

	return hash ? hash : 1;
}

static void version_free(lw_revdoc_version_t *v)
{
	free(v->bytes);
	memset(v, 0, sizeof(*v));
}

static void encoded_free(lw_revdoc_encoded_t *e)
{
	free(e->bytes);
	memset(e, 0, sizeof(*e));
}

static void forget_encoded(lw_revdoc_t *d)
{
	for (size_t i = 0; i < LW_REVDOC_ENCODED; i++)
		encoded_free(&d->encoded[i]);
}

/* lw_revdoc_free() - release all versions; the document is empty afterwards. */
void lw_revdoc_free(lw_revdoc_t *d)
{
	for (size_t i = 0; i < LW_REVDOC_VERSIONS; i++)
		version_free(&d->at[i]);
	forget_encoded(d);
}

/* lw_revdoc_version() - the newest version; 0 if there is none. */
uint64_t lw_revdoc_version(const lw_revdoc_t *d)
{
	return d->at[0].version;
}

/* lw_revdoc_hash() - hash of the newest version's content; 0 if there is none. */
uint64_t lw_revdoc_hash(const lw_revdoc_t *d)
{
	return d->at[0].hash;
}

/* lw_revdoc_text() - content of the newest version, valid until the next put. */
lw_str_t lw_revdoc_text(const lw_revdoc_t *d)
{
	return (lw_str_t){ d->at[0].bytes, d->at[0].len };
}

/*
 * lw_revdoc_put() - store @bytes as the document's content from @version on. False if the
 * version is not newer, or if the content is the same and only the number is newer.
 */
bool lw_revdoc_put(lw_revdoc_t *d, uint64_t version, lw_str_t bytes)
{
	uint64_t hash = hash_of(bytes.ptr, bytes.len);

	if (version <= d->at[0].version)
		return false;
	forget_encoded(d);
	if (hash == d->at[0].hash) {
		d->at[0].version = version;
		return false;
	}
	version_free(&d->at[LW_REVDOC_VERSIONS - 1]);
	memmove(&d->at[1], &d->at[0], (LW_REVDOC_VERSIONS - 1) * sizeof(d->at[0]));
	d->at[0] = (lw_revdoc_version_t){ .version = version, .hash = hash, .len = bytes.len };
	d->at[0].bytes = xmalloc(bytes.len + 1);
	memcpy(d->at[0].bytes, bytes.ptr, bytes.len);
	d->at[0].bytes[bytes.len] = '\0';
	return true;
}

static const lw_revdoc_version_t *find_version(const lw_revdoc_t *d, uint64_t hash)
{
	for (size_t i = 0; hash && i < LW_REVDOC_VERSIONS; i++)
		if (d->at[i].hash == hash)
			return &d->at[i];
	return NULL;
}

/* the window must cover the whole base, or most matches with it would be missed */
static int window_log(size_t base_len, size_t len)
{
	int log = WINDOW_LOG_MIN;

	while (((size_t)1 << log) < base_len + len)
		log++;
	return log;
}

static void compress(const lw_revdoc_version_t *base, const lw_revdoc_version_t *v,
		     lw_revdoc_encoded_t *out)
{
	ZSTD_CCtx *c = ZSTD_createCCtx();
	size_t room = ZSTD_compressBound(v->len);
	size_t len;

	if (!c)
		abort();
	out->bytes = xmalloc(room);
	ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, ZSTD_LEVEL);
	ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog, window_log(base ? base->len : 0, v->len));
	if (base)
		ZSTD_CCtx_refPrefix(c, base->bytes, base->len);
	len = ZSTD_compress2(c, out->bytes, room, v->bytes, v->len);
	ZSTD_freeCCtx(c);
	out->len = ZSTD_isError(len) ? 0 : len;
	out->bytes = xrealloc(out->bytes, out->len + 1);
}

/*
 * lw_revdoc_encode() - the newest version, for a node whose document has the hash @base
 * (0: it has none). NULL if there is no version. Valid until the document changes or
 * LW_REVDOC_ENCODED other forms are requested.
 */
const lw_revdoc_encoded_t *lw_revdoc_encode(lw_revdoc_t *d, uint64_t base)
{
	const lw_revdoc_version_t *old = find_version(d, base);
	lw_revdoc_encoded_t *e;

	if (!d->at[0].version)
		return NULL;
	base = old ? base : 0;
	for (size_t i = 0; i < LW_REVDOC_ENCODED; i++)
		if (d->encoded[i].version == d->at[0].version && d->encoded[i].base == base)
			return &d->encoded[i];
	e = &d->encoded[d->next_encoded++ % LW_REVDOC_ENCODED];
	encoded_free(e);
	e->version = d->at[0].version;
	e->base = base;
	e->hash = d->at[0].hash;
	e->length = d->at[0].len;
	compress(old, &d->at[0], e);
	return e;
}

static size_t decompress(const lw_revdoc_version_t *base, const lw_revdoc_encoded_t *e, char *out)
{
	ZSTD_DCtx *c = ZSTD_createDCtx();
	size_t len;

	if (!c)
		abort();
	if (base)
		ZSTD_DCtx_refPrefix(c, base->bytes, base->len);
	len = ZSTD_decompressDCtx(c, out, e->length, e->bytes, e->len);
	ZSTD_freeDCtx(c);
	return ZSTD_isError(len) ? SIZE_MAX : len;
}

/*
 * lw_revdoc_decode() - decode @e as received from another node. The document is returned
 * in @out, terminated by a zero byte; free() it. LW_ERR_PROTO if @e is corrupted or too
 * long, or is the difference from a version that is not stored here.
 */
lw_status_t lw_revdoc_decode(const lw_revdoc_t *d, const lw_revdoc_encoded_t *e, char **out)
{
	const lw_revdoc_version_t *base = find_version(d, e->base);
	char *bytes;

	if (e->base && !base)
		return lw_error(
			LW_ERR_PROTO,
			"document %llu: its base version is not stored here; request the whole document",
			(unsigned long long)e->version);
	if (e->length > LW_REVDOC_MAX_BYTES)
		return lw_error(LW_ERR_PROTO,
				"document %llu: length of %zu bytes exceeds the limit",
				(unsigned long long)e->version, e->length);
	bytes = xmalloc(e->length + 1);
	if (decompress(base, e, bytes) != e->length || hash_of(bytes, e->length) != e->hash) {
		free(bytes);
		return lw_error(LW_ERR_PROTO,
				"document %llu is corrupted; request the whole document",
				(unsigned long long)e->version);
	}
	bytes[e->length] = '\0';
	*out = bytes;
	return LW_OK;
}

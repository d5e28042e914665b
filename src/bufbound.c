/* Account of the bytes that wait in buffers; see bufbound.h. */
#include "bufbound.h"

#include "bytebuf.h"

/* shares of the memory of the process */
#define SHORT_SHARE 8
#define FULL_SHARE  4

/* lw_bufbound_level() - state of the buffers of a process that may use @memory_mb MiB. */
lw_bufbound_t lw_bufbound_level(uint32_t memory_mb)
{
	size_t memory = (size_t)memory_mb << 20;
	size_t held = lw_bytebuf_total();

	if (held > memory / FULL_SHARE)
		return LW_BUFBOUND_FULL;
	return held > memory / SHORT_SHARE ? LW_BUFBOUND_SHORT : LW_BUFBOUND_FREE;
}

/*
 * lw_bufbound_body() - how many bytes of the body of a request may be buffered; @free_bytes while the
 * buffers are neither short nor full.
 */
size_t lw_bufbound_body(uint32_t memory_mb, size_t free_bytes)
{
	return lw_bufbound_level(memory_mb) == LW_BUFBOUND_FREE ? free_bytes :
								  LW_BUFBOUND_LEAST_BYTES;
}

/*
 * lw_bufbound_admits() - whether a new request with a body of @body_length bytes (-1: unknown) may be
 * accepted. Requests with small bodies are served for longer, as callers that send large ones cause
 * the shortage.
 */
bool lw_bufbound_admits(uint32_t memory_mb, int64_t body_length)
{
	bool small = body_length >= 0 && body_length <= LW_BUFBOUND_SMALL_BYTES;

	return lw_bufbound_level(memory_mb) < (small ? LW_BUFBOUND_FULL : LW_BUFBOUND_SHORT);
}

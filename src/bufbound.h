/*
 * One account of the bytes that wait in buffers of this process, for all connections together: a
 * bound for each connection is none for the process, which ends when it exceeds its memory.
 */
#ifndef LW_BUFBOUND_H
#define LW_BUFBOUND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum lw_bufbound {
	LW_BUFBOUND_FREE,
	/* callers' requests with large bodies are refused, and accepted ones are read in small parts */
	LW_BUFBOUND_SHORT,
	/* all new requests of callers are refused */
	LW_BUFBOUND_FULL,
} lw_bufbound_t;

/* bytes that each connection may buffer of a body or of further requests if the buffers are short */
#define LW_BUFBOUND_LEAST_BYTES 4096
/* a request with a longer body is large */
#define LW_BUFBOUND_SMALL_BYTES 16384

lw_bufbound_t lw_bufbound_level(uint32_t memory_mb);
size_t lw_bufbound_body(uint32_t memory_mb, size_t free_bytes);
bool lw_bufbound_admits(uint32_t memory_mb, int64_t body_length);

#endif

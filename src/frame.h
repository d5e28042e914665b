/*
 * Frames between nodes: a 4-byte big-endian length, followed by one protobuf-c encoded
 * Lw__Frame (proto/lw.proto). Frames above LW_FRAME_MAX are rejected, so that a corrupt
 * length cannot make a node allocate gigabytes.
 */
#ifndef LW_FRAME_H
#define LW_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "lw.pb-c.h"
#include "status.h"

#define LW_FRAME_MAX (2u * 1024 * 1024)

size_t lw_frame_encode(const Lw__Frame *f, uint8_t **buf);
lw_status_t lw_frame_decode(const uint8_t *buf, size_t len, Lw__Frame **out);
lw_status_t lw_frame_write(int fd, const Lw__Frame *f);
lw_status_t lw_frame_read(int fd, int idle_ms, int frame_ms, Lw__Frame **out);
void lw_frame_free(Lw__Frame *f);

#endif

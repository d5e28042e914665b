/* Length-prefixed protobuf-c frames over TCP; see frame.h. */
#include "frame.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "linux/clock.h"
#include "xalloc.h"

/*
 * lw_frame_encode() - encodes @f with its length prefix into a new buffer. Returns the
 * number of bytes; the caller frees *@buf.
 */
size_t lw_frame_encode(const Lw__Frame *f, uint8_t **buf)
{
	size_t n = lw__frame__get_packed_size(f);
	uint8_t *b = xmalloc(n + 4);

	b[0] = (uint8_t)(n >> 24);
	b[1] = (uint8_t)(n >> 16);
	b[2] = (uint8_t)(n >> 8);
	b[3] = (uint8_t)n;
	lw__frame__pack(f, b + 4);
	*buf = b;
	return n + 4;
}

/*
 * lw_frame_decode() - decodes one frame body (without the prefix). Returns LW_ERR_PROTO if
 * the bytes are not a frame or the frame has no body.
 */
lw_status_t lw_frame_decode(const uint8_t *buf, size_t len, Lw__Frame **out)
{
	Lw__Frame *f;

	*out = NULL;
	if (len > LW_FRAME_MAX)
		return lw_error(LW_ERR_PROTO,
				"frame of %zu bytes exceeds the limit; check the peer's version",
				len);
	f = lw__frame__unpack(NULL, len, buf);
	if (!f)
		return lw_error(LW_ERR_PROTO,
				"frame does not decode; check that the peer runs lavenderward");
	if (f->body_case == LW__FRAME__BODY__NOT_SET) {
		lw__frame__free_unpacked(f, NULL);
		return lw_error(LW_ERR_PROTO, "frame has no body; check the peer's version");
	}
	*out = f;
	return LW_OK;
}

/* lw_frame_free() - releases a frame from lw_frame_decode() or lw_frame_read(). */
void lw_frame_free(Lw__Frame *f)
{
	if (f)
		lw__frame__free_unpacked(f, NULL);
}

static lw_status_t write_all(int fd, const uint8_t *p, size_t n)
{
	while (n) {
		ssize_t w = write(fd, p, n);

		if (w < 0 && errno == EINTR)
			continue;
		if (w <= 0)
			return lw_error(LW_ERR_IO, "write to peer failed: %s", strerror(errno));
		p += w;
		n -= (size_t)w;
	}
	return LW_OK;
}

/* lw_frame_write() - encodes and sends @f on the blocking socket @fd. */
lw_status_t lw_frame_write(int fd, const Lw__Frame *f)
{
	uint8_t *buf;
	size_t n = lw_frame_encode(f, &buf);
	lw_status_t st = write_all(fd, buf, n);

	free(buf);
	return st;
}

static lw_status_t wait_readable(int fd, uint64_t until_ms)
{
	for (;;) {
		uint64_t now = lw_now_ms();
		struct pollfd pfd = { .fd = fd, .events = POLLIN };
		int r = poll(&pfd, 1, until_ms > now ? (int)(until_ms - now) : 0);

		if (r > 0)
			return LW_OK;
		if (r == 0)
			return lw_error(LW_ERR_TIMEOUT, "peer sent no data before the timeout");
		if (errno != EINTR)
			return lw_error(LW_ERR_IO, "poll failed: %s", strerror(errno));
	}
}

static lw_status_t read_all(int fd, uint8_t *p, size_t n, uint64_t until_ms)
{
	while (n) {
		lw_status_t st = wait_readable(fd, until_ms);
		ssize_t got;

		if (st)
			return st;
		got = read(fd, p, n);
		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return lw_error(LW_ERR_IO, "peer closed the connection");
		p += got;
		n -= (size_t)got;
	}
	return LW_OK;
}

static lw_status_t read_started(int fd, uint64_t until_ms, Lw__Frame **out)
{
	uint8_t hdr[4] = { 0 };
	uint8_t *body;
	uint32_t n;
	lw_status_t st = read_all(fd, hdr, sizeof(hdr), until_ms);

	if (st)
		return st;
	n = (uint32_t)hdr[0] << 24 | (uint32_t)hdr[1] << 16 | (uint32_t)hdr[2] << 8 | hdr[3];
	if (n > LW_FRAME_MAX)
		return lw_error(LW_ERR_PROTO,
				"frame length %u exceeds the limit; check the peer's version", n);
	body = xmalloc(n);
	st = read_all(fd, body, n, until_ms);
	if (!st)
		st = lw_frame_decode(body, n, out);
	free(body);
	return st;
}

/*
 * lw_frame_read() - reads one frame from @fd.
 * @idle_ms: timeout for its first byte.
 * @frame_ms: timeout for the whole frame after its first byte.
 *
 * LW_ERR_TIMEOUT means that no byte arrived: the connection is still in sync and may be
 * read again. Any other error leaves it in the middle of a frame, so that late data would
 * be read as the start of another answer: close it.
 */
lw_status_t lw_frame_read(int fd, int idle_ms, int frame_ms, Lw__Frame **out)
{
	lw_status_t st;

	*out = NULL;
	st = wait_readable(fd, lw_now_ms() + (uint64_t)idle_ms);
	if (st)
		return st;
	st = read_started(fd, lw_now_ms() + (uint64_t)frame_ms, out);
	if (st == LW_ERR_TIMEOUT)
		return lw_error(LW_ERR_IO, "peer sent an incomplete frame before the timeout");
	return st;
}

/* TCP sockets; see sock.h. */
#include "sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "../settings.h"

/* a connection whose peer stops acknowledging fails after this long */
#define SOCK_USER_TIMEOUT_MS 2000
#define SOCK_SEND_TIMEOUT_S  3
/*
 * The same for a reader that may pause. The kernel counts a shut window like a
 * peer that is gone, although its probes are answered: callers that read nothing
 * for two seconds found their answers cut, and uploads to a server that did
 * ended 502.
 */
#define SOCK_PAUSE_TIMEOUT_MS 15000
/*
 * Connections waiting to be accepted. A full queue drops the opening packet,
 * which is sent again only after a second: as long as callers wait for one.
 */
#define SOCK_BACKLOG	 4096
#define SOCK_KEEPIDLE_S	 1
#define SOCK_KEEPINTVL_S 1
#define SOCK_KEEPCNT	 2

static lw_status_t to_sockaddr(const char *addr, struct sockaddr_in *sa)
{
	char host[LW_NAME_MAX];
	int port;
	lw_status_t st = lw_addr_split(addr, host, sizeof(host), &port);

	if (st)
		return st;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, host, &sa->sin_addr) != 1)
		return lw_error(LW_ERR_SETTINGS,
				"'%s' is not an IPv4 address; use an IP number, not a name", host);
	return LW_OK;
}

/* lw_sock_listen() - a listening TCP socket on "ip:port". */
lw_status_t lw_sock_listen(const char *addr, int *fd)
{
	struct sockaddr_in sa;
	int one = 1;
	lw_status_t st = to_sockaddr(addr, &sa);

	if (st)
		return st;
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return lw_error(LW_ERR_IO, "socket: %s", strerror(errno));
	setsockopt(*fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(*fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(*fd, SOCK_BACKLOG)) {
		st = lw_error(LW_ERR_IO, "cannot listen on %s: %s; choose a free port", addr,
			      strerror(errno));
		close(*fd);
		return st;
	}
	return LW_OK;
}

/*
 * lw_sock_tune() - options of a connection between nodes: no Nagle delay,
 * and every way a vanished peer could hang us is bounded (unacknowledged
 * data, a full send buffer, an idle connection whose other end is gone).
 */
void lw_sock_tune(int fd)
{
	int one = 1, ut = SOCK_USER_TIMEOUT_MS;
	int idle = SOCK_KEEPIDLE_S, intvl = SOCK_KEEPINTVL_S, cnt = SOCK_KEEPCNT;
	struct timeval snd = { .tv_sec = SOCK_SEND_TIMEOUT_S };

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ut, sizeof(ut));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &snd, sizeof(snd));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &intvl, sizeof(intvl));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &cnt, sizeof(cnt));
}

/* lw_sock_allow_pauses() - whether the reader at the other end of @fd may pause for seconds. */
void lw_sock_allow_pauses(int fd, bool allow)
{
	int ut = allow ? SOCK_PAUSE_TIMEOUT_MS : SOCK_USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ut, sizeof(ut));
}

/* lw_sock_peer() - the IP address at the other end of @fd; empty if it is not known. */
void lw_sock_peer(int fd, char *dst, size_t len)
{
	struct sockaddr_in sa = { 0 };
	socklen_t salen = sizeof(sa);

	dst[0] = '\0';
	if (getpeername(fd, (struct sockaddr *)&sa, &salen) || sa.sin_family != AF_INET)
		return;
	inet_ntop(AF_INET, &sa.sin_addr, dst, (socklen_t)len);
}

/*
 * lw_sock_accept() - a connection waiting on the listening socket @lfd, non-
 * blocking; -1 with errno set if there is none.
 */
int lw_sock_accept(int lfd)
{
	int fd = accept4(lfd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);

	if (fd >= 0)
		lw_sock_tune(fd);
	return fd;
}

/*
 * lw_sock_start_connect() - begin to connect to "ip:port" without waiting.
 * The socket is non-blocking; it turns writable when the outcome is known,
 * which lw_sock_connected() tells.
 */
lw_status_t lw_sock_start_connect(const char *addr, int *fd)
{
	struct sockaddr_in sa;
	lw_status_t st = to_sockaddr(addr, &sa);

	if (st)
		return st;
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (*fd < 0)
		return lw_error(LW_ERR_IO, "socket: %s; raise the descriptor limit",
				strerror(errno));
	lw_sock_tune(*fd);
	if (connect(*fd, (struct sockaddr *)&sa, sizeof(sa)) && errno != EINPROGRESS) {
		st = lw_error(LW_ERR_IO, "connect to %s: %s; is a process listening there?", addr,
			      strerror(errno));
		close(*fd);
		*fd = -1;
		return st;
	}
	return LW_OK;
}

/* lw_sock_nonblock() - calls on @fd never wait from now on. */
void lw_sock_nonblock(int fd)
{
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

/*
 * lw_sock_connect_error() - why the connection begun on @fd does not stand, as an
 * errno value; 0: it stands.
 */
int lw_sock_connect_error(int fd)
{
	int err = 0;
	socklen_t len = sizeof(err);

	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) ? errno : err;
}

/* lw_sock_connected() - true once the connection begun on @fd stands. */
bool lw_sock_connected(int fd)
{
	return lw_sock_connect_error(fd) == 0;
}

/*
 * lw_sock_abort() - close @fd and discard what was not sent yet. After an
 * ordinary close the kernel goes on sending, and a request given up on
 * could still reach its peer when a cut heals.
 */
void lw_sock_abort(int fd)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

/* lw_sock_stale() - true when an idle connection was closed or has stray bytes. */
bool lw_sock_stale(int fd)
{
	char c;
	ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/*
 * lw_sock_connect() - connect to "ip:port" within @timeout_ms. The socket
 * is blocking afterwards, with TCP_NODELAY and TCP_USER_TIMEOUT set so a
 * peer that vanishes fails writes instead of hanging them.
 */
lw_status_t lw_sock_connect(const char *addr, int timeout_ms, int *fd)
{
	struct sockaddr_in sa;
	struct pollfd pfd;
	int err = 0;
	socklen_t len = sizeof(err);
	lw_status_t st = to_sockaddr(addr, &sa);

	if (st)
		return st;
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (*fd < 0)
		return lw_error(LW_ERR_IO, "socket: %s", strerror(errno));
	if (connect(*fd, (struct sockaddr *)&sa, sizeof(sa)) && errno != EINPROGRESS)
		goto fail;
	pfd = (struct pollfd){ .fd = *fd, .events = POLLOUT };
	if (poll(&pfd, 1, timeout_ms) != 1) {
		errno = ETIMEDOUT;
		goto fail;
	}
	getsockopt(*fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		errno = err;
		goto fail;
	}
	fcntl(*fd, F_SETFL, fcntl(*fd, F_GETFL) & ~O_NONBLOCK);
	lw_sock_tune(*fd);
	return LW_OK;
fail:
	st = lw_error(LW_ERR_IO, "connect to %s: %s", addr, strerror(errno));
	close(*fd);
	*fd = -1;
	return st;
}

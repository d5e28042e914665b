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

/* a connection fails if its peer acknowledges nothing for this long */
#define SOCK_USER_TIMEOUT_MS 2000
#define SOCK_SEND_TIMEOUT_S  3
/*
 * Replaces SOCK_USER_TIMEOUT_MS for a peer that may stop reading for a while.
 * The kernel treats a closed receive window like a vanished peer, although its
 * probes are answered: callers that read nothing for two seconds got truncated
 * answers, and uploads to a server that paused ended with status 502.
 */
#define SOCK_PAUSE_TIMEOUT_MS 15000
/*
 * Largest number of connections that wait to be accepted. A full queue drops the
 * SYN packet, which is sent again only after a second, and callers wait no longer
 * than that for an answer.
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

/*
 * lw_sock_listen() - opens a listening TCP socket on "ip:port". LW_ERR_SETTINGS
 * for an invalid address, LW_ERR_IO if the socket cannot be opened.
 */
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
 * lw_sock_tune() - sets the options of a connection between nodes: no Nagle
 * delay, and a time limit for every way in which a vanished peer could block this
 * process (unacknowledged data, a full send buffer, an idle connection whose peer
 * is gone).
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

/*
 * lw_sock_allow_pauses() - sets whether the reader at the other end of @fd may
 * pause for seconds.
 */
void lw_sock_allow_pauses(int fd, bool allow)
{
	int ut = allow ? SOCK_PAUSE_TIMEOUT_MS : SOCK_USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ut, sizeof(ut));
}

/*
 * lw_sock_peer() - copies the IP address of the other end of @fd to @dst; empty
 * if unknown.
 */
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
 * lw_sock_accept() - accepts a connection on the listening socket @lfd. The new
 * socket is non-blocking; -1 with errno set if no connection waits.
 */
int lw_sock_accept(int lfd)
{
	int fd = accept4(lfd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);

	if (fd >= 0)
		lw_sock_tune(fd);
	return fd;
}

/*
 * lw_sock_accept_exhausted() - after lw_sock_accept() has failed: whether the process can take no
 * further connection for now. The listening socket stays readable all the while, so that waiting
 * for it would use up the processor.
 */
bool lw_sock_accept_exhausted(void)
{
	return errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
}

/*
 * lw_sock_start_connect() - starts to connect to "ip:port" without waiting. The
 * socket is non-blocking; it becomes writable when the result is known, which
 * lw_sock_connected() returns.
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

/* lw_sock_nonblock() - makes @fd non-blocking. */
void lw_sock_nonblock(int fd)
{
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

/*
 * lw_sock_connect_error() - the error of the connection attempt on @fd, as an
 * errno value; 0 if the connection is established.
 */
int lw_sock_connect_error(int fd)
{
	int err = 0;
	socklen_t len = sizeof(err);

	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) ? errno : err;
}

/* lw_sock_connected() - returns whether the connection attempt on @fd has succeeded. */
bool lw_sock_connected(int fd)
{
	return lw_sock_connect_error(fd) == 0;
}

/*
 * lw_sock_abort() - closes @fd and discards unsent data. After an ordinary close
 * the kernel would keep sending, and a request that was given up could still
 * reach its peer when a network partition ends.
 */
void lw_sock_abort(int fd)
{
	struct linger now = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

/*
 * lw_sock_stale() - returns whether an idle connection was closed by its peer or
 * has unexpected bytes to read.
 */
bool lw_sock_stale(int fd)
{
	char c;
	ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);

	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/*
 * lw_sock_connect() - connects to "ip:port" within @timeout_ms. The socket is
 * blocking afterwards, with TCP_NODELAY and TCP_USER_TIMEOUT set, so that writes
 * to a vanished peer fail instead of blocking forever.
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

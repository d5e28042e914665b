/* Orderly end of connections; see endconn.h. */
#include "endconn.h"

#include <errno.h>
#include <sys/socket.h>

#include "linux/sock.h"

/*
 * lw_endconn_send() - sends the last answer @last on @fd and ends its sending side. @fd stays
 * open, since closing it with unread bytes could take the answer away from its reader. Does not
 * wait: a peer that does not read gets no last answer.
 */
void lw_endconn_send(int fd, lw_str_t last)
{
	ssize_t n = send(fd, last.ptr, last.len, MSG_DONTWAIT | MSG_NOSIGNAL);

	(void)n;
	shutdown(fd, SHUT_WR);
}

/*
 * lw_endconn_listener() - passes each connection that waits on the listening socket @lfd to @fn
 * and ends the listening: connections that come later are refused. @lfd stays open; a thread that
 * is blocked in accept() on it returns.
 */
void lw_endconn_listener(int lfd, lw_endconn_fn fn, void *ctx)
{
	int fd;

	lw_sock_nonblock(lfd);
	while ((fd = lw_sock_accept(lfd)) >= 0 || errno == ECONNABORTED || errno == EINTR)
		if (fd >= 0)
			fn(ctx, fd);
	/* not close(): a thread that polls @lfd would keep the socket listening */
	shutdown(lfd, SHUT_RDWR);
}

/* TCP sockets addressed by IP, with the options for connections between nodes. */
#ifndef LW_LINUX_SOCK_H
#define LW_LINUX_SOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../status.h"

lw_status_t lw_sock_listen(const char *addr, int *fd);
lw_status_t lw_sock_connect(const char *addr, int timeout_ms, int *fd);
void lw_sock_peer(int fd, char *dst, size_t len);
int lw_sock_accept(int lfd);
bool lw_sock_accept_exhausted(void);
lw_status_t lw_sock_start_connect(const char *addr, int *fd);
void lw_sock_nonblock(int fd);
int lw_sock_connect_error(int fd);
bool lw_sock_connected(int fd);
void lw_sock_tune(int fd);
void lw_sock_allow_pauses(int fd, bool allow);
void lw_sock_abort(int fd);
bool lw_sock_stale(int fd);

#endif

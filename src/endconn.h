/*
 * The orderly end of the connections of a process that exits. A connection that the kernel has
 * accepted may hold a request that nobody has read: closing it resets it, and its sender cannot
 * know whether the request was executed. So each connection ends with a last answer, after which
 * the process executes nothing that arrives there.
 */
#ifndef LW_ENDCONN_H
#define LW_ENDCONN_H

#include "lwstr.h"

typedef void (*lw_endconn_fn)(void *ctx, int fd);

void lw_endconn_send(int fd, lw_str_t last);
void lw_endconn_listener(int lfd, lw_endconn_fn fn, void *ctx);

#endif

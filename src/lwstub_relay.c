/*
 * lwstub-relay: a stub of the network between two nodes, for failure tests. It
 * forwards TCP connections and injects network faults on signals. Neither end
 * of a connection is notified of them:
 *   SIGUSR1  open connections stop forwarding for good; new ones work
 *   SIGUSR2  starts or ends a partition. During a partition nothing is
 *            forwarded and new connections are accepted but stay silent;
 *            connections that were open at its start stay silent after its end
 */
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cli.h"
#include "linux/sock.h"
#include "log.h"
#include "xalloc.h"

#define RELAY_STACK	 (128 * 1024)
#define RELAY_POLL_MS	 50
#define RELAY_CONNECT_MS 500

typedef struct link {
	int near, far;
	unsigned epoch; /* of the relay at accept; the link is silent in later epochs */
} link_t;

static unsigned relay_epoch;
static unsigned relay_partitioned; /* 0 or 1 */
static const char *relay_target;

/* forward available data from @in to @out; false when @in has ended or a call failed */
static bool forward(int in, int out)
{
	char buf[16384];
	ssize_t n = read(in, buf, sizeof(buf));
	char *p = buf;

	if (n <= 0)
		return false;
	while (n > 0) {
		ssize_t w = write(out, p, (size_t)n);

		if (w <= 0)
			return false;
		p += w;
		n -= w;
	}
	return true;
}

static bool is_silent(const link_t *l)
{
	return l->epoch != __atomic_load_n(&relay_epoch, __ATOMIC_RELAXED);
}

static void *link_main(void *arg)
{
	link_t *l = arg;
	bool open = true;

	while (open) {
		struct pollfd p[2] = { { .fd = l->near, .events = POLLIN },
				       { .fd = l->far, .events = POLLIN } };

		if (is_silent(l)) {
			/* neither end is notified: both sockets stay open and are not read */
			pause();
			continue;
		}
		if (poll(p, 2, RELAY_POLL_MS) <= 0 || is_silent(l))
			continue;
		if (p[0].revents)
			open = forward(l->near, l->far);
		if (open && p[1].revents)
			open = forward(l->far, l->near);
	}
	close(l->near);
	close(l->far);
	free(l);
	return NULL;
}

static void accept_link(int near)
{
	link_t *l = xcalloc(1, sizeof(*l));
	pthread_attr_t attr;
	pthread_t t;

	l->near = near;
	l->epoch = __atomic_load_n(&relay_epoch, __ATOMIC_RELAXED);
	l->far = -1;
	if (__atomic_load_n(&relay_partitioned, __ATOMIC_RELAXED)) {
		free(l); /* the socket stays open and unread, as behind a partition */
		return;
	}
	if (lw_sock_connect(relay_target, RELAY_CONNECT_MS, &l->far)) {
		close(near);
		free(l);
		return;
	}
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, RELAY_STACK);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, link_main, l)) {
		close(l->near);
		close(l->far);
		free(l);
	}
	pthread_attr_destroy(&attr);
}

static void *accept_main(void *arg)
{
	int fd = *(int *)arg;

	for (;;) {
		int c = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (c >= 0)
			accept_link(c);
	}
	return NULL;
}

static void serve_signals(const sigset_t *set)
{
	int sig;

	while (sigwait(set, &sig) == 0) {
		if (sig != SIGUSR1 && sig != SIGUSR2)
			return;
		if (sig == SIGUSR2)
			__atomic_xor_fetch(&relay_partitioned, 1, __ATOMIC_RELAXED);
		__atomic_add_fetch(&relay_epoch, 1, __ATOMIC_RELAXED);
	}
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwstub-relay");
	struct arg_str *listen = arg_str0(NULL, "listen", "IP:PORT", "address to listen on");
	struct arg_str *to = arg_str0(NULL, "to", "IP:PORT", "address to forward connections to");
	void *table[] = { cli.help, cli.version, listen, to, cli.end };
	int rc = lw_cli_parse(&cli, argc, argv, table);
	pthread_t t;
	sigset_t set;
	int fd;

	lw_log_init("lwstub-relay", LOG_INFO);
	if (rc != LW_CLI_RUN)
		return rc;
	if (!listen->count || !to->count) {
		fprintf(stderr, "lwstub-relay: --listen and --to are required; see --help\n");
		return 2;
	}
	relay_target = to->sval[0];
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGUSR1);
	sigaddset(&set, SIGUSR2);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (lw_sock_listen(listen->sval[0], &fd)) {
		fprintf(stderr, "lwstub-relay: %s\n", lw_error_last());
		return 1;
	}
	pthread_create(&t, NULL, accept_main, &fd);
	lw_log(LW_LOG_started, "listen=%s to=%s", listen->sval[0], relay_target);
	serve_signals(&set);
	return 0;
}

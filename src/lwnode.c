/*
 * lwnode: the node beside a backend server, on its host. It reads its settings
 * file, applies overrides from the command line and runs the node until
 * SIGTERM, upon which it drains and exits.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli.h"
#include "log.h"
#include "node.h"
#include "settings.h"

static void override(char *dst, struct arg_str *a)
{
	if (a->count)
		snprintf(dst, LW_NAME_MAX, "%s", a->sval[0]);
}

/* wait for SIGTERM or SIGINT, or for the end of a drain started by `lwctl drain` */
static void wait_for_stop(lw_node_t *n, const sigset_t *set)
{
	const struct timespec second = { .tv_sec = 1 };

	for (;;) {
		int sig = sigtimedwait(set, NULL, &second);

		if (sig > 0) {
			lw_log(LW_LOG_stopping, "signal=%d", sig);
			return;
		}
		if (lw_node_drained(n)) {
			lw_log(LW_LOG_stopping, "by=lwctl");
			return;
		}
	}
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwnode");
	struct arg_lit *events = arg_lit0(NULL, "events", "print the log event catalogue and exit");
	struct arg_file *config = arg_file0("c", "config", "FILE", "settings file (TOML)");
	struct arg_str *service =
		arg_str0(NULL, "service", "NAME", "service of the backend server");
	struct arg_str *zone = arg_str0(NULL, "zone", "NAME", "availability zone of this host");
	struct arg_str *listen =
		arg_str0(NULL, "listen", "IP:PORT", "HTTP address for callers and the backend");
	struct arg_str *peer =
		arg_str0(NULL, "peer-listen", "IP:PORT", "address for frames from other nodes");
	struct arg_str *advertise =
		arg_str0(NULL, "advertise", "IP:PORT", "this node's address in the host list");
	struct arg_str *admin =
		arg_str0(NULL, "admin", "IP:PORT", "address for metrics, status and drain");
	struct arg_str *backend =
		arg_str0(NULL, "backend", "IP:PORT", "address of the local backend server");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "requests that the backend server runs at once");
	struct arg_str *cfgsvc =
		arg_str0(NULL, "config-service", "IP:PORT", "address of the configuration service");
	struct arg_str *policy =
		arg_str0(NULL, "policy", "guard|naive", "reducer (naive: baseline)");
	struct arg_str *level = arg_str0(NULL, "log-level", "LEVEL", "error..debug");
	void *table[] = {
		cli.help,  cli.version, events,	 config, service, zone,	  listen, peer,
		advertise, admin,	backend, slots,	 cfgsvc,  policy, level,  cli.end
	};
	int rc = lw_cli_parse(&cli, argc, argv, table);
	lw_settings_t s;
	lw_node_t *n;
	sigset_t set;

	lw_log_init("lwnode", LOG_INFO);
	if (rc != LW_CLI_RUN)
		return rc;
	if (events->count) {
		lw_log_catalogue();
		return 0;
	}
	lw_settings_defaults(&s);
	if (config->count && lw_settings_load(config->filename[0], &s)) {
		lw_log(LW_LOG_settings_invalid, "why=\"%s\"", lw_error_last());
		return 2;
	}
	override(s.service, service);
	override(s.zone, zone);
	override(s.listen, listen);
	override(s.peer_listen, peer);
	override(s.advertise, advertise);
	override(s.admin, admin);
	override(s.backend, backend);
	override(s.config_service, cfgsvc);
	override(s.policy, policy);
	override(s.log_level, level);
	if (slots->count)
		s.backend_slots = (uint32_t)slots->ival[0];
	if (lw_settings_check(config->count ? config->filename[0] : "command line", &s)) {
		lw_log(LW_LOG_settings_invalid, "why=\"%s\"", lw_error_last());
		return 2;
	}
	lw_log_init("lwnode", lw_log_level_parse(s.log_level));
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (lw_node_start(&s, &n)) {
		lw_log(LW_LOG_settings_invalid, "why=\"%s\"", lw_error_last());
		return 1;
	}
	wait_for_stop(n, &set);
	lw_node_drain(n);
	rc = lw_node_wait(n);
	lw_log(rc ? LW_LOG_stopping : LW_LOG_drain_finished, "drained=%s", rc ? "timeout" : "yes");
	lw_node_stop(n);
	lw_log(LW_LOG_stopped, "service=%s", s.service);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}

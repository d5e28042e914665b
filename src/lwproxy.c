/*
 * lwproxy: the streaming node beside a backend server, on its host. It
 * accepts the requests that callers and the backend server send on that host
 * and forwards them to the nodes of the servers that can execute them.
 */
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "../platform/platform.h"
#include "cli.h"
#include "log.h"
#include "proxy.h"
#include "proxyset.h"

static lw_status_t load_settings(const char *path, lw_proxy_settings_t *set)
{
	if (!path)
		return lw_error(
			LW_ERR_ARGS,
			"no settings file; name it with --config or in the platform's environment");
	return lw_proxy_settings_load(path, set);
}

int main(int argc, char **argv)
{
	lw_cli_t cli = lw_cli_new("lwproxy");
	struct arg_file *config = arg_file0("c", "config", "FILE", "settings file (TOML)");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and exit");
	void *table[] = { cli.help, cli.version, config, check, cli.end };
	const char *path;
	/* static, as other threads still use the settings while the process exits */
	static lw_proxy_settings_t set;
	int rc;

	lw_proxy_mask_signals(SIG_BLOCK);
	rc = lw_cli_parse(&cli, argc, argv, table);
	lw_log_init("lwproxy", LOG_INFO);
	if (rc != LW_CLI_RUN)
		return rc;
	lw_proxy_settings_defaults(&set);
	path = config->count ? config->filename[0] : lw_default_platform.settings_path();
	if (load_settings(path, &set)) {
		lw_log(LW_LOG_settings_invalid, "why=\"%s\"", lw_error_last());
		return 2;
	}
	if (check->count) {
		printf("settings are valid\n");
		return 0;
	}
	lw_log_limit(set.log_request_lines);
	lw_log_start_writer(STDOUT_FILENO);
	if (lw_proxy_run(&set, path, &lw_default_platform)) {
		lw_log(LW_LOG_settings_invalid, "why=\"%s\"", lw_error_last());
		lw_log_flush();
		return 1;
	}
	return 0;
}

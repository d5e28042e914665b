/* Options common to all programs; see cli.h. */
#include "cli.h"

#include <stdio.h>

#include "version.h"

#define CLI_ERRORS_MAX 10

/* lw_cli_new() - the common options, to be put into the argtable of program @prog. */
lw_cli_t lw_cli_new(const char *prog)
{
	return (lw_cli_t){ .prog = prog,
			   .help = arg_lit0("h", "help", "print this help and exit"),
			   .version = arg_lit0(NULL, "version", "print the version and exit"),
			   .end = arg_end(CLI_ERRORS_MAX) };
}

/*
 * lw_cli_parse() - parse the command line into @table. Handles --help and
 * --version, even if other arguments are wrong. Returns LW_CLI_RUN or the exit
 * status: 0 after --help or --version, 2 for a wrong command line.
 */
int lw_cli_parse(const lw_cli_t *cli, int argc, char **argv, void **table)
{
	int errors = arg_parse(argc, argv, table);

	if (cli->help->count) {
		printf("Usage: %s", cli->prog);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-32s %s\n");
		return 0;
	}
	if (cli->version->count) {
		printf("%s %s\n", cli->prog, LW_VERSION);
		return 0;
	}
	if (errors == 0)
		return LW_CLI_RUN;
	arg_print_errors(stderr, cli->end, cli->prog);
	fprintf(stderr, "try '%s --help'\n", cli->prog);
	return 2;
}

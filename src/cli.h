/*
 * Command-line parsing common to all programs, by argtable2, with --help and
 * --version.
 */
#ifndef LW_CLI_H
#define LW_CLI_H

#include <argtable2.h>

#define LW_CLI_RUN (-1) /* run the program; any other value is the exit status */

typedef struct lw_cli {
	const char *prog;
	struct arg_lit *help, *version;
	struct arg_end *end;
} lw_cli_t;

lw_cli_t lw_cli_new(const char *prog);
int lw_cli_parse(const lw_cli_t *cli, int argc, char **argv, void **table);

#endif

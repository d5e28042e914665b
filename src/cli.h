/*
 * The part of a command line that every binary has: parsing by argtable2,
 * --help and --version.
 */
#ifndef LW_CLI_H
#define LW_CLI_H

#include <argtable2.h>

#define LW_CLI_RUN (-1) /* go on; any other value is the exit status */

typedef struct lw_cli {
	const char *prog;
	struct arg_lit *help, *version;
	struct arg_end *end;
} lw_cli_t;

lw_cli_t lw_cli_new(const char *prog);
int lw_cli_parse(const lw_cli_t *cli, int argc, char **argv, void **table);

#endif

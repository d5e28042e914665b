/* libFuzzer target: the parser of the platform configuration document. */
#include <stddef.h>
#include <stdint.h>

#include "platconf.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	lw_platconf_t *pc;

	if (lw_platconf_parse((const char *)data, len, &pc) == 0) {
		lw_platconf_route(pc, lw_str_c("a/b"));
		lw_platconf_free(pc);
	}
	return 0;
}

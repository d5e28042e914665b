/* libFuzzer target: the parser of the node settings file. */
#include <stddef.h>
#include <stdint.h>

#include "settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	lw_settings_t s;

	lw_settings_defaults(&s);
	lw_settings_parse("fuzz", (const char *)data, len, &s);
	return 0;
}

/* Speed of the machine of a backend server; see machine.h. */
#include "machine.h"

#include <stdlib.h>
#include <string.h>

/* reported values outside this range are treated as unknown, percent */
#define PERCENT_MIN 10
#define PERCENT_MAX 10000

/* lw_machine_valid() - whether @percent can be the speed of a machine. */
bool lw_machine_valid(uint32_t percent)
{
	return percent >= PERCENT_MIN && percent <= PERCENT_MAX;
}

/* the decimal number @text, which nothing may follow; 0 if it is none */
static uint32_t parse(const char *text)
{
	size_t digits = strspn(text, "0123456789");

	if (!digits || digits > strlen("10000") || text[digits + strspn(text + digits, " \t")])
		return 0;
	return (uint32_t)strtoul(text, NULL, 10);
}

/*
 * lw_machine_learn() - the server reported @text. Returns false if that is no
 * valid value; the speed is unknown then.
 */
bool lw_machine_learn(lw_machine_t *m, const char *text, uint64_t now_us)
{
	uint32_t percent = parse(text + strspn(text, " \t"));
	bool valid = lw_machine_valid(percent);

	m->percent = valid ? percent : 0;
	m->reported_us = now_us;
	return valid;
}

/* lw_machine_percent() - the speed reported last; 0 if that is unknown or too old. */
uint32_t lw_machine_percent(const lw_machine_t *m, uint64_t now_us)
{
	return now_us - m->reported_us < LW_MACHINE_STALE_US ? m->percent : 0;
}

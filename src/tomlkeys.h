/* Settings read from TOML by a table of keys into a plain struct. */
#ifndef LW_TOMLKEYS_H
#define LW_TOMLKEYS_H

#include <stddef.h>
#include <stdint.h>

#include "name.h"
#include "platconf.h"
#include "status.h"

typedef enum lw_key_kind {
	LW_KEY_NAME, /* char[LW_NAME_MAX], 1 to 63 bytes: an address, a short word */
	LW_KEY_TEXT, /* const char *, interned, of any length but 0 */
	LW_KEY_U32,
	LW_KEY_DOUBLE,
	LW_KEY_NAMES, /* lw_names_t */
} lw_key_kind_t;

/* Most names in a list of names. */
#define LW_NAMES_MAX 8

/* A list of names. */
typedef struct lw_names {
	uint32_t n;
	char at[LW_NAMES_MAX][LW_NAME_MAX];
} lw_names_t;

typedef struct lw_key_spec {
	const char *table;
	const char *key;
	lw_key_kind_t kind;
	size_t off; /* offset of the field in the struct to fill */
} lw_key_spec_t;

lw_status_t lw_tomlkeys_parse(const char *name, const char *text, size_t len,
			      const lw_key_spec_t *keys, size_t nkeys, void *into);
lw_status_t lw_tomlkeys_load(const char *path, const lw_key_spec_t *keys, size_t nkeys, void *into);

#endif

/*
 * C interface to a parsed TOML document. tomlshim.cc parses with toml++ (a
 * header-only C++ library), because Debian 12 has no package of a C library for
 * TOML; see docs/DESIGN.md.
 */
#ifndef LW_TOMLSHIM_H
#define LW_TOMLSHIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct lw_toml_doc lw_toml_doc_t;
typedef struct lw_toml_node lw_toml_node_t;

typedef enum lw_toml_type {
	LW_TOML_NONE = 0,
	LW_TOML_TABLE,
	LW_TOML_ARRAY,
	LW_TOML_STRING,
	LW_TOML_INT,
	LW_TOML_FLOAT,
	LW_TOML_BOOL,
	LW_TOML_OTHER,
} lw_toml_type_t;

typedef void (*lw_toml_each_fn)(const char *key, size_t keylen, const lw_toml_node_t *val,
				void *ctx);

lw_toml_doc_t *lw_toml_parse(const char *text, size_t len, char *err, size_t errlen);
void lw_toml_free(lw_toml_doc_t *doc);
const lw_toml_node_t *lw_toml_root(const lw_toml_doc_t *doc);
const lw_toml_node_t *lw_toml_get(const lw_toml_node_t *table, const char *key);
lw_toml_type_t lw_toml_type(const lw_toml_node_t *node);
int lw_toml_line(const lw_toml_node_t *node);
size_t lw_toml_len(const lw_toml_node_t *node);
const lw_toml_node_t *lw_toml_at(const lw_toml_node_t *array, size_t i);
void lw_toml_each(const lw_toml_node_t *table, lw_toml_each_fn fn, void *ctx);
bool lw_toml_str(const lw_toml_node_t *node, const char **ptr, size_t *len);
bool lw_toml_int(const lw_toml_node_t *node, int64_t *out);
bool lw_toml_float(const lw_toml_node_t *node, double *out);
bool lw_toml_bool(const lw_toml_node_t *node, bool *out);

#ifdef __cplusplus
}
#endif
#endif

/*
 * Reads settings by a table of keys. Unknown keys are errors: a typo in a key
 * would otherwise leave a default value in force unnoticed.
 */
#include "tomlkeys.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lwstr.h"
#include "tomlshim.h"
#include "xalloc.h"

/* most bytes read of a settings file; a real one is a screen or two of text */
#define SETTINGS_FILE_MAX (1024 * 1024)

struct walk {
	const char *name;
	const char *table;
	const lw_key_spec_t *keys;
	size_t nkeys;
	char *into;
	lw_status_t st;
};

static lw_status_t set_u32(const struct walk *w, const lw_key_spec_t *k, const lw_toml_node_t *v)
{
	int64_t n;

	if (!lw_toml_int(v, &n) || n < 0 || n > UINT32_MAX)
		return lw_error(
			LW_ERR_SETTINGS,
			"%s line %d: [%s] %s must be a whole number >= 0; write e.g. %s = 16",
			w->name, lw_toml_line(v), k->table, k->key, k->key);
	*(uint32_t *)(void *)(w->into + k->off) = (uint32_t)n;
	return LW_OK;
}

static lw_status_t set_double(const struct walk *w, const lw_key_spec_t *k, const lw_toml_node_t *v)
{
	double *field = (double *)(void *)(w->into + k->off);
	int64_t n;

	if (lw_toml_float(v, field))
		return LW_OK;
	if (!lw_toml_int(v, &n))
		return lw_error(LW_ERR_SETTINGS,
				"%s line %d: [%s] %s must be a number; write e.g. %s = 2.5",
				w->name, lw_toml_line(v), k->table, k->key, k->key);
	*field = (double)n;
	return LW_OK;
}

static lw_status_t set_name(const struct walk *w, const lw_key_spec_t *k, const lw_toml_node_t *v)
{
	lw_str_t str;

	if (!lw_toml_str(v, &str.ptr, &str.len) || str.len == 0 || str.len >= LW_NAME_MAX)
		return lw_error(
			LW_ERR_SETTINGS,
			"%s line %d: [%s] %s must be a quoted string of 1..63 bytes; quote it",
			w->name, lw_toml_line(v), k->table, k->key);
	lw_str_copy(w->into + k->off, LW_NAME_MAX, str);
	return LW_OK;
}

static lw_status_t set_text(const struct walk *w, const lw_key_spec_t *k, const lw_toml_node_t *v)
{
	lw_str_t str;

	if (!lw_toml_str(v, &str.ptr, &str.len) || str.len == 0)
		return lw_error(LW_ERR_SETTINGS,
				"%s line %d: [%s] %s must be a quoted string; quote it", w->name,
				lw_toml_line(v), k->table, k->key);
	*(const char **)(void *)(w->into + k->off) = lw_name(str);
	return LW_OK;
}

/* a longer list is cut: the names are alternatives */
static lw_status_t set_names(const struct walk *w, const lw_key_spec_t *k, const lw_toml_node_t *v)
{
	lw_names_t *names = (lw_names_t *)(void *)(w->into + k->off);
	lw_str_t str;

	names->n = 0;
	for (size_t i = 0; i < lw_toml_len(v) && i < LW_NAMES_MAX; i++) {
		if (!lw_toml_str(lw_toml_at(v, i), &str.ptr, &str.len) || str.len >= LW_NAME_MAX)
			break;
		lw_str_copy(names->at[names->n++], LW_NAME_MAX, str);
	}
	if (lw_toml_type(v) == LW_TOML_ARRAY &&
	    (names->n == lw_toml_len(v) || names->n == LW_NAMES_MAX))
		return LW_OK;
	return lw_error(
		LW_ERR_SETTINGS,
		"%s line %d: [%s] %s must be a list of strings of up to 63 bytes; write e.g. "
		"%s = [\"a\", \"b\"]",
		w->name, lw_toml_line(v), k->table, k->key, k->key);
}

static lw_status_t set_key(const struct walk *w, const lw_key_spec_t *k, const lw_toml_node_t *v)
{
	switch (k->kind) {
	case LW_KEY_U32:
		return set_u32(w, k, v);
	case LW_KEY_DOUBLE:
		return set_double(w, k, v);
	case LW_KEY_NAMES:
		return set_names(w, k, v);
	case LW_KEY_TEXT:
		return set_text(w, k, v);
	case LW_KEY_NAME:
		break;
	}
	return set_name(w, k, v);
}

static void key_cb(const char *key, size_t keylen, const lw_toml_node_t *val, void *ctx)
{
	struct walk *w = ctx;
	lw_str_t k = { key, keylen };

	if (w->st)
		return;
	for (size_t i = 0; i < w->nkeys; i++)
		if (strcmp(w->keys[i].table, w->table) == 0 && lw_str_eq_c(k, w->keys[i].key)) {
			w->st = set_key(w, &w->keys[i], val);
			return;
		}
	w->st = lw_error(LW_ERR_SETTINGS,
			 "%s line %d: unknown key [%s] %.*s; remove it or fix its spelling",
			 w->name, lw_toml_line(val), w->table, (int)keylen, key);
}

static void table_cb(const char *key, size_t keylen, const lw_toml_node_t *val, void *ctx)
{
	struct walk *w = ctx;
	lw_str_t t = { key, keylen };

	if (w->st)
		return;
	w->table = NULL;
	for (size_t i = 0; i < w->nkeys && !w->table; i++)
		if (lw_str_eq_c(t, w->keys[i].table))
			w->table = w->keys[i].table;
	if (!w->table || lw_toml_type(val) != LW_TOML_TABLE) {
		w->st = lw_error(LW_ERR_SETTINGS,
				 "%s line %d: unknown table [%.*s]; remove it or fix its spelling",
				 w->name, lw_toml_line(val), (int)keylen, key);
		return;
	}
	lw_toml_each(val, key_cb, w);
}

/*
 * lw_tomlkeys_parse() - applies the TOML @text (named @name in messages) to the
 * struct @into. LW_ERR_SETTINGS with a message that names file, line, key and
 * remedy.
 */
lw_status_t lw_tomlkeys_parse(const char *name, const char *text, size_t len,
			      const lw_key_spec_t *keys, size_t nkeys, void *into)
{
	char err[256];
	lw_toml_doc_t *doc = lw_toml_parse(text, len, err, sizeof(err));
	struct walk w = { name, NULL, keys, nkeys, into, LW_OK };

	if (!doc)
		return lw_error(LW_ERR_SETTINGS, "%s: not TOML: %s; fix the syntax there", name,
				err);
	lw_toml_each(lw_toml_root(doc), table_cb, &w);
	lw_toml_free(doc);
	return w.st;
}

/*
 * lw_tomlkeys_load() - reads the file at @path and applies it to @into, like
 * lw_tomlkeys_parse().
 */
lw_status_t lw_tomlkeys_load(const char *path, const lw_key_spec_t *keys, size_t nkeys, void *into)
{
	FILE *f = fopen(path, "rb");
	char *buf;
	size_t n;
	lw_status_t st;

	if (!f)
		return lw_error(LW_ERR_SETTINGS, "%s: cannot open: %s; set the path with --config",
				path, strerror(errno));
	buf = xmalloc(SETTINGS_FILE_MAX);
	n = fread(buf, 1, SETTINGS_FILE_MAX, f);
	fclose(f);
	st = lw_tomlkeys_parse(path, buf, n, keys, nkeys, into);
	free(buf);
	return st;
}

// The one C++ file: a C-callable view of toml++ (docs/DESIGN.md says why).
#include "tomlshim.h"

#include <cstdio>
#include <cstring>
#include <new>
#include <string_view>
#include <toml++/toml.h>

struct lw_toml_doc {
	toml::table root;
};

static const toml::node *N(const lw_toml_node_t *n)
{
	return reinterpret_cast<const toml::node *>(n);
}

static const lw_toml_node_t *C(const toml::node *n)
{
	return reinterpret_cast<const lw_toml_node_t *>(n);
}

// lw_toml_parse() - parse @len bytes of @text; NULL on error with "line N: why"
// written to @err.
extern "C" lw_toml_doc_t *lw_toml_parse(const char *text, size_t len, char *err, size_t errlen)
{
	try {
		auto *doc = new (std::nothrow) lw_toml_doc;
		if (!doc) {
			snprintf(err, errlen, "out of memory");
			return nullptr;
		}
		doc->root = toml::parse(std::string_view(text, len));
		return doc;
	} catch (const toml::parse_error &e) {
		snprintf(err, errlen, "line %u column %u: %.*s",
			 (unsigned)e.source().begin.line, (unsigned)e.source().begin.column,
			 (int)e.description().size(), e.description().data());
	} catch (...) {
		snprintf(err, errlen, "unreadable TOML");
	}
	return nullptr;
}

// lw_toml_free() - release a document from lw_toml_parse().
extern "C" void lw_toml_free(lw_toml_doc_t *doc)
{
	delete doc;
}

// lw_toml_root() - the top-level table of @doc.
extern "C" const lw_toml_node_t *lw_toml_root(const lw_toml_doc_t *doc)
{
	return C(&doc->root);
}

// lw_toml_get() - the value under @key of @table, or NULL.
extern "C" const lw_toml_node_t *lw_toml_get(const lw_toml_node_t *table, const char *key)
{
	if (!table || !N(table)->is_table())
		return nullptr;
	return C(N(table)->as_table()->get(key));
}

// lw_toml_type() - what kind of value @node is; LW_TOML_NONE for NULL.
extern "C" lw_toml_type_t lw_toml_type(const lw_toml_node_t *node)
{
	if (!node)
		return LW_TOML_NONE;
	switch (N(node)->type()) {
	case toml::node_type::table:
		return LW_TOML_TABLE;
	case toml::node_type::array:
		return LW_TOML_ARRAY;
	case toml::node_type::string:
		return LW_TOML_STRING;
	case toml::node_type::integer:
		return LW_TOML_INT;
	case toml::node_type::floating_point:
		return LW_TOML_FLOAT;
	case toml::node_type::boolean:
		return LW_TOML_BOOL;
	default:
		return LW_TOML_OTHER;
	}
}

// lw_toml_line() - the source line where @node starts, 0 if unknown.
extern "C" int lw_toml_line(const lw_toml_node_t *node)
{
	return node ? (int)N(node)->source().begin.line : 0;
}

// lw_toml_len() - number of items of an array or keys of a table.
extern "C" size_t lw_toml_len(const lw_toml_node_t *node)
{
	if (!node)
		return 0;
	if (auto *a = N(node)->as_array())
		return a->size();
	if (auto *t = N(node)->as_table())
		return t->size();
	return 0;
}

// lw_toml_at() - item @i of an array, or NULL.
extern "C" const lw_toml_node_t *lw_toml_at(const lw_toml_node_t *array, size_t i)
{
	if (!array || !N(array)->is_array())
		return nullptr;
	return C(N(array)->as_array()->get(i));
}

// lw_toml_each() - call @fn for each key of @table in document order.
extern "C" void lw_toml_each(const lw_toml_node_t *table, lw_toml_each_fn fn, void *ctx)
{
	if (!table || !N(table)->is_table())
		return;
	for (auto &&[k, v] : *N(table)->as_table())
		fn(k.str().data(), k.str().size(), C(&v), ctx);
}

// lw_toml_str() - the bytes of a string value, not NUL-terminated.
extern "C" bool lw_toml_str(const lw_toml_node_t *node, const char **ptr, size_t *len)
{
	if (!node || !N(node)->is_string())
		return false;
	const std::string &s = N(node)->as_string()->get();
	*ptr = s.data();
	*len = s.size();
	return true;
}

// lw_toml_int() - an integer value.
extern "C" bool lw_toml_int(const lw_toml_node_t *node, int64_t *out)
{
	if (!node || !N(node)->is_integer())
		return false;
	*out = N(node)->as_integer()->get();
	return true;
}

// lw_toml_float() - a float value; integers are accepted too.
extern "C" bool lw_toml_float(const lw_toml_node_t *node, double *out)
{
	if (!node)
		return false;
	if (N(node)->is_floating_point()) {
		*out = N(node)->as_floating_point()->get();
		return true;
	}
	if (N(node)->is_integer()) {
		*out = (double)N(node)->as_integer()->get();
		return true;
	}
	return false;
}

// lw_toml_bool() - a boolean value.
extern "C" bool lw_toml_bool(const lw_toml_node_t *node, bool *out)
{
	if (!node || !N(node)->is_boolean())
		return false;
	*out = N(node)->as_boolean()->get();
	return true;
}

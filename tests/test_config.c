/* Tests of the configuration document and the node settings. */
#include <malloc.h>
#include <string.h>

#include "lwtest.h"
#include "platconf.h"
#include "settings.h"

static const char good_doc[] =
	"version = 3\npreset = \"peak\"\n"
	"[presets.peak]\nretry_budget = 1\nroutes = [ { route = \"a/b\", class = \"critical\", idempotent = false } ]\n"
	"[[hosts]]\nservice = \"a\"\nnode = \"127.0.0.1:1\"\nzone = \"hala-a\"\n";

static void config_good(void)
{
	lw_platconf_t *pc;

	CU_ASSERT_EQUAL_FATAL(lw_platconf_parse(good_doc, strlen(good_doc), &pc), LW_OK);
	CU_ASSERT_EQUAL(pc->version, 3);
	CU_ASSERT_STRING_EQUAL(pc->in_force->name, "peak");
	CU_ASSERT_EQUAL(pc->in_force->retry_budget, 1);
	CU_ASSERT_EQUAL(lw_platconf_route(pc, LW_STR("a/b"))->cls, LW_CLASS_CRITICAL);
	CU_ASSERT_FALSE(lw_platconf_route(pc, LW_STR("a/b"))->idempotent);
	lw_platconf_free(pc);
}

static void expect_bad(const char *doc, const char *words)
{
	lw_platconf_t *pc;

	CU_ASSERT_EQUAL(lw_platconf_parse(doc, strlen(doc), &pc), LW_ERR_CONFIG);
	CU_ASSERT_PTR_NULL(pc);
	CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), words));
}

/*
 * A typo in a published document must not put a node out of service, as applying
 * half of an invalid document would: the document is rejected as a whole, with a
 * message that names the key and the remedy.
 */
static void config_bad_refused_with_remedy(void)
{
	expect_bad("version = 0\npreset = \"x\"\n", "publish version = N");
	expect_bad("version = 1\npreset = \"x\"\n[presets.y]\n", "names no preset");
	expect_bad("version = 1\npreset = \"y\"\n[presets.y]\nretry_budget = 99\n",
		   "choose a value in range");
	expect_bad(
		"version = 1\npreset = \"y\"\n[presets.y]\nroutes = [ { route = \"a/b\", class = \"vip\" } ]\n",
		"use sheddable, default or critical");
	expect_bad(
		"version = 1\npreset = \"y\"\n[presets.y]\n[[hosts]]\nservice = \"a\"\nnode = \"x\"\nzone = \"z\"\n",
		"ip:port");
	expect_bad("version = [", "fix the syntax");
}

static void settings_checked(void)
{
	lw_settings_t s;
	const char good[] =
		"[node]\nservice = \"whois-svc\"\nzone = \"hala-a\"\nbackend_slots = 11\n";
	const char typo[] =
		"[node]\nservice = \"whois-svc\"\nzone = \"hala-a\"\nbackend_slot = 11\n";
	const char port[] = "[node]\nservice = \"s\"\nzone = \"z\"\nlisten = \"127.0.0.1:99999\"\n";

	lw_settings_defaults(&s);
	CU_ASSERT_EQUAL(lw_settings_parse("good.toml", good, strlen(good), &s), LW_OK);
	CU_ASSERT_EQUAL(s.backend_slots, 11);
	lw_settings_defaults(&s);
	CU_ASSERT_EQUAL(lw_settings_parse("typo.toml", typo, strlen(typo), &s), LW_ERR_SETTINGS);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(lw_error_last(), "typo.toml line 4: unknown key [node] backend_slot"));
	lw_settings_defaults(&s);
	CU_ASSERT_EQUAL(lw_settings_parse("port.toml", port, strlen(port), &s), LW_ERR_SETTINGS);
	CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), "1..65535"));
}

/*
 * A document that is not TOML and is read again and again must not leak memory:
 * the new document must be freed when the parser throws.
 */
static void broken_document_leaks_nothing(void)
{
	static const char broken[] = "version = = 3\n[presets";
	lw_platconf_t *pc;
	size_t before = mallinfo2().uordblks;

	for (int i = 0; i < 1000; i++)
		CU_ASSERT_EQUAL(lw_platconf_parse(broken, strlen(broken), &pc), LW_ERR_CONFIG);
	CU_ASSERT(mallinfo2().uordblks < before + 32 * 1024);
}

/*
 * One published document must not abort every node: the TOML library asserts on
 * stray characters in a table name; its asserts are turned into exceptions and
 * become parse errors.
 */
static void odd_table_names_refused(void)
{
	static const char nul[] = "version = 3\n[\0\0-node]\n";
	static const char symbol[] = "version = 3\n[ !node]\n";
	lw_platconf_t *pc;

	CU_ASSERT_EQUAL(lw_platconf_parse(nul, sizeof(nul) - 1, &pc), LW_ERR_CONFIG);
	CU_ASSERT_EQUAL(lw_platconf_parse(symbol, sizeof(symbol) - 1, &pc), LW_ERR_CONFIG);
	CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), "not TOML"));
}

/* Operators write comments in their own languages. */
static void letters_beyond_ascii_allowed(void)
{
	static const char doc[] = "# Szczyt: więcej rejestracji, පීක්\n"
				  "version = 3\npreset = \"szczyt\"\n[presets.szczyt]\n";
	lw_platconf_t *pc;

	CU_ASSERT_EQUAL_FATAL(lw_platconf_parse(doc, sizeof(doc) - 1, &pc), LW_OK);
	CU_ASSERT_STRING_EQUAL(pc->in_force->name, "szczyt");
	lw_platconf_free(pc);
}

void suite_config(void)
{
	CU_pSuite s = CU_add_suite("config", NULL, NULL);

	CU_add_test(s, "config_good", config_good);
	CU_add_test(s, "config_bad_refused_with_remedy", config_bad_refused_with_remedy);
	CU_add_test(s, "settings_checked", settings_checked);
	CU_add_test(s, "broken_document_leaks_nothing", broken_document_leaks_nothing);
	CU_add_test(s, "odd_table_names_refused", odd_table_names_refused);
	CU_add_test(s, "letters_beyond_ascii_allowed", letters_beyond_ascii_allowed);
}

/* Tests of the store's documents and of the settings of lwproxy. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/documents.h"
#include "lwtest.h"
#include "proxyset.h"
#include "xalloc.h"

static const char config_text[] =
	"{\"version\":\"r12\",\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":1000,"
	"\"header_timeout_s\":2.5,\"idle_timeout_s\":10},\"listeners\":[{\"host\":\"A.example\","
	"\"rules\":[{\"name\":\"r1\",\"kind\":\"safe\",\"priority\":2,\"target_latency_s\":1.2,"
	"\"match\":{\"path_prefix\":\"/x/\"},\"action\":{\"traffic_split\":["
	"{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
	"\"timeout_s\":0.8,\"max_attempts\":2}},{\"name\":\"r2\",\"kind\":\"upload\","
	"\"match\":{\"path_prefix\":\"/x/y/\"},\"action\":{\"service\":\"s3\",\"timeout_s\":5}}]}]}";

static void test_config(void)
{
	lw_fleetconf_t *fc;
	const lw_fleet_route_t *r;

	CU_ASSERT_EQUAL_FATAL(lw_document_config(config_text, strlen(config_text), &fc), LW_OK);
	CU_ASSERT_EQUAL(fc->version, 12);
	CU_ASSERT_EQUAL(fc->limits.max_header_bytes, 8192);
	CU_ASSERT_EQUAL(fc->limits.header_timeout_ms, 2500);
	r = lw_fleetconf_match(fc, LW_STR("a.EXAMPLE:80"), LW_STR("/x/1?y=/x/y/"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	if (!r)
		return; /* for the analyzer, which does not know that the assertion ends the test */
	CU_ASSERT_STRING_EQUAL(r->name, "r1");
	CU_ASSERT_TRUE(r->idempotent);
	CU_ASSERT_EQUAL(r->timeout_ms, 800);
	CU_ASSERT_EQUAL(r->target_ms, 1200);
	CU_ASSERT_EQUAL(r->nsplits, 2);
	r = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/x/y/z"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	if (!r)
		return;
	CU_ASSERT_STRING_EQUAL(r->name, "r2");
	CU_ASSERT_FALSE(r->idempotent);
	CU_ASSERT_EQUAL(r->max_attempts, 1);
	CU_ASSERT_PTR_NULL(lw_fleetconf_match(fc, LW_STR("b.example"), LW_STR("/x/y/z")));
	lw_fleetconf_free(fc);
}

/* composes @format, in which the long name @name stands once */
static char *with_name(const char *format, const char *name)
{
	char *text;

	CU_ASSERT_FATAL(asprintf(&text, format, name) > 0);
	return text;
}

/* Guards against names that are refused, or cut so that two become one, for their length. */
static void test_long_names(void)
{
	static const char organisations[] =
		"{\"version\":3,\"listeners\":[{\"host\":\"h\",\"rules\":[{\"match\":{"
		"\"path_prefix\":\"/\"},\"action\":{\"service\":\"s\"}}]}],\"tenants\":["
		"{\"name\":\"%1$s-1\",\"api_keys\":[\"%1$s\"]},"
		"{\"name\":\"%1$s-2\",\"api_keys\":[\"%1$s-2\"]}]}";
	static const char entry[] =
		"{\"address\":\"10.0.0.9:80\",\"info\":{\"service\":\"%1$s-s\",\"zone\":\"%1$s-z\","
		"\"slots\":1},\"status\":{\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":7}}";
	static char name[5001];
	lw_fleetconf_t *fc;
	lw_server_entry_t e;
	char *text;

	memset(name, 'n', sizeof(name) - 1);
	text = with_name(organisations, name);
	CU_ASSERT_EQUAL_FATAL(lw_document_config(text, strlen(text), &fc), LW_OK);
	free(text);
	CU_ASSERT_EQUAL(strlen(lw_orgs_by_key(fc->orgs, lw_str_c(name))->name), 5002);
	CU_ASSERT_EQUAL(lw_orgs_by_key(fc->orgs, lw_str_c(name)), lw_orgs_at(fc->orgs, 0));
	CU_ASSERT_PTR_NULL(lw_orgs_by_key(fc->orgs, lw_str_c(name + 1)));
	CU_ASSERT_NOT_EQUAL(lw_orgs_at(fc->orgs, 0)->name, lw_orgs_at(fc->orgs, 1)->name);
	lw_fleetconf_free(fc);
	text = with_name(entry, name);
	CU_ASSERT_EQUAL_FATAL(lw_document_server(text, strlen(text), name, &e), LW_OK);
	free(text);
	CU_ASSERT_EQUAL(e.id, lw_name_c(name));
	CU_ASSERT_EQUAL(strlen(e.service), 5002);
	CU_ASSERT_NOT_EQUAL(e.service, e.zone);
}

/* Guards against a name whose blanks end the value in a line of the log. */
static void test_name_as_a_word(void)
{
	CU_ASSERT_EQUAL(lw_name_word(lw_name_c("red")), lw_name_c("red"));
	CU_ASSERT_STRING_EQUAL(lw_name_word("Red & Sons 100%"), "Red%20&%20Sons%20100%25");
}

static void test_config_refused(void)
{
	static const char *const bad[] = { "", "{", "[]", "{\"version\":\"r3\"}",
					   "{\"version\":7,\"listeners\":[{\"rules\":4}]}" };
	lw_fleetconf_t *fc;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_EQUAL(lw_document_config(bad[i], strlen(bad[i]), &fc), LW_ERR_CONFIG);
}

static void test_server(void)
{
	static const char text[] =
		"{\"address\":\"10.0.0.9:8080\",\"info\":{\"service\":\"s1\",\"zone\":\"a\","
		"\"slots\":125},\"status\":{\"state\":\"draining\",\"cold_remaining_s\":1.5,"
		"\"sequence\":7},\"born\":1700000000123}";
	lw_server_entry_t e;

	CU_ASSERT_EQUAL_FATAL(lw_document_server(text, strlen(text), "i-1", &e), LW_OK);
	CU_ASSERT_STRING_EQUAL(e.addr, "10.0.0.9:8080");
	CU_ASSERT_EQUAL(e.slots, 125);
	CU_ASSERT_TRUE(e.draining);
	CU_ASSERT_EQUAL(e.born_ms, 1700000000123);
	CU_ASSERT_EQUAL(lw_document_server("{}", 2, "i-1", &e), LW_ERR_CONFIG);
}

#define ENTRY(address, info, status, born) \
	"{\"address\":" address ",\"info\":" info ",\"status\":" status ",\"born\":" born "}"
#define ADDRESS	 "\"10.0.0.9:8080\""
#define INFO	 "{\"service\":\"s1\",\"zone\":\"a\",\"slots\":125}"
#define SLOTS(n) "{\"service\":\"s1\",\"zone\":\"a\",\"slots\":" n "}"
#define STATUS	 "{\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":4}"

/*
 * An entry of an unknown writer, with fields missing or of the wrong type, must
 * be rejected. If defaults took the place of the fields, requests would go to a
 * server that does not exist, or a draining server would count as ready.
 */
static void test_server_refused(void)
{
	static const struct {
		const char *text;
		const char *says;
	} bad[] = {
		{ ENTRY("4", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"nowhere\"", INFO, STATUS, "1"), "address" },
		{ ENTRY(ADDRESS, "[]", STATUS, "1"), "info" },
		{ ENTRY(ADDRESS, "{\"zone\":\"a\",\"slots\":1}", STATUS, "1"), "service" },
		{ ENTRY(ADDRESS, "{\"service\":1,\"zone\":\"a\",\"slots\":1}", STATUS, "1"),
		  "service" },
		{ ENTRY(ADDRESS, "{\"service\":\"s\",\"slots\":1}", STATUS, "1"), "zone" },
		{ ENTRY(ADDRESS, "{\"service\":\"s\",\"zone\":\"a\",\"slots\":\"1\"}", STATUS, "1"),
		  "slots" },
		{ ENTRY(ADDRESS, INFO, "{\"cold_remaining_s\":0,\"sequence\":4}", "1"), "state" },
		{ ENTRY(ADDRESS, INFO,
			"{\"state\":\"asleep\",\"cold_remaining_s\":0,\"sequence\":4}", "1"),
		  "state" },
		{ ENTRY(ADDRESS, INFO, "{\"state\":\"ready\",\"sequence\":4}", "1"),
		  "cold_remaining_s" },
		{ ENTRY(ADDRESS, INFO, "{\"state\":\"ready\",\"cold_remaining_s\":0}", "1"),
		  "sequence" },
		{ ENTRY(ADDRESS, INFO, STATUS, "1.5"), "born" },
		{ ENTRY(ADDRESS, INFO, STATUS, "\"1\""), "born" },
		{ ENTRY("\"10.0.0.9:0\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9:-1\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9:65536\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9:73616\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9:18446744073709559696\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9:\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9: 80\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.9:http\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"10.0.0.900:80\"", INFO, STATUS, "1"), "address" },
		{ ENTRY("\"[::1]:80\"", INFO, STATUS, "1"), "address" },
		{ ENTRY(ADDRESS, SLOTS("4e9"), STATUS, "1"), "slots" },
		{ ENTRY(ADDRESS, SLOTS("1e12"), STATUS, "1"), "slots" },
		{ ENTRY(ADDRESS, SLOTS("9223372036854775807"), STATUS, "1"), "slots" },
		{ ENTRY(ADDRESS, SLOTS("9223372036854775808"), STATUS, "1"), "JSON" },
		{ ENTRY(ADDRESS, SLOTS("1e400"), STATUS, "1"), "JSON" },
		{ ENTRY(ADDRESS, INFO, STATUS, "-1"), "born" },
		{ "[1]", "info" },
		{ "\xff\xfe", "JSON" },
	};
	lw_server_entry_t e;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		const char *text = bad[i].text;

		CU_ASSERT_EQUAL(lw_document_server(text, strlen(text), "i-1", &e), LW_ERR_CONFIG);
		CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), bad[i].says));
		CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), "i-1"));
	}
}

/*
 * A valid entry with any one byte changed must not crash the node, and must
 * either be rejected or give values that a server may register.
 */
static void test_server_mutated(void)
{
	static const char good[] = ENTRY(ADDRESS, INFO, STATUS, "1700000000123");
	char text[sizeof(good)];
	lw_server_entry_t e;

	for (size_t i = 0; i < sizeof(good) - 1; i++)
		for (int byte = 0; byte < 256; byte += 5) {
			memcpy(text, good, sizeof(good));
			text[i] = (char)byte;
			if (lw_document_server(text, sizeof(good) - 1, "i-1", &e))
				continue;
			CU_ASSERT_STRING_EQUAL(e.id, "i-1");
			CU_ASSERT_TRUE(e.addr[0] && e.service[0] && e.zone[0]);
		}
}

/* Guards against documents so deeply nested that their reader runs out of stack. */
static void test_deep_nesting(void)
{
	static const char *const open[] = { "[", "{\"info\":" };
	const size_t levels = 100000;
	lw_fleetconf_t *fc;
	lw_server_entry_t e;

	for (size_t i = 0; i < 2; i++) {
		size_t each = strlen(open[i]);
		char *text = xmalloc(levels * each);

		for (size_t k = 0; k < levels; k++)
			memcpy(text + k * each, open[i], each);
		CU_ASSERT_EQUAL(lw_document_server(text, levels * each, "i-1", &e), LW_ERR_CONFIG);
		CU_ASSERT_EQUAL(lw_document_config(text, levels * each, &fc), LW_ERR_CONFIG);
		free(text);
	}
}

/* Guards against a version that is no number and, as the highest of all, is never replaced. */
static void test_version_out_of_range(void)
{
	static const char *const versions[] = { "-1", "\"r99999999999999999999\"", "\"r-1\"",
						"1e400", "\"r1e5x\"" };
	lw_fleetconf_t *fc;

	for (size_t i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		char text[200];

		snprintf(text, sizeof(text),
			 "{\"version\":%s,\"listeners\":[{\"host\":\"a\",\"rules\":[{\"match\":"
			 "{\"path_prefix\":\"/\"},\"action\":{\"service\":\"s\"}}]}]}",
			 versions[i]);
		CU_ASSERT_EQUAL(lw_document_config(text, strlen(text), &fc), LW_ERR_CONFIG);
		CU_ASSERT_EQUAL(lw_document_version(text, strlen(text)), 0);
	}
}

/*
 * A field of the wrong type must be an error that names the field, and the
 * previous version stays in force. If the default were used, one corrupted
 * document could take away a route's timeout or the weight of a destination.
 */
static void test_config_field_types(void)
{
	static const struct {
		const char *from, *to, *says;
	} change[] = {
		{ "\"priority\":2", "\"priority\":\"2\"", "priority" },
		{ "\"timeout_s\":0.8", "\"timeout_s\":[]", "timeout_s" },
		{ "\"weight\":90", "\"weight\":\"9\"", "weight" },
		{ "\"service\":\"s3\"", "\"service\":33", "service" },
		{ "\"max_body_bytes\":1000", "\"max_body_bytes\":{}", "max_body_bytes" },
		{ "\"kind\":\"safe\"", "\"kind\":1", "kind" },
	};

	for (size_t i = 0; i < sizeof(change) / sizeof(change[0]); i++) {
		const char *at = strstr(config_text, change[i].from);
		char text[sizeof(config_text) + 64];
		lw_fleetconf_t *fc;

		CU_ASSERT_PTR_NOT_NULL_FATAL(at);
		snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - config_text), config_text,
			 change[i].to, at + strlen(change[i].from));
		CU_ASSERT_EQUAL(lw_document_config(text, strlen(text), &fc), LW_ERR_CONFIG);
		CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), change[i].says));
	}
}

#define LONG "a-name-of-more-than-sixty-four-bytes-as-a-generator-of-names-composes-it-"
#define GOOD "[host]\nip=\"10.0.0.1\"\nzone=\"a\"\nservice=\"s\"\n" GOOD_REST
#define GOOD_REST                                                                    \
	"backend=\"10.0.0.1:80\"\n"                                                  \
	"[listen]\ncallers=\"10.0.0.1:81\"\nready=\"10.0.0.1:82\"\nmesh_port=7000\n" \
	"[store]\naddress=\"10.0.0.2:83\"\n"

static lw_status_t parse(const char *text)
{
	lw_proxy_settings_t s;

	lw_proxy_settings_defaults(&s);
	return lw_proxy_settings_parse("test", text, strlen(text), &s);
}

static void test_settings(void)
{
	CU_ASSERT_EQUAL(parse(GOOD), LW_OK);
	CU_ASSERT_EQUAL(parse(GOOD "[terms]\nretry_ratio=0.5\ngrace_s=3\n"), LW_OK);
	CU_ASSERT_EQUAL(parse(GOOD "[terms]\nretry_ratio=-1\n"), LW_ERR_SETTINGS);
	CU_ASSERT_EQUAL(parse("[host]\nip=\"10.0.0.1\"\nzone=\"" LONG "z\"\nservice=\"" LONG
			      "s\"\n" GOOD_REST),
			LW_OK);
	CU_ASSERT_EQUAL(parse(GOOD "[terms]\nretry_rato=0.5\n"), LW_ERR_SETTINGS);
	CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), "retry_rato"));
	CU_ASSERT_EQUAL(parse("[host]\nip=\"\"\n"), LW_ERR_SETTINGS);
	CU_ASSERT_EQUAL(parse("[listen]\nmesh_port=70000\n"), LW_ERR_SETTINGS);
}

/* suite_documents() - registers the tests of this file. */
void suite_documents(void)
{
	CU_pSuite s = CU_add_suite("documents", NULL, NULL);

	CU_add_test(s, "a configuration is read", test_config);
	CU_add_test(s, "a malformed configuration is rejected", test_config_refused);
	CU_add_test(s, "long names are kept whole", test_long_names);
	CU_add_test(s, "a name with blanks is one word of a log line", test_name_as_a_word);
	CU_add_test(s, "a server's entry is read", test_server);
	CU_add_test(s, "an entry of an unknown writer is rejected", test_server_refused);
	CU_add_test(s, "an entry with a corrupted byte is rejected or complete",
		    test_server_mutated);
	CU_add_test(s, "deep nesting is refused", test_deep_nesting);
	CU_add_test(s, "a version out of range is no version", test_version_out_of_range);
	CU_add_test(s, "a field of the wrong type is named", test_config_field_types);
	CU_add_test(s, "settings are checked", test_settings);
}

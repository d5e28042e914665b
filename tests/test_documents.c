/* Documents of the platform's store and the settings of lwproxy. */
#include <string.h>

#include "../platform/documents.h"
#include "lwtest.h"
#include "proxyset.h"

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
	CU_ASSERT_STRING_EQUAL(r->name, "r1");
	CU_ASSERT_TRUE(r->idempotent);
	CU_ASSERT_EQUAL(r->timeout_ms, 800);
	CU_ASSERT_EQUAL(r->target_ms, 1200);
	CU_ASSERT_EQUAL(r->nsplits, 2);
	r = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/x/y/z"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	CU_ASSERT_STRING_EQUAL(r->name, "r2");
	CU_ASSERT_FALSE(r->idempotent);
	CU_ASSERT_EQUAL(r->max_attempts, 1);
	CU_ASSERT_PTR_NULL(lw_fleetconf_match(fc, LW_STR("b.example"), LW_STR("/x/y/z")));
	lw_fleetconf_free(fc);
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
		"\"slots\":125},\"status\":{\"state\":\"draining\",\"cold_remaining_s\":1.5}}";
	lw_server_entry_t e;

	CU_ASSERT_EQUAL_FATAL(lw_document_server(text, strlen(text), "i-1", &e), LW_OK);
	CU_ASSERT_STRING_EQUAL(e.addr, "10.0.0.9:8080");
	CU_ASSERT_EQUAL(e.slots, 125);
	CU_ASSERT_EQUAL(e.cold_ms, 1500);
	CU_ASSERT_TRUE(e.draining);
	CU_ASSERT_EQUAL(lw_document_server("{}", 2, "i-1", &e), LW_ERR_CONFIG);
}

#define GOOD                                                                            \
	"[host]\nip=\"10.0.0.1\"\nzone=\"a\"\nservice=\"s\"\nbackend=\"10.0.0.1:80\"\n" \
	"[listen]\ncallers=\"10.0.0.1:81\"\nready=\"10.0.0.1:82\"\nmesh_port=7000\n"    \
	"[store]\naddress=\"10.0.0.2:83\"\n"

static lw_status_t parse(const char *text)
{
	lw_proxyset_t s;

	lw_proxyset_defaults(&s);
	return lw_proxyset_parse("test", text, strlen(text), &s);
}

static void test_settings(void)
{
	CU_ASSERT_EQUAL(parse(GOOD), LW_OK);
	CU_ASSERT_EQUAL(parse(GOOD "[terms]\nretry_ratio=0.5\ngrace_s=3\n"), LW_OK);
	CU_ASSERT_EQUAL(parse(GOOD "[terms]\nretry_ratio=-1\n"), LW_ERR_SETTINGS);
	CU_ASSERT_EQUAL(parse(GOOD "[terms]\nretry_rato=0.5\n"), LW_ERR_SETTINGS);
	CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), "retry_rato"));
	CU_ASSERT_EQUAL(parse("[host]\nip=\"\"\n"), LW_ERR_SETTINGS);
	CU_ASSERT_EQUAL(parse("[listen]\nmesh_port=70000\n"), LW_ERR_SETTINGS);
}

/* suite_documents() - register the tests of this file. */
void suite_documents(void)
{
	CU_pSuite s = CU_add_suite("documents", NULL, NULL);

	CU_add_test(s, "a configuration is read", test_config);
	CU_add_test(s, "a malformed configuration is refused", test_config_refused);
	CU_add_test(s, "a server's entry is read", test_server);
	CU_add_test(s, "settings are checked", test_settings);
}

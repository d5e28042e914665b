/* Organisations, their API keys, and keys in request heads. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/documents.h"
#include "../platform/names.h"
#include "credential.h"
#include "fingerprint.h"
#include "lwtest.h"

#define HEAD "{\"version\":\"r12\",\"listeners\":[{\"host\":\"a.example\",\"rules\":["
#define RULE(name, prefix, priority)                                   \
	"{\"name\":\"" name "\",\"priority\":" priority                \
	",\"public\":true,\"match\":{\"path_prefix\":\"" prefix "\"}," \
	"\"action\":{\"service\":\"s\"}}"
#define RULES		      RULE("r0", "/a/", "0") "," RULE("r1", "/b/", "5")
#define DOC(orgs)	      HEAD RULES "]}],\"tenants\":" orgs "}"
#define ORG(name, keys, more) "{\"name\":\"" name "\",\"api_keys\":" keys more "}"

#define MANY_KEYS 100000

static lw_fleetconf_t *parse(const char *text)
{
	lw_fleetconf_t *fc;

	CU_ASSERT_EQUAL_FATAL(lw_document_config(text, strlen(text), &fc), LW_OK);
	return fc;
}

static void test_document(void)
{
	lw_fleetconf_t *fc = parse(DOC("[" ORG(
		"red", "[\"k1\",\"k2\"]",
		",\"priority\":0,\"rate_per_s\":2.5,\"burst\":4") "," ORG("blue", "[]", "") "]"));
	const lw_organisation_t *red;

	red = lw_orgs_by_key(fc->orgs, LW_STR("k2"));
	CU_ASSERT_PTR_NOT_NULL_FATAL(red);
	if (!red)
		return; /* for the analyzer, which does not know that the assertion ends the test */
	CU_ASSERT_STRING_EQUAL(red->name, "red");
	CU_ASSERT_EQUAL(red->priority, 0);
	CU_ASSERT_DOUBLE_EQUAL(red->rate_per_s, 2.5, 1e-9);
	CU_ASSERT_DOUBLE_EQUAL(red->burst, 4, 1e-9);
	CU_ASSERT_EQUAL(lw_orgs_count(fc->orgs), 2);
	CU_ASSERT_EQUAL(lw_orgs_at(fc->orgs, 1)->priority, LW_ORG_PRIORITY_DEFAULT);
	CU_ASSERT_PTR_NULL(lw_orgs_by_key(fc->orgs, LW_STR("k3")));
	CU_ASSERT_PTR_NULL(lw_orgs_by_key(fc->orgs, LW_STR("")));
	lw_fleetconf_free(fc);
	fc = parse(HEAD RULES "]}]}");
	CU_ASSERT_PTR_NULL(fc->orgs);
	lw_fleetconf_free(fc);
}

/*
 * Guards against accepting a configuration in which a key belongs to more than one
 * organisation.
 */
static void test_document_refused(void)
{
	static const struct {
		const char *text;
		const char *says;
	} bad[] = {
		{ DOC("[" ORG("red", "[\"shared-key\"]", "") "," ORG("blue", "[\"shared-key\"]",
								     "") "]"),
		  "red and blue" },
		{ DOC("{}"), "tenants" },
		{ DOC("[4]"), "name" },
		{ DOC("[" ORG("", "[]", "") "]"), "name" },
		{ DOC("[" ORG("red", "[4]", "") "]"), "api_keys" },
		{ DOC("[" ORG("red", "[]", ",\"rate_per_s\":\"many\"") "]"), "rate_per_s" },
	};
	lw_fleetconf_t *fc;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		CU_ASSERT_EQUAL(lw_document_config(bad[i].text, strlen(bad[i].text), &fc),
				LW_ERR_CONFIG);
		CU_ASSERT_PTR_NOT_NULL(strstr(lw_error_last(), bad[i].says));
		CU_ASSERT_PTR_NULL(strstr(lw_error_last(), "shared-key"));
	}
}

/*
 * The organisation's priority precedes the route's; without organisations only the route's
 * counts.
 */
static void test_priority(void)
{
	lw_fleetconf_t *fc = parse(DOC("[" ORG("red", "[\"k1\"]", ",\"priority\":0") "," ORG(
		"blue", "[\"k2\"]", ",\"priority\":7") "]"));
	const lw_fleet_route_t *urgent = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/a/"));
	const lw_fleet_route_t *rest = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/b/"));
	const lw_organisation_t *red = lw_orgs_by_key(fc->orgs, LW_STR("k1"));
	const lw_organisation_t *blue = lw_orgs_by_key(fc->orgs, LW_STR("k2"));

	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, red, urgent), 0);
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, red, rest), 1);
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, blue, urgent), 2);
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, blue, rest), 3);
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, NULL, rest), 3);
	CU_ASSERT_EQUAL(lw_fleetconf_most_urgent(fc), 1 << 0 | 1 << 2);
	lw_fleetconf_free(fc);
	fc = parse(HEAD RULES "]}]}");
	rest = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/b/"));
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, NULL, rest), 1);
	CU_ASSERT_EQUAL(lw_fleetconf_most_urgent(fc), 1 << 0);
	lw_fleetconf_free(fc);
}

/*
 * Guards against orders that are refused for the sake of lookups of the same priority, which the
 * caller could repeat after any failure.
 */
static void test_idempotent_last(void)
{
	lw_fleetconf_t *fc = lw_fleetconf_new();
	lw_fleet_route_t *r;

	lw_fleetconf_add(fc, LW_STR("a.example"), LW_STR("/order/"))->priority = 3;
	r = lw_fleetconf_add(fc, LW_STR("a.example"), LW_STR("/lookup/"));
	r->priority = 3;
	r->idempotent = true;
	lw_fleetconf_add(fc, LW_STR("a.example"), LW_STR("/pay/"))->priority = 0;
	lw_fleetconf_finish(fc);
	r = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/pay/"));
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, NULL, r), 0);
	r = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/order/"));
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, NULL, r), 1);
	r = lw_fleetconf_match(fc, LW_STR("a.example"), LW_STR("/lookup/"));
	CU_ASSERT_EQUAL(lw_fleetconf_priority(fc, NULL, r), 2);
	lw_fleetconf_free(fc);
}

/*
 * Guards against keys that match by a part, by a prefix, or by another key's slot in a
 * full table.
 */
static void test_many_keys(void)
{
	lw_orgs_t *o = lw_orgs_new();
	char key[32], name[32];

	for (int i = 0; i < MANY_KEYS; i++) {
		if (i % 10 == 0) {
			snprintf(name, sizeof(name), "org-%d", i / 10);
			lw_orgs_add(o, lw_str_c(name));
		}
		snprintf(key, sizeof(key), "key-%d-%x", i, i * 2654435761u);
		lw_orgs_add_key(o, lw_str_c(key));
	}
	CU_ASSERT_EQUAL_FATAL(lw_orgs_finish(o), LW_OK);
	for (int i = 0; i < MANY_KEYS; i += 7) {
		const lw_organisation_t *org;

		snprintf(key, sizeof(key), "key-%d-%x", i, i * 2654435761u);
		snprintf(name, sizeof(name), "org-%d", i / 10);
		org = lw_orgs_by_key(o, lw_str_c(key));
		CU_ASSERT_PTR_NOT_NULL_FATAL(org);
		CU_ASSERT_STRING_EQUAL(org->name, name);
		CU_ASSERT_PTR_NULL(lw_orgs_by_key(o, (lw_str_t){ key, strlen(key) - 1 }));
		CU_ASSERT_PTR_NULL(lw_orgs_by_key(o, (lw_str_t){ key, strlen(key) + 1 }));
	}
	lw_orgs_free(o);
}

/* parses a head with the header lines @lines and returns its credential */
static lw_credential_t credential_in(const char *lines, char *key, size_t len)
{
	static lw_httphead_t head;
	char block[20000];
	http_parser parser;
	lw_str_t found;
	lw_credential_t kind;

	snprintf(block, sizeof(block), "GET / HTTP/1.1\r\nHost: a\r\n%s\r\n", lines);
	http_parser_init(&parser, HTTP_REQUEST);
	CU_ASSERT_EQUAL_FATAL(
		lw_httphead_parse(&head, &parser, &lw_platform_names, lw_str_c(block)),
		LW_HTTPHEAD_OK);
	kind = lw_credential_read(&head, lw_platform_names.credential_scheme, &found);
	lw_str_copy(key, len, found);
	return kind;
}

/* Guards against reading a key from a head that other servers read differently. */
static void test_credential(void)
{
	static const struct {
		const char *lines;
		lw_credential_t kind;
		const char *key;
	} cases[] = {
		{ "", LW_CREDENTIAL_NONE, "" },
		{ "Authorization: Bearer k1\r\n", LW_CREDENTIAL_KEY, "k1" },
		{ "authorization: bearer   k1\r\n", LW_CREDENTIAL_KEY, "k1" },
		{ "Authorization: Bearer k1 k2\r\n", LW_CREDENTIAL_KEY, "k1 k2" },
		{ "Authorization: Basic k1\r\n", LW_CREDENTIAL_UNSUPPORTED, "" },
		{ "Authorization: Bearer\r\n", LW_CREDENTIAL_UNSUPPORTED, "" },
		{ "Authorization: Bearerk1\r\n", LW_CREDENTIAL_UNSUPPORTED, "" },
		{ "Authorization: \r\n", LW_CREDENTIAL_UNSUPPORTED, "" },
		{ "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n",
		  LW_CREDENTIAL_DUPLICATE, NULL },
		{ "Authorization: \r\nAuthorization: Bearer k1\r\n", LW_CREDENTIAL_DUPLICATE,
		  NULL },
	};
	char key[64];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(credential_in(cases[i].lines, key, sizeof(key)), cases[i].kind);
		if (cases[i].key)
			CU_ASSERT_STRING_EQUAL(key, cases[i].key);
	}
}

/*
 * Guards against holding back a request of one organisation because of a request of
 * another one.
 */
static void test_digest(void)
{
	static const char one[] = "GET /x HTTP/1.1\r\nHost: a\r\nX-Org: red\r\nX-Id: 1\r\n";
	static const char again[] = "GET /x HTTP/1.1\r\nHost: a\r\nX-Org: red\r\nX-Id: 2\r\n";
	static const char other[] = "GET /x HTTP/1.1\r\nHost: a\r\nX-Org: blue\r\nX-Id: 1\r\n";
	lw_fingerprinter_t a, b, c;

	lw_fingerprinter_begin(&a, lw_str_c(one), "X-Org");
	lw_fingerprinter_begin(&b, lw_str_c(again), "X-Org");
	lw_fingerprinter_begin(&c, lw_str_c(other), "X-Org");
	CU_ASSERT_EQUAL(a.value.head, b.value.head);
	CU_ASSERT_NOT_EQUAL(a.value.head, c.value.head);
}

/* suite_organisation() - register the tests of this file. */
void suite_organisation(void)
{
	CU_pSuite s = CU_add_suite("organisation", NULL, NULL);

	CU_add_test(s, "document", test_document);
	CU_add_test(s, "document_refused", test_document_refused);
	CU_add_test(s, "priority", test_priority);
	CU_add_test(s, "idempotent_last", test_idempotent_last);
	CU_add_test(s, "many_keys", test_many_keys);
	CU_add_test(s, "credential", test_credential);
	CU_add_test(s, "digest", test_digest);
}

/* Suites of the CUnit test program; each registers itself. */
#ifndef LW_TEST_H
#define LW_TEST_H

#include <CUnit/CUnit.h>
#include <stdbool.h>

void suite_policy(void);
void suite_config(void);
void suite_frame(void);
void suite_net(void);
void suite_decisions(const char *dir);
void suite_meshframe(void);
void suite_meshclosed(void);
void suite_fates(void);
void suite_meshoutcomes(void);
void suite_docfetch(void);
void suite_documents(void);
void suite_lease(void);
void suite_quarantine(void);
void suite_quota(void);
void suite_fairshare(void);
void suite_fairfleet(void);
void suite_organisation(void);
void suite_notice(void);
void suite_leaving(void);
void suite_entryorder(void);
void suite_handback(void);
void suite_placement(void);
bool lw_test_known_red(const char *name);
void suite_ranges(void);
void suite_scripts(const char *dir);
int script_run(const char *path, char *why, size_t whylen);

#endif

/* The CUnit test program: unit suites, then the scripted tests of a directory. */
#include <CUnit/Basic.h>
#include <stdio.h>

#include "lwtest.h"

int main(int argc, char **argv)
{
	unsigned failed;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 2;
	suite_policy();
	suite_config();
	suite_frame();
	suite_net();
	suite_meshframe();
	suite_meshclosed();
	suite_meshoutcomes();
	suite_fates();
	suite_docfetch();
	suite_documents();
	suite_lease();
	suite_quarantine();
	suite_quota();
	suite_fairshare();
	suite_fairfleet();
	suite_organisation();
	suite_notice();
	suite_leaving();
	suite_entryorder();
	suite_handback();
	suite_placement();
	suite_ranges();
	suite_decisions(argc > 2 ? argv[2] : "tests/decisions");
	suite_scripts(argc > 1 ? argv[1] : "tests/scripts");
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failed ? 1 : 0;
}

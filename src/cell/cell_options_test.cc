#include "cell/cell_options.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

// Guards against a feature that is not switched, or a process that starts with a misspelt name.
TEST(CellOptionsTest, ListedFeaturesAreSwitched) {
  const auto options =
      ParseCellOptions({"--disable", "upstream_speeds,admission_by_cause", "--enable", "policy_planning"});
  ASSERT_TRUE(options);
  EXPECT_FALSE(options->IsOn(CellFeature::kUpstreamSpeeds));
  EXPECT_FALSE(options->IsOn(CellFeature::kAdmissionByCause));
  EXPECT_TRUE(options->IsOn(CellFeature::kPolicyPlanning));
  EXPECT_FALSE(ParseCellOptions({"--disable", "upstream_speed"}));
  EXPECT_FALSE(ParseCellOptions({"--disable"}));
  EXPECT_FALSE(ParseCellOptions({"--verbose", "upstream_speeds"}));
}

}  // namespace
}  // namespace jaymast

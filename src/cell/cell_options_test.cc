#include "cell/cell_options.h"

#include <gtest/gtest.h>

namespace jaymast {
namespace {

// Guards against a feature that stays on, or a process that starts with a misspelt name.
TEST(CellOptionsTest, ListedFeaturesAreDisabled) {
  const auto options = ParseDisabledFeatures("upstream_speeds,policy_planning");
  ASSERT_TRUE(options);
  EXPECT_FALSE(options->IsOn(CellFeature::kUpstreamSpeeds));
  EXPECT_FALSE(options->IsOn(CellFeature::kPolicyPlanning));
  EXPECT_TRUE(options->IsOn(CellFeature::kLearnedRunTimes));
  EXPECT_FALSE(ParseDisabledFeatures("upstream_speed"));
}

}  // namespace
}  // namespace jaymast

#include "model/codec.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>

namespace jaymast {
namespace {

Result<TaskSpec> ParseSpec(const std::string& text) {
  const Result<boost::json::object> object = ParseObject(text, "");
  if (!object) return object.error();
  return TaskSpecFromJson(*object, "");
}

TEST(CodecTest, TaskSpecSurvivesARoundTrip) {
  const Result<TaskSpec> spec = ParseSpec(
      R"({"id":"t1","team":"desk","kind":"load-check","class":"batch","semantics":"exclusive",
          "demand":{"cpu_millis":1500,"memory_mb":64,"slots":1},"body":"x","domain":"lahti"})");
  ASSERT_TRUE(spec) << spec.error().reason;
  const Result<TaskSpec> again = ParseSpec(boost::json::serialize(ToJson(*spec)));
  ASSERT_TRUE(again) << again.error().reason;
  EXPECT_EQ(*spec, *again);
}

// Guards against input that is accepted although a field is misspelt, negative or of the wrong type.
TEST(CodecTest, BadFieldsAreRefusedWithTheirPath) {
  EXPECT_EQ(ParseSpec(R"({"tema":"desk"})").error().path, "/tema");
  EXPECT_EQ(ParseSpec(R"({"demand":{"memory_mb":-1}})").error().path, "/demand/memory_mb");
  EXPECT_EQ(ParseSpec(R"({"class":"urgentish"})").error().path, "/class");
  EXPECT_EQ(ParseSpec(R"({"body":7})").error().path, "/body");
  EXPECT_EQ(ParseSpec("{").error().id, ErrorId::kInputSyntax);
  EXPECT_EQ(ParseSpec("[1]").error().id, ErrorId::kInputSyntax);
}

TEST(CodecTest, ConfigurationSurvivesARoundTrip) {
  ClusterConfig config;
  config.version = 7;
  config.teams[TeamId("desk")] = Team{3, 100};
  config.keys[KeyId("k1")] = ApiKey{std::string(64, 'a'), TeamId("desk"), Role::kOperator};
  config.domains_out_of_service.insert(DomainId("oslo-1"));
  config.upstreams_out_of_service.insert(UpstreamId("u9"));
  config.policies[WorkClass::kBatch] = "best-fit";
  const Result<ClusterConfig> again = ClusterConfigFromJson(ToJson(config), "");
  ASSERT_TRUE(again) << again.error().reason;
  EXPECT_EQ(config, *again);
}

}  // namespace
}  // namespace jaymast

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "model/codec.h"
#include "model/runner_codec.h"
#include "model/table_codec.h"
#include "testing/property_check.h"

namespace jaymast {
namespace {

constexpr const char* kSpec = R"({"id":"t1","team":"desk","kind":"load-check","class":"gang","semantics":"exclusive",
  "demand":{"cpu_millis":1500,"memory_mb":64,"accelerators":1,"slots":1},"declared_run_ms":9,"body":"x",
  "idempotency_key":"k","gang":"g","gang_size":2,"domain":"lahti"})";

constexpr const char* kReply = R"({"status":"ok","now_ms":5,"result":"succeeded","output":"o","reason":"r","owner":"e1",
  "epoch":3,"previous_epoch":2,"tasks":[{"task":"t","attempt":1,"home":"e1","team":"desk","kind":"k","class":"batch",
  "semantics":"exclusive","demand":{"slots":1},"usage":{"cpu_millis":1},"run_ms":7,"state":"running","output":""}]})";

/// Decoder of a JSON text for a decoder of JSON objects.
template <typename FromJson>
auto TextDecoder(const FromJson& from_json) {
  return [from_json](const std::string& text) -> decltype(from_json(boost::json::object(), "")) {
    const Result<boost::json::object> object = ParseObject(text, "");
    if (!object) return object.error();
    return from_json(*object, "");
  };
}

constexpr auto kEncode = [](const auto& value) { return boost::json::serialize(ToJson(value)); };

// These tests guard against a crash, an error without a place, and a value that is accepted but cannot be passed on.
TEST(HostileInputTest, Tasks) { CheckMutatedJson({kSpec, "{}"}, TextDecoder(TaskSpecFromJson), kEncode); }

TEST(HostileInputTest, Intents) {
  const std::string sha(64, 'a');
  const std::vector<std::string> samples = {
      std::string(R"({"type":"run","replicas":2,"task":)") + kSpec + "}",
      R"({"type":"set_team","team":"desk","share":2,"limit":40})",
      R"({"type":"remove_team","team":"desk"})",
      R"({"type":"give_key","key":"k1","team":"desk","role":"operator","sha256":")" + sha + "\"}",
      R"({"type":"withdraw_key","key":"k1"})",
      R"({"type":"domain_out","domain":"north"})",
      R"({"type":"upstream_in","upstream":"u1"})",
      R"({"type":"set_policy","class":"batch","policy":"best-fit"})",
  };
  CheckMutatedJson(samples, TextDecoder(IntentFromJson), kEncode);
}

TEST(HostileInputTest, Configuration) {
  const std::string text = R"({"version":3,"teams":{"desk":{"share":2,"limit":40}},"keys":{"k1":{"team":"desk",
    "role":"operator","sha256":")" +
                           std::string(64, 'a') +
                           R"("}},"domains_out":["north"],"upstreams_out":["u1"],"policies":{"batch":"best-fit"}})";
  CheckMutatedJson({text}, TextDecoder(ClusterConfigFromJson), kEncode);
}

TEST(HostileInputTest, InstanceList) {
  const char* text = R"({"upstreams":[{"id":"u1","domain":"north","rack":"r","address":"127.0.0.1:1",
    "capacity":{"cpu_millis":1,"memory_mb":2,"accelerators":0,"slots":8},"connections":64,"leaving":true}]})";
  CheckMutatedJson({text}, TextDecoder(InstanceListFromJson), kEncode);
}

TEST(HostileInputTest, RunnerReplies) { CheckMutatedJson({kReply, "{}"}, DecodeUpstreamReply, EncodeUpstreamReply); }

TEST(HostileInputTest, TableReplies) {
  CheckMutatedJson({EncodeCommitReply({CommitStatus::kConflict, 4})}, DecodeCommitReply, EncodeCommitReply);
  CheckMutatedJson({EncodeReadReply({true, {{"key", "value", 3}}})}, DecodeReadReply, EncodeReadReply);
  CheckMutatedJson({EncodeLookupReply({LookupStatus::kCommitted, 4})}, DecodeLookupReply, EncodeLookupReply);
}

// Guards against an epoch that overflows when the next owner raises it.
TEST(HostileInputTest, EpochsThatCannotBeRaisedAreRefused) {
  const Result<UpstreamReply> reply = DecodeUpstreamReply(R"({"epoch":9223372036854775807})");
  ASSERT_FALSE(reply);
  EXPECT_EQ(reply.error().path, "/epoch");
  EXPECT_EQ(DecodeUpstreamReply(R"({"previous_epoch":9223372036854775807})").error().path, "/previous_epoch");
}

// Guards against a version that overflows with the next confirmed change.
TEST(HostileInputTest, ConfigurationVersionsThatCannotBeRaisedAreRefused) {
  EXPECT_EQ(TextDecoder(ClusterConfigFromJson)(R"({"version":9223372036854775807})").error().path, "/version");
}

}  // namespace
}  // namespace jaymast

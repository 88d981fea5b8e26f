#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "base/error.h"
#include "testing/input_mutation.h"

namespace jaymast {

/// Checks a property with a fixed seed, so that each run tries the same cases.
template <typename Property>
void CheckWithFixedSeed(int cases, const Property& property) {
  rc::detail::TestParams params;
  params.seed = 20'261'204;
  params.maxSuccess = cases;
  const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
}

/// Whether an error says what is wrong and where. Malformed JSON at the top level has an empty path.
inline bool IsLocated(const Error& error) {
  const bool has_path = !error.path.empty() || error.id == ErrorId::kInputSyntax;
  return error.id != ErrorId::kNone && has_path && !error.reason.empty();
}

/// Checks that each mutation of valid JSON texts yields a located error, or a value whose encoding is stable.
/// @param decode gets a text and returns a Result
/// @param encode gets a decoded value and returns a text that `decode` accepts
template <typename Decode, typename Encode>
void CheckMutatedJson(const std::vector<std::string>& samples, const Decode& decode, const Encode& encode) {
  constexpr int kCases = 1'000;
  for (const std::string& sample : samples) ASSERT_TRUE(decode(sample)) << sample;
  CheckWithFixedSeed(kCases, [&] {
    const std::string text = MutatedJson(samples[*rc::gen::inRange<std::size_t>(0, samples.size())]);
    const auto value = decode(text);
    if (!value) {
      RC_ASSERT(IsLocated(value.error()));
      return;
    }
    const std::string encoded = encode(*value);
    const auto again = decode(encoded);
    RC_ASSERT(again.has_value());
    RC_ASSERT(encode(*again) == encoded);
  });
}

}  // namespace jaymast

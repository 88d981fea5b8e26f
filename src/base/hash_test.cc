#include "base/hash.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace jaymast {
namespace {

TEST(HashTest, Sha256MatchesThePublishedTestVector) {
  EXPECT_EQ(Sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(HashTest, ConstantTimeEqualComparesContentAndLength) {
  EXPECT_TRUE(ConstantTimeEqual("same", "same"));
  EXPECT_FALSE(ConstantTimeEqual("same", "sama"));
  EXPECT_FALSE(ConstantTimeEqual("same", "same-longer"));
}

// Guards against a score that ignores the weight or favours one node for all keys.
TEST(HashTest, RendezvousSpreadsKeysByWeight) {
  std::map<std::string, int> wins;
  for (int i = 0; i < 3000; ++i) {
    const std::string key = "upstream-" + std::to_string(i);
    const double a = RendezvousScore(key, "entry-a", 1.0);
    const double b = RendezvousScore(key, "entry-b", 2.0);
    ++wins[a > b ? "a" : "b"];
  }
  EXPECT_NEAR(wins["a"], 1000, 100);
  EXPECT_NEAR(wins["b"], 2000, 100);
}

}  // namespace
}  // namespace jaymast

#include "base/hash.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cmath>

namespace jaymast {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) hex += fmt::format("{:02x}", digest[i]);
  return hex;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t StableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

double RendezvousScore(std::string_view key, std::string_view node, double weight) {
  const std::uint64_t hash = XXH3_64bits_withSeed(node.data(), node.size(), StableHash(key));
  // Maps the top 53 bits to the open interval (0, 1), where the logarithm is finite and negative.
  constexpr double kScale = 1.0 / 9007199254740992.0;
  const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * kScale;
  return -weight / std::log(uniform);
}

}  // namespace jaymast

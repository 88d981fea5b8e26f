#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jaymast {

/// Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Compares two texts in a time that depends only on their lengths.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// Returns a 64-bit hash of a text that is the same in all processes.
std::uint64_t StableHash(std::string_view text);

/// Returns the weighted rendezvous hashing score of a node for a key. The node with the highest score is preferred.
double RendezvousScore(std::string_view key, std::string_view node, double weight);

}  // namespace jaymast

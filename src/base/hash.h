#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jaymast {

/// SHA-256 of a text, as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Compares two texts in time that depends on their lengths only.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

/// 64-bit hash of a text for hashing schemes that must agree between processes.
std::uint64_t StableHash(std::string_view text);

/// Rendezvous score of a node for a key. The node with the highest score is preferred.
double RendezvousScore(std::string_view key, std::string_view node, double weight);

}  // namespace jaymast

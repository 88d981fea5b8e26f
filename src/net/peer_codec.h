#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "base/id.h"
#include "base/result.h"
#include "core/peer_message.h"

namespace jaymast {

/// Size of the little-endian length prefix of each frame, in bytes.
inline constexpr std::size_t kFrameLengthBytes = 4;

/// First frame of a link between two entries.
struct PeerHello {
  EntryId from;
  EntryId to;  ///< incarnation to which the sender connects; another one closes the link
};

using PeerFrame = std::variant<PeerHello, PeerMessage>;

/// Encodes a frame with its length prefix.
std::string EncodeFrame(const PeerHello& hello);
std::string EncodeFrame(const PeerMessage& message);

/// Decodes the length prefix from the first kFrameLengthBytes bytes.
/// @return size of the following frame in bytes
std::size_t DecodeFrameLength(std::string_view bytes);

/// Verifies and decodes a frame without its length prefix. The buffer must be aligned to 8 bytes.
/// @return the frame, or an error with the name of the invalid field
Result<PeerFrame> DecodeFrame(std::string_view bytes);

}  // namespace jaymast

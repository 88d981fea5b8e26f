#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "base/id.h"
#include "base/result.h"
#include "core/peer_message.h"

namespace jaymast {

/// Bytes of the length that precedes each frame, least significant byte first.
inline constexpr std::size_t kFrameLengthBytes = 4;

/// First frame of a link between two entries.
struct PeerHello {
  EntryId from;
  EntryId to;  ///< the incarnation that the sender means; another one closes the link
};

using PeerFrame = std::variant<PeerHello, PeerMessage>;

/// Encodes a frame with its length.
std::string EncodeFrame(const PeerHello& hello);
std::string EncodeFrame(const PeerMessage& message);

/// Length of the frame that follows the given kFrameLengthBytes bytes.
std::size_t DecodeFrameLength(std::string_view bytes);

/// Verifies and decodes the bytes of a frame without its length. The bytes must be aligned to 8 bytes.
/// @return the frame, or an error with the name of the offending field
Result<PeerFrame> DecodeFrame(std::string_view bytes);

}  // namespace jaymast

#pragma once

#include <cstddef>
#include <string>

#include "testing/client_crowd.h"

namespace jaymast {

/// Returns the head of a request, with the header fields that are given after `Host`.
inline std::string RequestHead(const std::string& target, const std::string& fields) {
  return "POST " + target + " HTTP/1.1\r\nHost: cell.example\r\n" + fields + "\r\n\r\n";
}

/// Sends trailer fields after a chunked body, without the empty line that ends them.
/// @param bytes of all fields, rounded down to a multiple of 8,192
inline ClientScript EndlessTrailers(const std::string& target, std::size_t bytes) {
  constexpr std::size_t kFieldBytes = 128;
  constexpr std::size_t kFieldsPerUnit = 64;
  std::string field = "Trailer-Field: ";
  field += std::string(kFieldBytes - field.size() - 2, 'x') + "\r\n";
  std::string unit;
  for (std::size_t i = 0; i < kFieldsPerUnit; ++i) unit += field;
  return {RequestHead(target, "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n", unit, bytes / unit.size()};
}

/// Sends a body of a length that the header announces, and stops early.
inline ClientScript AnnouncedBody(const std::string& target, std::size_t announced_bytes, std::size_t sent_bytes) {
  constexpr std::size_t kUnitBytes = 8192;
  return {RequestHead(target, "Content-Length: " + std::to_string(announced_bytes)), std::string(kUnitBytes, 'x'),
          sent_bytes / kUnitBytes};
}

/// Sends a chunked body without its last chunk.
/// @param chunk_digits length of each chunk as hexadecimal digits
inline ClientScript EndlessChunks(const std::string& target, const std::string& chunk_digits, std::size_t bytes) {
  constexpr std::size_t kMinUnitBytes = 8192;
  const std::size_t chunk_bytes = std::stoul(chunk_digits, nullptr, 16);
  std::string unit;
  std::size_t body_bytes = 0;
  while (body_bytes < kMinUnitBytes) {
    unit += chunk_digits + "\r\n" + std::string(chunk_bytes, 'x') + "\r\n";
    body_bytes += chunk_bytes;
  }
  return {RequestHead(target, "Transfer-Encoding: chunked"), unit, bytes / body_bytes};
}

/// Sends the length of a frame between entries and the frame without its last bytes.
inline ClientScript UnfinishedFrame(std::size_t frame_bytes) {
  constexpr std::size_t kLengthBytes = 4;
  constexpr std::size_t kUnitBytes = 8192;
  constexpr unsigned kBitsPerByte = 8;
  std::string head;
  for (std::size_t i = 0; i < kLengthBytes; ++i) head += static_cast<char>(frame_bytes >> (kBitsPerByte * i) & 0xFFU);
  return {head, std::string(kUnitBytes, 'x'), frame_bytes / kUnitBytes - 1};
}

/// Sends a part of the header and stops.
inline ClientScript UnfinishedHeader(const std::string& target) {
  return {"POST " + target + " HTTP/1.1\r\nHost: cell", "", 0};
}

}  // namespace jaymast

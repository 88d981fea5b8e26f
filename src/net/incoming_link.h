#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "net/peer_codec.h"
#include "net/peer_stream.h"

namespace jaymast {

class PeerLinksState;

/// Receives frames over a link that another entry opened.
class IncomingLink : public std::enable_shared_from_this<IncomingLink> {
 public:
  IncomingLink(std::shared_ptr<PeerLinksState> state, boost::asio::ip::tcp::socket socket);

  void Start();
  void Close();

 private:
  void Read();

  /// Decodes and delivers all complete frames in the buffer. Closes the link at the first malformed one.
  void ProcessFrames();
  bool ProcessFrame(std::string_view bytes);
  bool OnHello(const PeerHello& hello);
  bool OnMessage(PeerMessage message);
  void CloseMalformed(const Error& error);

  const std::shared_ptr<PeerLinksState> m_state;
  const std::string m_remote;
  const std::shared_ptr<PeerStream> m_stream;
  std::vector<char> m_read_buffer;
  std::string m_pending_bytes;  ///< received bytes of an incomplete frame
  std::string m_frame;          ///< copy of the frame being decoded, aligned to 8 bytes
  EntryId m_from;               ///< sender, empty until the hello frame
  bool m_is_closed = false;
};

}  // namespace jaymast

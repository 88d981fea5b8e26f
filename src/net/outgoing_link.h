#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "base/id.h"
#include "net/peer_stream.h"

namespace jaymast {

class PeerLinksState;

/// Sends frames to one peer. Reconnects with jittered exponential backoff until it is closed.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink> {
 public:
  OutgoingLink(std::shared_ptr<PeerLinksState> state, EntryId peer, std::string address);

  const std::string& address() const { return m_address; }

  void Connect();
  void Send(const std::string& frame);
  void Close();

 private:
  void OnConnected();
  void Write();
  void ScheduleReconnect();
  std::chrono::milliseconds NextBackoff();

  const std::shared_ptr<PeerLinksState> m_state;
  const EntryId m_peer;
  const std::string m_address;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<PeerStream> m_stream;
  std::string m_queue;    ///< frames for the next write
  std::string m_writing;  ///< frames of the write in progress
  std::chrono::milliseconds m_backoff;
  bool m_is_connected = false;
  bool m_is_closed = false;
};

}  // namespace jaymast

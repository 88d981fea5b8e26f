#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/peer_links.h"

namespace jaymast {

class IncomingLink;
class OutgoingLink;

/// Owns all links of a PeerLinks. Must be used only on the thread of its io_context, except for the counters.
class PeerLinksState : public std::enable_shared_from_this<PeerLinksState> {
 public:
  PeerLinksState(boost::asio::io_context& io_context, PeerLinksOptions links_options, EntryId local,
                 PeerLinks::Receiver links_receiver);

  void Accept();
  void SetLocalId(EntryId local);
  void Connect(const EntryId& peer, const std::string& address);
  void Disconnect(const EntryId& peer);
  void Send(const EntryId& peer, const std::string& frame);
  void Stop();
  void Remove(const std::shared_ptr<IncomingLink>& link);

  const EntryId& local() const { return m_local; }

  boost::asio::io_context& context;
  const PeerLinksOptions options;
  const PeerLinks::Receiver receiver;
  boost::asio::ip::tcp::acceptor acceptor;

  std::atomic<std::uint64_t> sent = 0;
  std::atomic<std::uint64_t> received = 0;
  std::atomic<std::uint64_t> dropped = 0;
  std::atomic<std::uint64_t> malformed = 0;

 private:
  void CloseIncoming();

  EntryId m_local;
  std::map<EntryId, std::shared_ptr<OutgoingLink>> m_outgoing;
  std::set<std::shared_ptr<IncomingLink>> m_incoming;
  bool m_is_stopped = false;
};

}  // namespace jaymast

#include "net/peer_links.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "net/endpoint.h"
#include "net/incoming_link.h"
#include "net/io_pool.h"
#include "net/outgoing_link.h"
#include "net/peer_codec.h"
#include "net/peer_links_state.h"

namespace jaymast {

using Tcp = boost::asio::ip::tcp;

PeerLinksState::PeerLinksState(boost::asio::io_context& io_context, PeerLinksOptions links_options, EntryId local,
                               PeerLinks::Receiver links_receiver)
    : context(io_context),
      options(std::move(links_options)),
      receiver(std::move(links_receiver)),
      acceptor(io_context),
      m_local(std::move(local)) {}

void PeerLinksState::Accept() {
  acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, Tcp::socket socket) {
    if (self->m_is_stopped) return;
    if (!ec && self->m_incoming.size() < self->options.max_incoming_links) {
      const auto link = std::make_shared<IncomingLink>(self, std::move(socket));
      self->m_incoming.insert(link);
      link->Start();
    }
    self->Accept();
  });
}

void PeerLinksState::SetLocalId(EntryId local) {
  if (local == m_local) return;
  m_local = std::move(local);
  CloseIncoming();
  for (auto& [peer, link] : m_outgoing) {
    const std::string address = link->address();
    link->Close();
    link = std::make_shared<OutgoingLink>(shared_from_this(), peer, address);
    link->Connect();
  }
}

void PeerLinksState::Connect(const EntryId& peer, const std::string& address) {
  if (m_is_stopped) return;
  std::shared_ptr<OutgoingLink>& link = m_outgoing[peer];
  if (link && link->address() == address) return;
  if (link) link->Close();
  link = std::make_shared<OutgoingLink>(shared_from_this(), peer, address);
  link->Connect();
}

void PeerLinksState::Disconnect(const EntryId& peer) {
  const auto link = m_outgoing.find(peer);
  if (link == m_outgoing.end()) return;
  link->second->Close();
  m_outgoing.erase(link);
}

void PeerLinksState::Send(const EntryId& peer, const std::string& frame) {
  const auto link = m_outgoing.find(peer);
  if (link == m_outgoing.end()) {
    ++dropped;
    return;
  }
  link->second->Send(frame);
}

void PeerLinksState::Stop() {
  m_is_stopped = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  CloseIncoming();
  for (const auto& [peer, link] : m_outgoing) link->Close();
  m_outgoing.clear();
}

void PeerLinksState::Remove(const std::shared_ptr<IncomingLink>& link) { m_incoming.erase(link); }

void PeerLinksState::CloseIncoming() {
  const std::set<std::shared_ptr<IncomingLink>> incoming = std::exchange(m_incoming, {});
  for (const auto& link : incoming) link->Close();
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::Listen(IoPool& pool, PeerLinksOptions options, EntryId local,
                                                     Receiver receiver) {
  const Result<Tcp::endpoint> endpoint = ParseEndpoint(options.address);
  if (!endpoint) return endpoint.error();
  const std::string address = options.address;
  // The last thread is used, because HTTP servers assign their connections from the first one on.
  auto& context = pool.Context(pool.size() - 1);
  auto state = std::make_shared<PeerLinksState>(context, std::move(options), std::move(local), std::move(receiver));
  boost::system::error_code ec;
  state->acceptor.open(endpoint->protocol(), ec);
  if (!ec) state->acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec) state->acceptor.bind(*endpoint, ec);
  if (!ec) state->acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) return Error{ErrorId::kInputField, address, "cannot listen: " + ec.message()};
  boost::asio::post(context, [state] { state->Accept(); });
  return std::unique_ptr<PeerLinks>(new PeerLinks(pool, std::move(state)));
}

PeerLinks::PeerLinks(IoPool& pool, std::shared_ptr<PeerLinksState> state) : m_pool(pool), m_state(std::move(state)) {}

PeerLinks::~PeerLinks() {
  m_pool.RunAndWait(m_pool.size() - 1, [this] { m_state->Stop(); });
}

std::string PeerLinks::address() const {
  boost::system::error_code ignored;
  return FormatEndpoint(m_state->acceptor.local_endpoint(ignored));
}

void PeerLinks::SetLocalId(EntryId local) {
  boost::asio::post(m_state->context, [state = m_state, local = std::move(local)] { state->SetLocalId(local); });
}

void PeerLinks::Connect(const EntryId& peer, const std::string& address) {
  boost::asio::post(m_state->context, [state = m_state, peer, address] { state->Connect(peer, address); });
}

void PeerLinks::Disconnect(const EntryId& peer) {
  boost::asio::post(m_state->context, [state = m_state, peer] { state->Disconnect(peer); });
}

void PeerLinks::Send(const EntryId& peer, const PeerMessage& message) {
  boost::asio::post(m_state->context,
                    [state = m_state, peer, frame = EncodeFrame(message)] { state->Send(peer, frame); });
}

PeerLinks::Counters PeerLinks::counters() const {
  return {m_state->sent, m_state->received, m_state->dropped, m_state->malformed};
}

}  // namespace jaymast

#include "net/outgoing_link.h"

#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <utility>

#include "net/endpoint.h"
#include "net/peer_codec.h"
#include "net/peer_links_state.h"

namespace jaymast {

OutgoingLink::OutgoingLink(std::shared_ptr<PeerLinksState> state, EntryId peer, std::string address)
    : m_state(std::move(state)),
      m_peer(std::move(peer)),
      m_address(std::move(address)),
      m_timer(m_state->context),
      m_backoff(m_state->options.min_backoff) {}

void OutgoingLink::Connect() {
  if (m_is_closed) return;
  const auto endpoint = ParseEndpoint(m_address);
  if (!endpoint) {
    LOG(ERROR) << "jaymast.peer.address peer=" << m_peer << " address=" << m_address << ": " << endpoint.error().reason;
    return;
  }
  m_stream = PeerStream::Make(boost::asio::ip::tcp::socket(m_state->context), m_state->options.client_tls);
  m_stream->Connect(*endpoint, m_state->options.connect_timeout,
                    [self = shared_from_this(), stream = m_stream](boost::system::error_code ec) {
                      if (self->m_is_closed) return;
                      if (ec) return self->ScheduleReconnect();
                      self->OnConnected();
                    });
}

void OutgoingLink::OnConnected() {
  m_is_connected = true;
  m_queue.insert(0, EncodeFrame(PeerHello{m_state->local(), m_peer}));
  Write();
}

void OutgoingLink::Send(const std::string& frame) {
  const std::size_t size = frame.size();
  if (size > m_state->options.max_frame_bytes + kFrameLengthBytes) {
    LOG(WARNING) << "jaymast.peer.too-large peer=" << m_peer << ": frame of " << size << " bytes dropped";
    ++m_state->dropped;
    return;
  }
  if (m_queue.size() + size > m_state->options.max_queued_bytes) {
    ++m_state->dropped;
    return;
  }
  ++m_state->sent;
  m_queue += frame;
  if (m_is_connected && m_writing.empty()) Write();
}

void OutgoingLink::Write() {
  m_writing.swap(m_queue);
  m_stream->Write(boost::asio::buffer(m_writing), m_state->options.send_timeout,
                  [self = shared_from_this(), stream = m_stream](boost::system::error_code ec) {
                    if (self->m_is_closed) return;
                    if (ec) return self->ScheduleReconnect();
                    self->m_backoff = self->m_state->options.min_backoff;
                    self->m_writing.clear();
                    if (!self->m_queue.empty()) self->Write();
                  });
}

void OutgoingLink::ScheduleReconnect() {
  m_is_connected = false;
  m_stream->Close();
  // Queued frames are dropped, because they would be outdated on the next connection.
  m_queue.clear();
  m_writing.clear();
  m_timer.expires_after(NextBackoff());
  m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec) self->Connect();
  });
}

std::chrono::milliseconds OutgoingLink::NextBackoff() {
  thread_local std::minstd_rand generator{std::random_device{}()};
  const auto half = m_backoff / 2;
  m_backoff = std::min(m_backoff * 2, m_state->options.max_backoff);
  std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(0, half.count());
  return half + std::chrono::milliseconds(jitter(generator));
}

void OutgoingLink::Close() {
  m_is_closed = true;
  m_timer.cancel();
  if (m_stream) m_stream->Close();
}

}  // namespace jaymast

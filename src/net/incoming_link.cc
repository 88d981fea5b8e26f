#include "net/incoming_link.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "net/endpoint.h"
#include "net/peer_links_state.h"

namespace jaymast {
namespace {

/// Small, as links of unknown senders have one too, and there may be max_incoming_links of them.
constexpr std::size_t kReadBufferBytes = 16U << 10U;
/// Bound on the first frame, which contains two ids. Only a sender that knows the id of this incarnation may send
/// larger ones.
constexpr std::size_t kMaxHelloBytes = 4096;

std::string RemoteAddress(const boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  return FormatEndpoint(socket.remote_endpoint(ignored));
}

}  // namespace

IncomingLink::IncomingLink(std::shared_ptr<PeerLinksState> state, boost::asio::ip::tcp::socket socket)
    : m_state(std::move(state)),
      m_remote(RemoteAddress(socket)),
      m_stream(PeerStream::Make(std::move(socket), m_state->options.server_tls)),
      m_read_buffer(kReadBufferBytes) {}

void IncomingLink::Start() {
  m_stream->Accept(m_state->options.connect_timeout, [self = shared_from_this()](boost::system::error_code ec) {
    if (ec) return self->Close();
    self->Read();
  });
}

void IncomingLink::Close() {
  if (m_is_closed) return;
  m_is_closed = true;
  m_stream->Close();
  m_state->Remove(shared_from_this());
}

void IncomingLink::Read() {
  m_stream->ReadSome(boost::asio::buffer(m_read_buffer), m_state->options.idle_timeout,
                     [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
                       if (ec) return self->Close();
                       self->m_pending_bytes.append(self->m_read_buffer.data(), size);
                       self->ProcessFrames();
                       if (!self->m_is_closed) self->Read();
                     });
}

void IncomingLink::ProcessFrames() {
  std::size_t consumed = 0;
  while (m_pending_bytes.size() - consumed >= kFrameLengthBytes) {
    const std::string_view unread = std::string_view(m_pending_bytes).substr(consumed);
    const std::size_t length = DecodeFrameLength(unread);
    const std::size_t max_hello_bytes = std::min(kMaxHelloBytes, m_state->options.max_frame_bytes);
    if (length > (m_from.empty() ? max_hello_bytes : m_state->options.max_frame_bytes)) {
      return CloseMalformed(
          {ErrorId::kInputTooLarge, "length", std::to_string(length) + " bytes exceed the frame size limit"});
    }
    if (unread.size() < kFrameLengthBytes + length) break;
    if (!ProcessFrame(unread.substr(kFrameLengthBytes, length))) return;
    consumed += kFrameLengthBytes + length;
  }
  m_pending_bytes.erase(0, consumed);
}

bool IncomingLink::ProcessFrame(std::string_view bytes) {
  m_frame.assign(bytes);
  Result<PeerFrame> frame = DecodeFrame(m_frame);
  if (!frame) {
    CloseMalformed(frame.error());
    return false;
  }
  if (const auto* hello = std::get_if<PeerHello>(&*frame)) return OnHello(*hello);
  return OnMessage(std::get<PeerMessage>(std::move(*frame)));
}

bool IncomingLink::OnHello(const PeerHello& hello) {
  if (!m_from.empty() || hello.from.empty()) {
    CloseMalformed({ErrorId::kInputField, "hello", "repeated hello or hello without a sender"});
    return false;
  }
  if (hello.to != m_state->local()) {
    LOG(INFO) << "jaymast.peer.stale from=" << hello.from << " to=" << hello.to << ": link to another incarnation";
    Close();
    return false;
  }
  m_from = hello.from;
  return true;
}

bool IncomingLink::OnMessage(PeerMessage message) {
  if (m_from.empty()) {
    CloseMalformed({ErrorId::kInputField, "hello", "first frame is not a hello"});
    return false;
  }
  ++m_state->received;
  m_state->receiver(m_from, std::move(message));
  return true;
}

void IncomingLink::CloseMalformed(const Error& error) {
  ++m_state->malformed;
  LOG(WARNING) << "jaymast.peer.malformed remote=" << m_remote << " from=" << m_from << " field=" << error.path << ": "
               << error.reason;
  Close();
}

}  // namespace jaymast

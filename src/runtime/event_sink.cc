#include "runtime/event_sink.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cerrno>
#include <chrono>
#include <string>
#include <utility>

#include "net/endpoint.h"

namespace jaymast {
namespace {

constexpr int kStandardOutput = 1;
constexpr std::chrono::seconds kTcpTimeout{5};

class DescriptorSink : public EventSink {
 public:
  explicit DescriptorSink(int descriptor) : m_descriptor(descriptor) {}

  bool Write(std::string_view lines) override {
    while (!lines.empty()) {
      const ssize_t size = ::write(m_descriptor, lines.data(), lines.size());
      if (size < 0 && errno == EINTR) continue;
      if (size <= 0) return false;
      lines.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

 private:
  int m_descriptor;
};

/// Writes to a TCP connection. Reconnects on the write after an error; the batch that failed is lost.
class TcpSink : public EventSink {
 public:
  explicit TcpSink(const std::string& address) : m_endpoint(*ParseEndpoint(address)) {}

  bool Write(std::string_view lines) override {
    boost::system::error_code ec;
    if (!m_is_connected) {
      m_stream.expires_after(kTcpTimeout);
      m_stream.async_connect(m_endpoint, [&ec](boost::system::error_code result) { ec = result; });
      RunOperation();
      if (ec) return Fail();
      m_is_connected = true;
    }
    m_stream.expires_after(kTcpTimeout);
    boost::asio::async_write(m_stream, boost::asio::buffer(lines),
                             [&ec](boost::system::error_code result, std::size_t) { ec = result; });
    RunOperation();
    return !ec || Fail();
  }

 private:
  void RunOperation() {
    m_context.restart();
    m_context.run();
  }

  bool Fail() {
    m_stream.close();
    m_is_connected = false;
    return false;
  }

  boost::asio::io_context m_context;
  boost::beast::tcp_stream m_stream{m_context};
  const boost::asio::ip::tcp::endpoint m_endpoint;
  bool m_is_connected = false;
};

}  // namespace

std::unique_ptr<EventSink> EventSink::Make(const EventSettings& settings) {
  switch (settings.output) {
    case EventOutput::kNone:
      return nullptr;
    case EventOutput::kStdout:
      return std::make_unique<DescriptorSink>(kStandardOutput);
    case EventOutput::kDescriptor:
      return std::make_unique<DescriptorSink>(settings.descriptor);
    case EventOutput::kTcp:
      return std::make_unique<TcpSink>(settings.address);
  }
  return nullptr;
}

}  // namespace jaymast

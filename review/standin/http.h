#pragma once

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace review {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline constexpr const char* kHost = "127.0.0.1";

/// Milliseconds on the steady clock since the start of the program.
inline std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// HTTP server on a loopback address, with a thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<void(const Request&, Response&)>;

  explicit HttpServer(Handler handler)
      : m_handler(std::move(handler)), m_acceptor(m_context, Tcp::endpoint(boost::asio::ip::make_address(kHost), 0)) {
    std::thread([this] { Accept(); }).detach();
  }

  std::string address() const { return kHost + (":" + std::to_string(m_acceptor.local_endpoint().port())); }

 private:
  void Accept() {
    for (;;) {
      auto socket = std::make_shared<Tcp::socket>(m_context);
      boost::system::error_code ec;
      m_acceptor.accept(*socket, ec);
      if (ec) return;
      socket->set_option(Tcp::no_delay(true), ec);
      std::thread([this, socket] { Serve(*socket); }).detach();
    }
  }

  void Serve(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    for (;;) {
      boost::system::error_code ec;
      http::request_parser<http::string_body> parser;
      parser.body_limit(std::uint64_t{8} << 20U);
      http::read(socket, buffer, parser, ec);
      if (ec) return;
      Response response;
      response.version(11);
      response.result(200);
      response.keep_alive(parser.get().keep_alive());
      m_handler(parser.get(), response);
      response.prepare_payload();
      http::write(socket, response, ec);
      if (ec || !response.keep_alive()) return;
    }
  }

  Handler m_handler;
  boost::asio::io_context m_context;
  Tcp::acceptor m_acceptor;
};

/// Result of one call: status 0 if there was no response.
struct CallResult {
  int status = 0;
  bool is_connected = false;
  std::string body;
};

/// Sends one request on a new connection and waits for the response.
inline CallResult Call(const std::string& address, Request request, std::int64_t timeout_ms) {
  boost::asio::io_context context;
  boost::beast::tcp_stream stream(context);
  boost::beast::flat_buffer buffer;
  Response response;
  CallResult result;
  const std::size_t colon = address.find(':');
  const Tcp::endpoint endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                               static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  request.version(11);
  request.prepare_payload();
  stream.expires_after(std::chrono::milliseconds(timeout_ms));
  stream.async_connect(endpoint, [&](boost::system::error_code ec) {
    if (ec) return;
    result.is_connected = true;
    http::async_write(stream, request, [&](boost::system::error_code write_ec, std::size_t) {
      if (write_ec) return;
      http::async_read(stream, buffer, response, [&](boost::system::error_code read_ec, std::size_t) {
        if (read_ec) return;
        result.status = static_cast<int>(response.result_int());
        result.body = response.body();
      });
    });
  });
  context.run();
  return result;
}

inline Request MakeRequest(http::verb method, const std::string& target, const std::string& host,
                           std::string body = "") {
  Request request;
  request.method(method);
  request.target(target);
  request.set(http::field::host, host);
  if (!body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  return request;
}

}  // namespace review

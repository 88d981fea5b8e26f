#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "net/http_message.h"

namespace jaymast {

/// Interface through which a responder sends to its connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Responds to request number `sequence` of the connection. Ignored if that request already has a response.
  virtual void Respond(std::uint64_t sequence, HttpResponse response) = 0;
  virtual void SetOnGone(std::function<void()> on_gone) = 0;
};

/// Sends the response to one request. Copies refer to the same request; only the first response is sent.
class HttpResponder {
 public:
  HttpResponder(std::weak_ptr<HttpExchange> exchange, std::uint64_t sequence)
      : m_exchange(std::move(exchange)), m_sequence(sequence) {}

  /// Sends the response. May be called from any thread, and has no effect after the connection is closed.
  void Respond(HttpResponse response) const {
    if (const auto exchange = m_exchange.lock()) exchange->Respond(m_sequence, std::move(response));
  }

  /// Sets a function that is called on an I/O thread if the connection closes before the response.
  /// Must be called only from within the handler of the server.
  void OnGone(std::function<void()> on_gone) const {
    if (const auto exchange = m_exchange.lock()) exchange->SetOnGone(std::move(on_gone));
  }

 private:
  std::weak_ptr<HttpExchange> m_exchange;
  std::uint64_t m_sequence;
};

}  // namespace jaymast

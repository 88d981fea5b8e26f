#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "net/http_message.h"

namespace jaymast {

/// Server side of a connection, as a responder sees it.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Answers request number `sequence` of the connection. Ignored if that request was answered before.
  virtual void Respond(std::uint64_t sequence, HttpResponse response) = 0;
  virtual void SetOnGone(std::function<void()> on_gone) = 0;
};

/// Handle to answer one request. Copies answer the same request; only the first answer is sent.
class HttpResponder {
 public:
  HttpResponder(std::weak_ptr<HttpExchange> exchange, std::uint64_t sequence)
      : m_exchange(std::move(exchange)), m_sequence(sequence) {}

  /// Sends the response. May be called from any thread, also after the connection was closed.
  void Respond(HttpResponse response) const {
    if (const auto exchange = m_exchange.lock()) exchange->Respond(m_sequence, std::move(response));
  }

  /// Sets a function that is called on a traffic thread when the caller closes the connection before the response.
  /// Call it only from inside the handler of the server.
  void OnGone(std::function<void()> on_gone) const {
    if (const auto exchange = m_exchange.lock()) exchange->SetOnGone(std::move(on_gone));
  }

 private:
  std::weak_ptr<HttpExchange> m_exchange;
  std::uint64_t m_sequence;
};

}  // namespace jaymast

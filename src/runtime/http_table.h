#pragma once

#include <chrono>
#include <string>

#include "core/effects.h"
#include "model/table_codec.h"
#include "net/http_client.h"

namespace jaymast {

class Metrics;

/// Client of the table service over HTTP. The callbacks are called on a traffic thread, by the timeout at the latest.
class HttpTable {
 public:
  HttpTable(HttpClient& client, Metrics& metrics, std::string address, std::chrono::milliseconds timeout);

  void Commit(const Transaction& transaction, Effects::CommitCallback done);
  void Read(const ReadRequest& request, Effects::ReadCallback done);
  void Lookup(const TransactionId& id, Effects::LookupCallback done);

 private:
  void Send(const TableRequest& request, HttpClient::Callback done);

  HttpClient& m_client;
  Metrics& m_metrics;
  const std::string m_address;
  const std::chrono::milliseconds m_timeout;
};

/// What a result of the HTTP client says about a transaction.
CommitReply CommitReplyOf(const HttpResult& result);

ReadReply ReadReplyOf(const HttpResult& result);
LookupReply LookupReplyOf(const HttpResult& result);

}  // namespace jaymast

#pragma once

#include <chrono>
#include <string>

#include "core/effects.h"
#include "model/table_codec.h"
#include "net/http_client.h"

namespace jaymast {

class Metrics;

/// Calls the table service over HTTP. Callbacks run on a traffic thread, after the timeout at the latest.
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

/// Converts a result of the HTTP client to the outcome of a transaction.
CommitReply CommitReplyOf(const HttpResult& result);

ReadReply ReadReplyOf(const HttpResult& result);
LookupReply LookupReplyOf(const HttpResult& result);

}  // namespace jaymast

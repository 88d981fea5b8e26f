#include "runtime/http_table.h"

#include <glog/logging.h>

#include <utility>

#include "base/http_status.h"
#include "runtime/metrics.h"

namespace jaymast {
namespace {

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

void LogMalformed(const Error& error) {
  LOG(ERROR) << "jaymast.table.malformed path=" << error.path << ": " << error.reason;
}

}  // namespace

HttpTable::HttpTable(HttpClient& client, Metrics& metrics, std::string address, std::chrono::milliseconds timeout)
    : m_client(client), m_metrics(metrics), m_address(std::move(address)), m_timeout(timeout) {}

void HttpTable::Commit(const Transaction& transaction, Effects::CommitCallback done) {
  Send(transaction, [done = std::move(done)](const HttpResult& result) { done(CommitReplyOf(result)); });
}

void HttpTable::Read(const ReadRequest& request, Effects::ReadCallback done) {
  Send(request, [done = std::move(done)](const HttpResult& result) { done(ReadReplyOf(result)); });
}

void HttpTable::Lookup(const TransactionId& id, Effects::LookupCallback done) {
  Send(LookupRequest{id}, [done = std::move(done)](const HttpResult& result) { done(LookupReplyOf(result)); });
}

void HttpTable::Send(const TableRequest& request, HttpClient::Callback done) {
  HttpCall call = EncodeTableRequest(request);
  const auto begin = std::chrono::steady_clock::now();
  HttpRequest http{std::move(call.method), std::move(call.target), {}, std::move(call.body)};
  m_client.Send(m_address, std::move(http), begin + m_timeout,
                [&metrics = m_metrics, begin, done = std::move(done)](const HttpResult& result) {
                  const auto time = std::chrono::steady_clock::now() - begin;
                  metrics.Observe(Timing::kTableCall, std::chrono::duration_cast<std::chrono::microseconds>(time));
                  done(result);
                });
}

CommitReply CommitReplyOf(const HttpResult& result) {
  if (result.status == SendStatus::kNotSent) return {CommitStatus::kNotSent, 0};
  if (result.status == SendStatus::kUnknown) return {CommitStatus::kUnknown, 0};
  const int status = result.response.status;
  // The table service rejected the call (busy, malformed) without executing it.
  if (status >= kFirstClientError && status < kFirstServerError) return {CommitStatus::kNotSent, 0};
  if (status != kStatusOk) return {CommitStatus::kUnknown, 0};
  const Result<CommitReply> reply = DecodeCommitReply(result.response.body);
  if (reply) return *reply;
  LogMalformed(reply.error());
  return {CommitStatus::kUnknown, 0};
}

ReadReply ReadReplyOf(const HttpResult& result) {
  if (result.status != SendStatus::kAnswered || result.response.status != kStatusOk) return {};
  Result<ReadReply> reply = DecodeReadReply(result.response.body);
  if (reply) return std::move(*reply);
  LogMalformed(reply.error());
  return {};
}

LookupReply LookupReplyOf(const HttpResult& result) {
  if (result.status != SendStatus::kAnswered || result.response.status != kStatusOk) return {};
  const Result<LookupReply> reply = DecodeLookupReply(result.response.body);
  if (reply) return *reply;
  LogMalformed(reply.error());
  return {};
}

}  // namespace jaymast

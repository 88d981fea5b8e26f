#include "standin/table_service.h"

#include <boost/json.hpp>
#include <utility>
#include <variant>

#include "base/http_status.h"

namespace jaymast {
namespace {

TableService::Answer InputError(const Error& error) {
  const boost::json::object body = {{"id", ToString(error.id)}, {"path", error.path}, {"reason", error.reason}};
  return {error.id == ErrorId::kRouteUnknown ? kStatusNotFound : kStatusBadRequest, boost::json::serialize(body)};
}

}  // namespace

std::optional<TableService::Answer> TableService::Handle(const HttpCall& call, Time now) {
  if (m_faults.outage) return std::nullopt;
  const Result<TableRequest> request = DecodeTableRequest(call);
  if (!request) return InputError(request.error());
  Answer answer = std::visit([this, now](const auto& one) { return Execute(one, now); }, *request);
  if (m_faults.lose_answers) return std::nullopt;
  return answer;
}

TableService::Answer TableService::Execute(const Transaction& transaction, Time now) {
  if (!m_writes.Admit(now)) return {kStatusTooManyRequests, EncodeCommitReply({CommitStatus::kNotSent, 0})};
  return {kStatusOk, EncodeCommitReply(m_store.Commit(transaction))};
}

TableService::Answer TableService::Execute(const ReadRequest& request, Time now) {
  if (!m_reads.Admit(now)) return {kStatusTooManyRequests, EncodeReadReply({})};
  return {kStatusOk, EncodeReadReply(m_store.Read(request))};
}

TableService::Answer TableService::Execute(const LookupRequest& request, Time now) {
  if (!m_reads.Admit(now)) return {kStatusTooManyRequests, EncodeLookupReply({})};
  return {kStatusOk, EncodeLookupReply(m_store.Lookup(request.id))};
}

}  // namespace jaymast

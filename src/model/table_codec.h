#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "core/table.h"
#include "model/http_call.h"

namespace jaymast {

/// Asks whether a transaction committed.
struct LookupRequest {
  TransactionId id;
};

/// A request to the table service.
using TableRequest = std::variant<Transaction, ReadRequest, LookupRequest>;

/// Encodes a request to the table service as an HTTP call to its route.
HttpCall EncodeTableRequest(const TableRequest& request);

/// Decodes an HTTP call to the table service.
/// @return the request, or jaymast.route.unknown, or an input error with the path of the offending field
Result<TableRequest> DecodeTableRequest(const HttpCall& call);

std::string EncodeCommitReply(const CommitReply& reply);
Result<CommitReply> DecodeCommitReply(std::string_view body);

std::string EncodeReadReply(const ReadReply& reply);
Result<ReadReply> DecodeReadReply(std::string_view body);

std::string EncodeLookupReply(const LookupReply& reply);
Result<LookupReply> DecodeLookupReply(std::string_view body);

}  // namespace jaymast

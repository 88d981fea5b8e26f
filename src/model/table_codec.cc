#include "model/table_codec.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/field_reader.h"
#include "model/codec.h"
#include "model/path.h"
#include "model/read_items.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxValueBytes = 16U << 20U;

std::vector<std::string> ReadTexts(FieldReader& reader, const char* name) {
  std::vector<std::string> texts;
  const json::array* array = reader.Array(name);
  if (array == nullptr) return texts;
  if (array->size() > kMaxArrayItems) reader.Fail(name, fmt::format("more than {} items", kMaxArrayItems));
  for (const json::value& value : *array) {
    if (!value.is_string() || value.get_string().size() > kMaxKeyBytes) {
      reader.Fail(name, fmt::format("expected strings of at most {} bytes", kMaxKeyBytes));
    }
    if (reader.error()) return texts;
    texts.emplace_back(value.get_string());
  }
  return texts;
}

json::array TextsToJson(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) array.emplace_back(text);
  return array;
}

Condition ReadCondition(FieldReader& reader, const std::string&) {
  Condition condition;
  condition.key = reader.RequiredString("key", kMaxKeyBytes);
  condition.version = reader.Int("version", 0, 0, INT64_MAX);
  return condition;
}

json::object WriteToJson(const Write& write) {
  if (!write.value) return {{"key", write.key}, {"delete", true}};
  return {{"key", write.key}, {"value", *write.value}};
}

Write ReadWrite(FieldReader& reader, const std::string&) {
  Write write;
  write.key = reader.RequiredString("key", kMaxKeyBytes);
  const std::string value = reader.String("value", "", kMaxValueBytes);
  if (!reader.Bool("delete", false)) write.value = value;
  if (!write.value && !value.empty()) reader.Fail("delete", "a deleted row has no value");
  return write;
}

Row ReadRow(FieldReader& reader, const std::string&) {
  Row row;
  row.key = reader.RequiredString("key", kMaxKeyBytes);
  row.value = reader.String("value", "", kMaxValueBytes);
  row.version = reader.Int("version", 0, 0, INT64_MAX);
  return row;
}

struct RequestEncoder {
  HttpCall operator()(const Transaction& transaction) const {
    json::array conditions;
    for (const Condition& condition : transaction.conditions) {
      conditions.push_back(json::object{{"key", condition.key}, {"version", condition.version}});
    }
    json::array writes;
    for (const Write& write : transaction.writes) writes.push_back(WriteToJson(write));
    const json::object body = {
        {"id", transaction.id.value()}, {"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
    return {"POST", "/v1/txn", json::serialize(body)};
  }
  HttpCall operator()(const ReadRequest& request) const {
    const json::object body = {{"keys", TextsToJson(request.keys)}, {"prefixes", TextsToJson(request.prefixes)}};
    return {"POST", "/v1/read", json::serialize(body)};
  }
  HttpCall operator()(const LookupRequest& request) const {
    return {"GET", "/v1/txn/" + EncodeSegment(request.id.value()), ""};
  }
};

Result<TableRequest> ReadTransaction(FieldReader& reader) {
  Transaction transaction;
  transaction.id = TransactionId(reader.RequiredString("id", kMaxKeyBytes));
  transaction.conditions = ReadItems<Condition>(reader, "conditions", ReadCondition);
  transaction.writes = ReadItems<Write>(reader, "writes", ReadWrite);
  return FinishReading<TableRequest>(reader, std::move(transaction));
}

Result<TableRequest> ReadRead(FieldReader& reader) {
  ReadRequest request;
  request.keys = ReadTexts(reader, "keys");
  request.prefixes = ReadTexts(reader, "prefixes");
  return FinishReading<TableRequest>(reader, std::move(request));
}

}  // namespace

HttpCall EncodeTableRequest(const TableRequest& request) { return std::visit(RequestEncoder{}, request); }

Result<TableRequest> DecodeTableRequest(const HttpCall& call) {
  const Result<std::vector<std::string>> path = SplitPath(call.target);
  if (!path) return path.error();
  const Error unknown{ErrorId::kRouteUnknown, call.target, "unknown route of the table service"};
  if (path->size() < 2 || path->at(0) != "v1") return unknown;
  const bool lookup = call.method == "GET" && path->size() == 3 && path->at(1) == "txn" && !path->at(2).empty();
  if (lookup) return TableRequest(LookupRequest{TransactionId(path->at(2))});
  const bool commit = path->at(1) == "txn";
  if (call.method != "POST" || path->size() != 2 || (!commit && path->at(1) != "read")) return unknown;
  const Result<json::object> body = ParseObject(call.body, "");
  if (!body) return body.error();
  FieldReader reader(*body, "");
  return commit ? ReadTransaction(reader) : ReadRead(reader);
}

std::string EncodeCommitReply(const CommitReply& reply) {
  return json::serialize(json::object{{"status", ToString(reply.status)}, {"version", reply.version}});
}

Result<CommitReply> DecodeCommitReply(std::string_view body) {
  const Result<json::object> object = ParseObject(body, "");
  if (!object) return object.error();
  FieldReader reader(*object, "");
  CommitReply reply;
  reply.status = reader.Enum("status", CommitStatus::kUnknown);
  reply.version = reader.Int("version", 0, 0, INT64_MAX);
  return FinishReading(reader, reply);
}

std::string EncodeReadReply(const ReadReply& reply) {
  json::array rows;
  for (const Row& row : reply.rows) {
    rows.push_back(json::object{{"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  return json::serialize(json::object{{"available", reply.available}, {"rows", std::move(rows)}});
}

Result<ReadReply> DecodeReadReply(std::string_view body) {
  const Result<json::object> object = ParseObject(body, "");
  if (!object) return object.error();
  FieldReader reader(*object, "");
  ReadReply reply;
  reply.available = reader.Bool("available", false);
  reply.rows = ReadItems<Row>(reader, "rows", ReadRow);
  return FinishReading(reader, std::move(reply));
}

std::string EncodeLookupReply(const LookupReply& reply) {
  return json::serialize(json::object{{"status", ToString(reply.status)}, {"version", reply.version}});
}

Result<LookupReply> DecodeLookupReply(std::string_view body) {
  const Result<json::object> object = ParseObject(body, "");
  if (!object) return object.error();
  FieldReader reader(*object, "");
  LookupReply reply;
  reply.status = reader.Enum("status", LookupStatus::kUnavailable);
  reply.version = reader.Int("version", 0, 0, INT64_MAX);
  return FinishReading(reader, reply);
}

}  // namespace jaymast

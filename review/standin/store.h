#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

namespace json = boost::json;

std::string EncodeBase64(const std::string& bytes);
/// Number of bytes that a base64 text stands for.
std::size_t DecodedSize(const std::string& text);

/// Stand-in of the platform's store: rows, transactions with conditions, and feeds. It loses nothing.
class Store {
 public:
  /// Largest value of a row, as the settings of the entries say.
  static constexpr std::size_t kRowBytes = 65'536;

  explicit Store(Record& record);

  std::string address() const { return m_server.address(); }

  /// Writes a row of the operator or of a runner, in the empty part.
  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  /// Transactions that were rejected because a value was larger than kRowBytes.
  int oversized_transactions() const { return m_oversized; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;  // table, part, key
  struct Row {
    std::string value;
    std::int64_t version = 0;
  };
  struct Change {
    Key key;
    std::string value;
    std::int64_t version = 0;
    bool is_deleted = false;
  };

  void Handle(const Request& request, Response& response);
  void Transact(const Request& request, Response& response);
  void Get(const std::map<std::string, std::string>& query, Response& response);
  void Feed(const std::map<std::string, std::string>& query, Response& response);
  static json::object Describe(const Key& key, const std::string& value, std::int64_t version);
  void Apply(const Key& key, const std::string& value, bool is_deleted);

  Record& m_record;
  std::mutex m_mutex;
  std::mutex m_transaction_mutex;
  std::condition_variable m_changed;
  std::map<Key, Row> m_rows;
  std::vector<Change> m_changes;
  std::int64_t m_version = 0;
  std::atomic<int> m_oversized = 0;
  HttpServer m_server;
};

}  // namespace review

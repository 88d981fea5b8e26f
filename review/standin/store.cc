#include "store.h"

#include <algorithm>

namespace review {
namespace {

constexpr std::int64_t kTransactionMs = 5;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxTransactionBytes = 1'000'000;
constexpr std::size_t kMaxRowsPerPage = 500;
constexpr std::size_t kMaxBytesPerPage = 1'000'000;
constexpr std::int64_t kMaxWaitMs = 30'000;

std::string DecodeQueryValue(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    const std::size_t end = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = item.find('=');
    if (equals != std::string::npos) query[item.substr(0, equals)] = DecodeQueryValue(item.substr(equals + 1));
    at = end;
  }
  return query;
}

std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

const json::array& Array(const json::object& object, const char* name) {
  static const json::array empty;
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_array() ? value->get_array() : empty;
}

void Respond(Response& response, unsigned status, const json::object& body) {
  response.result(status);
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  static constexpr const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= bytes.size() ? kDigits[(group >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return out;
}

std::size_t DecodedSize(const std::string& text) {
  const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
  return text.size() / 4 * 3 - std::min(padding, text.size() / 4 * 3);
}

Store::Store(Record& record)
    : m_record(record), m_server([this](const Request& request, Response& response) { Handle(request, response); }) {}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  ++m_version;
  Apply({table, "", key}, EncodeBase64(value), false);
  m_changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(m_mutex);
  ++m_version;
  Apply({table, "", key}, "", true);
  m_changed.notify_all();
}

void Store::Apply(const Key& key, const std::string& value, bool is_deleted) {
  if (is_deleted) {
    m_rows.erase(key);
  } else {
    m_rows[key] = {value, m_version};
  }
  m_changes.push_back({key, value, m_version, is_deleted});
}

void Store::Handle(const Request& request, Response& response) {
  const std::string target(request.target());
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/v1/rows-tx") return Transact(request, response);
  if (path == "/v1/rows-get") return Get(ParseQuery(target), response);
  if (path == "/v1/rows-feed") return Feed(ParseQuery(target), response);
  Respond(response, 404, {});
}

json::object Store::Describe(const Key& key, const std::string& value, std::int64_t version) {
  return {{"table", std::get<0>(key)},
          {"part", std::get<1>(key)},
          {"key", std::get<2>(key)},
          {"value", value},
          {"ver", version}};
}

void Store::Transact(const Request& request, Response& response) {
  json::error_code ec;
  const json::value parsed = json::parse(request.body(), ec);
  if (ec || !parsed.is_object()) return Respond(response, 400, {{"error", "not an object"}});
  const json::object& body = parsed.get_object();
  const json::array& conditions = Array(body, "expectedRev");
  const json::array& upserts = Array(body, "upserts");
  const json::array& removals = Array(body, "remove");
  const auto key_of = [](const json::value& entry) {
    const json::object& row = entry.get_object();
    return Key{Text(row, "table"), Text(row, "part"), Text(row, "key")};
  };
  // One transaction of a part after another.
  const std::lock_guard serial(m_transaction_mutex);
  SleepMs(kTransactionMs);
  if (conditions.size() + upserts.size() + removals.size() > kMaxEntries ||
      request.body().size() > kMaxTransactionBytes) {
    m_record.Write("store: transaction with too many entries or bytes rejected");
    return Respond(response, 400, {{"error", "too large"}});
  }
  for (const json::value& entry : upserts) {
    const std::size_t size = DecodedSize(Text(entry.get_object(), "value"));
    if (size <= kRowBytes) continue;
    ++m_oversized;
    if (m_oversized <= 3 || m_oversized % 50 == 0) {
      m_record.Write("store: transaction with a value of " + std::to_string(size) + " bytes rejected, rowBytes is " +
                     std::to_string(kRowBytes) + "; rejected so far: " + std::to_string(m_oversized));
    }
    return Respond(response, 400, {{"error", "value is larger than rowBytes"}});
  }
  const std::lock_guard lock(m_mutex);
  bool holds = true;
  json::array current;
  for (const json::value& entry : conditions) {
    const Key key = key_of(entry);
    const auto found = m_rows.find(key);
    const std::int64_t version = found == m_rows.end() ? 0 : found->second.version;
    holds = holds && version == entry.get_object().at("ver").to_number<std::int64_t>();
    if (found != m_rows.end()) current.push_back(Describe(key, found->second.value, version));
  }
  if (!holds) {
    return Respond(response, 412, {{"rows", std::move(current)}, {"ver", m_version}, {"nowMs", NowMs()}});
  }
  ++m_version;
  for (const json::value& entry : upserts) Apply(key_of(entry), Text(entry.get_object(), "value"), false);
  for (const json::value& entry : removals) Apply(key_of(entry), "", true);
  m_changed.notify_all();
  Respond(response, 200, {{"ver", m_version}, {"nowMs", NowMs()}});
}

void Store::Get(const std::map<std::string, std::string>& query, Response& response) {
  const auto value_of = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  const std::string table = value_of("table");
  const std::string part = value_of("part");
  const std::string from = value_of("from");
  const std::string to = value_of("to");
  std::size_t limit = kMaxRowsPerPage;
  if (const std::string text = value_of("limit"); !text.empty()) {
    limit = std::min(limit, static_cast<std::size_t>(std::stoul(text)));
  }
  SleepMs(4);
  const std::lock_guard lock(m_mutex);
  json::array rows;
  std::size_t bytes = 0;
  bool has_more = false;
  for (auto it = m_rows.lower_bound({table, part, from}); it != m_rows.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part || (!to.empty() && key >= to)) break;
    bytes += it->second.value.size();
    if (rows.size() >= limit || (!rows.empty() && bytes > kMaxBytesPerPage)) {
      has_more = true;
      break;
    }
    rows.push_back(Describe(it->first, it->second.value, it->second.version));
  }
  Respond(response, 200, {{"rows", std::move(rows)}, {"hasMore", has_more}, {"ver", m_version}, {"nowMs", NowMs()}});
}

void Store::Feed(const std::map<std::string, std::string>& query, Response& response) {
  const std::string table = query.at("table");
  const std::int64_t after = std::stoll(query.at("after"));
  const auto wait = query.find("waitMs");
  const std::int64_t wait_ms = wait == query.end() ? 0 : std::min<std::int64_t>(kMaxWaitMs, std::stoll(wait->second));
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock lock(m_mutex);
  json::array rows;
  for (;;) {
    const auto first = std::upper_bound(m_changes.begin(), m_changes.end(), after,
                                        [](std::int64_t version, const Change& c) { return version < c.version; });
    for (auto it = first; it != m_changes.end(); ++it) {
      if (std::get<0>(it->key) != table) continue;
      json::object row = Describe(it->key, it->value, it->version);
      if (it->is_deleted) row["deleted"] = true;
      rows.push_back(std::move(row));
    }
    if (!rows.empty() || m_changed.wait_until(lock, deadline) == std::cv_status::timeout) break;
  }
  Respond(response, 200, {{"rows", std::move(rows)}, {"ver", m_version}, {"nowMs", NowMs()}});
}

}  // namespace review

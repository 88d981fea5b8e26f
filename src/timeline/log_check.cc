#include "timeline/log_check.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <map>
#include <optional>
#include <utility>

#include "base/field_reader.h"
#include "model/codec.h"
#include "testing/invariants/check_all.h"

namespace jaymast {
namespace {

namespace json = boost::json;

/// Decodes each object of an optional array and passes it to `use`.
template <typename T, typename Use>
std::optional<Error> ForEach(FieldReader& reader, const std::string& file, std::string_view name,
                             Result<T> (*decode)(const json::object&, const std::string&), Use use) {
  const json::array* array = reader.Array(name);
  if (array == nullptr) return std::nullopt;
  std::size_t number = 0;
  for (const json::value& value : *array) {
    const std::string path = fmt::format("{}/{}/{}", file, name, number++);
    if (!value.is_object()) return Error{ErrorId::kInputField, path, "expected an object"};
    const Result<T> item = decode(value.get_object(), path);
    if (!item) return item.error();
    use(*item);
  }
  return std::nullopt;
}

std::optional<Error> ReadUpstreams(const json::object& object, const std::string& file, Facts& facts) {
  const json::value* upstreams = object.if_contains("upstreams");
  if (upstreams == nullptr) return std::nullopt;
  const Result<InstanceList> list = InstanceListFromJson(json::object{{"upstreams", *upstreams}}, file);
  if (!list) return list.error();
  for (const UpstreamInfo& info : list->upstreams) facts.upstreams[info.id] = info;
  return std::nullopt;
}

/// Gives each request a number that is unique over all processes and restarts.
class RequestNumbers {
 public:
  void Apply(Event& event) {
    const bool is_about_request = event.kind == EventKind::kRequestReceived || event.kind == EventKind::kReplySent ||
                                  event.kind == EventKind::kCallerLeft;
    if (!is_about_request) return;
    const std::pair<std::string, RequestId> local(event.process, event.request);
    if (event.kind == EventKind::kRequestReceived || !m_current.contains(local)) m_current[local] = ++m_last;
    event.request = m_current[local];
  }

 private:
  std::map<std::pair<std::string, RequestId>, RequestId> m_current;
  RequestId m_last = 0;
};

/// Records that the callers of a crashed process saw a closed connection instead of an answer.
void CloseOpenRequests(const std::vector<Event>& events, const std::set<std::string>& crashed, Facts& facts) {
  std::map<RequestId, std::string> open;
  for (const Event& event : events) {
    if (event.kind == EventKind::kRequestReceived) open[event.request] = event.process;
    if (event.kind == EventKind::kReplySent) open.erase(event.request);
  }
  for (const auto& [request, process] : open) {
    if (!crashed.contains(process)) continue;
    CallerRecord record;
    record.request = request;
    record.process = process;
    record.closed = true;
    facts.callers[request] = record;
  }
}

}  // namespace

Result<LogFacts> LogFactsFromJson(std::string_view text, const std::string& file) {
  const Result<json::object> object = ParseObject(text, file);
  if (!object) return object.error();
  FieldReader reader(*object, file);
  LogFacts known;
  reader.Array("upstreams");
  if (auto error = ReadUpstreams(*object, file, known.facts)) return *error;
  if (auto error = ForEach<TaskSpec>(reader, file, "tasks", &TaskSpecFromJson,
                                     [&](const TaskSpec& spec) { known.facts.specs[spec.id] = spec; })) {
    return *error;
  }
  if (auto error = ForEach<ClusterConfig>(reader, file, "configs", &ClusterConfigFromJson,
                                          [&](const auto& config) { known.facts.configs[config.version] = config; })) {
    return *error;
  }
  if (const json::array* crashed = reader.Array("crashed")) {
    for (const json::value& name : *crashed) {
      if (name.is_string()) known.crashed.emplace(name.get_string());
      if (!name.is_string()) reader.Fail("crashed", "expected an array of strings");
    }
  }
  reader.RejectUnknown();
  if (reader.error()) return *reader.error();
  return known;
}

std::vector<Violation> CheckTimeline(const std::vector<TimelineEvent>& events, const LogFacts& known) {
  RequestNumbers numbers;
  std::vector<Event> dated;
  dated.reserve(events.size());
  for (const TimelineEvent& item : events) {
    dated.push_back(item.Dated());
    numbers.Apply(dated.back());
  }
  Facts facts = known.facts;
  CloseOpenRequests(dated, known.crashed, facts);
  return CheckAllInvariants(facts, dated);
}

}  // namespace jaymast

#include "tasks/journal_record.h"

#include <boost/json.hpp>
#include <utility>

#include "base/field_reader.h"
#include "model/codec.h"

namespace jaymast {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxOutputBytes = 8U << 20U;

json::object EndToJson(const TaskEnd& end) {
  return {{"state", ToString(end.state)},
          {"verdict", ToString(end.verdict)},
          {"error", ToString(end.error)},
          {"output", end.output}};
}

TaskEnd ReadEnd(const json::object& object) {
  FieldReader reader(object, "end");
  TaskEnd end;
  end.state = reader.Enum("state", EndState::kUnknown);
  end.verdict = reader.Enum("verdict", Verdict::kMayHaveRun);
  end.error = reader.Enum("error", ErrorId::kNone);
  end.output = reader.String("output", "", kMaxOutputBytes);
  return end;
}

json::object RecordToJson(const JournalRecord& record) {
  json::object object = {
      {"kind", ToString(record.kind)}, {"task", record.id.task.value()}, {"attempt", record.id.attempt}};
  switch (record.kind) {
    case JournalRecordKind::kAccepted:
      object["spec"] = ToJson(record.spec);
      break;
    case JournalRecordKind::kClaimed:
      object["owner"] = record.owner.value();
      object["upstream"] = record.upstream.value();
      object["domain"] = record.domain.value();
      object["epoch"] = record.epoch;
      break;
    case JournalRecordKind::kReleased:
      object["checkpoint"] = record.checkpoint;
      break;
    case JournalRecordKind::kEnded:
      object["end"] = EndToJson(record.end);
      break;
    case JournalRecordKind::kRemoved:
      break;
  }
  return object;
}

Result<JournalRecord> ReadRecord(const json::value& value) {
  if (!value.is_object()) return Error{ErrorId::kInputField, "journal", "expected objects"};
  FieldReader reader(value.get_object(), "journal");
  JournalRecord record;
  record.kind = reader.Enum("kind", JournalRecordKind::kAccepted);
  record.id.task = TaskId(reader.RequiredString("task", kMaxNameBytes));
  record.id.attempt = reader.Int("attempt", 0, 0, INT64_MAX);
  record.owner = EntryId(reader.String("owner", "", kMaxNameBytes));
  record.upstream = UpstreamId(reader.String("upstream", "", kMaxNameBytes));
  record.domain = DomainId(reader.String("domain", "", kMaxNameBytes));
  record.epoch = reader.Int("epoch", 0, 0, INT64_MAX);
  record.checkpoint = reader.String("checkpoint", "", kMaxOutputBytes);
  if (const json::object* end = reader.Object("end")) record.end = ReadEnd(*end);
  if (const json::object* object = reader.Object("spec")) {
    Result<TaskSpec> spec = TaskSpecFromJson(*object, "journal/spec");
    if (!spec) return spec.error();
    record.spec = std::move(*spec);
  } else if (record.kind == JournalRecordKind::kAccepted) {
    reader.Fail("spec", "required object");
  }
  if (reader.error()) return *reader.error();
  return record;
}

}  // namespace

std::string EncodeRecords(const std::vector<JournalRecord>& records) {
  json::array array;
  for (const JournalRecord& record : records) array.emplace_back(RecordToJson(record));
  return json::serialize(json::object{{"records", std::move(array)}});
}

Result<std::vector<JournalRecord>> DecodeRecords(const std::string& text) {
  const Result<json::object> object = ParseObject(text, "journal");
  if (!object) return object.error();
  FieldReader reader(*object, "journal");
  const json::array* array = reader.Array("records");
  if (array == nullptr) return Error{ErrorId::kInputField, "journal/records", "required array"};
  std::vector<JournalRecord> records;
  for (const json::value& value : *array) {
    Result<JournalRecord> record = ReadRecord(value);
    if (!record) return record.error();
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace jaymast

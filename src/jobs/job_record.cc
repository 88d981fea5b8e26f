#include "jobs/job_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <limits>

#include "base/field_reader.h"
#include "base/json_object.h"

namespace jaymast {
namespace {

namespace json = boost::json;

/// Upper bound of counts and amounts in a record. Larger values are never written.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 52;

json::object EncodeStep(const StepSpec& step) {
  json::object out;
  out["n"] = step.task_count;
  out["d"] = json::array{step.demand.cpu_millis, step.demand.memory_mb, step.demand.accelerators};
  out["e"] = step.estimate_ms;
  if (!step.dependencies.empty()) out["a"] = json::array(step.dependencies.begin(), step.dependencies.end());
  std::int64_t flags = 0;
  const std::array<bool, 6> bits = {step.checkpoints,    step.is_gang,         step.same_rack,
                                    step.is_speculative, step.is_long_running, step.uses_spare_cpu};
  for (std::size_t i = 0; i < bits.size(); ++i) flags |= std::int64_t{bits.at(i)} << i;
  if (flags != 0) out["f"] = flags;
  if (!step.required_label.empty()) out["l"] = step.required_label;
  if (!step.preferred_rack.empty()) out["r"] = step.preferred_rack;
  if (step.max_per_upstream != 0) out["p"] = step.max_per_upstream;
  if (!step.image.empty()) out["i"] = step.image;
  if (step.latency_objective_ms != 0) out["o"] = step.latency_objective_ms;
  if (step.max_unavailable != 0) out["u"] = step.max_unavailable;
  return out;
}

std::optional<StepSpec> DecodeStep(const json::value& value) {
  if (!value.is_object()) return std::nullopt;
  FieldReader reader(value.get_object(), "step");
  StepSpec step;
  step.task_count = reader.Int("n", 1, 0, kMaxAmount);
  if (const json::array* demand = reader.Array("d"); demand != nullptr && demand->size() == 3) {
    std::array<std::int64_t, 3> amounts{};
    for (std::size_t i = 0; i < amounts.size(); ++i) {
      if (!(*demand)[i].is_int64()) return std::nullopt;
      amounts.at(i) = (*demand)[i].get_int64();
    }
    step.demand = Resources{amounts[0], amounts[1], amounts[2], 0};
  }
  step.estimate_ms = reader.Int("e", 0, 0, kMaxAmount);
  if (const json::array* dependencies = reader.Array("a")) {
    for (const json::value& position : *dependencies) {
      boost::system::error_code ec;
      step.dependencies.push_back(position.to_number<std::size_t>(ec));
      if (ec) return std::nullopt;
    }
  }
  const std::int64_t flags = reader.Int("f", 0, 0, 63);
  const auto bit = [flags](int position) { return ((flags >> position) & 1) != 0; };
  step.checkpoints = bit(0);
  step.is_gang = bit(1);
  step.same_rack = bit(2);
  step.is_speculative = bit(3);
  step.is_long_running = bit(4);
  step.uses_spare_cpu = bit(5);
  step.required_label = reader.String("l", "", kMaxRecordBytes);
  step.preferred_rack = reader.String("r", "", kMaxRecordBytes);
  step.max_per_upstream = reader.Int("p", 0, 0, kMaxAmount);
  step.image = reader.String("i", "", kMaxRecordBytes);
  step.latency_objective_ms = reader.Int("o", 0, 0, kMaxAmount);
  step.max_unavailable = reader.Int("u", 0, 0, kMaxAmount);
  if (reader.error()) return std::nullopt;
  return step;
}

json::array EncodeTask(const TaskState& task, bool with_checkpoint) {
  json::array out;
  out.emplace_back(static_cast<std::int64_t>(task.phase));
  out.emplace_back(task.run);
  out.emplace_back(task.failures);
  const bool has_checkpoint = with_checkpoint && !task.checkpoint.empty();
  if (HasAllocation(task.phase) || has_checkpoint) out.emplace_back(task.upstream.value());
  if (has_checkpoint) out.emplace_back(task.checkpoint);
  return out;
}

json::array EncodeSteps(const Occurrence& occurrence, bool with_checkpoints) {
  json::array steps;
  for (const StepState& step : occurrence.steps) {
    json::array tasks;
    for (const TaskState& task : step.tasks) tasks.push_back(EncodeTask(task, with_checkpoints));
    steps.push_back(json::array{step.is_gang_done, step.last_failed_gang_run, std::move(tasks)});
  }
  return steps;
}

json::array EncodeQueueSettings(const QueueConfig& queue) {
  json::array out = {queue.service.value(), queue.priority, queue.max_attempts, queue.stretch,
                     queue.target_duration_ms};
  if (!queue.policy) return out;
  out.emplace_back(queue.policy->call_ms);
  out.emplace_back(queue.policy->per_upstream_ms);
  out.emplace_back(queue.policy->ticket_ms);
  return out;
}

std::optional<QueueConfig> DecodeQueueSettings(const QueueId& id, const json::array& row) {
  constexpr std::size_t kFields = 5;
  constexpr std::size_t kFieldsWithPolicy = 8;
  if ((row.size() != kFields && row.size() != kFieldsWithPolicy) || !row[0].is_string()) return std::nullopt;
  for (std::size_t i = 1; i < row.size(); ++i) {
    if (!row[i].is_number()) return std::nullopt;
  }
  boost::system::error_code ec;
  const auto integer = [&](std::size_t i) { return ec ? 0 : row[i].to_number<std::int64_t>(ec); };
  const auto number = [&](std::size_t i) { return ec ? 0 : row[i].to_number<double>(ec); };
  QueueConfig queue;
  queue.id = id;
  queue.service = ServiceId(std::string(row[0].get_string()));
  queue.priority = integer(1);
  queue.max_attempts = integer(2);
  queue.stretch = number(3);
  queue.target_duration_ms = integer(4);
  if (row.size() == kFieldsWithPolicy) queue.policy = PolicyConfig{number(5), number(6), integer(7)};
  return ec ? std::nullopt : std::optional(queue);
}

bool DecodeTask(const json::value& value, TaskState& task) {
  if (!value.is_array()) return false;
  const json::array& row = value.get_array();
  if (row.size() < 3 || !row[0].is_int64() || !row[1].is_int64() || !row[2].is_int64()) return false;
  const std::int64_t phase = row[0].get_int64();
  if (phase < 0 || phase > static_cast<std::int64_t>(TaskPhase::kDone)) return false;
  task.phase = static_cast<TaskPhase>(phase);
  task.run = static_cast<std::int32_t>(row[1].get_int64());
  task.failures = static_cast<std::int32_t>(row[2].get_int64());
  if (row.size() > 3 && row[3].is_string()) task.upstream = UpstreamId(std::string(row[3].get_string()));
  if (row.size() > 4 && row[4].is_string()) task.checkpoint = std::string(row[4].get_string());
  return true;
}

bool DecodeSteps(const json::array& rows, const std::vector<StepSpec>& specs, Occurrence& occurrence,
                 bool& has_started) {
  if (rows.size() != specs.size()) return false;
  for (std::size_t s = 0; s < specs.size(); ++s) {
    const json::value& step_row = rows[s];
    StepState& step = occurrence.steps[s];
    if (!step_row.is_array() || step_row.get_array().size() != 3) return false;
    const json::array& parts = step_row.get_array();
    if (!parts[0].is_bool() || !parts[1].is_int64() || !parts[2].is_array()) return false;
    step.is_gang_done = parts[0].get_bool();
    step.last_failed_gang_run = static_cast<std::int32_t>(parts[1].get_int64());
    if (parts[2].get_array().size() != step.tasks.size()) return false;
    step.waiting = 0;
    step.not_done = 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (!DecodeTask(parts[2].get_array()[i], step.tasks[i])) return false;
      // A number of a run alone may be that of a refused start. The upstreams report runs that have begun.
      if (step.tasks[i].failures > 0 || step.tasks[i].phase == TaskPhase::kDone) has_started = true;
      if (step.tasks[i].phase == TaskPhase::kWaiting) ++step.waiting;
      if (step.tasks[i].phase != TaskPhase::kDone) ++step.not_done;
    }
    if (step.not_done == 0) --occurrence.steps_left;
  }
  return true;
}

/// Decodes the field "o": for each occurrence 0 before it is due, 1 after its end, and its steps in between. Earlier
/// versions wrote it for scheduled jobs, too.
bool DecodeOccurrences(const json::array& rows, Job& job) {
  if (rows.size() > static_cast<std::size_t>(job.spec.occurrence_count())) return false;
  for (std::size_t k = 0; k < rows.size(); ++k) {
    const bool is_unopened = rows[k].is_int64() && rows[k].get_int64() == 0;
    if (is_unopened) return true;
    job.next_occurrence = k + 1;
    if (rows[k].is_int64()) continue;
    if (!rows[k].is_array()) return false;
    OpenOccurrence(job, k);
    if (!DecodeSteps(rows[k].get_array(), job.spec.steps, job.occurrences.at(k), job.has_started)) return false;
  }
  return true;
}

}  // namespace

std::string EncodeJobRecord(const Job& job) {
  json::object out;
  out["q"] = job.queue.value();
  if (!job.accepted_queue.service.empty()) out["qs"] = EncodeQueueSettings(job.accepted_queue);
  out["t"] = job.team.value();
  out["at"] = job.recorded_at_ms;
  out["p"] = job.spec.payload;
  if (!job.call_id.empty()) out["c"] = job.call_id;
  json::array steps;
  for (const StepSpec& step : job.spec.steps) steps.push_back(EncodeStep(step));
  out["steps"] = std::move(steps);
  if (job.spec.repeat_count > 0) {
    out["rep"] = json::array{job.spec.repeat_count, job.spec.start_at_unix_ms, job.spec.interval_ms};
  }
  return json::serialize(out);
}

std::string EncodeFinalRecord(const Job& job) {
  json::object out;
  out["q"] = job.queue.value();
  out["t"] = job.team.value();
  out["s"] = ToString(job.state);
  out["at"] = job.recorded_at_ms;
  return json::serialize(out);
}

bool HasAnyAllocation(const Job& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const StepState& step : occurrence.steps) {
      const bool holds = std::any_of(step.tasks.begin(), step.tasks.end(),
                                     [](const TaskState& task) { return HasAllocation(task.phase); });
      if (holds) return true;
    }
  }
  return false;
}

bool IsSettled(const Job& job) { return IsFinal(job.state) && !HasAnyAllocation(job); }

std::string EncodeProgressRecord(const Job& job) {
  json::object out;
  out["s"] = ToString(job.state);
  out["b"] = job.has_started;
  json::array open;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (!occurrence.is_done) open.emplace_back(number);
  }
  if (job.spec.repeat_count > 0) {
    out["n"] = job.next_occurrence;
    out["open"] = std::move(open);
    return json::serialize(out);
  }
  const auto encode = [&](bool with_checkpoints) {
    json::array occurrences;
    for (const auto& [number, occurrence] : job.occurrences) {
      const bool is_over = IsSettled(job) || occurrence.is_done;
      occurrences.push_back(is_over ? json::value(1) : json::value(EncodeSteps(occurrence, with_checkpoints)));
    }
    out["o"] = std::move(occurrences);
    return json::serialize(out);
  };
  std::string text = encode(true);
  return text.size() <= kMaxRecordBytes ? text : encode(false);
}

std::string EncodeOccurrenceRecord(const Occurrence& occurrence) {
  const auto encode = [&occurrence](bool with_checkpoints) {
    return json::serialize(json::object{{"steps", EncodeSteps(occurrence, with_checkpoints)}});
  };
  std::string text = encode(true);
  return text.size() <= kMaxRecordBytes ? text : encode(false);
}

Result<Job> DecodeJobRecord(const JobId& id, std::string_view text) {
  const std::string path = "job/" + id.value();
  const Result<json::object> object = ParseObject(text, path);
  if (!object) return object.error();
  FieldReader reader(*object, path);
  Job job;
  job.id = id;
  job.queue = QueueId(reader.RequiredString("q", kMaxRecordBytes));
  if (const json::array* settings = reader.Array("qs")) {
    std::optional<QueueConfig> queue = DecodeQueueSettings(job.queue, *settings);
    if (!queue) return Error{ErrorId::kInputField, path + "/qs", "unreadable queue settings"};
    job.accepted_queue = std::move(*queue);
  }
  job.team = TeamId(reader.String("t", "", kMaxRecordBytes));
  job.state = reader.Enum("s", JobState::kPending);
  job.committed_state = job.state;
  job.recorded_at_ms = reader.Int("at", 0, 0, kMaxAmount);
  job.call_id = reader.String("c", "", kMaxRecordBytes);
  job.spec.payload = reader.String("p", "", kMaxRecordBytes);
  if (const json::array* steps = reader.Array("steps")) {
    for (const json::value& step : *steps) {
      std::optional<StepSpec> decoded = DecodeStep(step);
      if (!decoded) return Error{ErrorId::kInputField, path + "/steps", "unreadable step"};
      job.spec.steps.push_back(std::move(*decoded));
    }
  }
  if (const json::array* repeat = reader.Array("rep"); repeat != nullptr && repeat->size() == 3) {
    for (const json::value& number : *repeat) {
      if (!number.is_int64()) return Error{ErrorId::kInputField, path + "/rep", "not a number"};
    }
    job.spec.repeat_count = (*repeat)[0].get_int64();
    job.spec.start_at_unix_ms = (*repeat)[1].get_int64();
    job.spec.interval_ms = (*repeat)[2].get_int64();
  }
  if (reader.error()) return *reader.error();
  job.is_spec_recorded = true;
  job.is_final_recorded = IsFinal(job.state);
  return job;
}

bool ApplyProgressRecord(std::string_view text, Job& job) {
  const Result<json::object> object = ParseObject(text, "progress");
  if (!object) return false;
  FieldReader reader(*object, "progress/" + job.id.value());
  job.state = reader.Enum("s", JobState::kPending);
  job.committed_state = job.state;
  job.has_started = reader.Bool("b", false);
  if (const json::array* open = reader.Array("open")) {
    const std::int64_t next = reader.Int("n", 0, 0, job.spec.occurrence_count());
    if (reader.error()) return false;
    for (const json::value& number : *open) {
      if (!number.is_int64() || number.get_int64() < 0 || number.get_int64() >= next) return false;
      OpenOccurrence(job, static_cast<std::size_t>(number.get_int64()));
    }
    job.next_occurrence = static_cast<std::size_t>(next);
    return true;
  }
  const json::array* occurrences = reader.Array("o");
  if (reader.error() || occurrences == nullptr) return false;
  if (IsFinal(job.state) && occurrences->empty()) {
    job.occurrences.clear();
    return true;
  }
  return DecodeOccurrences(*occurrences, job);
}

bool ApplyOccurrenceRecord(std::string_view text, Job& job, std::size_t occurrence) {
  const Result<json::object> object = ParseObject(text, "occurrence");
  if (!object) return false;
  FieldReader reader(*object, "occurrence");
  const json::array* steps = reader.Array("steps");
  const auto found = job.occurrences.find(occurrence);
  return steps != nullptr && found != job.occurrences.end() &&
         DecodeSteps(*steps, job.spec.steps, found->second, job.has_started);
}

void OpenOccurrence(Job& job, std::size_t occurrence) {
  Occurrence& opened = job.occurrences[occurrence];
  opened = Occurrence{};
  job.next_occurrence = std::max(job.next_occurrence, occurrence + 1);
  opened.steps_left = static_cast<std::int64_t>(job.spec.steps.size());
  for (const StepSpec& spec : job.spec.steps) {
    StepState step;
    step.tasks.resize(static_cast<std::size_t>(spec.task_count));
    step.waiting = spec.task_count;
    step.not_done = spec.task_count;
    opened.steps.push_back(std::move(step));
  }
}

std::string FormatTaskKey(const TaskKey& key) {
  return fmt::format("{}.{}.{}.{}", key.job.value(), key.occurrence, key.step, key.index);
}

std::string FormatStepKey(const TaskKey& key) {
  return fmt::format("{}.{}.{}", key.job.value(), key.occurrence, key.step);
}

std::optional<TaskKey> ParseTaskKey(std::string_view text) {
  std::array<std::size_t, 3> numbers{};
  for (int i = 2; i >= 0; --i) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) return std::nullopt;
    const std::string_view digits = text.substr(dot + 1);
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), numbers.at(static_cast<std::size_t>(i)));
    if (ec != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
    text = text.substr(0, dot);
  }
  if (text.empty()) return std::nullopt;
  return TaskKey{JobId(text), numbers[0], numbers[1], numbers[2]};
}

}  // namespace jaymast

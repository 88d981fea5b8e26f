#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell_testing/event_queue.h"
#include "cell_testing/fake_policy_service.h"
#include "cell_testing/fake_upstream.h"
#include "jobs/cell_config.h"
#include "jobs/job_spec.h"

namespace jaymast {

/// Returns the figure of a payload with words such as tasks=4.
inline std::int64_t PayloadFigure(const std::string& payload, const std::string& name, std::int64_t fallback) {
  const std::size_t at = payload.find(name + "=");
  return at == std::string::npos ? fallback : std::stoll(payload.substr(at + name.size() + 1));
}

/// Returns the specification that a payload describes in words such as tasks=4.
inline JobSpec ParseJobSpec(const std::string& payload) {
  JobSpec spec;
  spec.payload = payload;
  StepSpec step;
  step.task_count = PayloadFigure(payload, "tasks", 1);
  step.demand = Resources{PayloadFigure(payload, "cpu", 1000), PayloadFigure(payload, "mem", 100), 0, 0};
  step.max_per_upstream = PayloadFigure(payload, "apart", 0);
  step.estimate_ms = PayloadFigure(payload, "estimate", PayloadFigure(payload, "ms", 500));
  step.is_gang = payload.find("gang") != std::string::npos;
  step.is_long_running = payload.find("lasts") != std::string::npos;
  step.same_rack = payload.find("rack") != std::string::npos;
  spec.steps.push_back(step);
  for (std::int64_t i = 1; i < PayloadFigure(payload, "steps", 1); ++i) {
    step.dependencies = {static_cast<std::size_t>(i - 1)};
    spec.steps.push_back(step);
  }
  spec.repeat_count = PayloadFigure(payload, "repeat", 0);
  spec.start_at_unix_ms = PayloadFigure(payload, "start", 0);
  spec.interval_ms = PayloadFigure(payload, "interval", 0);
  return spec;
}

/// Fake upstreams, policy service and configuration of a cell, and what was submitted to it.
class FakeSite {
 public:
  static constexpr int kRackSize = 3;
  static constexpr Duration kLastingRunTime{3'600'000'000};

  /// A submitted job.
  struct Submission {
    JobSpec spec;
    std::string path;  ///< of the call
    std::string key;
    bool has_policy = false;
    bool is_accepted = false;
    bool is_cancelled = false;
  };

  FakeSite(int upstreams, std::int64_t cpu_millis) : policy_service(queue) {
    config = std::make_shared<CellConfig>();
    config->version = 1;
    QueueConfig queue_config;
    queue_config.id = QueueId("q");
    queue_config.prefix = "/q/";
    queue_config.service = ServiceId("s");
    queue_config.max_attempts = 3;
    queue_config.stretch = 4;
    queue_config.target_duration_ms = 5000;
    config->queues.push_back(queue_config);
    config->teams[TeamId("team")] = TeamConfig{TeamId("team"), 1000, {}};
    config->team_of_key["key"] = TeamId("team");
    for (int i = 0; i < upstreams; ++i) AddUpstream(i, cpu_millis);
    policy_service.incarnation_of = [this](const UpstreamId& id) -> std::int64_t {
      for (const auto& upstream : fake_upstreams) {
        if (upstream->listing().id == id) return upstream->listing().incarnation;
      }
      return 0;
    };
  }

  void AddSubmission(const std::string& id, const std::string& path, const std::string& payload,
                     const std::string& key) {
    Submission& submission = submissions[id];
    submission.spec = ParseJobSpec(payload);
    submission.path = path;
    submission.key = key;
    const QueueConfig* queue_config = config->FindQueue("", path);
    submission.has_policy = queue_config != nullptr && queue_config->policy.has_value();
  }

  /// Work of a task with this payload.
  FakeWork MakeWork(const std::string& payload) const {
    FakeWork work;
    work.run_time = std::chrono::milliseconds(PayloadFigure(payload, "ms", 500));
    work.demand = Resources{PayloadFigure(payload, "cpu", 1000), PayloadFigure(payload, "mem", 100), 0, 0};
    if (payload.find("gang") != std::string::npos) {
      work.gang_size = static_cast<std::size_t>(PayloadFigure(payload, "tasks", 1));
    }
    work.fails = payload.find("fails") != std::string::npos || (run_fails && run_fails());
    // A task that lasts works until it is stopped or fails.
    work.lasts = payload.find("lasts") != std::string::npos;
    if (work.lasts && !work.fails) work.run_time = kLastingRunTime;
    work.hangs = payload.find("hangs") != std::string::npos;
    return work;
  }

  FakeUpstream* FindUpstream(const std::string& address) {
    for (const auto& upstream : fake_upstreams) {
      if (upstream->listing().address == address) return upstream.get();
    }
    return nullptr;
  }

  EventQueue queue;
  FakePolicyService policy_service;
  RunHistory history;
  std::shared_ptr<CellConfig> config;
  std::set<DomainId> domains_out_of_service;
  std::vector<std::unique_ptr<FakeUpstream>> fake_upstreams;
  std::map<std::string, Submission> submissions;  ///< by the ID of the job
  std::function<bool()> run_fails;                ///< whether the next run that starts will fail

 private:
  void AddUpstream(int index, std::int64_t cpu_millis) {
    UpstreamListing listing;
    listing.id = UpstreamId("u" + std::to_string(index));
    listing.service = ServiceId("s");
    listing.address = listing.id.value();
    listing.domain = DomainId("d" + std::to_string(index % 3));
    listing.capacity = Resources{cpu_millis, 100'000, 0, 0};
    listing.rack = "r" + std::to_string(index / kRackSize);
    listing.incarnation = 1;
    fake_upstreams.push_back(std::make_unique<FakeUpstream>(queue, history, listing));
    fake_upstreams.back()->accepts_ticket = [this](const StartOrder& order, const UpstreamListing& target) {
      const auto submission = submissions.find(order.task.job.value());
      const bool has_policy = submission != submissions.end() && submission->second.has_policy;
      return !has_policy || policy_service.Accepts(order, target);
    };
  }
};

}  // namespace jaymast

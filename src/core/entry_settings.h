#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/time.h"
#include "model/cluster_config.h"

namespace jaymast {

/// Settings of the decision core of one entry.
struct EntrySettings {
  std::string name;              ///< name of the instance, part of the entry id
  DomainId domain;               ///< failure domain of the instance
  std::string peer_address;      ///< IP address and port where other entries connect
  ClusterConfig initial_config;  ///< written if the table has no configuration

  Duration renew_interval = std::chrono::seconds(1);
  Duration lease_duration = std::chrono::seconds(3);
  Duration drift_bound = std::chrono::milliseconds(500);  ///< clock drift allowed for before a lease counts as expired
  Duration summary_interval = std::chrono::seconds(1);    ///< between heartbeats to peers
  Duration peer_silence = std::chrono::milliseconds(2500);  ///< a peer silent for this long gets no requests
  Duration journal_interval = std::chrono::milliseconds(20);
  Duration hold_duration = std::chrono::seconds(2);  ///< reserved capacity is freed if no start order arrives in time
  /// Must exceed the time of a takeover after a crash, so that the tasks of a crashed owner keep running.
  Duration task_lease = std::chrono::seconds(10);
  Duration upstream_call_timeout = std::chrono::seconds(2);
  Duration upstream_renew_interval = std::chrono::seconds(1);
  Duration handover_interval = std::chrono::seconds(1);    ///< minimum time between handovers to preferred owners
  Duration domain_return_ramp = std::chrono::seconds(30);  ///< starts are rate limited this long after a domain returns

  Duration drain_wait = std::chrono::seconds(20);  ///< how long a graceful shutdown waits for callers awaiting outcomes

  std::int64_t table_writes_per_second = 40;  ///< this entry's share of the write rate of the table service
  std::int64_t max_queued_tasks = 20'000;
  std::int64_t max_open_requests = 10'000;  ///< of the process, and previews in the core; more are rejected
  std::int64_t max_retained_outcomes = 10'000;
};

}  // namespace jaymast

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/id.h"
#include "base/time.h"
#include "jobs/job.h"

namespace jaymast {

/// Common part of all orders to an upstream.
struct UpstreamTarget {
  UpstreamId id;
  std::string address;
  std::uint64_t fencing_token = 0;  ///< the upstream ignores orders with a lower token than the highest it has seen
};

struct StartOrder {
  UpstreamTarget target;
  TaskKey task;
  std::int32_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::int64_t lease_until_ms = 0;  ///< on the clock of the upstream
};

struct StopOrder {
  UpstreamTarget target;
  TaskKey task;
  std::int32_t run = 0;
};

struct SyncOrder {
  UpstreamTarget target;
  std::int64_t acknowledged_end = 0;  ///< ends up to this number are in the store
  std::int64_t lease_until_ms = 0;    ///< on the clock of the upstream; 0 extends nothing
  std::int64_t wait_ms = 0;           ///< the upstream may wait this long for an end
};

enum class OrderStatus {
  kAccepted,
  kFenced,            ///< the upstream has seen a higher token
  kStaleRun,          ///< a run with this number or a higher one was there before
  kExpiredOnArrival,  ///< the lease was over on arrival
  kNoCapacity,
  kBadTicket,
  kMalformed,
  kUnhealthy,         ///< nothing was done
  kOtherIncarnation,  ///< another upstream answers at this address
  kNotSent,           ///< certainly not received
  kUnknown,           ///< may have been received, or may be received later
};

template <>
struct EnumNames<OrderStatus> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "accepted",  "fenced",    "stale_run",         "late",     "no_room", "bad_ticket",
      "malformed", "unhealthy", "other_incarnation", "not_sent", "unknown"};
};

struct OrderReply {
  OrderStatus status = OrderStatus::kUnknown;
  std::int64_t clock_ms = 0;  ///< clock of the upstream, 0 when not told
};

/// A task that runs on an upstream.
struct ActiveRun {
  TaskKey task;
  std::int32_t run = 0;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t load = 0;  ///< tail latency in ms of a serving task, processor use of any other
};

enum class EndKind { kDone, kFailed, kStopped, kLeaseExpired, kBroken, kAlone };

template <>
struct EnumNames<EndKind> {
  static constexpr std::array<std::string_view, 6> kNames = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
};

/// A run that ended on an upstream.
struct EndedRun {
  std::int64_t number = 0;
  TaskKey task;
  std::int32_t run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

struct SyncReply {
  OrderStatus status = OrderStatus::kUnknown;
  std::int64_t clock_ms = 0;
  std::int64_t incarnation = 0;
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
  bool has_more_ends = false;
};

/// Orders to upstreams. Callbacks are called once, and never from inside the call that registered them.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  virtual void Start(const StartOrder& order, std::function<void(OrderReply)> done) = 0;
  virtual void Stop(const StopOrder& order, std::function<void(OrderReply)> done) = 0;
  /// Extends the leases and reads what runs and what has ended.
  virtual void Sync(const SyncOrder& order, std::function<void(SyncReply)> done) = 0;
};

}  // namespace jaymast

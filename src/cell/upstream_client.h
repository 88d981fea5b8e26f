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

/// Address and fencing token of an order.
struct UpstreamTarget {
  UpstreamId id;
  std::string address;
  std::uint64_t fencing_token = 0;  ///< the upstream refuses orders with a token below the highest it has seen
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
  std::int64_t acknowledged_end = 0;  ///< ends up to this number are committed to the store
  std::int64_t lease_until_ms = 0;    ///< on the clock of the upstream; 0 does not extend the leases
  std::int64_t wait_ms = 0;           ///< the upstream may delay the reply this long until a run ends
};

enum class OrderStatus {
  kAccepted,
  kFenced,            ///< the upstream has seen a higher token
  kStaleRun,          ///< the upstream has seen a run with this number or a higher one
  kExpiredOnArrival,  ///< the lease had expired on arrival
  kNoCapacity,
  kBadTicket,
  kMalformed,
  kUnhealthy,         ///< the upstream is unhealthy; nothing was done
  kOtherIncarnation,  ///< another upstream replies at this address
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
  std::int64_t clock_ms = 0;  ///< clock of the upstream, 0 if not reported
};

/// A run that is active on an upstream.
struct ActiveRun {
  TaskKey task;
  std::int32_t run = 0;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t load = 0;  ///< tail latency in ms of a serving task, CPU usage of any other
};

enum class EndKind { kDone, kFailed, kStopped, kLeaseExpired, kBroken, kAlone };

template <>
struct EnumNames<EndKind> {
  static constexpr std::array<std::string_view, 6> kNames = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
};

/// A run that ended on an upstream.
struct EndedRun {
  std::int64_t number = 0;  ///< ends of one incarnation of an upstream are numbered in ascending order
  TaskKey task;
  std::int32_t run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

struct SyncReply {
  OrderStatus status = OrderStatus::kUnknown;
  std::int64_t clock_ms = 0;
  std::int64_t incarnation = 0;  ///< changes when the upstream restarts
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;
  bool has_more_ends = false;  ///< `ended` is incomplete
};

/// Sends orders to upstreams. Callbacks are called once, and never from inside the call that registered them.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  virtual void Start(const StartOrder& order, std::function<void(OrderReply)> done) = 0;
  virtual void Stop(const StopOrder& order, std::function<void(OrderReply)> done) = 0;
  /// Extends the leases and reads the active and ended runs.
  virtual void Sync(const SyncOrder& order, std::function<void(SyncReply)> done) = 0;
};

}  // namespace jaymast

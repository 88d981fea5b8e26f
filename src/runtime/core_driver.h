#pragma once

#include <optional>

#include "base/id.h"
#include "base/time.h"
#include "core/peer_message.h"
#include "core/request.h"
#include "model/instance_list.h"

namespace jaymast {

/// Interface through which the process calls the decision core. All calls are made on the control thread.
class CoreDriver {
 public:
  virtual ~CoreDriver() = default;

  virtual void Start() = 0;
  virtual void OnRequest(RequestId id, const Request& request) = 0;
  virtual void OnRequestGone(RequestId id) = 0;
  virtual void OnPeer(const EntryId& from, const PeerMessage& message) = 0;
  virtual void OnInstances(const InstanceList& list) = 0;
  virtual void OnTick() = 0;
  virtual void OnStopRequested() = 0;
  virtual std::optional<Time> NextDeadline() const = 0;
  virtual EntryId id() const = 0;
  virtual bool IsReady() const = 0;
  virtual bool IsStopped() const = 0;
};

}  // namespace jaymast

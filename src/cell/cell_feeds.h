#pragma once

#include <memory>
#include <set>

#include "base/id.h"
#include "base/time.h"
#include "cell/feed_topic.h"
#include "jobs/cell_config.h"
#include "jobs/upstream_listing.h"

namespace jaymast {

/// Receives the configuration and the upstream list from the platform's store.
class FeedListener {
 public:
  virtual ~FeedListener() = default;
  virtual void OnConfig(std::shared_ptr<const CellConfig> config) = 0;
  /// Everything reported so far on the topic was current at this time.
  virtual void OnTopicCurrent(FeedTopic topic, Time as_of) = 0;
  virtual void OnDomainsOutOfService(std::set<DomainId> domains) = 0;
  virtual void OnUpstreamListed(UpstreamListing listing) = 0;
  virtual void OnUpstreamUnlisted(const UpstreamId& id) = 0;
  virtual void OnUpstreamListComplete(const std::set<UpstreamId>& listed) = 0;
};

/// Watches the platform's store and notifies a listener of changes.
class CellFeeds {
 public:
  virtual ~CellFeeds() = default;
  virtual void OnTick(Time now) = 0;
};

}  // namespace jaymast

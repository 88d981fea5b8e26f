#pragma once

#include <map>
#include <set>
#include <utility>

#include "base/id.h"
#include "base/time.h"
#include "model/instance_list.h"

namespace jaymast {

/// The platform's list of instances. Readers see each change only after a lag.
class LaggingList {
 public:
  LaggingList(InstanceList list, Duration lag) : m_latest(list), m_visible(std::move(list)), m_lag(lag) {}

  /// Replaces the whole list.
  void Set(InstanceList list, Time now) {
    m_latest = std::move(list);
    m_pending[now + m_lag] = m_latest;
  }

  /// Marks exactly the given instances as leaving.
  void SetLeaving(const std::set<UpstreamId>& leaving, Time now) {
    InstanceList list = m_latest;
    for (UpstreamInfo& info : list.upstreams) info.leaving = leaving.contains(info.id);
    Set(std::move(list), now);
  }

  /// The list as a reader sees it at this time.
  const InstanceList& Visible(Time now) {
    while (!m_pending.empty() && m_pending.begin()->first <= now) {
      m_visible = std::move(m_pending.begin()->second);
      m_pending.erase(m_pending.begin());
    }
    return m_visible;
  }

  const InstanceList& latest() const { return m_latest; }

 private:
  InstanceList m_latest;
  InstanceList m_visible;
  std::map<Time, InstanceList> m_pending;  ///< lists by the time from which readers see them
  Duration m_lag;
};

}  // namespace jaymast

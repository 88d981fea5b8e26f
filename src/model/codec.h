#pragma once

#include <boost/json/fwd.hpp>
#include <string>
#include <string_view>

#include "base/json_object.h"
#include "base/result.h"
#include "model/cluster_config.h"
#include "model/instance_list.h"
#include "model/intent.h"
#include "model/plan.h"
#include "model/task_spec.h"

namespace jaymast {

/// Maximum size of a task body in bytes.
inline constexpr std::size_t kMaxBodyBytes = 1U << 20U;

boost::json::object ToJson(const Resources& resources);
Result<Resources> ResourcesFromJson(const boost::json::object& object, const std::string& path);

boost::json::object ToJson(const TaskSpec& spec);
Result<TaskSpec> TaskSpecFromJson(const boost::json::object& object, const std::string& path);

boost::json::object ToJson(const UpstreamInfo& info);
boost::json::object ToJson(const InstanceList& list);
Result<InstanceList> InstanceListFromJson(const boost::json::object& object, const std::string& path);

boost::json::object ToJson(const ClusterConfig& config);
Result<ClusterConfig> ClusterConfigFromJson(const boost::json::object& object, const std::string& path);

boost::json::object ToJson(const Intent& intent);
Result<Intent> IntentFromJson(const boost::json::object& object, const std::string& path);

boost::json::object ToJson(const Plan& plan);

}  // namespace jaymast

#pragma once

/// Public header of the decision core of jaymast: the model, the interface to the outside, and the parts that can be
/// used on their own. Link the library `jaymast_core`.

#include "base/enum_names.h"        // IWYU pragma: export
#include "base/error.h"             // IWYU pragma: export
#include "base/hash.h"              // IWYU pragma: export
#include "base/id.h"                // IWYU pragma: export
#include "base/resources.h"         // IWYU pragma: export
#include "base/result.h"            // IWYU pragma: export
#include "base/time.h"              // IWYU pragma: export
#include "base/verdict.h"           // IWYU pragma: export
#include "configuration/planner.h"  // IWYU pragma: export
#include "core/effects.h"           // IWYU pragma: export
#include "core/entry_core.h"        // IWYU pragma: export
#include "core/entry_settings.h"    // IWYU pragma: export
#include "core/event.h"             // IWYU pragma: export
#include "core/request.h"           // IWYU pragma: export
#include "model/cluster_config.h"   // IWYU pragma: export
#include "model/codec.h"            // IWYU pragma: export
#include "model/instance_list.h"    // IWYU pragma: export
#include "model/intent.h"           // IWYU pragma: export
#include "model/plan.h"             // IWYU pragma: export
#include "model/task_spec.h"        // IWYU pragma: export
#include "model/upstream_info.h"    // IWYU pragma: export
#include "placement/placer.h"       // IWYU pragma: export

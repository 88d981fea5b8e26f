#include "placement/run_time_model.h"

namespace jaymast {

void RunTimeModel::Record(const std::string& /*kind*/, double /*declared_ms*/, double /*run_ms*/) {}

RunTimePrediction RunTimeModel::Predict(const std::string& /*kind*/, double declared_ms) const {
  return {declared_ms, declared_ms};
}

}  // namespace jaymast

#include "teaselhitch/Detection/RunTimeModel.h"

#include <boost/math/distributions/normal.hpp>

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Prior standard deviation of the logarithm of the run time: a factor of two
/// in either direction covers most kinds of requests.
constexpr double PriorDeviation = 0.7;
/// Weight of the prior, in requests.
constexpr double PriorWeight = 4;
/// Maximum number of requests that the estimates are based on.
constexpr double MaxWeight = 60;
/// Minimum standard deviation of the logarithm: a few equal run times do not
/// prove that there is no variation.
constexpr double MinDeviation = 0.2;
constexpr double MinMs = 0.1;

} // namespace

RunTimeModel::RunTimeModel(Duration Expected)
    : LogMean(std::log(std::max(Expected.ms(), MinMs))),
      LogVariance(PriorDeviation * PriorDeviation), Weight(PriorWeight) {}

void RunTimeModel::record(Duration RunTime) {
  double Value = std::log(std::max(RunTime.ms(), MinMs));
  Weight = std::min(Weight + 1, MaxWeight);
  double Step = 1 / Weight;
  double Difference = Value - LogMean;
  LogMean += Step * Difference;
  LogVariance += Step * (Difference * (Value - LogMean) - LogVariance);
}

double RunTimeModel::deviation() const {
  return std::max(std::sqrt(LogVariance), MinDeviation);
}

double RunTimeModel::survival(Duration Elapsed) const {
  if (Elapsed.ms() <= MinMs)
    return 1;
  boost::math::normal_distribution<> Logs(LogMean, deviation());
  return boost::math::cdf(
      boost::math::complement(Logs, std::log(Elapsed.ms())));
}

Duration RunTimeModel::quantile(double Share) const {
  boost::math::normal_distribution<> Logs(LogMean, deviation());
  return Duration(std::exp(boost::math::quantile(Logs, Share)));
}

bool RunTimeModel::isLearned() const { return Weight >= 2 * PriorWeight; }

Duration RunTimeModel::mean() const {
  return Duration(std::exp(LogMean + deviation() * deviation() / 2));
}

} // namespace teaselhitch

#ifndef TEASELHITCH_LIB_NODE_CREDITREPORT_H
#define TEASELHITCH_LIB_NODE_CREDITREPORT_H

/// \file
/// Metrics, log events and status of the rates of organisations.

#include "teaselhitch/RateLimit/CreditAccount.h"
#include "teaselhitch/RateLimit/CreditOwner.h"
#include "teaselhitch/Support/Metrics.h"

#include <boost/json/object.hpp>

namespace teaselhitch {

/// Reports the entry side.
class CreditAccountReport {
public:
  explicit CreditAccountReport(MetricRegistry &Metrics) : Metrics(Metrics) {}

  /// Adds what happened since the last call to the metrics, and what the entry
  /// believes to the status, if an organisation has a rate.
  void update(const CreditAccount &Account, boost::json::object &Status);

private:
  MetricRegistry &Metrics;
  CreditAccountCounters Last;
};

/// Reports the owner side.
class CreditOwnerReport {
public:
  explicit CreditOwnerReport(MetricRegistry &Metrics) : Metrics(Metrics) {}

  void update(const CreditOwner &Owner, Time Now, boost::json::object &Status);

private:
  MetricRegistry &Metrics;
  CreditOwnerCounters Last;
};

} // namespace teaselhitch

#endif

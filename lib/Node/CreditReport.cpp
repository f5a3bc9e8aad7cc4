#include "CreditReport.h"

#include "teaselhitch/Support/Log.h"

#include <boost/json/array.hpp>

#include <string>

namespace teaselhitch {

namespace {

/// Maximum number of organisations in the status. More would make the status
/// of a large fleet unreadable.
constexpr std::size_t MaxStatusItems = 100;

void addTo(MetricRegistry &Metrics, const char *Name, const char *Help,
           const std::string &Labels, std::uint64_t Now, std::uint64_t Before) {
  Metrics.counter(Name, Help, Labels).add(Now - Before);
}

} // namespace

void CreditAccountReport::update(const CreditAccount &Account,
                                 boost::json::object &Status) {
  const CreditAccountCounters &C = Account.counters();
  constexpr const char *Name = "teaselhitch_credits_total";
  constexpr const char *Help =
      "Requests of organisations with a rate, by what became of them: granted, "
      "refused, or granted from the even share because the owner of the rate "
      "could not be reached.";
  addTo(Metrics, Name, Help, "result=\"granted\"", C.Granted - C.Fallback,
        Last.Granted - Last.Fallback);
  addTo(Metrics, Name, Help, "result=\"refused\"", C.Refused, Last.Refused);
  addTo(Metrics, Name, Help, "result=\"fallback\"", C.Fallback, Last.Fallback);
  addTo(Metrics, "teaselhitch_credit_requests_total",
        "Messages to the owners of rates.", "", C.Messages, Last.Messages);
  if (C.Unreachable != Last.Unreachable)
    logEvent(LogLevel::Warning, "entry", "credit-owner-unreachable",
             {{"times", C.Unreachable - Last.Unreachable},
              {"fallback", C.Fallback - Last.Fallback}});
  Last = C;
  if (!Account.hasLimits())
    return;
  boost::json::array Items;
  for (const CreditAccountStatus &S : Account.status(MaxStatusItems))
    Items.push_back(boost::json::object{{"organisation", S.Organisation.str()},
                                        {"owner", S.Owner.str()},
                                        {"credit", S.Credit},
                                        {"waiting", S.Waiting},
                                        {"fallback", S.IsFallback}});
  Status["credits"] = std::move(Items);
}

void CreditOwnerReport::update(const CreditOwner &Owner, Time Now,
                               boost::json::object &Status) {
  const CreditOwnerCounters &C = Owner.counters();
  constexpr const char *Name = "teaselhitch_lent_credits_total";
  constexpr const char *Help =
      "Credits that this node lent as the owner of rates, by kind.";
  addTo(Metrics, Name, Help, "kind=\"lent\"", C.Lent, Last.Lent);
  addTo(Metrics, Name, Help, "kind=\"returned\"", C.Returned, Last.Returned);
  addTo(Metrics, Name, Help, "kind=\"spare\"", C.Spare, Last.Spare);
  if (C.Resets != Last.Resets && Owner.hasLimits())
    logEvent(LogLevel::Warning, "peers", "credits-reset",
             {{"times", C.Resets - Last.Resets}});
  Last = C;
  if (!Owner.hasLimits())
    return;
  boost::json::array Items;
  for (const CreditOwnerStatus &S : Owner.status(MaxStatusItems, Now))
    Items.push_back(
        boost::json::object{{"organisation", S.Organisation.str()},
                            {"rate_per_s", S.RatePerS},
                            {"credit", S.Credit},
                            {"owner", S.IsOwner},
                            {"since_s", (Now - S.Since).ms() / 1000}});
  Status["owned_rates"] = std::move(Items);
}

} // namespace teaselhitch

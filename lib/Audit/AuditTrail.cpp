#include "teaselhitch/Audit/AuditTrail.h"

#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cinttypes>
#include <cstdio>

namespace teaselhitch {

std::string toJsonLines(const std::vector<AuditEvent> &Events) {
  std::string Lines;
  for (const AuditEvent &Event : Events) {
    boost::json::object Item{{"sequence", Event.Sequence},
                             {"time_ms", Event.TimeMs},
                             {"kind", Event.Kind},
                             {"subject", Event.Subject},
                             {"detail", Event.Detail}};
    Lines += boost::json::serialize(Item) + "\n";
  }
  return Lines;
}

std::string auditObjectKey(const std::string &Node, std::uint64_t Incarnation,
                           std::uint64_t First) {
  char Numbers[64];
  std::snprintf(Numbers, sizeof(Numbers), "/%020" PRIu64 "/%020" PRIu64,
                Incarnation, First);
  return "audit/" + Node + Numbers;
}

void AuditTrail::record(std::string Kind, std::string Subject,
                        std::string Detail) {
  logEvent(LogLevel::Info, "audit", Kind,
           {{"subject", Subject}, {"detail", Detail}});
  std::lock_guard<std::mutex> Lock(Mutex);
  AuditEvent Event;
  Event.Sequence = NextSequence++;
  Event.TimeMs = static_cast<std::int64_t>(wallClockMs());
  Event.Kind = std::move(Kind);
  Event.Subject = std::move(Subject);
  Event.Detail = std::move(Detail);
  Events.push_back(std::move(Event));
  if (Events.size() <= MaxEvents)
    return;
  Events.pop_front();
  ++Dropped;
}

std::vector<AuditEvent> AuditTrail::events(std::uint64_t After,
                                           std::size_t Limit) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<AuditEvent> Result;
  for (const AuditEvent &Event : Events)
    if (Event.Sequence > After && Result.size() < Limit)
      Result.push_back(Event);
  return Result;
}

std::uint64_t AuditTrail::dropped() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Dropped;
}

} // namespace teaselhitch

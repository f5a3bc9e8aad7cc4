#include "teaselhitch/Audit/AuditTrail.h"

#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Log.h"

namespace teaselhitch {

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

#include "RequestTable.h"

#include <algorithm>

namespace teaselhitch {

bool PendingRequest::hasTried(const BackendServerId &Server) const {
  return std::find(Tried.begin(), Tried.end(), Server) != Tried.end();
}

bool PendingRequest::hasDeclined(const BackendServerId &Server) const {
  return std::find(Declined.begin(), Declined.end(), Server) != Declined.end();
}

bool PendingRequest::isSent() const {
  return std::any_of(Running.begin(), Running.end(),
                     [](const RunningAttempt &R) { return R.IsSent; });
}

void PendingRequest::resetOffers() {
  IsQueueable = false;
  StrictOffers = 0;
  QueueableOffers = 0;
  Declined.clear();
}

bool PendingRequest::hasSpareAttempt() const {
  const Rule &R = *Target.MatchedRule;
  return R.Idempotent && Tried.size() + (isSent() ? 1 : 0) + 1 < R.MaxAttempts;
}

RunningAttempt *PendingRequest::findRunning(const AttemptId &Id) {
  auto It = std::find_if(Running.begin(), Running.end(),
                         [&](const RunningAttempt &R) { return R.Id == Id; });
  return It == Running.end() ? nullptr : &*It;
}

void PendingRequest::removeRunning(const AttemptId &Id) {
  std::erase_if(Running, [&](const RunningAttempt &R) { return R.Id == Id; });
}

PendingRequest &RequestTable::add(const RequestId &Id, PendingRequest Request) {
  Request.Id = Id;
  ByDeadline.emplace(Request.Deadline, Id.Sequence);
  return BySequence.insert_or_assign(Id.Sequence, std::move(Request))
      .first->second;
}

PendingRequest *RequestTable::find(const RequestId &Id) {
  auto It = BySequence.find(Id.Sequence);
  if (It == BySequence.end() || It->second.Id != Id)
    return nullptr;
  return &It->second;
}

void RequestTable::remove(const RequestId &Id) {
  auto It = BySequence.find(Id.Sequence);
  if (It == BySequence.end())
    return;
  auto [Begin, End] = ByDeadline.equal_range(It->second.Deadline);
  for (auto D = Begin; D != End; ++D)
    if (D->second == Id.Sequence) {
      ByDeadline.erase(D);
      break;
    }
  BySequence.erase(It);
}

std::vector<RequestId> RequestTable::takeExpired(Time Now) {
  std::vector<RequestId> Expired;
  auto End = ByDeadline.upper_bound(Now);
  for (auto It = ByDeadline.begin(); It != End; ++It)
    Expired.push_back(BySequence.at(It->second).Id);
  ByDeadline.erase(ByDeadline.begin(), End);
  return Expired;
}

} // namespace teaselhitch

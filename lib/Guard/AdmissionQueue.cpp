#include "AdmissionQueue.h"

#include <cassert>
#include <utility>

namespace teaselhitch {

bool QueuedAttempt::operator<(const QueuedAttempt &Other) const {
  if (Paid != Other.Paid)
    return Paid;
  if (Priority != Other.Priority)
    return Priority < Other.Priority;
  if (LatestStart != Other.LatestStart)
    return LatestStart < Other.LatestStart;
  if (Deadline != Other.Deadline)
    return Deadline < Other.Deadline;
  return Order < Other.Order;
}

void AdmissionQueue::insert(const OrganisationName &Organisation,
                            QueuedAttempt Entry) {
  [[maybe_unused]] bool Inserted =
      SubQueues[Organisation].insert(std::move(Entry)).second;
  assert(Inserted && "order of arrival must be unique");
  ++Size;
}

void AdmissionQueue::erase(const OrganisationName &Organisation,
                           const QueuedAttempt &Entry) {
  auto It = SubQueues.find(Organisation);
  [[maybe_unused]] std::size_t Erased =
      It == SubQueues.end() ? 0 : It->second.erase(Entry);
  assert(Erased == 1 && "attempt must be in the queue");
  --Size;
  if (It->second.empty())
    SubQueues.erase(It);
}

std::size_t AdmissionQueue::size(const OrganisationName &Organisation) const {
  auto It = SubQueues.find(Organisation);
  return It == SubQueues.end() ? 0 : It->second.size();
}

std::vector<AttemptId> AdmissionQueue::expired(Time Now) const {
  std::vector<AttemptId> Found;
  for (const auto &[Organisation, Entries] : SubQueues)
    for (const QueuedAttempt &Entry : Entries)
      if (Entry.Deadline <= Now)
        Found.push_back(Entry.Attempt);
  return Found;
}

std::vector<AttemptId> AdmissionQueue::all() const {
  std::vector<AttemptId> Found;
  for (const auto &[Organisation, Entries] : SubQueues)
    for (const QueuedAttempt &Entry : Entries)
      Found.push_back(Entry.Attempt);
  return Found;
}

} // namespace teaselhitch

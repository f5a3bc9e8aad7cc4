#include "OutstandingAttempts.h"

#include "EventLoopThread.h"

namespace teaselhitch {

void OutstandingAttempts::recordSent(const NodeName &Guard,
                                     const GuardMessage &Message) {
  if (const auto *O = std::get_if<Offer>(&Message))
    GuardStates[Guard].Offers.insert(O->Info.Attempt);
  if (const auto *D = std::get_if<Dispatch>(&Message)) {
    GuardStates[Guard].Offers.erase(D->Info.Attempt);
    GuardStates[Guard].Attempts.insert(D->Info.Attempt);
  }
  if (const auto *C = std::get_if<Cancel>(&Message)) {
    GuardStates[Guard].Offers.erase(C->Attempt);
    GuardStates[Guard].Attempts.erase(C->Attempt);
  }
  if (const auto *M = std::get_if<MintKey>(&Message))
    GuardStates[Guard].KeyRequests.insert(M->Token);
}

void OutstandingAttempts::recordAnswer(const NodeName &Guard,
                                       const EntryMessage &Message) {
  auto It = GuardStates.find(Guard);
  if (It == GuardStates.end())
    return;
  std::visit(Overloaded{[&](const KeyMinted &M) {
                          It->second.KeyRequests.erase(M.Token);
                        },
                        [](const AttemptOverdue &) {}, [](const Grant &) {},
                        [&](const auto &M) {
                          It->second.Attempts.erase(M.Attempt);
                          It->second.Offers.erase(M.Attempt);
                        }},
             Message);
}

std::vector<EntryMessage> OutstandingAttempts::takeLost(const NodeName &Guard,
                                                        bool WasOpen) {
  std::vector<EntryMessage> Messages;
  auto It = GuardStates.find(Guard);
  if (It == GuardStates.end())
    return Messages;
  for (const AttemptId &Attempt : It->second.Attempts) {
    AttemptFailed Failure = makeNotRunFailure(Attempt, Reason::LinkLost);
    Failure.Result = WasOpen ? Outcome::Unknown : Outcome::NotRun;
    Messages.push_back(std::move(Failure));
  }
  for (const AttemptId &Attempt : It->second.Offers)
    Messages.push_back(makeNotRunFailure(Attempt, Reason::LinkLost));
  for (std::uint64_t Token : It->second.KeyRequests)
    Messages.push_back(KeyMinted{Token, "", Duration()});
  GuardStates.erase(It);
  return Messages;
}

AttemptFailed makeNotRunFailure(const AttemptId &Attempt, Reason Cause) {
  AttemptFailed Failure;
  Failure.Attempt = Attempt;
  Failure.Cause = Cause;
  Failure.Result = Outcome::NotRun;
  return Failure;
}

} // namespace teaselhitch

#include "OutstandingAttempts.h"

#include "Duty.h"

namespace teaselhitch {

void OutstandingAttempts::sent(const NodeName &Guard,
                               const GuardMessage &Message) {
  if (const auto *O = std::get_if<Offer>(&Message))
    ByGuard[Guard].Offers.insert(O->Info.Attempt);
  if (const auto *D = std::get_if<Dispatch>(&Message)) {
    ByGuard[Guard].Offers.erase(D->Info.Attempt);
    ByGuard[Guard].Attempts.insert(D->Info.Attempt);
  }
  if (const auto *C = std::get_if<Cancel>(&Message)) {
    ByGuard[Guard].Offers.erase(C->Attempt);
    ByGuard[Guard].Attempts.erase(C->Attempt);
  }
  if (const auto *M = std::get_if<MintKey>(&Message))
    ByGuard[Guard].Mints.insert(M->Token);
}

void OutstandingAttempts::answered(const NodeName &Guard,
                                   const EntryMessage &Message) {
  auto It = ByGuard.find(Guard);
  if (It == ByGuard.end())
    return;
  std::visit(
      Overloaded{[&](const KeyMinted &M) { It->second.Mints.erase(M.Token); },
                 [](const AttemptOverdue &) {}, [](const Grant &) {},
                 [&](const auto &M) {
                   It->second.Attempts.erase(M.Attempt);
                   It->second.Offers.erase(M.Attempt);
                 }},
      Message);
}

std::vector<EntryMessage> OutstandingAttempts::lost(const NodeName &Guard,
                                                    bool WasOpen) {
  std::vector<EntryMessage> Messages;
  auto It = ByGuard.find(Guard);
  if (It == ByGuard.end())
    return Messages;
  for (const AttemptId &Attempt : It->second.Attempts) {
    AttemptFailed Failure = notSent(Attempt, Reason::LinkLost);
    Failure.Result = WasOpen ? Outcome::Unknown : Outcome::NotRun;
    Messages.push_back(std::move(Failure));
  }
  for (const AttemptId &Attempt : It->second.Offers)
    Messages.push_back(notSent(Attempt, Reason::LinkLost));
  for (std::uint64_t Token : It->second.Mints)
    Messages.push_back(KeyMinted{Token, "", Duration()});
  ByGuard.erase(It);
  return Messages;
}

AttemptFailed notSent(const AttemptId &Attempt, Reason Why) {
  AttemptFailed Failure;
  Failure.Attempt = Attempt;
  Failure.Cause = Why;
  Failure.Result = Outcome::NotRun;
  return Failure;
}

} // namespace teaselhitch

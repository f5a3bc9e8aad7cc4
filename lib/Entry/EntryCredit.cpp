#include "EntryCore.h"

namespace teaselhitch {

bool EntryCore::isCounted(const CallerRequest &Request,
                          const Organisation *Owner) const {
  // A request with a key is counted even if its id looks like that of a
  // sub-request, because callers choose ids.
  if (Rules->requiresCredentials())
    return Owner && Credits.isLimited(Owner->Name);
  // The parent of a sub-request was counted.
  return !Request.ParentPriority && Credits.isLimited(Request.Organisation);
}

void EntryCore::requestCredit(PendingRequest &P, Time Now,
                              EntryActions &Actions) {
  updateCreditView(Now);
  P.WaitsForCredit = true;
  CreditActions Output;
  Credits.request(P.Organisation, P.Id.Sequence, Now, Output);
  applyCreditActions(std::move(Output), Now, Actions);
}

void EntryCore::releaseCredit(const PendingRequest &P, Outcome Result,
                              Time Now) {
  if (P.WaitsForCredit)
    Credits.cancel(P.Organisation, P.Id.Sequence);
  else if (Result == Outcome::NotRun)
    Credits.giveBack(P.Organisation, P.CreditExpires, Now);
}

void EntryCore::applyCreditActions(CreditActions Output, Time Now,
                                   EntryActions &Actions) {
  for (SendCreditRequest &Message : Output.Messages)
    Actions.push_back(std::move(Message));
  for (const CreditGranted &Granted : Output.Granted) {
    PendingRequest *P = Requests.find(
        RequestId{Settings.Node, Settings.Incarnation, Granted.Token});
    if (!P)
      continue;
    P->WaitsForCredit = false;
    P->HasCredit = true;
    P->CreditExpires = Granted.Expires;
    start(*P, Now, Actions);
  }
  for (const CreditDenied &Denied : Output.Denied) {
    PendingRequest *P = Requests.find(
        RequestId{Settings.Node, Settings.Incarnation, Denied.Token});
    if (!P)
      continue;
    P->WaitsForCredit = false;
    fail(*P, Reason::OverRate, Outcome::NotRun, Denied.RetryAfter, Now,
         Actions);
  }
}

EntryActions EntryCore::handleCreditReply(const NodeName &From,
                                          const CreditReply &Reply, Time Now) {
  EntryActions Actions;
  CreditActions Output;
  Credits.handleReply(From, Reply, Now, Output);
  applyCreditActions(std::move(Output), Now, Actions);
  return Actions;
}

EntryActions EntryCore::handleCreditNodeLost(const NodeName &Node, Time Now) {
  EntryActions Actions;
  CreditActions Output;
  Credits.handleUnreachable(Node, Now, Output);
  applyCreditActions(std::move(Output), Now, Actions);
  return Actions;
}

void EntryCore::updateCreditView(Time Now) {
  if (!CreditView || !Credits.hasLimits())
    return;
  Credits.updateView(*CreditView, Now);
  CreditView.reset();
}

void EntryCore::tickCredits(Time Now, EntryActions &Actions) {
  applyCreditActions(std::exchange(CreditOutput, CreditActions()), Now,
                     Actions);
  updateCreditView(Now);
  CreditActions Output;
  Credits.tick(Now, Output);
  applyCreditActions(std::move(Output), Now, Actions);
}

} // namespace teaselhitch

/// \file
/// The parts of the peers thread and of the callers thread that pass requests
/// for credits and their replies.

#include "CallersThread.h"
#include "PeersThread.h"

namespace teaselhitch {

void PeersThread::receive(const OutboundCreditRequest &Message) {
  if (Message.Node == Settings.Node) {
    if (std::optional<CreditReply> Reply =
            Lender.handle(Message.Request, now()))
      sendCredits(InboundCreditReply{Settings.Node, std::move(*Reply)});
    return;
  }
  std::shared_ptr<const FleetView> View = currentView();
  auto It = View->Nodes->find(Message.Node);
  if (It == View->Nodes->end() ||
      !Links->send(Message.Node, It->second.Address, Message.Request))
    sendCredits(CreditNodeLost{Message.Node});
}

void PeersThread::sendCredits(CreditMessage Message) {
  // Without the message, the entry asks the deputy, and the credits are lost.
  if (!Shared.CreditsToCallers.trySend(Message))
    logEvent(LogLevel::Warning, "peers", "credits-dropped");
}

void PeersThread::tickCredits() {
  // Each node is in contact at least once in each probe interval of 500 ms.
  constexpr Duration ContactPeriod = Duration::seconds(1);
  Time LastContact(Shared.LastPeerContact);
  Lender.tick(now());
  Lender.setContact(currentView()->Nodes->size() <= 1 ||
                        now() - LastContact <= ContactPeriod,
                    now());
}

void CallersThread::receive(const CreditMessage &Message) {
  refresh();
  std::visit(Overloaded{[&](const InboundCreditReply &M) {
                          execute(
                              Core->handleCreditReply(M.Node, M.Reply, now()));
                        },
                        [&](const CreditNodeLost &M) {
                          execute(Core->handleCreditNodeLost(M.Node, now()));
                        }},
             Message);
}

void CallersThread::perform(const SendCreditRequest &Action) {
  // If the request is dropped, the entry stops waiting as for a lost reply.
  if (!Shared.CreditsToPeers.trySend(
          OutboundCreditRequest{Action.Node, Action.Request}))
    logEvent(LogLevel::Warning, "callers", "credit-request-dropped",
             {{"node", Action.Node.str()}});
}

} // namespace teaselhitch

#include "ServerSelection.h"

namespace teaselhitch {

namespace {

/// Share of idempotent requests that are offered to an ejected backend server
/// first; its guard runs only a rationed number of them.
constexpr double TrialShare = 0.02;

} // namespace

Candidate ServerSelection::makeCandidate(const BackendServerRecord &Server,
                                         Time Now) const {
  Candidate C;
  C.Server = &Server;
  if (Server.Id.Node == Node)
    C.Away = Distance::OwnInstance;
  else if (Server.Domain == Domain)
    C.Away = Distance::OwnDomain;
  Load.describe(C, Now);
  return C;
}

const BackendServerRecord *
ServerSelection::best(const std::vector<Candidate> &From) {
  std::optional<std::size_t> Chosen = Choice->choose(From, Random);
  return Chosen ? From[*Chosen].Server : nullptr;
}

Selection ServerSelection::choose(const PendingRequest &P, Time Now) {
  auto It = View->Services.find(P.Target.To.TargetService->Name);
  if (It == View->Services.end())
    return {};
  std::vector<Candidate> InUse;
  std::vector<Candidate> Ejected;
  for (const BackendServerRecord &Server : *It->second) {
    if (Server.State != BackendServerState::Ready || P.hasTried(Server.Id) ||
        P.hasDeclined(Server.Id) || !selects(*P.Target.To.Target, Server))
      continue;
    bool IsEjected = Server.Health == BackendServerHealth::Ejected;
    (IsEjected ? Ejected : InUse).push_back(makeCandidate(Server, Now));
  }
  bool Trial = !Ejected.empty() && P.Dispatches == 0 &&
               P.Target.MatchedRule->Idempotent &&
               Random.uniform() < TrialShare;
  return {best(Trial ? Ejected : InUse), Trial};
}

const BackendServerRecord *
ServerSelection::chooseAny(const ServiceName &Service, Time Now) {
  auto It = View->Services.find(Service);
  if (It == View->Services.end())
    return nullptr;
  std::vector<Candidate> Candidates;
  for (const BackendServerRecord &Server : *It->second)
    if (Server.isCapacity())
      Candidates.push_back(makeCandidate(Server, Now));
  return best(Candidates);
}

} // namespace teaselhitch

#include "ServerSelection.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Share of idempotent requests that are offered to an ejected backend server
/// first; its guard runs only a rationed number of them.
constexpr double TrialShare = 0.02;
/// Share of idempotent requests that are offered to a suspected backend server
/// first, to find out whether it is sound again. Its guard takes one at a time,
/// and a trial that hangs is hedged. Where a third of the backend servers are
/// suspected and each gets about one such request in a second, all are tried
/// within two seconds.
constexpr double SuspectedTrialShare = 0.4;
/// The same when the others have no free slot: capacity is worth a trial.
constexpr double CrowdedTrialShare = 0.6;
/// Estimated risk from which a backend server is avoided.
constexpr double SuspectedRisk = 0.5;
/// What a failure costs a request that can run again, compared with one that
/// cannot: time and a repeat.
constexpr double RepeatableLoss = 0.3;

/// The risk that a request that can run again takes into account. It goes to
/// backend servers of which nothing is known as readily as to proven ones:
/// paid requests prefer fresh proof, and without such requests a sound one that
/// has rested for seconds would get no work at all.
double repeatableRisk(double Risk) {
  return std::max(0.0, Risk - UsualRisk) * RepeatableLoss;
}

/// As far as is known, no candidate has a free slot.
bool isCrowded(const std::vector<Candidate> &Candidates) {
  return std::all_of(
      Candidates.begin(), Candidates.end(), [](const Candidate &C) {
        return C.InProgress >= C.Server->Slots * C.Server->Weight / 100.0;
      });
}

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
  std::vector<Candidate> Suspected;
  std::vector<Candidate> Ejected;
  for (const BackendServerRecord &Server : *It->second) {
    if (Server.State != BackendServerState::Ready || P.hasTried(Server.Id) ||
        P.hasDeclined(Server.Id) || !selects(*P.Target.To.Target, Server))
      continue;
    Candidate C = makeCandidate(Server, Now);
    bool IsSuspected = C.Risk > SuspectedRisk;
    if (P.hasSpareAttempt())
      C.Risk = repeatableRisk(C.Risk);
    if (Server.Health == BackendServerHealth::Ejected)
      Ejected.push_back(C);
    else
      (IsSuspected ? Suspected : InUse).push_back(C);
  }
  bool MayTry = P.Dispatches == 0 && P.hasSpareAttempt();
  if (MayTry && !Ejected.empty() && Random.uniform() < TrialShare)
    return {best(Ejected), true};
  double Share = isCrowded(InUse) ? CrowdedTrialShare : SuspectedTrialShare;
  // Any of them, so that all are tried again; their guards pace the trials.
  if (MayTry && !Suspected.empty() && Random.uniform() < Share)
    return {Suspected[Random.below(Suspected.size())].Server, false};
  // Who is suspected is asked last, and only by those who may wait.
  bool AllSuspected = InUse.empty() && P.Lenient;
  return {best(AllSuspected ? Suspected : InUse), false};
}

bool ServerSelection::isMostlyRisky(const PendingRequest &P, Time Now) const {
  auto It = View->Services.find(P.Target.To.TargetService->Name);
  if (It == View->Services.end())
    return false;
  std::size_t Ready = 0;
  std::size_t Risky = 0;
  for (const BackendServerRecord &Server : *It->second) {
    if (!Server.isCapacity() || !selects(*P.Target.To.Target, Server))
      continue;
    ++Ready;
    Risky += makeCandidate(Server, Now).Risk > SuspectedRisk ? 1 : 0;
  }
  return 2 * Risky > Ready;
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

#include "ServerSelector.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Share of idempotent requests that are offered to an ejected backend server
/// first. Its guard runs only a limited number of them.
constexpr double EjectedTrialShare = 0.02;
/// Share of idempotent requests that are offered to a suspected backend server
/// first, to find out whether it has recovered. Its guard runs one at a time,
/// and a trial that hangs is hedged. If a third of the backend servers are
/// suspected and each gets about one such request per second, all are tried
/// within two seconds.
constexpr double SuspectedTrialShare = 0.4;
/// The same share when no other backend server has a free slot, because
/// additional capacity justifies more trials.
constexpr double SaturatedTrialShare = 0.6;
/// Estimated risk above which a backend server is avoided.
constexpr double SuspicionThreshold = 0.5;
/// Cost of a failure of a retryable request, which is time and a retry,
/// relative to the failure of a request that cannot be retried.
constexpr double RetryableRiskWeight = 0.3;

/// Returns the risk to consider for a retryable request. It is zero up to
/// PriorRisk, so that backend servers without recent data are chosen as readily
/// as ones that have just answered. Paid requests prefer recent evidence of
/// health; without the retryable requests, a healthy backend server that was
/// idle for seconds would get no work at all.
double retryableRisk(double Risk) {
  return std::max(0.0, Risk - PriorRisk) * RetryableRiskWeight;
}

/// Risk up to which a backend server of a near domain is preferred to all
/// remote ones.
constexpr double AcceptableRisk = 0.33;
constexpr double AcceptablePathFailures = 0.5;
/// Share of the trials of suspected and ejected backend servers that go to
/// remote domains, where other entries are near. It is not zero, because these
/// may have no requests.
constexpr double RemoteTrialShare = 0.125;

bool isRemote(const Candidate &C) {
  return C.ServerDistance == Distance::RemoteDomain;
}

double usableSlots(const Candidate &C) {
  return C.Server->Slots * C.Server->Weight / 100.0;
}

/// Returns true if the candidate can take a request: at once, or, if it may be
/// queued, after waiting for at most about one run time.
bool hasRoom(const Candidate &C, bool IsQueueable) {
  if (C.Risk > AcceptableRisk || C.PathFailures > AcceptablePathFailures)
    return false;
  return IsQueueable ? C.Waiting < usableSlots(C)
                     : C.InProgress + 1 <= usableSlots(C);
}

/// Leaves only remote candidates if one of them has a free slot.
void searchRemote(std::vector<Candidate> &Candidates) {
  if (std::any_of(Candidates.begin(), Candidates.end(), [](const Candidate &C) {
        return isRemote(C) && hasRoom(C, false);
      }))
    std::erase_if(Candidates, [](const Candidate &C) { return !isRemote(C); });
}

/// Removes the remote candidates while a near one has room.
void preferNear(std::vector<Candidate> &Candidates, bool IsQueueable) {
  if (std::any_of(Candidates.begin(), Candidates.end(),
                  [&](const Candidate &C) {
                    return !isRemote(C) && hasRoom(C, IsQueueable);
                  }))
    std::erase_if(Candidates, isRemote);
}

/// Returns true if no candidate has a free slot, as far as the entry knows.
bool isSaturated(const std::vector<Candidate> &Candidates) {
  return std::all_of(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &C) { return C.InProgress >= usableSlots(C); });
}

} // namespace

Candidate ServerSelector::makeCandidate(const BackendServerRecord &Server,
                                        Time Now) const {
  Candidate C;
  C.Server = &Server;
  if (Server.Id.Node == Node)
    C.ServerDistance = Distance::OwnInstance;
  else if (Server.Domain == Domain)
    C.ServerDistance = Distance::OwnDomain;
  else if (!View->RemoteDomains.empty() &&
           View->RemoteDomains.count(Server.Domain) != 0)
    C.ServerDistance = Distance::RemoteDomain;
  Load.fillCandidate(C, Now);
  return C;
}

const BackendServerRecord *
ServerSelector::pick(const std::vector<Candidate> &From) {
  std::optional<std::size_t> Chosen = Policy->choose(From, Random);
  return Chosen ? From[*Chosen].Server : nullptr;
}

Selection ServerSelector::choose(const PendingRequest &P, Time Now) {
  auto It = View->Services.find(P.Target.Dest.TargetService->Name);
  if (It == View->Services.end())
    return {};
  std::vector<Candidate> Healthy;
  std::vector<Candidate> Suspected;
  std::vector<Candidate> Ejected;
  for (const BackendServerRecord &Server : *It->second) {
    if (Server.State != BackendServerState::Ready || P.hasTried(Server.Id) ||
        P.hasDeclined(Server.Id) ||
        !selects(*P.Target.Dest.TargetGroup, Server))
      continue;
    Candidate C = makeCandidate(Server, Now);
    bool IsSuspected = C.Risk > SuspicionThreshold;
    if (P.hasSpareAttempt())
      C.Risk = retryableRisk(C.Risk);
    if (Server.Health == BackendServerHealth::Ejected)
      Ejected.push_back(C);
    else
      (IsSuspected ? Suspected : Healthy).push_back(C);
  }
  bool TrialAllowed = P.Dispatches == 0 && P.hasSpareAttempt();
  // What the entry knows of near queues may be out of date, so later offers may
  // go to remote guards.
  bool IsFirstRound = P.QueueableOffers < ParallelOffers;
  if (P.SearchesRemote && !P.IsQueueable)
    searchRemote(Healthy);
  else if (IsFirstRound)
    preferNear(Healthy, P.IsQueueable);
  if (TrialAllowed && !View->RemoteDomains.empty())
    limitRemoteTrials(Healthy, Suspected, Ejected);
  if (TrialAllowed && !Ejected.empty() && Random.uniform() < EjectedTrialShare)
    return {pick(Ejected), true};
  double Share =
      isSaturated(Healthy) ? SaturatedTrialShare : SuspectedTrialShare;
  // Choose at random, so that all suspected servers are tried again; their
  // guards limit the rate of trials.
  if (TrialAllowed && !Suspected.empty() && Random.uniform() < Share)
    return {Suspected[Random.uniformInt(Suspected.size())].Server, false};
  // Suspected servers are asked last, and only for requests that may be queued.
  bool UseSuspected = Healthy.empty() && P.IsQueueable;
  if (UseSuspected && IsFirstRound)
    preferNear(Suspected, true);
  return {pick(UseSuspected ? Suspected : Healthy), false};
}

/// Leaves most trials of remote backend servers to entries that are near them.
/// Without a near backend server, all trials go to remote ones.
void ServerSelector::limitRemoteTrials(const std::vector<Candidate> &Healthy,
                                       std::vector<Candidate> &Suspected,
                                       std::vector<Candidate> &Ejected) {
  auto HasNear = [](const std::vector<Candidate> &Candidates) {
    return !std::all_of(Candidates.begin(), Candidates.end(), isRemote);
  };
  if (!HasNear(Healthy) || Random.uniform() < RemoteTrialShare)
    return;
  std::erase_if(Suspected, isRemote);
  std::erase_if(Ejected, isRemote);
}

bool ServerSelector::isMostlyRisky(const PendingRequest &P, Time Now) const {
  auto It = View->Services.find(P.Target.Dest.TargetService->Name);
  if (It == View->Services.end())
    return false;
  std::size_t Ready = 0;
  std::size_t Risky = 0;
  for (const BackendServerRecord &Server : *It->second) {
    if (!Server.isCapacity() || !selects(*P.Target.Dest.TargetGroup, Server))
      continue;
    ++Ready;
    Risky += makeCandidate(Server, Now).Risk > SuspicionThreshold ? 1 : 0;
  }
  return 2 * Risky > Ready;
}

const BackendServerRecord *ServerSelector::chooseAny(const ServiceName &Service,
                                                     Time Now) {
  auto It = View->Services.find(Service);
  if (It == View->Services.end())
    return nullptr;
  std::vector<Candidate> Candidates;
  for (const BackendServerRecord &Server : *It->second)
    if (Server.isCapacity())
      Candidates.push_back(makeCandidate(Server, Now));
  preferNear(Candidates, false);
  return pick(Candidates);
}

} // namespace teaselhitch

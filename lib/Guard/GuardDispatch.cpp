#include "GuardCore.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace teaselhitch {

namespace {

/// Longest accepted time until the deadline. Rules allow less; the bound
/// prevents a malformed message from holding a slot permanently.
constexpr Duration MaxRemaining = Duration::seconds(3600);
/// Nine in ten requests run for less than this multiple of the mean run time.
constexpr double RunTimeMargin = 1.5;
/// Share of an organisation that is not in the configuration. All such
/// organisations use one account, so that invented names gain nothing.
constexpr std::uint32_t DefaultShare = 1;
/// Queue length per slot for a service without a Limit object; the default of
/// Limit::QueuePerSlot.
constexpr std::uint32_t DefaultQueuePerSlot = 4;

/// Name of the sub-queue for attempts whose fingerprint was in a crash. It is
/// not a valid name, so no organisation can have it.
const OrganisationName SuspectQueue("?suspects");

const Organisation *findOrganisation(const ActiveConfig *Config,
                                     const OrganisationName &Name) {
  if (Config == nullptr)
    return nullptr;
  const std::vector<Organisation> &All = Config->Objects.Organisations;
  auto It =
      std::lower_bound(All.begin(), All.end(), Name,
                       [](const Organisation &O, const OrganisationName &N) {
                         return O.Name < N;
                       });
  return It != All.end() && It->Name == Name ? &*It : nullptr;
}

} // namespace

GuardActions GuardCore::dispatch(const DispatchInfo &Info, Time Now) {
  GuardActions Out;
  // A duplicate message must not start the attempt again.
  if (Attempts.count(Info.Attempt) != 0)
    return Out;
  Attempt A;
  // The key is checked first: a caller who sends a used key again must not be
  // told that the request was not run.
  if (!Info.GuardKey.empty()) {
    auto Checked = Keys.check(Info.GuardKey, Now);
    if (const Reason *Cause = std::get_if<Reason>(&Checked)) {
      refuse(Info, *Cause, {}, Now, Out);
      return Out;
    }
    A.Key = std::get<std::uint64_t>(Checked);
  }
  if (Draining) {
    refuse(Info, Reason::Draining, {}, Now, Out);
    return Out;
  }
  // The negated comparison also treats NaN as expired.
  if (!(Info.Remaining > Duration())) {
    refuse(Info, Reason::DeadlineExpired, {}, Now, Out);
    return Out;
  }
  if (Crashes.status(Info.Fingerprint) == CrashTable::Status::Refused) {
    refuse(Info, Reason::Quarantined, Crashes.retryAfter(Info.Fingerprint, Now),
           Now, Out);
    return Out;
  }
  std::optional<Reason> Declined =
      Info.Strict ? declineStrict(Info, Now) : std::nullopt;
  if (Declined) {
    refuse(Info, *Declined, {}, Now, Out);
    return Out;
  }
  if (!Dependencies.admit(Info.Rule, Info.Attempt.Request, Now)) {
    refuse(Info, Reason::DependencyBusy, {}, Now, Out);
    return Out;
  }
  A.Info = Info;
  A.Deadline = Now + std::min(Info.Remaining, MaxRemaining);
  Time Objective =
      Info.Objective.ms() > 0 ? Now + Info.ObjectiveLeft : A.Deadline;
  A.LatestStart = Objective - Risk.meanRunTime(Info) * RunTimeMargin;
  A.Order = NextOrder++;
  A.Account = isBlockedSuspect(A) ? SuspectQueue : account(Info.Organisation);
  admit(A, Now, Out);
  return Out;
}

void GuardCore::admit(Attempt &A, Time Now, GuardActions &Out) {
  const ServiceName &Service = A.Info.Service;
  if (!A.Info.Strict && Servers.isServed(Service) && allRisky(A.Info, Now) &&
      !allowsTrial(A.Info, Now)) {
    refuse(A.Info, Reason::Suspected, {}, Now, Out);
    return;
  }
  if (!isBlockedSuspect(A) && tryStart(A, Now, Out))
    return;
  if (!Servers.isServed(Service)) {
    refuse(A.Info, unservedReason(Service), {}, Now, Out);
    return;
  }
  if (wouldExpire(A)) {
    refuse(A.Info, Reason::QueueFull, retryAfter(Service), Now, Out);
    return;
  }
  ServiceQueue &Q = Queues[Service];
  Q.Shares.recordArrival(A.Account, share(A.Account),
                         Q.Queue.size(A.Account) != 0, Now);
  Admission Decision =
      Q.Shares.admit(A.Account, Q.Queue, queueLimit(Service), Now);
  if (Decision == Admission::QueueFull && displaceLast(A, Now, Out))
    Decision = Q.Shares.admit(A.Account, Q.Queue, queueLimit(Service), Now);
  switch (Decision) {
  case Admission::Admit:
    Q.Queue.insert(A.Account, A.queueEntry());
    store(A);
    return;
  case Admission::QueueFull:
    refuse(A.Info, Reason::QueueFull, retryAfter(Service), Now, Out);
    return;
  case Admission::OverShare:
    refuse(A.Info, Reason::OverShare, retryAfter(Service), Now, Out);
    return;
  }
}

std::optional<Reason> GuardCore::declineStrict(const DispatchInfo &Info,
                                               Time Now) {
  if (!Servers.isServed(Info.Service))
    return unservedReason(Info.Service);
  GuardedServer *Server = Servers.choose(Info.Service, Info.Preferred, Now);
  auto Queue = Queues.find(Info.Service);
  bool HasWaiting = Queue != Queues.end() && Queue->second.Queue.size() != 0;
  if (Server == nullptr || HasWaiting)
    return Reason::Busy;
  const BackendServerName &Name = Server->Record.Id.Name;
  if (Risk.isTooRisky(Name, Info, Now) && !Risk.allowsTrial(Name, Info, Now))
    return Reason::Suspected;
  return std::nullopt;
}

bool GuardCore::allowsTrial(const DispatchInfo &Info, Time Now) {
  GuardedServer *Server = Servers.choose(Info.Service, Info.Preferred, Now);
  return Server != nullptr &&
         Risk.allowsTrial(Server->Record.Id.Name, Info, Now);
}

bool GuardCore::displaceLast(const Attempt &A, Time Now, GuardActions &Out) {
  const AdmissionQueue &Queue = Queues[A.Info.Service].Queue;
  auto SubQueue = Queue.subQueues().find(A.Account);
  if (SubQueue == Queue.subQueues().end() || SubQueue->second.empty())
    return false;
  const QueuedAttempt &Last = *SubQueue->second.rbegin();
  // Only a higher priority displaces an attempt; otherwise the attempt that
  // arrived first keeps its place.
  bool HasPriority = A.Info.Priority < Last.Priority;
  if (HasPriority)
    refuseWaiting(AttemptId(Last.Attempt), Reason::QueueFull, Now, Out,
                  retryAfter(A.Info.Service));
  return HasPriority;
}

bool GuardCore::wouldExpire(const Attempt &A) const {
  const DispatchInfo &Info = A.Info;
  auto Queue = Queues.find(Info.Service);
  std::uint32_t Slots = Servers.slots(Info.Service);
  if (Queue == Queues.end() || Slots == 0)
    return false;
  // On average, a slot becomes free after a fraction of a run time, and a
  // request that is offered to several guards waits here for only a fraction of
  // its turn.
  auto SubQueue = Queue->second.Queue.subQueues().find(A.Account);
  std::ptrdiff_t QueuePosition = 0;
  if (SubQueue != Queue->second.Queue.subQueues().end())
    QueuePosition = std::distance(SubQueue->second.begin(),
                                  SubQueue->second.lower_bound(A.queueEntry()));
  double Turns = (static_cast<double>(QueuePosition) + 0.5) / Slots /
                 std::max(1U, Info.Offers);
  return Risk.meanRunTime(Info) * (Turns + 1) > Info.Remaining;
}

GuardCore::Attempt &GuardCore::store(Attempt A) {
  if (A.Key)
    Keys.hold(*A.Key);
  AttemptId Id = A.Info.Attempt;
  return Attempts.emplace(std::move(Id), std::move(A)).first->second;
}

bool GuardCore::isBlockedSuspect(const Attempt &A) const {
  return SuspectRunning &&
         Crashes.status(A.Info.Fingerprint) == CrashTable::Status::Suspect;
}

bool GuardCore::tryStart(Attempt &A, Time Now, GuardActions &Out) {
  const ServiceName &Service = A.Info.Service;
  bool MayBeTrial =
      A.Info.Idempotent && !A.Info.Paid && A.Info.GuardKey.empty();
  GuardedServer *Server =
      MayBeTrial ? Servers.chooseForTrial(Service, A.Info.Preferred, Now)
                 : nullptr;
  A.Trial = Server != nullptr;
  if (Server == nullptr)
    Server = Servers.choose(Service, A.Info.Preferred, Now);
  if (Server == nullptr)
    return false;
  ServiceQueue &Q = Queues[Service];
  Q.Shares.recordArrival(A.Account, share(A.Account),
                         Q.Queue.size(A.Account) != 0, Now);
  start(store(A), *Server, Q.Queue.size() == 0, Now, Out);
  return true;
}

void GuardCore::start(Attempt &A, GuardedServer &Server, bool Direct, Time Now,
                      GuardActions &Out) {
  assert(Server.InProgress < Server.Record.Slots && "a slot is free");
  ++Server.InProgress;
  Server.TrialInProgress |= A.Trial;
  A.Running = true;
  A.Server = Server.Record.Id.Name;
  A.ServerIncarnation = Server.Incarnation;
  A.StartedAt = Now;
  A.Suspect = Crashes.status(A.Info.Fingerprint) == CrashTable::Status::Suspect;
  SuspectRunning |= A.Suspect;
  if (A.Key)
    Keys.use(*A.Key);
  Risk.recordStart(A.Server, A.Info, Now);
  A.Charged = Queues[A.Info.Service].Shares.recordStart(A.Account, Direct);
  Out.emplace_back(
      StartAttempt{A.Info.Attempt, A.Server, Server.Address, A.Deadline - Now});
}

void GuardCore::startWaiting(const ServiceName &Service, Time Now,
                             GuardActions &Out) {
  auto It = Queues.find(Service);
  if (It == Queues.end())
    return;
  ServiceQueue &Q = It->second;
  const auto IsEligible = [this](const OrganisationName &Account) {
    return !SuspectRunning || Account != SuspectQueue;
  };
  while (Q.Queue.size() != 0 && Servers.choose(Service, {}, Now) != nullptr) {
    std::optional<OrganisationName> Next =
        Q.Shares.next(Q.Queue, Servers.slots(Service), IsEligible);
    if (!Next)
      return;
    processHead(Q, *Next, Now, Out);
  }
}

void GuardCore::processHead(ServiceQueue &Q, const OrganisationName &Account,
                            Time Now, GuardActions &Out) {
  AttemptId Id = Q.Queue.subQueues().at(Account).begin()->Attempt;
  Attempt &A = Attempts.at(Id);
  std::uint64_t Fingerprint = A.Info.Fingerprint;
  if (A.Deadline <= Now) {
    refuseWaiting(Id, Reason::DeadlineExpired, Now, Out);
    return;
  }
  if (Crashes.status(Fingerprint) == CrashTable::Status::Refused) {
    refuseWaiting(Id, Reason::Quarantined, Now, Out,
                  Crashes.retryAfter(Fingerprint, Now));
    return;
  }
  if (allRisky(A.Info, Now)) {
    refuseWaiting(Id, Reason::Suspected, Now, Out);
    return;
  }
  Q.Queue.erase(Account, A.queueEntry());
  if (isBlockedSuspect(A)) {
    A.Account = SuspectQueue;
    Q.Shares.recordArrival(A.Account, DefaultShare,
                           Q.Queue.size(A.Account) != 0, Now);
    Q.Queue.insert(A.Account, A.queueEntry());
    return;
  }
  GuardedServer *Server = Servers.choose(A.Info.Service, A.Info.Preferred, Now);
  start(A, *Server, false, Now, Out);
}

void GuardCore::updateQueue(const ServiceName &Service, Time Now,
                            GuardActions &Out) {
  auto It = Queues.find(Service);
  if (It == Queues.end())
    return;
  if (!Servers.isServed(Service)) {
    for (const AttemptId &Id : It->second.Queue.all())
      refuseWaiting(Id, unservedReason(Service), Now, Out);
    return;
  }
  startWaiting(Service, Now, Out);
}

void GuardCore::updateAllQueues(Time Now, GuardActions &Out) {
  for (const auto &[Service, Queue] : Queues)
    updateQueue(Service, Now, Out);
}

void GuardCore::refuseExpired(Time Now, GuardActions &Out) {
  for (const auto &[Service, Q] : Queues)
    for (const AttemptId &Id : Q.Queue.expired(Now))
      refuseWaiting(Id, Reason::DeadlineExpired, Now, Out);
}

bool GuardCore::allRisky(const DispatchInfo &Info, Time Now) const {
  const auto &All = Servers.servers();
  return std::all_of(All.begin(), All.end(), [&](const auto &Item) {
    const GuardedServer &Server = Item.second;
    return Server.Record.Service != Info.Service || !Server.isUsable() ||
           Risk.isTooRisky(Item.first, Info, Now);
  });
}

void GuardCore::refuseRisky(Time Now, GuardActions &Out) {
  for (const auto &[Service, Q] : Queues)
    for (const AttemptId &Id : Q.Queue.all()) {
      const DispatchInfo &Info = Attempts.at(Id).Info;
      if (allRisky(Info, Now))
        refuseWaiting(Id, Reason::Suspected, Now, Out);
    }
}

Reason GuardCore::unservedReason(const ServiceName &Service) const {
  return Servers.isDraining(Service) ? Reason::Draining
                                     : Reason::NoBackendServer;
}

OrganisationName
GuardCore::account(const OrganisationName &Organisation) const {
  return findOrganisation(Config.get(), Organisation) != nullptr
             ? Organisation
             : OrganisationName();
}

std::uint32_t GuardCore::share(const OrganisationName &Account) const {
  const Organisation *Found = findOrganisation(Config.get(), Account);
  return Found != nullptr ? Found->Share : DefaultShare;
}

std::size_t GuardCore::queueLimit(const ServiceName &Service) const {
  auto It = QueuePerSlot.find(Service);
  std::size_t PerSlot =
      It != QueuePerSlot.end() ? It->second : DefaultQueuePerSlot;
  return PerSlot * Servers.slots(Service);
}

Duration GuardCore::retryAfter(const ServiceName &Service) {
  ServiceQueue &Q = Queues[Service];
  return Q.Shares.retryAfter(Q.Queue.size(), Servers.slots(Service));
}

} // namespace teaselhitch

#include "CrashTable.h"

#include <algorithm>
#include <utility>

namespace teaselhitch {

namespace {

/// Maximum number of crashes kept for detecting bursts.
constexpr std::size_t MaxCrashes = 256;
/// Minimum number of unexplained crashes in a burst that form a wave.
constexpr std::size_t MinWaveCrashes = 2;

} // namespace

CrashTable::Status CrashTable::status(std::uint64_t Fingerprint) const {
  auto It = Entries.find(Fingerprint);
  if (It == Entries.end())
    return Status::Clear;
  return It->second.CurrentStage == Stage::Marked ? Status::Suspect
                                                  : Status::Refused;
}

Duration CrashTable::retryAfter(std::uint64_t Fingerprint, Time Now) const {
  auto It = Entries.find(Fingerprint);
  if (It == Entries.end() || It->second.CurrentStage == Stage::Marked)
    return {};
  return std::max(Duration(), It->second.ExpiresAt - Now);
}

void CrashTable::recordCrash(std::uint64_t Id,
                             const std::vector<RunningAttempt> &Running,
                             Time Now, GuardActions &Out) {
  ServiceName Service = Running.empty() ? ServiceName() : Running[0].Service;
  CrashRecord &C = findOrAddCrash(Id, true, Service, Now);
  // Mark each fingerprint once, using the attempt that started last.
  std::map<std::uint64_t, RunningAttempt> Latest;
  for (const RunningAttempt &R : Running) {
    auto [It, Inserted] = Latest.emplace(R.Fingerprint, R);
    if (!Inserted && R.StartedAt > It->second.StartedAt)
      It->second = R;
  }
  Latest.erase(0);
  for (const auto &[Fingerprint, R] : Latest)
    C.Fingerprints.insert(Fingerprint);
  for (const auto &[Fingerprint, R] : Latest)
    mark(Id, R, Now, Out);
}

void CrashTable::mark(std::uint64_t Id, const RunningAttempt &R, Time Now,
                      GuardActions &Out) {
  Entry *E = find(R.Fingerprint);
  if (E == nullptr) {
    // A recent answer excuses one crash only, because the request may have
    // become harmful since.
    if (Answered.erase(R.Fingerprint) != 0)
      return;
    Entry &New = insert(R.Fingerprint, Now);
    New.FirstCrash = Id;
    New.Service = R.Service;
    Out.emplace_back(CrashMark{R.Fingerprint, Id, R.Service, false});
    return;
  }
  bool WasRetried = E->FirstCrash != Id && R.StartedAt >= E->MarkedAt;
  if (E->CurrentStage != Stage::Marked || !WasRetried)
    return;
  E->CurrentStage = Stage::Held;
  E->SecondCrash = Id;
  E->Service = R.Service;
  E->MarkedAt = Now;
  E->ExpiresAt = Now + confirmTime();
  Out.emplace_back(CrashMark{R.Fingerprint, Id, R.Service, true});
}

void CrashTable::recordAnswer(std::uint64_t Fingerprint) {
  if (Fingerprint == 0)
    return;
  auto It = Entries.find(Fingerprint);
  if (It != Entries.end() && It->second.CurrentStage != Stage::Quarantined)
    Entries.erase(It);
  if (Answered.count(Fingerprint) != 0)
    return;
  Answered.insert(Fingerprint);
  AnsweredOrder.push_back(Fingerprint);
  if (AnsweredOrder.size() <= Settings.MaxFingerprints)
    return;
  auto Oldest = Answered.find(AnsweredOrder.front());
  if (Oldest != Answered.end())
    Answered.erase(Oldest);
  AnsweredOrder.pop_front();
}

void CrashTable::receiveMark(const CrashMark &Mark, Time Now) {
  if (Mark.Fingerprint == 0)
    return;
  findOrAddCrash(Mark.CrashId, false, Mark.Service, Now)
      .Fingerprints.insert(Mark.Fingerprint);
  Entry *E = find(Mark.Fingerprint);
  if (E == nullptr && !Mark.Repeated && Answered.erase(Mark.Fingerprint) != 0)
    return;
  if (E == nullptr) {
    E = &insert(Mark.Fingerprint, Now);
    E->FirstCrash = Mark.CrashId;
    E->Service = Mark.Service;
  }
  if (!Mark.Repeated || E->CurrentStage != Stage::Marked)
    return;
  E->CurrentStage = Stage::HeldRemotely;
  E->SecondCrash = Mark.CrashId;
  // Wait longer than the deciding guard, because its quarantine message needs
  // time to arrive.
  E->ExpiresAt = Now + confirmTime() + confirmTime();
}

void CrashTable::receiveQuarantine(const Quarantine &Q, Time Now) {
  // The negated comparison also rejects NaN.
  if (Q.Fingerprint == 0 || !(Q.Period > Duration()))
    return;
  Entry *E = find(Q.Fingerprint);
  if (E == nullptr)
    E = &insert(Q.Fingerprint, Now);
  Time End = Now + std::min(Q.Period, Settings.QuarantineTime);
  E->ExpiresAt =
      E->CurrentStage == Stage::Quarantined ? std::max(E->ExpiresAt, End) : End;
  E->CurrentStage = Stage::Quarantined;
}

void CrashTable::tick(std::size_t Servers, Time Now, GuardActions &Out) {
  for (auto It = Entries.begin(); It != Entries.end();) {
    Entry &E = It->second;
    if (E.ExpiresAt > Now) {
      ++It;
      continue;
    }
    if (E.CurrentStage == Stage::Held) {
      if (!Crashes.empty() && Now - Crashes.back().RecordedAt <= confirmTime())
        E.ExpiresAt = Crashes.back().RecordedAt + confirmTime();
      else
        decideQuarantine(It->first, E, Servers, Now, Out);
      ++It;
      continue;
    }
    if (E.CurrentStage == Stage::HeldRemotely) {
      returnToMarked(E, Now);
      ++It;
      continue;
    }
    It = Entries.erase(It);
  }
  while (!Crashes.empty() && Now - Crashes.front().RecordedAt > CrashRetention)
    Crashes.pop_front();
}

CrashTable::Entry *CrashTable::find(std::uint64_t Fingerprint) {
  auto It = Entries.find(Fingerprint);
  return It == Entries.end() ? nullptr : &It->second;
}

CrashTable::Entry &CrashTable::insert(std::uint64_t Fingerprint, Time Now) {
  if (Entries.size() >= Settings.MaxFingerprints)
    evictOne();
  Entry &E = Entries[Fingerprint];
  E.MarkedAt = Now;
  E.ExpiresAt = Now + Settings.QuarantineTime;
  return E;
}

void CrashTable::evictOne() {
  // Evict marks before quarantines, and among each the one that ends first.
  auto Victim = std::min_element(
      Entries.begin(), Entries.end(), [](const auto &A, const auto &B) {
        bool AIsMark = A.second.CurrentStage == Stage::Marked;
        bool BIsMark = B.second.CurrentStage == Stage::Marked;
        if (AIsMark != BIsMark)
          return AIsMark;
        return A.second.ExpiresAt < B.second.ExpiresAt;
      });
  Entries.erase(Victim);
}

CrashTable::CrashRecord &CrashTable::findOrAddCrash(std::uint64_t Id,
                                                    bool IsLocal,
                                                    const ServiceName &Service,
                                                    Time Now) {
  auto It = std::find_if(Crashes.begin(), Crashes.end(),
                         [Id](const CrashRecord &C) { return C.Id == Id; });
  if (It != Crashes.end())
    return *It;
  if (Crashes.size() >= MaxCrashes)
    Crashes.pop_front();
  Crashes.push_back({Id, IsLocal, Now, Service, {}});
  return Crashes.back();
}

bool CrashTable::isInCrash(std::uint64_t Id, std::uint64_t Fingerprint) const {
  auto It = std::find_if(Crashes.begin(), Crashes.end(),
                         [Id](const CrashRecord &C) { return C.Id == Id; });
  return It != Crashes.end() && It->Fingerprints.count(Fingerprint) != 0;
}

/// Crashes that other repeated fingerprints explain. Each of these needs two
/// crashes of its own that did not involve Fingerprint. Otherwise, in a wave,
/// where many ordinary requests are repeated, these requests would explain each
/// other's crashes.
std::set<std::uint64_t>
CrashTable::explainedCrashes(std::uint64_t Fingerprint) const {
  std::set<std::uint64_t> Explained;
  for (const auto &[Other, E] : Entries) {
    if (Other == Fingerprint || E.SecondCrash == 0)
      continue;
    if (isInCrash(E.FirstCrash, Fingerprint) ||
        isInCrash(E.SecondCrash, Fingerprint) ||
        Explained.count(E.FirstCrash) != 0 ||
        Explained.count(E.SecondCrash) != 0)
      continue;
    Explained.insert({E.FirstCrash, E.SecondCrash});
  }
  return Explained;
}

std::vector<const CrashTable::CrashRecord *>
CrashTable::findBurst(std::uint64_t Id) const {
  auto Middle = std::find_if(Crashes.begin(), Crashes.end(),
                             [Id](const CrashRecord &C) { return C.Id == Id; });
  if (Middle == Crashes.end())
    return {};
  auto First = Middle;
  while (First != Crashes.begin() &&
         First->RecordedAt - (First - 1)->RecordedAt <= confirmTime())
    --First;
  std::vector<const CrashRecord *> Burst;
  for (auto It = First; It != Crashes.end(); ++It) {
    if (It > Middle && It->RecordedAt - (It - 1)->RecordedAt > confirmTime())
      break;
    Burst.push_back(&*It);
  }
  return Burst;
}

bool CrashTable::isWave(std::uint64_t Fingerprint, const Entry &E,
                        std::size_t Servers) const {
  std::vector<const CrashRecord *> Burst = findBurst(E.SecondCrash);
  std::set<std::uint64_t> Explained = explainedCrashes(Fingerprint);
  std::size_t LocalCrashes = 0;
  std::size_t LocalOthers = 0;
  std::size_t Unexplained = 0;
  for (const CrashRecord *C : Burst) {
    bool Other = C->Fingerprints.count(Fingerprint) == 0;
    LocalCrashes += C->IsLocal ? 1 : 0;
    LocalOthers += C->IsLocal && Other ? 1 : 0;
    // In a large fleet, some server of another service is always crashing, so
    // crashes of other services at other guards are ignored.
    bool IsRelevant = C->IsLocal || C->Service == E.Service;
    Unexplained += IsRelevant && Other && Explained.count(C->Id) == 0 ? 1 : 0;
  }
  // When most servers crash, several ordinary requests appear to be repeated,
  // so their fingerprints explain nothing.
  bool MostCrashed = LocalCrashes * 2 >= Servers;
  return Unexplained >= MinWaveCrashes || (MostCrashed && LocalOthers != 0);
}

void CrashTable::returnToMarked(Entry &E, Time Now) {
  E.CurrentStage = Stage::Marked;
  E.FirstCrash = E.SecondCrash;
  E.SecondCrash = 0;
  E.MarkedAt = Now;
  E.ExpiresAt = Now + Settings.QuarantineTime;
}

void CrashTable::decideQuarantine(std::uint64_t Fingerprint, Entry &E,
                                  std::size_t Servers, Time Now,
                                  GuardActions &Out) {
  // A wave can conceal a crashing request only once. An ordinary request is
  // answered after the wave, which clears its mark.
  if (!std::exchange(E.WasInWave, true) && isWave(Fingerprint, E, Servers)) {
    returnToMarked(E, Now);
    return;
  }
  E.CurrentStage = Stage::Quarantined;
  E.ExpiresAt = Now + Settings.QuarantineTime;
  Out.emplace_back(Quarantine{Fingerprint, Settings.QuarantineTime});
}

} // namespace teaselhitch

#include "CrashTable.h"

#include <algorithm>
#include <utility>

namespace teaselhitch {

namespace {

/// Crashes remembered to find bursts.
constexpr std::size_t MaxCrashes = 256;
/// Unexplained crashes in a burst that make it a wave.
constexpr std::size_t WaveCrashes = 2;

} // namespace

CrashTable::Standing CrashTable::standing(std::uint64_t Fingerprint) const {
  auto It = Entries.find(Fingerprint);
  if (It == Entries.end())
    return Standing::Clear;
  return It->second.Is == Stage::Marked ? Standing::Suspect : Standing::Refused;
}

Duration CrashTable::refusedFor(std::uint64_t Fingerprint, Time Now) const {
  auto It = Entries.find(Fingerprint);
  if (It == Entries.end() || It->second.Is == Stage::Marked)
    return {};
  return std::max(Duration(), It->second.Until - Now);
}

void CrashTable::crashed(std::uint64_t Id, const std::vector<Ran> &Running,
                         Time Now, GuardActions &Out) {
  ServiceName Service = Running.empty() ? ServiceName() : Running[0].Service;
  Crashed &C = crash(Id, true, Service, Now);
  // One mark for each fingerprint, with the attempt that started last.
  std::map<std::uint64_t, Ran> Latest;
  for (const Ran &R : Running) {
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

void CrashTable::mark(std::uint64_t Id, const Ran &R, Time Now,
                      GuardActions &Out) {
  Entry *E = find(R.Fingerprint);
  if (E == nullptr) {
    // The credit of an earlier answer covers one crash only, in case the
    // request became harmful since.
    if (Answered.erase(R.Fingerprint) != 0)
      return;
    Entry &New = insert(R.Fingerprint, Now);
    New.FirstCrash = Id;
    New.Service = R.Service;
    Out.emplace_back(CrashMark{R.Fingerprint, Id, R.Service, false});
    return;
  }
  bool SentAgain = E->FirstCrash != Id && R.StartedAt >= E->MarkedAt;
  if (E->Is != Stage::Marked || !SentAgain)
    return;
  E->Is = Stage::Held;
  E->SecondCrash = Id;
  E->Service = R.Service;
  E->MarkedAt = Now;
  E->Until = Now + confirmTime();
  Out.emplace_back(CrashMark{R.Fingerprint, Id, R.Service, true});
}

void CrashTable::answered(std::uint64_t Fingerprint) {
  if (Fingerprint == 0)
    return;
  auto It = Entries.find(Fingerprint);
  if (It != Entries.end() && It->second.Is != Stage::Quarantined)
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

void CrashTable::heardMark(const CrashMark &Mark, Time Now) {
  if (Mark.Fingerprint == 0)
    return;
  crash(Mark.Crash, false, Mark.Service, Now)
      .Fingerprints.insert(Mark.Fingerprint);
  Entry *E = find(Mark.Fingerprint);
  if (E == nullptr && !Mark.Repeated && Answered.erase(Mark.Fingerprint) != 0)
    return;
  if (E == nullptr) {
    E = &insert(Mark.Fingerprint, Now);
    E->FirstCrash = Mark.Crash;
    E->Service = Mark.Service;
  }
  if (!Mark.Repeated || E->Is != Stage::Marked)
    return;
  E->Is = Stage::HeldByOther;
  E->SecondCrash = Mark.Crash;
  // The quarantine needs a moment longer to arrive than it takes to decide.
  E->Until = Now + confirmTime() + confirmTime();
}

void CrashTable::heardQuarantine(const Quarantine &Q, Time Now) {
  // Written so that a value that is not a number is dropped.
  if (Q.Fingerprint == 0 || !(Q.For > Duration()))
    return;
  Entry *E = find(Q.Fingerprint);
  if (E == nullptr)
    E = &insert(Q.Fingerprint, Now);
  Time End = Now + std::min(Q.For, Settings.QuarantineTime);
  E->Until = E->Is == Stage::Quarantined ? std::max(E->Until, End) : End;
  E->Is = Stage::Quarantined;
}

void CrashTable::tick(std::size_t Servers, Time Now, GuardActions &Out) {
  for (auto It = Entries.begin(); It != Entries.end();) {
    Entry &E = It->second;
    if (E.Until > Now) {
      ++It;
      continue;
    }
    if (E.Is == Stage::Held) {
      if (!Crashes.empty() && Now - Crashes.back().At <= confirmTime())
        E.Until = Crashes.back().At + confirmTime();
      else
        judge(It->first, E, Servers, Now, Out);
      ++It;
      continue;
    }
    if (E.Is == Stage::HeldByOther) {
      backToMarked(E, Now);
      ++It;
      continue;
    }
    It = Entries.erase(It);
  }
  while (!Crashes.empty() && Now - Crashes.front().At > CrashMemory)
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
  E.Until = Now + Settings.QuarantineTime;
  return E;
}

void CrashTable::evictOne() {
  // Marks go before quarantines, and of each the one that ends first.
  auto Victim = std::min_element(Entries.begin(), Entries.end(),
                                 [](const auto &A, const auto &B) {
                                   bool AIsMark = A.second.Is == Stage::Marked;
                                   bool BIsMark = B.second.Is == Stage::Marked;
                                   if (AIsMark != BIsMark)
                                     return AIsMark;
                                   return A.second.Until < B.second.Until;
                                 });
  Entries.erase(Victim);
}

CrashTable::Crashed &CrashTable::crash(std::uint64_t Id, bool Own,
                                       const ServiceName &Service, Time Now) {
  auto It = std::find_if(Crashes.begin(), Crashes.end(),
                         [Id](const Crashed &C) { return C.Id == Id; });
  if (It != Crashes.end())
    return *It;
  if (Crashes.size() >= MaxCrashes)
    Crashes.pop_front();
  Crashes.push_back({Id, Own, Now, Service, {}});
  return Crashes.back();
}

bool CrashTable::isInCrash(std::uint64_t Id, std::uint64_t Fingerprint) const {
  auto It = std::find_if(Crashes.begin(), Crashes.end(),
                         [Id](const Crashed &C) { return C.Id == Id; });
  return It != Crashes.end() && It->Fingerprints.count(Fingerprint) != 0;
}

/// Crashes that other repeated fingerprints explain. Each needs two crashes of
/// its own in which Fingerprint had no part; otherwise in a wave, where many
/// ordinary requests are repeated, these would explain each other's crashes.
std::set<std::uint64_t>
CrashTable::explainedWithout(std::uint64_t Fingerprint) const {
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

std::vector<const CrashTable::Crashed *>
CrashTable::burstAround(std::uint64_t Id) const {
  auto Middle = std::find_if(Crashes.begin(), Crashes.end(),
                             [Id](const Crashed &C) { return C.Id == Id; });
  if (Middle == Crashes.end())
    return {};
  auto First = Middle;
  while (First != Crashes.begin() &&
         First->At - (First - 1)->At <= confirmTime())
    --First;
  std::vector<const Crashed *> Burst;
  for (auto It = First; It != Crashes.end(); ++It) {
    if (It > Middle && It->At - (It - 1)->At > confirmTime())
      break;
    Burst.push_back(&*It);
  }
  return Burst;
}

bool CrashTable::isWave(std::uint64_t Fingerprint, const Entry &E,
                        std::size_t Servers) const {
  std::vector<const Crashed *> Burst = burstAround(E.SecondCrash);
  std::set<std::uint64_t> Explained = explainedWithout(Fingerprint);
  std::size_t Own = 0;
  std::size_t OwnOthers = 0;
  std::size_t Unexplained = 0;
  for (const Crashed *C : Burst) {
    bool Other = C->Fingerprints.count(Fingerprint) == 0;
    Own += C->Own ? 1 : 0;
    OwnOthers += C->Own && Other ? 1 : 0;
    // In a large fleet some server of another service always crashes.
    bool Counts = C->Own || C->Service == E.Service;
    Unexplained += Counts && Other && Explained.count(C->Id) == 0 ? 1 : 0;
  }
  // When most servers crash, several ordinary requests seem to repeat, so
  // these explain nothing.
  bool MostCrashed = Own * 2 >= Servers;
  return Unexplained >= WaveCrashes || (MostCrashed && OwnOthers != 0);
}

void CrashTable::backToMarked(Entry &E, Time Now) {
  E.Is = Stage::Marked;
  E.FirstCrash = E.SecondCrash;
  E.SecondCrash = 0;
  E.MarkedAt = Now;
  E.Until = Now + Settings.QuarantineTime;
}

void CrashTable::judge(std::uint64_t Fingerprint, Entry &E, std::size_t Servers,
                       Time Now, GuardActions &Out) {
  // A wave may hide a crashing request once. An ordinary request is answered
  // after the wave, which clears it.
  if (!std::exchange(E.WasInWave, true) && isWave(Fingerprint, E, Servers)) {
    backToMarked(E, Now);
    return;
  }
  E.Is = Stage::Quarantined;
  E.Until = Now + Settings.QuarantineTime;
  Out.emplace_back(Quarantine{Fingerprint, Settings.QuarantineTime});
}

} // namespace teaselhitch

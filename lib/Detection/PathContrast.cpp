#include "PathContrast.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch::detail {

namespace {

constexpr std::size_t MaxItems = 64;
constexpr Duration MaxAge = Duration::seconds(60);
/// A request of one origin is left out for this long after its last failure.
constexpr Duration ExclusionTime = Duration::seconds(30);
/// With less than this share of requests of other origins, there is nothing to
/// compare with.
constexpr double MinOtherShare = 0.1;
/// Failures of one origin that are enough when no other origin had a request.
constexpr unsigned EnoughBad = 12;
/// Bounds of the sequential test on the requests of other origins, in nats:
/// exp(6.5) to 1 for the server, exp(3) to 1 for the path.
constexpr double ServerBound = 6.5;
constexpr double PathBound = -3;
constexpr double MinPeerRate = 0.001;

} // namespace

Origin originOf(const RunSample &S) {
  return {S.EntryDomain.str(), S.Entry.str(), S.Organisation.str()};
}

void PathContrast::add(Origin From, bool Bad, Time Now) {
  Items.push_back({std::move(From), Bad, Now});
  while (Items.size() > MaxItems || Now - Items.front().At > MaxAge)
    Items.pop_front();
}

bool PathContrast::isExcluded(const Origin &From, bool Bad, Time Now) {
  bool Found = false;
  for (std::size_t D = 0; D < DimensionCount && !Excluded.empty(); ++D) {
    auto It = Excluded.find({D, From[D]});
    if (It == Excluded.end())
      continue;
    if (Now >= It->second) {
      Excluded.erase(It);
      continue;
    }
    if (Bad)
      It->second = Now + ExclusionTime;
    Found = true;
  }
  return Found;
}

Cause PathContrast::judge(Time Since, double PeerRate, Time Now) {
  Cause Worst = Cause::Server;
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    std::string Guilty;
    const Cause C = judgeDimension(D, Since, PeerRate, Guilty);
    if (C == Cause::Path) {
      Excluded[{D, Guilty}] = Now + ExclusionTime;
      return C;
    }
    if (C == Cause::Unclear)
      Worst = C;
  }
  return Worst;
}

Cause PathContrast::judgeDimension(std::size_t Dimension, Time Since,
                                   double PeerRate, std::string &Guilty) const {
  std::map<std::string, Tally> Recent;
  std::map<std::string, unsigned> All;
  Tally Total;
  for (const Item &I : Items) {
    ++All[I.From[Dimension]];
    if (I.At < Since)
      continue;
    Tally &T = Recent[I.From[Dimension]];
    ++T.Count;
    ++Total.Count;
    T.Bad += I.Bad ? 1 : 0;
    Total.Bad += I.Bad ? 1 : 0;
  }
  Tally Most;
  for (const auto &[Key, T] : Recent) {
    if (T.Bad <= Most.Bad)
      continue;
    Most = T;
    Guilty = Key;
  }
  const auto Size = static_cast<double>(Items.size());
  if (Most.Bad == 0 || Size - All[Guilty] < MinOtherShare * Size)
    return Cause::Server;
  const double Failing = std::clamp(double(Most.Bad) / Most.Count, 0.2, 0.75);
  const double Usual = std::clamp(PeerRate, MinPeerRate, Failing / 2);
  const unsigned OtherBad = Total.Bad - Most.Bad;
  const unsigned OtherGood = Total.Count - Most.Count - OtherBad;
  const double Score = OtherBad * std::log(Failing / Usual) +
                       OtherGood * std::log((1 - Failing) / (1 - Usual));
  if (Score >= ServerBound)
    return Cause::Server;
  if (Score <= PathBound)
    return Cause::Path;
  return Most.Bad >= EnoughBad && OtherGood == 0 ? Cause::Server
                                                 : Cause::Unclear;
}

} // namespace teaselhitch::detail

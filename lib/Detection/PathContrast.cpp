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
/// An origin with two thirds of the requests has 24 in a row by chance in one
/// of 17,000 cases.
constexpr unsigned EnoughBad = 24;
/// Bounds of the sequential test on the requests of other origins, in nats:
/// exp(4) to 1 for the server, exp(4) to 1 for the path. One failure of another
/// origin is enough while the peers fail less than 1%.
constexpr double ServerBound = 4;
constexpr double PathBound = -4;
constexpr double MinPeerRate = 0.001;
/// Share of slow requests at a healthy backend server.
constexpr double UsualSlowShare = 0.05;
/// Failure rates assumed for the failing origin: few requests do not show that
/// it fails always.
constexpr double LeastFailing = 0.2;
constexpr double MostFailing = 0.5;

double usualRate(EvidenceKind Kind, double PeerRate) {
  return Kind == EvidenceKind::Errors ? PeerRate : PeerRate + UsualSlowShare;
}

} // namespace

Origin originOf(const RunSample &S) {
  return {S.EntryDomain.str(), S.Entry.str(), S.Organisation.str()};
}

bool PathContrast::add(Origin From, bool Failed, bool Slow, double PeerRate,
                       Time Now) {
  const Item Added{std::move(From), Failed, Slow, Now};
  bool Counts = true;
  for (std::size_t D = 0; D < DimensionCount && !Excluded.empty(); ++D) {
    auto It = Excluded.find({D, Added.From[D]});
    if (It == Excluded.end())
      continue;
    if (Now >= It->second.Until) {
      Excluded.erase(It);
      continue;
    }
    if (Added.isBad(It->second.Kind))
      It->second.Until = Now + ExclusionTime;
    Counts = false;
  }
  Items.push_back(Added);
  while (Items.size() > MaxItems || Now - Items.front().At > MaxAge)
    Items.pop_front();
  if (Counts && (Failed || Slow))
    liftExclusions(PeerRate);
  return Counts;
}

void PathContrast::liftExclusions(double PeerRate) {
  for (auto It = Excluded.begin(); It != Excluded.end();) {
    const auto &[Dimension, Origin] = It->first;
    const EvidenceKind Kind = It->second.Kind;
    const Split S = split(Kind, Dimension, It->second.Since, &Origin);
    It = score(S, usualRate(Kind, PeerRate)) >= ServerBound ? Excluded.erase(It)
                                                            : std::next(It);
  }
}

Cause PathContrast::judge(EvidenceKind Kind, Time Since, double PeerRate,
                          Time Now) {
  Cause Worst = Cause::Server;
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const Split S = split(Kind, D, Since, nullptr);
    const Cause C = judge(S, usualRate(Kind, PeerRate));
    if (C == Cause::Path) {
      Excluded[{D, S.Origin}] = {Kind, Since, Now + ExclusionTime};
      return C;
    }
    if (C == Cause::Unclear)
      Worst = C;
  }
  return Worst;
}

PathContrast::Split PathContrast::split(EvidenceKind Kind,
                                        std::size_t Dimension, Time Since,
                                        const std::string *Origin) const {
  std::map<std::string, Tally> Recent;
  Tally Total;
  for (const Item &I : Items) {
    if (I.At < Since)
      continue;
    Tally &T = Recent[I.From[Dimension]];
    ++T.Count;
    ++Total.Count;
    T.Bad += I.isBad(Kind) ? 1 : 0;
    Total.Bad += I.isBad(Kind) ? 1 : 0;
  }
  Split Result;
  for (const auto &[Key, T] : Recent) {
    if (Origin != nullptr ? Key != *Origin : T.Bad <= Result.Guilty.Bad)
      continue;
    Result.Origin = Key;
    Result.Guilty = T;
  }
  Result.Others.Count = Total.Count - Result.Guilty.Count;
  Result.Others.Bad = Total.Bad - Result.Guilty.Bad;
  const auto Others =
      std::count_if(Items.begin(), Items.end(), [&](const Item &I) {
        return I.From[Dimension] != Result.Origin;
      });
  if (!Items.empty())
    Result.OtherShare =
        static_cast<double>(Others) / static_cast<double>(Items.size());
  return Result;
}

/// Log-likelihood ratio of "the others fail like the guilty origin" to "the
/// others fail like the peers".
double PathContrast::score(const Split &S, double PeerRate) {
  const double Seen =
      S.Guilty.Count == 0 ? 0 : double(S.Guilty.Bad) / S.Guilty.Count;
  const double Failing = std::clamp(Seen, LeastFailing, MostFailing);
  const double Usual = std::clamp(PeerRate, MinPeerRate, Failing / 2);
  const unsigned Good = S.Others.Count - S.Others.Bad;
  return S.Others.Bad * std::log(Failing / Usual) +
         Good * std::log((1 - Failing) / (1 - Usual));
}

Cause PathContrast::judge(const Split &S, double PeerRate) {
  if (S.Guilty.Bad == 0 || S.OtherShare < MinOtherShare)
    return Cause::Server;
  const double Score = score(S, PeerRate);
  if (Score >= ServerBound)
    return Cause::Server;
  if (Score <= PathBound)
    return Cause::Path;
  const bool OthersSilent = S.Others.Count == S.Others.Bad;
  return S.Guilty.Bad >= EnoughBad && OthersSilent ? Cause::Server
                                                   : Cause::Unclear;
}

} // namespace teaselhitch::detail

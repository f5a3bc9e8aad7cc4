#include "OriginComparison.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch::detail {

namespace {

constexpr std::size_t MaxRequests = 64;
constexpr Duration MaxAge = Duration::seconds(60);
/// An origin stays excluded for this long after its last failure.
constexpr Duration ExclusionTime = Duration::seconds(30);
/// With a smaller share of requests from other origins, a comparison is not
/// possible.
constexpr double MinOtherShare = 0.1;
/// Number of failures of one origin that suffice when no request from another
/// origin has succeeded. For an origin with two thirds of the requests, 24
/// consecutive requests occur by chance in one of 17,000 cases.
constexpr unsigned ConclusiveFailures = 24;
/// Bounds of the sequential test on the requests from other origins, in nats:
/// odds of exp(4) to 1 that the backend server or the origin, respectively, is
/// the cause. One failure from another origin suffices while the peers fail
/// less than 1% of their requests.
constexpr double ServerBound = 4;
constexpr double PathBound = -4;
constexpr double MinPeerRate = 0.001;
/// Share of slow requests at a healthy backend server.
constexpr double HealthySlowShare = 0.05;
/// Bounds of the assumed failure rate of the failing origin: a few failed
/// requests do not prove that the origin always fails.
constexpr double MinFailingRate = 0.2;
constexpr double MaxFailingRate = 0.5;

double expectedRate(EvidenceKind Kind, double PeerRate) {
  return Kind == EvidenceKind::Errors ? PeerRate : PeerRate + HealthySlowShare;
}

} // namespace

Origin originOf(const RunSample &S) {
  return {S.EntryDomain.str(), S.Entry.str(), S.Organisation.str()};
}

bool OriginComparison::add(Origin Source, bool Failed, bool Slow,
                           double PeerRate, Time Now) {
  const Request Added{std::move(Source), Failed, Slow, Now};
  bool IsCounted = true;
  for (std::size_t D = 0; D < DimensionCount && !Excluded.empty(); ++D) {
    auto It = Excluded.find({D, Added.Source[D]});
    if (It == Excluded.end())
      continue;
    if (Now >= It->second.Until) {
      Excluded.erase(It);
      continue;
    }
    if (Added.isBad(It->second.Kind))
      It->second.Until = Now + ExclusionTime;
    IsCounted = false;
  }
  Requests.push_back(Added);
  while (Requests.size() > MaxRequests || Now - Requests.front().At > MaxAge)
    Requests.pop_front();
  if (IsCounted && (Failed || Slow))
    liftExclusions(PeerRate);
  return IsCounted;
}

void OriginComparison::liftExclusions(double PeerRate) {
  for (auto It = Excluded.begin(); It != Excluded.end();) {
    const auto &[Dimension, Origin] = It->first;
    const EvidenceKind Kind = It->second.Kind;
    const OriginSplit S = split(Kind, Dimension, It->second.Since, &Origin);
    It = score(S, expectedRate(Kind, PeerRate)) >= ServerBound
             ? Excluded.erase(It)
             : std::next(It);
  }
}

Cause OriginComparison::findCause(EvidenceKind Kind, Time Since,
                                  double PeerRate, Time Now) {
  Cause Overall = Cause::Server;
  for (std::size_t D = 0; D < DimensionCount; ++D) {
    const OriginSplit S = split(Kind, D, Since, nullptr);
    const Cause C = classify(S, expectedRate(Kind, PeerRate));
    if (C == Cause::Origin) {
      Excluded[{D, S.Origin}] = {Kind, Since, Now + ExclusionTime};
      return C;
    }
    if (C == Cause::Unclear)
      Overall = C;
  }
  return Overall;
}

OriginComparison::OriginSplit
OriginComparison::split(EvidenceKind Kind, std::size_t Dimension, Time Since,
                        const std::string *Origin) const {
  std::map<std::string, Counts> Recent;
  Counts Total;
  for (const Request &I : Requests) {
    if (I.At < Since)
      continue;
    Counts &T = Recent[I.Source[Dimension]];
    ++T.Count;
    ++Total.Count;
    T.Bad += I.isBad(Kind) ? 1 : 0;
    Total.Bad += I.isBad(Kind) ? 1 : 0;
  }
  OriginSplit Result;
  for (const auto &[Key, T] : Recent) {
    if (Origin != nullptr ? Key != *Origin : T.Bad <= Result.Suspect.Bad)
      continue;
    Result.Origin = Key;
    Result.Suspect = T;
  }
  Result.Others.Count = Total.Count - Result.Suspect.Count;
  Result.Others.Bad = Total.Bad - Result.Suspect.Bad;
  const auto Others =
      std::count_if(Requests.begin(), Requests.end(), [&](const Request &I) {
        return I.Source[Dimension] != Result.Origin;
      });
  if (!Requests.empty())
    Result.OtherShare =
        static_cast<double>(Others) / static_cast<double>(Requests.size());
  return Result;
}

/// Log-likelihood ratio of the hypothesis "the other origins fail at the rate
/// of the suspect origin" to "the other origins fail at the rate of the peers".
double OriginComparison::score(const OriginSplit &S, double PeerRate) {
  const double ObservedRate =
      S.Suspect.Count == 0 ? 0 : double(S.Suspect.Bad) / S.Suspect.Count;
  const double FailingRate =
      std::clamp(ObservedRate, MinFailingRate, MaxFailingRate);
  const double PeerFailureRate =
      std::clamp(PeerRate, MinPeerRate, FailingRate / 2);
  const unsigned Successes = S.Others.Count - S.Others.Bad;
  return S.Others.Bad * std::log(FailingRate / PeerFailureRate) +
         Successes * std::log((1 - FailingRate) / (1 - PeerFailureRate));
}

Cause OriginComparison::classify(const OriginSplit &S, double PeerRate) {
  if (S.Suspect.Bad == 0 || S.OtherShare < MinOtherShare)
    return Cause::Server;
  const double Score = score(S, PeerRate);
  if (Score >= ServerBound)
    return Cause::Server;
  if (Score <= PathBound)
    return Cause::Origin;
  const bool NoOtherSuccess = S.Others.Count == S.Others.Bad;
  return S.Suspect.Bad >= ConclusiveFailures && NoOtherSuccess ? Cause::Server
                                                               : Cause::Unclear;
}

} // namespace teaselhitch::detail

#include "BackendFaults.h"

#include "JsonMembers.h"

#include <cmath>
#include <utility>

namespace teaselhitch::standin {

namespace {

constexpr std::pair<const char *, BackendFaultMode> Modes[] = {
    {"ok", BackendFaultMode::Ok},
    {"fail", BackendFaultMode::Fail},
    {"slow", BackendFaultMode::Slow},
    {"silent", BackendFaultMode::Silent},
    {"crash-on-mark", BackendFaultMode::CrashOnMark},
    {"flap", BackendFaultMode::Flap},
};

Result<BackendFaultMode> parseMode(const std::string &Text) {
  std::string Known;
  for (const auto &[Name, Mode] : Modes) {
    if (Text == Name)
      return BackendFaultMode(Mode);
    Known += (Known.empty() ? "" : ", ") + std::string(Name);
  }
  return makeError(ErrorCode::InvalidInput,
                   "unknown mode '" + Text + "', known: " + Known);
}

bool isFailingNow(const BackendFaults &Faults, Time Now) {
  if (Faults.Mode == BackendFaultMode::Fail)
    return true;
  if (Faults.Mode != BackendFaultMode::Flap || Faults.Period <= Duration())
    return false;
  double Periods =
      std::floor((Now - Faults.StartTime).ms() / Faults.Period.ms());
  return std::fmod(Periods, 2) == 0;
}

} // namespace

Result<BackendFaults> parseBackendFaults(const std::string &Body, Time Now) {
  BOOST_LEAF_AUTO(Object, parseJsonObject(Body));
  BOOST_LEAF_CHECK(checkMembers(
      Object, {"mode", "percent", "factor", "caller", "period_ms"}));
  BackendFaults Parsed;
  Parsed.StartTime = Now;
  BOOST_LEAF_AUTO(Mode, textMember(Object, "mode", "ok"));
  BOOST_LEAF_ASSIGN(Parsed.Mode, parseMode(Mode));
  BOOST_LEAF_ASSIGN(Parsed.Percent,
                    numberMember(Object, "percent", Parsed.Percent));
  BOOST_LEAF_ASSIGN(Parsed.Factor,
                    numberMember(Object, "factor", Parsed.Factor));
  BOOST_LEAF_ASSIGN(Parsed.Caller, textMember(Object, "caller", ""));
  BOOST_LEAF_AUTO(Period,
                  numberMember(Object, "period_ms", Parsed.Period.ms()));
  Parsed.Period = Duration(Period);
  return Parsed;
}

FaultEffect chooseEffect(const BackendFaults &Faults,
                         const std::string &Organisation, Time Now,
                         RandomSource &Random) {
  FaultEffect Effect;
  bool Slow = Faults.Mode == BackendFaultMode::Slow;
  if (!Slow && !isFailingNow(Faults, Now))
    return Effect;
  if (!Faults.Caller.empty() && Faults.Caller != Organisation)
    return Effect;
  if (Random.uniform() * 100 >= Faults.Percent)
    return Effect;
  Effect.Fails = !Slow;
  Effect.WorkFactor = Slow ? Faults.Factor : 1;
  return Effect;
}

} // namespace teaselhitch::standin

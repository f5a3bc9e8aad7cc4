#include "teaselhitch/Guard/Guard.h"

#include "GuardCore.h"

#include <cmath>
#include <string>
#include <utility>

namespace teaselhitch {

namespace {

bool isPositive(Duration D) { return std::isfinite(D.ms()) && D.ms() > 0; }

Result<void> checkSettings(const GuardSettings &Settings) {
  const auto Invalid = [](const char *Message) {
    return makeError(ErrorCode::InvalidInput, Message);
  };
  if (!isValidName(Settings.Node.str()))
    return Invalid("the name of the node is not valid");
  if (!isValidName(Settings.Domain.str()))
    return Invalid("the failure domain of the node is not valid");
  if (Settings.Incarnation == 0)
    return Invalid("the incarnation of the node must be positive");
  if (!isPositive(Settings.AnnouncementTimeout))
    return Invalid("the announcement timeout must be positive");
  if (!isPositive(Settings.KeyLifetime))
    return Invalid("the key lifetime must be positive");
  if (!isPositive(Settings.QuarantineTime))
    return Invalid("the quarantine time must be positive");
  if (!isPositive(Settings.SlowStart))
    return Invalid("the slow start time must be positive");
  if (Settings.MaxFingerprints == 0)
    return Invalid("the number of fingerprints must be positive");
  if (Settings.MaxKeys == 0)
    return Invalid("the number of keys must be positive");
  if (Settings.KeySecret.empty())
    return Invalid("the key secret is empty");
  return {};
}

} // namespace

Result<std::unique_ptr<Guard>> Guard::create(GuardSettings Settings) {
  if (Result<void> Checked = checkSettings(Settings); !Checked)
    return Checked.error();
  return std::unique_ptr<Guard>(
      std::make_unique<GuardCore>(std::move(Settings)));
}

const char *runEndName(RunEnd End) {
  switch (End) {
  case RunEnd::Answered:
    return "answered";
  case RunEnd::Shed:
    return "shed";
  case RunEnd::ConnectFailed:
    return "connect-failed";
  case RunEnd::ConnectionLost:
    return "connection-lost";
  case RunEnd::Crashed:
    return "crashed";
  case RunEnd::Aborted:
    return "aborted";
  case RunEnd::TooLarge:
    return "too-large";
  case RunEnd::OtherServer:
    return "other-server";
  case RunEnd::Withdrawn:
    return "withdrawn";
  }
  return "answered";
}

} // namespace teaselhitch

#include "teaselhitch/Settings/NodeSettings.h"

#include "SettingsReader.h"
#include "teaselhitch/Support/Name.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace teaselhitch {

namespace {

constexpr std::size_t MinSecretLength = 16;
/// Time until the senders of requests detect that a node is stopping. They run
/// one health check per second, of which two must fail. The node accepts
/// requests until then.
constexpr Duration HealthCheckDetectionTime = Duration(2500);
/// Part of `limits.stop_time_s` that is reserved for an orderly exit of the
/// process after the drain.
constexpr Duration ExitMargin = Duration(1000);

/// Memory for the program itself: the control of a node takes at most 64 MB.
constexpr std::uint64_t ProgramBytes = 64ULL * 1000 * 1000;
/// Largest share of the memory that is reserved for the program; small
/// instances serve small fleets.
constexpr double MaxProgramShare = 0.4;

bool isIpAddress(const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(AF_INET, Text.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Bytes.data()) == 1;
}

void readNode(SettingsReader &Reader, NodeSettings &S) {
  Reader.section("node");
  S.Fleet = Reader.name("fleet");
  S.Node = NodeName(Reader.name("name"));
  S.Domain = FailureDomain(Reader.name("failure_domain"));
  S.Region = RegionName(Reader.name("region", "default"));
}

void readListen(SettingsReader &Reader, NodeSettings &S) {
  Reader.section("listen");
  S.Callers = Reader.endpoint("callers");
  S.BackendServers = Reader.endpoint("backend_servers");
  S.Operators = Reader.endpoint("operators");
  S.Peers = Reader.endpoint("peers");
}

void readPeers(SettingsReader &Reader, NodeSettings &S) {
  Reader.section("peers");
  S.Seeds = Reader.endpoints("seeds");
  S.Secret = Reader.secret("secret", MinSecretLength, true);
  S.PreviousSecret = Reader.secret("previous_secret", MinSecretLength, false);
}

void readPlatform(SettingsReader &Reader, NodeSettings &S) {
  Reader.section("platform");
  S.PlatformKind = Reader.text("kind", S.PlatformKind);
  S.Platform = Reader.endpoint("address");
  S.PlatformTimeout =
      Reader.duration("timeout_ms", S.PlatformTimeout, 10, 60000);
  S.IsFirstStart = Reader.choice("first_start", "no", {"yes", "no"}) == "yes";
  S.UploadsAudit = Reader.choice("upload_audit", "yes", {"yes", "no"}) == "yes";
  S.HeadPollInterval =
      Reader.duration("head_poll_ms", S.HeadPollInterval, 100, 3600000);
}

void readLimits(SettingsReader &Reader, NodeSettings &S) {
  constexpr std::int64_t MaxBytes = 1024LL * 1024;
  constexpr std::int64_t MaxMessageBytes = 64LL * 1024 * 1024;
  Reader.section("limits");
  S.MaxHeaderBytes = static_cast<std::uint32_t>(
      Reader.integer("max_header_bytes", S.MaxHeaderBytes, 1024, MaxBytes));
  // A complete message must fit into one frame between nodes.
  S.MaxBodyBytes = static_cast<std::uint64_t>(Reader.integer(
      "max_body_bytes", static_cast<std::int64_t>(S.MaxBodyBytes), 0,
      MaxMessageBytes));
  S.MaxAnswerBytes = static_cast<std::uint64_t>(Reader.integer(
      "max_answer_bytes", static_cast<std::int64_t>(S.MaxAnswerBytes), 1024,
      MaxMessageBytes));
  S.MaxCallerConnections = static_cast<std::uint32_t>(Reader.integer(
      "max_caller_connections", S.MaxCallerConnections, 1, 65536));
  constexpr std::int64_t MaxPipelined = 64;
  S.MaxPipelinedRequests = static_cast<std::uint32_t>(Reader.integer(
      "max_pipelined_requests", S.MaxPipelinedRequests, 1, MaxPipelined));
  S.MaxRequests = static_cast<std::uint32_t>(
      Reader.integer("max_requests", S.MaxRequests, 1, 65536));
  constexpr double MaxMemoryMb = 1e6;
  constexpr double BytesPerMb = 1e6;
  if (std::optional<double> MemoryMb =
          Reader.bound("memory_mb", 0, MaxMemoryMb))
    S.MemoryBytes = static_cast<std::uint64_t>(*MemoryMb * BytesPerMb);
  S.DrainTimeout =
      Reader.duration("drain_timeout_ms", S.DrainTimeout, 0, 600000);
  S.DrainGrace = Reader.duration("drain_grace_ms", S.DrainGrace, 0, 60000);
  constexpr double MaxStopTimeS = 3600;
  if (std::optional<double> StopTimeS =
          Reader.bound("stop_time_s", 0, MaxStopTimeS)) {
    Duration StopTime = Duration::seconds(*StopTimeS);
    S.DrainGrace = std::min(HealthCheckDetectionTime, StopTime * 0.5);
    S.DrainTimeout = std::max(Duration(), StopTime - S.DrainGrace - ExitMargin);
  }
  S.AnnouncementTimeout = Reader.duration("announcement_timeout_ms",
                                          S.AnnouncementTimeout, 1000, 600000);
}

void readPolicy(SettingsReader &Reader, NodeSettings &S) {
  constexpr double MaxRetries = 1e9;
  constexpr double MinWindowS = 1;
  constexpr double MaxWindowS = 86400;
  Reader.section("policy");
  S.Balancer = Reader.text("balancer", S.Balancer);
  S.FleetRetries = Reader.bound("fleet_retries", 0, MaxRetries);
  if (std::optional<double> WindowS =
          Reader.bound("retry_window_s", MinWindowS, MaxWindowS))
    S.RetryWindow = Duration::seconds(*WindowS);
  constexpr double Percent = 100;
  // Rounded down, because more retries than allowed break the bound.
  if (std::optional<double> Share = Reader.bound("retry_share", 0, 1))
    S.RetryPercent = static_cast<std::uint32_t>(*Share * Percent + 1e-9);
  S.RemoteDomainRoundTrip =
      Reader.duration("remote_domain_ms", S.RemoteDomainRoundTrip, 0, 60000);
}

void readLog(SettingsReader &Reader, NodeSettings &S) {
  Reader.section("log");
  std::string Level =
      Reader.choice("level", "info", {"debug", "info", "warning", "error"});
  S.Level = Level == "debug"     ? LogLevel::Debug
            : Level == "warning" ? LogLevel::Warning
            : Level == "error"   ? LogLevel::Error
                                 : LogLevel::Info;
  S.LogPath = Reader.text("path", "-");
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Port = Text.substr(Colon + 1);
  std::string Address(Text.substr(0, Colon));
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  Endpoint Result;
  auto [End, EC] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  if (EC != std::errc() || End != Port.data() + Port.size() ||
      !isIpAddress(Address))
    return std::nullopt;
  Result.Address = std::move(Address);
  return Result;
}

std::uint64_t heldBytesLimit(const NodeSettings &Settings) {
  auto Share = static_cast<std::uint64_t>(
      static_cast<double>(Settings.MemoryBytes) * MaxProgramShare);
  return Settings.MemoryBytes - std::min(ProgramBytes, Share);
}

CheckedSettings readNodeSettings(std::string_view Text) {
  CheckedSettings Checked;
  SettingsReader Reader(Text, Checked.Errors, Checked.Warnings);
  if (!Checked.Errors.empty())
    return Checked;
  NodeSettings &S = Checked.Settings;
  readNode(Reader, S);
  readListen(Reader, S);
  readPeers(Reader, S);
  readPlatform(Reader, S);
  readLimits(Reader, S);
  Reader.section("instance");
  S.InstanceService = Reader.text("service", "");
  readPolicy(Reader, S);
  readLog(Reader, S);
  Reader.reportUnknownKeys();
  return Checked;
}

std::string formatSettingsError(const std::string &File,
                                const SettingsError &Fault) {
  std::string Text = File;
  if (Fault.Line != 0)
    Text += ":" + std::to_string(Fault.Line);
  if (!Fault.Key.empty())
    Text += ": " + Fault.Key;
  return Text + ": " + Fault.Message;
}

} // namespace teaselhitch

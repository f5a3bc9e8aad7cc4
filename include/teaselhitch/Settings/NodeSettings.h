#ifndef TEASELHITCH_SETTINGS_NODESETTINGS_H
#define TEASELHITCH_SETTINGS_NODESETTINGS_H

/// \file
/// The settings file of a node.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Log.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch {

/// Settings that a node learns when it starts. All addresses are IP addresses.
struct NodeSettings {
  // [node]
  std::string Fleet;
  NodeName Node;
  FailureDomain Domain;
  RegionName Region;

  // [listen]
  Endpoint Callers;
  Endpoint BackendServers;
  Endpoint Operators;
  /// TCP and UDP.
  Endpoint Peers;

  // [peers]
  std::vector<Endpoint> Seeds;
  /// Key of the messages between nodes, at least 16 characters.
  std::string Secret;
  /// Also accepted, during a change of the key; may be empty.
  std::string PreviousSecret;

  // [platform]
  /// Name of a platform adapter.
  std::string PlatformKind = "teaselhitch";
  Endpoint Platform;
  Duration PlatformTimeout = Duration::seconds(2);
  /// Longest time between two reads of the configuration's head; small fleets
  /// read more often.
  Duration HeadPollInterval = Duration::seconds(10);

  /// Whether audit events are written to the object store.
  bool UploadsAudit = true;

  // [limits]
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  std::uint64_t MaxAnswerBytes = 1024ULL * 1024;
  std::uint32_t MaxCallerConnections = 1024;
  std::uint32_t MaxRequests = 8192;
  /// Bound of a graceful shutdown.
  Duration DrainTimeout = Duration::seconds(30);
  /// Time in which a node that shuts down still takes requests and passes them
  /// to other nodes.
  Duration DrainGrace = Duration::seconds(3);

  /// Backend servers that are silent for longer are gone.
  Duration AnnouncementTimeout = Duration::seconds(3);

  // [instance]
  /// Service of the backend server on this instance; empty if there is none or
  /// if it is not known.
  std::string InstanceService;

  // [policy]
  std::string Balancer = "two-choices";
  /// Retries that the whole fleet may make for a service in each retry window,
  /// beyond the share in its Limit object; 0 allows each node one a second.
  std::uint32_t FleetRetries = 0;
  Duration RetryWindow = Duration::seconds(10);
  /// Share of retries, in percent, for configurations whose source names none.
  std::uint32_t RetryPercent = 20;

  // [log]
  LogLevel Level = LogLevel::Info;
  /// A file, "-" for standard error, or "stdout" for standard output.
  std::string LogPath = "-";

  auto operator<=>(const NodeSettings &) const = default;
};

/// A fault in the settings. Line starts at 1; 0 means that a key is missing.
struct SettingsFault {
  std::uint32_t Line = 0;
  /// Dotted key, e.g. "limits.drain_timeout_ms".
  std::string Key;
  /// What is wrong and what was expected.
  std::string Message;

  auto operator<=>(const SettingsFault &) const = default;
};

struct CheckedSettings {
  /// Complete only if Faults is empty.
  NodeSettings Settings;
  std::vector<SettingsFault> Faults;
};

/// Reads and checks the text of a settings file as a whole.
CheckedSettings readNodeSettings(std::string_view Text);

/// "file:line: key: message".
std::string describeFault(const std::string &File, const SettingsFault &Fault);

/// An IP address and a port, e.g. "127.0.0.1:7001" or "[::1]:7001".
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace teaselhitch

#endif

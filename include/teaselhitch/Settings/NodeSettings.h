#ifndef TEASELHITCH_SETTINGS_NODESETTINGS_H
#define TEASELHITCH_SETTINGS_NODESETTINGS_H

/// \file
/// Parsing and validation of the settings file of a node.

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

/// Settings that a node reads at start. All addresses are IP addresses.
/// Comments in brackets name the table of the settings file.
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
  /// Address for other nodes, over both TCP and UDP.
  Endpoint Peers;

  // [peers]
  std::vector<Endpoint> Seeds;
  /// Shared key that authenticates messages between nodes; at least 16
  /// characters.
  std::string Secret;
  /// Old shared key that is still accepted during key rotation; may be empty.
  std::string PreviousSecret;

  // [platform]
  /// Name of a platform adapter.
  std::string PlatformKind = "teaselhitch";
  Endpoint Platform;
  Duration PlatformTimeout = Duration::seconds(2);
  /// Maximum interval between two reads of the configuration head. Nodes of
  /// small fleets read the head more often.
  Duration HeadPollInterval = Duration::seconds(10);

  /// The whole fleet starts for the first time, so the platform has no state of
  /// an earlier process of this node.
  bool IsFirstStart = false;
  /// Whether audit events are uploaded to the object store.
  bool UploadsAudit = true;

  // [limits]
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  std::uint64_t MaxAnswerBytes = 1024ULL * 1024;
  std::uint32_t MaxCallerConnections = 1024;
  /// Requests of one caller's connection that are in progress at once.
  std::uint32_t MaxPipelinedRequests = 8;
  std::uint32_t MaxRequests = 8192;
  /// Memory of the instance in bytes; 0 if it is not limited.
  std::uint64_t MemoryBytes = 0;
  /// Maximum duration of a graceful shutdown, counted from the end of
  /// DrainGrace.
  Duration DrainTimeout = Duration::seconds(30);
  /// Time during which a node that shuts down still accepts requests and
  /// forwards them to other nodes.
  Duration DrainGrace = Duration::seconds(3);

  /// A backend server that sends no announcement for longer than this is
  /// considered gone.
  Duration AnnouncementTimeout = Duration::seconds(3);

  // [instance]
  /// Service of the backend server on this instance; empty if there is no
  /// backend server or its service is not known.
  std::string InstanceService;

  // [policy]
  std::string Balancer = "two-choices";
  /// Number of retries per service and retry window that the whole fleet may
  /// make in addition to the percentage in the Limit object of the service. If
  /// this is not set, each node may make one retry per second.
  std::optional<double> FleetRetries;
  Duration RetryWindow = Duration::seconds(10);
  /// Retry percentage for configurations whose source does not specify one.
  std::uint32_t RetryPercent = 20;
  /// A failure domain is remote if crossing to it adds at least this much to a
  /// round trip; with 0, no domain is remote.
  Duration RemoteDomainRoundTrip = Duration(6);

  // [log]
  LogLevel Level = LogLevel::Info;
  /// Path of the log file, "-" for standard error, or "stdout" for standard
  /// output.
  std::string LogPath = "-";

  auto operator<=>(const NodeSettings &) const = default;
};

/// An error in the settings file. Lines are numbered from 1; 0 means that a key
/// is missing.
struct SettingsError {
  std::uint32_t Line = 0;
  /// Dotted key, e.g. "limits.drain_timeout_ms".
  std::string Key;
  /// Describes the error and the expected value.
  std::string Message;

  auto operator<=>(const SettingsError &) const = default;
};

/// Result of parsing and validating a settings file.
struct CheckedSettings {
  /// Valid only if Errors is empty.
  NodeSettings Settings;
  std::vector<SettingsError> Errors;
  /// Numbers that the platform gave and that this program cannot honour fully.
  /// The nearest supported number is used.
  std::vector<SettingsError> Warnings;
};

/// Returns the number of bytes that a node with these settings may hold for
/// requests and answers; 0 for no limit.
std::uint64_t heldBytesLimit(const NodeSettings &Settings);

/// Parses and validates the text of a settings file. Reports all errors, or
/// only the syntax error if the text is not valid TOML.
CheckedSettings readNodeSettings(std::string_view Text);

/// Formats an error as "file:line: key: message", without the line if it is 0.
std::string formatSettingsError(const std::string &File,
                                const SettingsError &Fault);

/// Parses an IP address and a port, e.g. "127.0.0.1:7001" or "[::1]:7001".
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace teaselhitch

#endif

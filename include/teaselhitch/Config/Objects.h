#ifndef TEASELHITCH_CONFIG_OBJECTS_H
#define TEASELHITCH_CONFIG_OBJECTS_H

/// \file
/// The named objects that operators publish.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch {

/// Trades detection time against false ejections.
enum class DetectionPreset : std::uint8_t {
  FewFalseEjections,
  Balanced,
  FastDetection,
};
const char *detectionPresetName(DetectionPreset Preset);

/// What a set of interchangeable backend servers offers.
struct Service {
  ServiceName Name;
  /// Backend servers that must stay in use; ejections never go below it.
  std::uint32_t Floor = 1;
  DetectionPreset Preset = DetectionPreset::Balanced;
  /// Name of a detector plug-in.
  std::string Detector = "sequential";
  /// Path of the health endpoint of its backend servers, or empty.
  std::string HealthPath = {};
  /// False if its backend servers are never ejected: the guards' estimate of
  /// risk alone steers requests, without leases in the table service.
  bool Ejections = true;

  auto operator<=>(const Service &) const = default;
};

/// Backend servers of one service, selected by what they announce.
struct Group {
  GroupName Name;
  ServiceName Service;
  /// Failure domains to take backend servers from; empty means all.
  std::vector<FailureDomain> Domains;
  /// Announced label to match; empty means any.
  std::string Label;
  /// How many backend servers the operator plans for.
  std::uint32_t ExpectedSize = 1;

  auto operator<=>(const Group &) const = default;
};

/// A share of the requests of a rule.
struct WeightedGroup {
  GroupName Group;
  /// Relative to the sum over the rule; at least 1.
  std::uint32_t Weight = 1;

  auto operator<=>(const WeightedGroup &) const = default;
};

/// "GROUP:WEIGHT", as in object files.
std::string toString(const WeightedGroup &Share);
/// Reads what toString wrote; nothing for anything else.
std::optional<WeightedGroup> parseWeightedGroup(std::string_view Text);

/// Sends requests to a group, or divides them among several. Rules for the host
/// of a request go before rules without a host; among these the longest
/// matching path prefix wins; a rule with a method goes before one without.
struct Rule {
  RuleName Name;
  /// HTTP method, or empty for any.
  std::string Method;
  /// Starts with '/'; matches whole path segments. With a '/' at its end it
  /// matches only paths that go on behind it.
  std::string PathPrefix;
  /// Empty if Split is set.
  GroupName Group;
  /// The request may run more than once.
  bool Idempotent = false;
  /// Goes before other work in queues.
  bool Paid = false;
  /// Longest time for the whole request; callers may ask for less.
  Duration Deadline = Duration::seconds(10);
  /// Time within which an answer is worth its full value; the deadline if zero.
  Duration Objective = {};
  /// Greatest number of backend servers to which one request is sent.
  std::uint32_t Attempts = 4;
  /// Rank in queues; 0 goes first.
  std::uint32_t Priority = 0;
  /// Host without port, in lower case, or empty for any.
  std::string Host = {};
  /// Divides the requests in the proportions of the weights.
  std::vector<WeightedGroup> Split = {};

  auto operator<=>(const Rule &) const = default;
};

/// A set of callers with a share of each service.
struct Organisation {
  OrganisationName Name;
  /// Relative weight among the organisations that compete.
  std::uint32_t Share = 1;

  auto operator<=>(const Organisation &) const = default;
};

/// Limits of a service; at most one object for each service.
struct Limit {
  LimitName Name;
  ServiceName Service;
  /// Requests that may wait at one guard for each slot it has.
  std::uint32_t QueuePerSlot = 4;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  /// Retries as a share of requests, in percent.
  std::uint32_t RetryPercent = 20;

  auto operator<=>(const Limit &) const = default;
};

/// Bounds on what callers may send; at most one object.
struct Listener {
  ListenerName Name;
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  /// Time for a whole request header from its first byte.
  Duration HeaderTimeout = Duration::seconds(30);
  /// Idle connections are closed after this time.
  Duration IdleTimeout = Duration::seconds(60);

  auto operator<=>(const Listener &) const = default;
};

/// The whole set, each kind in order of name.
struct ObjectSet {
  std::vector<Service> Services;
  std::vector<Group> Groups;
  std::vector<Rule> Rules;
  std::vector<Organisation> Organisations;
  std::vector<Limit> Limits;
  std::vector<Listener> Listeners = {};

  auto operator<=>(const ObjectSet &) const = default;
};

/// A published set as a node runs it.
struct ActiveConfig {
  std::uint64_t Version = 0;
  std::string ManifestHash;
  ObjectSet Objects;
};

} // namespace teaselhitch

#endif

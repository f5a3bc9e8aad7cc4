#ifndef TEASELHITCH_CONFIG_OBJECTS_H
#define TEASELHITCH_CONFIG_OBJECTS_H

/// \file
/// The named objects that operators publish.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <compare>
#include <cstdint>
#include <string>
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

/// Sends requests to a group. The longest matching path prefix wins; a rule
/// with a method goes before one without.
struct Rule {
  RuleName Name;
  /// HTTP method, or empty for any.
  std::string Method;
  /// Starts with '/'; matches whole path segments.
  std::string PathPrefix;
  GroupName Group;
  /// The request may run more than once.
  bool Idempotent = false;
  /// Goes before other work in queues.
  bool Paid = false;
  /// Longest time for the whole request; callers may ask for less.
  Duration Deadline = Duration::seconds(10);

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

/// The whole set, each kind in order of name.
struct ObjectSet {
  std::vector<Service> Services;
  std::vector<Group> Groups;
  std::vector<Rule> Rules;
  std::vector<Organisation> Organisations;
  std::vector<Limit> Limits;

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

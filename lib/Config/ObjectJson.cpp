#include "ObjectJson.h"

#include <boost/json/array.hpp>

#include <stdexcept>

namespace teaselhitch::detail {

namespace {

using boost::json::value;

std::string text(const value &V, const char *Key) {
  const boost::json::string &Text = V.at(Key).as_string();
  return {Text.data(), Text.size()};
}

/// The name of an object or of one that it refers to.
template <typename NameT> NameT name(const value &V, const char *Key) {
  std::string Text = text(V, Key);
  if (!isValidName(Text))
    throw std::invalid_argument("invalid name");
  return NameT(std::move(Text));
}

std::uint32_t number(const value &V, const char *Key) {
  return V.at(Key).to_number<std::uint32_t>();
}

DetectionPreset preset(const std::string &Text) {
  for (DetectionPreset Preset :
       {DetectionPreset::FewFalseEjections, DetectionPreset::Balanced,
        DetectionPreset::FastDetection})
    if (Text == detectionPresetName(Preset))
      return Preset;
  throw std::invalid_argument("unknown detection preset");
}

} // namespace

boost::json::object toJson(const Service &S) {
  return {{"name", S.Name.str()},
          {"floor", S.Floor},
          {"detection", detectionPresetName(S.Preset)},
          {"detector", S.Detector}};
}

boost::json::object toJson(const Group &G) {
  boost::json::array Domains;
  for (const FailureDomain &Domain : G.Domains)
    Domains.emplace_back(Domain.str());
  return {{"name", G.Name.str()},
          {"service", G.Service.str()},
          {"failure_domains", std::move(Domains)},
          {"label", G.Label},
          {"expected_size", G.ExpectedSize}};
}

boost::json::object toJson(const Rule &R) {
  return {{"name", R.Name.str()},
          {"method", R.Method},
          {"path_prefix", R.PathPrefix},
          {"group", R.Group.str()},
          {"idempotent", R.Idempotent},
          {"paid", R.Paid},
          {"deadline_ms", static_cast<std::uint64_t>(R.Deadline.ms())}};
}

boost::json::object toJson(const Organisation &O) {
  return {{"name", O.Name.str()}, {"share", O.Share}};
}

boost::json::object toJson(const Limit &L) {
  return {{"name", L.Name.str()},
          {"service", L.Service.str()},
          {"queue_per_slot", L.QueuePerSlot},
          {"max_body_bytes", L.MaxBodyBytes},
          {"retry_percent", L.RetryPercent}};
}

void fromJson(const value &V, Service &S) {
  S.Name = name<ServiceName>(V, "name");
  S.Floor = number(V, "floor");
  S.Preset = preset(text(V, "detection"));
  S.Detector = text(V, "detector");
}

void fromJson(const value &V, Group &G) {
  G.Name = name<GroupName>(V, "name");
  G.Service = name<ServiceName>(V, "service");
  for (const value &Domain : V.at("failure_domains").as_array()) {
    const boost::json::string &Text = Domain.as_string();
    G.Domains.emplace_back(std::string(Text.data(), Text.size()));
  }
  G.Label = text(V, "label");
  G.ExpectedSize = number(V, "expected_size");
}

void fromJson(const value &V, Rule &R) {
  R.Name = name<RuleName>(V, "name");
  R.Method = text(V, "method");
  R.PathPrefix = text(V, "path_prefix");
  R.Group = name<GroupName>(V, "group");
  R.Idempotent = V.at("idempotent").as_bool();
  R.Paid = V.at("paid").as_bool();
  R.Deadline = Duration(number(V, "deadline_ms"));
}

void fromJson(const value &V, Organisation &O) {
  O.Name = name<OrganisationName>(V, "name");
  O.Share = number(V, "share");
}

void fromJson(const value &V, Limit &L) {
  L.Name = name<LimitName>(V, "name");
  L.Service = name<ServiceName>(V, "service");
  L.QueuePerSlot = number(V, "queue_per_slot");
  L.MaxBodyBytes = V.at("max_body_bytes").to_number<std::uint64_t>();
  L.RetryPercent = number(V, "retry_percent");
}

} // namespace teaselhitch::detail

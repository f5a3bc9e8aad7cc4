#ifndef TEASELHITCH_LIB_CONFIG_OBJECTJSON_H
#define TEASELHITCH_LIB_CONFIG_OBJECTJSON_H

/// \file
/// Converts objects to and from JSON. The keys have a fixed order and are the
/// same as in the object files.

#include "teaselhitch/Config/Objects.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <vector>

namespace teaselhitch::detail {

boost::json::object toJson(const Service &S);
boost::json::object toJson(const Group &G);
boost::json::object toJson(const Rule &R);
boost::json::object toJson(const Organisation &O);
boost::json::object toJson(const Limit &L);
boost::json::object toJson(const Listener &L);

/// The fromJson() overloads throw a standard library exception if a required
/// key is missing or has the wrong type. They ignore unknown keys; a strict
/// caller compares the input with toJson() of the result.
void fromJson(const boost::json::value &V, Service &S);
void fromJson(const boost::json::value &V, Group &G);
void fromJson(const boost::json::value &V, Rule &R);
void fromJson(const boost::json::value &V, Organisation &O);
void fromJson(const boost::json::value &V, Limit &L);
void fromJson(const boost::json::value &V, Listener &L);

/// The name of a kind in object files, pieces and differences.
inline const char *kindName(const Service &) { return "service"; }
inline const char *kindName(const Group &) { return "group"; }
inline const char *kindName(const Rule &) { return "rule"; }
inline const char *kindName(const Organisation &) { return "organisation"; }
inline const char *kindName(const Limit &) { return "limit"; }
inline const char *kindName(const Listener &) { return "listener"; }

/// Calls Visit once for each kind, in the order of ObjectSet, with the vector
/// of that kind from each of Sets. Sets are one or more ObjectSets, const or
/// not.
template <typename VisitorT, typename... SetsT>
void forEachKind(VisitorT &&Visit, SetsT &...Sets) {
  Visit(Sets.Services...);
  Visit(Sets.Groups...);
  Visit(Sets.Rules...);
  Visit(Sets.Organisations...);
  Visit(Sets.Limits...);
  Visit(Sets.Listeners...);
}

} // namespace teaselhitch::detail

#endif

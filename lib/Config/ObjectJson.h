#ifndef TEASELHITCH_LIB_CONFIG_OBJECTJSON_H
#define TEASELHITCH_LIB_CONFIG_OBJECTJSON_H

/// \file
/// Objects as JSON with keys in a fixed order, which are also the keys of the
/// object files.

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

/// These throw an exception of the standard library if a key is missing or has
/// the wrong type. Further keys are ignored; compare with toJson to be strict.
void fromJson(const boost::json::value &V, Service &S);
void fromJson(const boost::json::value &V, Group &G);
void fromJson(const boost::json::value &V, Rule &R);
void fromJson(const boost::json::value &V, Organisation &O);
void fromJson(const boost::json::value &V, Limit &L);
void fromJson(const boost::json::value &V, Listener &L);

/// The name of a kind in files, pieces and differences.
inline const char *kindName(const Service &) { return "service"; }
inline const char *kindName(const Group &) { return "group"; }
inline const char *kindName(const Rule &) { return "rule"; }
inline const char *kindName(const Organisation &) { return "organisation"; }
inline const char *kindName(const Limit &) { return "limit"; }
inline const char *kindName(const Listener &) { return "listener"; }

/// Calls Visit with the vector of each kind of Sets, in the order of ObjectSet.
/// Sets are one or more ObjectSet, const or not.
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

#include "PlatformOperations.h"

#include "teaselhitch/Platform/Url.h"

#include <boost/beast/http/verb.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace teaselhitch::standin {

namespace {

namespace json = boost::json;
using boost::beast::http::verb;

/// Maximum number of rows or keys in a listing if the parameter `limit` is
/// missing.
constexpr unsigned DefaultLimit = 1000;

template <typename T> std::optional<T> toNumber(std::string_view Text) {
  T Number{};
  const char *End = Text.data() + Text.size();
  auto [Last, Status] = std::from_chars(Text.data(), End, Number);
  if (Status != std::errc() || Last != End || Text.empty())
    return std::nullopt;
  return Number;
}

/// Returns the version from the header `If-Match: "<version>"`, or nothing if
/// the header is missing or malformed.
std::optional<std::uint64_t> expectedVersion(const HttpRequest &Request) {
  std::string Tag = headerOf(Request, "If-Match");
  if (Tag.size() < 3 || Tag.front() != '"' || Tag.back() != '"')
    return std::nullopt;
  return toNumber<std::uint64_t>(Tag.substr(1, Tag.size() - 2));
}

/// Parameters of a listing.
struct Listing {
  std::string Prefix;
  std::string StartAfter;
  unsigned Limit = DefaultLimit;
};

Result<Listing> parseListing(const RequestTarget &Target) {
  Listing Parsed;
  for (const auto &[Name, Value] : Target.Parameters) {
    if (Name == "prefix")
      Parsed.Prefix = Value;
    if (Name == "after")
      Parsed.StartAfter = Value;
    if (Name != "limit")
      continue;
    auto Limit = toNumber<unsigned>(Value);
    if (!Limit)
      return makeError(ErrorCode::InvalidInput,
                       "'" + Value + "' is not a limit");
    Parsed.Limit = *Limit;
  }
  return Parsed;
}

HttpResponse jsonResponse(unsigned Status, const json::object &Body) {
  return makeResponse(Status, json::serialize(Body));
}

HttpResponse versionResponse(unsigned Status, std::uint64_t Version) {
  return jsonResponse(Status, {{"version", Version}});
}

json::object toJson(const TableRow &Row) {
  return {{"key", Row.Key},
          {"value", json::parse(Row.Value)},
          {"version", Row.Version}};
}

Result<HttpResponse> tableRead(TableStore &Table, const RequestTarget &Target) {
  BOOST_LEAF_AUTO(Row, Table.read(Target.Segments[1], Target.Segments[2]));
  if (!Row)
    return makeResponse(404);
  return jsonResponse(200, toJson(*Row));
}

Result<HttpResponse> tableRange(TableStore &Table,
                                const RequestTarget &Target) {
  BOOST_LEAF_AUTO(List, parseListing(Target));
  BOOST_LEAF_AUTO(Found, Table.range(Target.Segments[1], List.Prefix,
                                     List.StartAfter, List.Limit));
  json::array Rows;
  for (const TableRow &Row : Found)
    Rows.push_back(toJson(Row));
  return jsonResponse(200, {{"rows", std::move(Rows)}});
}

Result<HttpResponse> tablePut(TableStore &Table, const RequestTarget &Target,
                              const HttpRequest &Request) {
  const std::string &Name = Target.Segments[1];
  const std::string &Key = Target.Segments[2];
  if (headerOf(Request, "If-None-Match") == "*") {
    BOOST_LEAF_AUTO(Version, Table.insert(Name, Key, Request.body()));
    return versionResponse(201, Version);
  }
  auto Expected = expectedVersion(Request);
  if (!Expected)
    return makeError(ErrorCode::InvalidInput,
                     "a write needs If-Match or If-None-Match");
  BOOST_LEAF_AUTO(Version, Table.replace(Name, Key, Request.body(), *Expected));
  return versionResponse(200, Version);
}

Result<HttpResponse> tableErase(TableStore &Table, const RequestTarget &Target,
                                const HttpRequest &Request) {
  auto Expected = expectedVersion(Request);
  if (!Expected)
    return makeError(ErrorCode::InvalidInput, "a deletion needs If-Match");
  BOOST_LEAF_CHECK(
      Table.erase(Target.Segments[1], Target.Segments[2], *Expected));
  return makeResponse(204);
}

Result<HttpResponse> objectRead(ObjectStore &Objects, const std::string &Key) {
  BOOST_LEAF_AUTO(Data, Objects.read(Key));
  if (!Data)
    return makeResponse(404);
  return makeResponse(200, std::move(*Data), "application/octet-stream");
}

Result<HttpResponse> objectWrite(ObjectStore &Objects, const std::string &Key,
                                 const std::string &Data) {
  BOOST_LEAF_AUTO(Previous, Objects.read(Key));
  BOOST_LEAF_CHECK(Objects.write(Key, Data));
  return makeResponse(Previous ? 200 : 201);
}

Result<HttpResponse> objectList(ObjectStore &Objects,
                                const RequestTarget &Target) {
  BOOST_LEAF_AUTO(List, parseListing(Target));
  BOOST_LEAF_AUTO(Found,
                  Objects.list(List.Prefix, List.StartAfter, List.Limit));
  json::array Keys(Found.begin(), Found.end());
  return jsonResponse(200, {{"keys", std::move(Keys)}});
}

Result<HttpResponse> executeTable(TableStore &Table,
                                  const RequestTarget &Target,
                                  const HttpRequest &Request) {
  bool IsRow = Target.Segments.size() == 3;
  if (IsRow && Request.method() == verb::get)
    return tableRead(Table, Target);
  if (IsRow && Request.method() == verb::put)
    return tablePut(Table, Target, Request);
  if (IsRow && Request.method() == verb::delete_)
    return tableErase(Table, Target, Request);
  if (Target.Segments.size() == 2 && Request.method() == verb::get)
    return tableRange(Table, Target);
  return makeError(ErrorCode::InvalidInput, "no such table operation");
}

Result<HttpResponse> executeObjects(ObjectStore &Objects,
                                    const RequestTarget &Target,
                                    const HttpRequest &Request) {
  bool IsObject = Target.Segments.size() == 2;
  if (IsObject && Request.method() == verb::get)
    return objectRead(Objects, Target.Segments[1]);
  if (IsObject && Request.method() == verb::put)
    return objectWrite(Objects, Target.Segments[1], Request.body());
  if (Target.Segments.size() == 1 && Request.method() == verb::get)
    return objectList(Objects, Target);
  return makeError(ErrorCode::InvalidInput, "no such object operation");
}

Result<HttpResponse> execute(TableStore &Table, ObjectStore &Objects,
                             const HttpRequest &Request) {
  BOOST_LEAF_AUTO(Target, parseTarget(std::string_view(Request.target())));
  if (!Target.Segments.empty() && Target.Segments[0] == "table")
    return executeTable(Table, Target, Request);
  if (!Target.Segments.empty() && Target.Segments[0] == "objects")
    return executeObjects(Objects, Target, Request);
  return makeError(ErrorCode::NotFound, "no such resource");
}

/// Maps an error to an HTTP status. A conditional write that fails is answered
/// with 412 for tables and with 409 for objects.
unsigned errorStatus(ErrorCode Code, const HttpRequest &Request) {
  bool IsObject = Request.target().starts_with("/objects");
  switch (Code) {
  case ErrorCode::Conflict:
    return IsObject ? 409 : 412;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::InvalidInput:
    return 400;
  default:
    return 500;
  }
}

} // namespace

bool isWrite(const HttpRequest &Request) {
  return Request.method() == verb::put || Request.method() == verb::delete_;
}

HttpResponse executeOperation(TableStore &Table, ObjectStore &Objects,
                              const HttpRequest &Request) {
  return handleError([&] { return execute(Table, Objects, Request); },
                     [&](const Error &E) {
                       return jsonResponse(errorStatus(E.Code, Request),
                                           {{"error", E.Message}});
                     });
}

} // namespace teaselhitch::standin

#include "RowStoreServer.h"

#include "../../platform/WireNames.h"
#include "Timer.h"
#include "teaselhitch/Platform/Url.h"
#include "teaselhitch/Support/Base64.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace teaselhitch::standin {

namespace {

namespace json = boost::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Forbidden = 403;
constexpr unsigned NotFound = 404;
constexpr unsigned Gone = 410;
constexpr unsigned ConditionFailed = 412;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;
constexpr std::size_t MaxRows = 500;

HttpResponse jsonResponse(unsigned Status, const json::object &Body) {
  return makeResponse(Status, json::serialize(Body));
}

std::string stringMember(const json::value &Item, const char *Name) {
  return std::string(Item.at(Name).as_string());
}

const json::array &arrayMember(const json::value &Body, const char *Name) {
  return Body.at(Name).as_array();
}

} // namespace

RowStoreServer::RowStoreServer(boost::asio::io_context &Context)
    : Context(Context),
      Server(Context, [this](const ExchangePtr &E) { handle(E); }) {}

Result<Endpoint> RowStoreServer::listen(const Endpoint &Address) {
  return Server.listen(Address);
}

void RowStoreServer::put(const std::string &Table, const std::string &Key,
                         const std::string &Bytes) {
  Contents.Rows[{Table, Key}] = {encodeBase64(Bytes), ++Contents.Version,
                                 false};
  notifyWatches();
}

void RowStoreServer::compactHistory() {
  Contents.CompactedVersion = Contents.Version;
  for (const Watch &W : Watches)
    answer(*W.Pending, makeResponse(Gone));
  Watches.clear();
}

void RowStoreServer::restore(bool KeepsWatches) {
  Contents = Copy;
  ++Era;
  if (KeepsWatches)
    return;
  for (const Watch &W : Watches)
    W.Pending->drop();
  Watches.clear();
}

void RowStoreServer::answer(Exchange &Current, HttpResponse Response) const {
  if (SendsEra)
    Response.set(wire::StoreEra, std::to_string(Era));
  Current.answer(std::move(Response));
}

void RowStoreServer::handle(const ExchangePtr &Current) {
  const HttpRequest &Request = Current->request();
  switch (Fault) {
  case RowStoreFault::Busy:
    return answer(*Current, makeResponse(Unavailable));
  case RowStoreFault::Many:
    return answer(*Current, makeResponse(TooManyRequests));
  case RowStoreFault::Reset:
    return Current->drop();
  case RowStoreFault::Silent:
    Unanswered.push_back(Current);
    return;
  case RowStoreFault::LostAnswer:
    execute(Request);
    return Current->drop();
  case RowStoreFault::None:
    break;
  }
  if (std::string(Request.target()).rfind(wire::WatchPath, 0) == 0)
    return handleWatch(Current);
  answer(*Current, execute(Request));
}

bool RowStoreServer::hasChanged(const Watch &W) const {
  for (const auto &[Name, R] : Contents.Rows)
    if (Name.first == W.Table && R.Version > W.SeenVersion)
      return true;
  return false;
}

HttpResponse RowStoreServer::changesResponse(const Watch &W) const {
  json::array Changed;
  std::map<std::uint64_t, json::object> ByVersion;
  for (const auto &[Name, R] : Contents.Rows) {
    if (Name.first != W.Table || R.Version <= W.SeenVersion)
      continue;
    json::object Item{{wire::Table, Name.first},
                      {wire::Partition, ""},
                      {wire::Key, Name.second},
                      {wire::RowVersion, R.Version}};
    if (R.IsRemoved)
      Item[wire::Removed] = true;
    else
      Item[wire::Value] = R.Value;
    ByVersion.emplace(R.Version, std::move(Item));
  }
  for (auto &[Number, Item] : ByVersion)
    Changed.push_back(std::move(Item));
  return jsonResponse(Ok, {{wire::Rows, std::move(Changed)},
                           {wire::RowVersion, Contents.Version},
                           {"NowMs", 0}});
}

void RowStoreServer::handleWatch(const ExchangePtr &Current) {
  handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Target,
                        parseTarget(std::string(Current->request().target())));
        auto &Query = Target.Parameters;
        Watch W{Current, Query[wire::Table],
                std::stoull(Query[wire::AfterVersion])};
        if (W.SeenVersion < Contents.CompactedVersion ||
            W.SeenVersion > Contents.Version) {
          answer(*Current, makeResponse(Gone));
          return true;
        }
        if (hasChanged(W)) {
          answer(*Current, changesResponse(W));
          return true;
        }
        Watches.push_back(W);
        Duration Wait(std::stod(Query[wire::WaitMs]));
        runAfter(Context, Wait,
                 [this, W] { answer(*W.Pending, changesResponse(W)); });
        return true;
      },
      [&](const Error &) {
        answer(*Current, makeResponse(BadRequest));
        return false;
      });
}

void RowStoreServer::notifyWatches() {
  for (auto It = Watches.begin(); It != Watches.end();) {
    if (!hasChanged(*It)) {
      ++It;
      continue;
    }
    answer(*It->Pending, changesResponse(*It));
    It = Watches.erase(It);
  }
}

HttpResponse RowStoreServer::execute(const HttpRequest &Request) {
  std::string Text(Request.target());
  return handleError(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_AUTO(Target, parseTarget(Text));
        std::string Path = "/" + Target.Segments.at(0);
        if (Path == wire::TransactPath)
          return transact(Request.body());
        if (Path == wire::ReadPath)
          return readRange(Target.Parameters);
        if (Path + "/" == wire::ObjectWritePath)
          return putObject(Target.Segments.at(1), Request);
        if (Path + "/" == wire::ObjectReadPath) {
          auto It = Contents.Objects.find(Target.Segments.at(1));
          if (It == Contents.Objects.end())
            return makeResponse(NotFound);
          return makeResponse(Ok, It->second);
        }
        return makeResponse(NotFound);
      },
      [](const Error &) { return makeResponse(BadRequest); });
}

HttpResponse RowStoreServer::putObject(const std::string &Name,
                                       const HttpRequest &Request) {
  bool IsNew = Contents.Objects.emplace(Name, Request.body()).second;
  return makeResponse(IsNew ? Ok : ConditionFailed);
}

HttpResponse RowStoreServer::transact(const std::string &Body) {
  json::value Parsed = json::parse(Body);
  for (const json::value &Item : arrayMember(Parsed, wire::Conditions)) {
    auto It = Contents.Rows.find(
        {stringMember(Item, wire::Table), stringMember(Item, wire::Key)});
    bool Exists = It != Contents.Rows.end() && !It->second.IsRemoved;
    std::uint64_t Actual = Exists ? It->second.Version : 0;
    if (Actual != Item.at(wire::RowVersion).to_number<std::uint64_t>())
      return jsonResponse(ConditionFailed,
                          {{wire::Rows, json::array()},
                           {wire::RowVersion, Contents.Version},
                           {"NowMs", 0}});
  }
  for (const char *Kind : {wire::Writes, wire::Removals})
    for (const json::value &Item : arrayMember(Parsed, Kind))
      if (stringMember(Item, wire::Table) == wire::ConfigTable)
        return makeResponse(Forbidden);
  ++Contents.Version;
  for (const json::value &Item : arrayMember(Parsed, wire::Writes))
    Contents.Rows[{stringMember(Item, wire::Table),
                   stringMember(Item, wire::Key)}] = {
        stringMember(Item, wire::Value), Contents.Version, false};
  for (const json::value &Item : arrayMember(Parsed, wire::Removals))
    Contents.Rows[{stringMember(Item, wire::Table),
                   stringMember(Item, wire::Key)}] = {"", Contents.Version,
                                                      true};
  notifyWatches();
  return jsonResponse(Ok, {{wire::RowVersion, Contents.Version}, {"NowMs", 0}});
}

HttpResponse
RowStoreServer::readRange(const std::map<std::string, std::string> &Query) {
  auto Parameter = [&](const char *Name) {
    auto It = Query.find(Name);
    return It == Query.end() ? std::string() : It->second;
  };
  std::string Table = Parameter(wire::Table);
  std::string First = Parameter(wire::FirstKey);
  std::string End = Parameter(wire::EndKey);
  std::string LimitText = Parameter(wire::Limit);
  std::size_t Limit = LimitText.empty() ? MaxRows : std::stoul(LimitText);
  json::array Found;
  bool HasMore = false;
  for (const auto &[Name, R] : Contents.Rows) {
    const auto &[RowTable, Key] = Name;
    bool IsInRange = RowTable == Table && Key >= First &&
                     (End.empty() || Key < End) && !R.IsRemoved;
    if (!IsInRange)
      continue;
    HasMore = Found.size() >= Limit;
    if (HasMore)
      break;
    Found.push_back(json::object{{wire::Table, Table},
                                 {wire::Partition, ""},
                                 {wire::Key, Key},
                                 {wire::Value, R.Value},
                                 {wire::RowVersion, R.Version}});
  }
  return jsonResponse(Ok, {{wire::Rows, std::move(Found)},
                           {"HasMore", HasMore},
                           {wire::RowVersion, Contents.Version},
                           {"NowMs", 0}});
}

} // namespace teaselhitch::standin

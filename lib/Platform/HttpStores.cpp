#include "teaselhitch/Platform/HttpStores.h"

#include "teaselhitch/Platform/PlatformConnection.h"
#include "teaselhitch/Platform/Url.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace teaselhitch {

namespace {

namespace json = boost::json;
using boost::beast::http::field;
using boost::beast::http::verb;

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/// Converts the status of an answer that is not a success to an error. The
/// caller of a read of one row or object handles 404.
boost::leaf::error_id statusError(const PlatformAnswer &Answer,
                                  RequestEffect Effect) {
  std::string Text =
      "platform answered with status " + std::to_string(Answer.Status);
  // 503 and 429 mean that the operation was not executed. After any other
  // status outside of 4xx, also one that HTTP does not define such as 000, a
  // write may have taken effect.
  bool Refused = Answer.Status == 503 || Answer.Status == 429;
  bool IsUnclear = Answer.Status < 400 || Answer.Status >= 500;
  if (IsUnclear && !Refused && Effect == RequestEffect::Write)
    return makeError(ErrorCode::Timeout, std::move(Text));
  if (IsUnclear || Refused)
    return makeError(ErrorCode::Unavailable, std::move(Text));
  if (Answer.Status == 409 || Answer.Status == 412)
    return makeError(ErrorCode::Conflict, std::move(Text));
  return makeError(ErrorCode::InvalidInput, std::move(Text));
}

boost::leaf::error_id corruptAnswer(const char *What) {
  return makeError(ErrorCode::Corrupt,
                   std::string("platform answer: missing or invalid ") + What);
}

Result<json::object> parseObject(const PlatformAnswer &Answer) {
  json::error_code Code;
  json::value Parsed = json::parse(Answer.Body, Code);
  if (Code || !Parsed.is_object())
    return corruptAnswer("JSON object");
  return std::move(Parsed.as_object());
}

Result<std::uint64_t> parseVersion(const json::object &Object) {
  const json::value *Version = Object.if_contains("version");
  if (!Version)
    return corruptAnswer("version");
  json::error_code Code;
  auto Number = Version->to_number<std::uint64_t>(Code);
  if (Code)
    return corruptAnswer("version");
  return std::uint64_t(Number);
}

Result<TableRow> parseRow(const json::object &Object) {
  const json::value *Key = Object.if_contains("key");
  const json::value *Value = Object.if_contains("value");
  if (!Key || !Key->is_string())
    return corruptAnswer("key");
  if (!Value)
    return corruptAnswer("value");
  BOOST_LEAF_AUTO(Version, parseVersion(Object));
  return TableRow{std::string(Key->get_string()), json::serialize(*Value),
                  Version};
}

Result<const json::array *> parseArray(const json::object &Object,
                                       const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || !Value->is_array())
    return corruptAnswer(Name);
  return &Value->get_array();
}

std::string listQuery(const std::string &Prefix, const std::string &After,
                      unsigned Limit) {
  return "?prefix=" + percentEncode(Prefix) + "&after=" + percentEncode(After) +
         "&limit=" + std::to_string(Limit);
}

PlatformConnection::Request makeRequest(verb Method,
                                        const std::string &Target) {
  PlatformConnection::Request Message;
  Message.method(Method);
  Message.target(Target);
  return Message;
}

/// Formats a row version as an HTTP entity tag.
std::string entityTag(std::uint64_t Version) {
  return "\"" + std::to_string(Version) + "\"";
}

class HttpTableStore final : public TableStore {
public:
  HttpTableStore(const PlatformConnection::TcpEndpoint &Peer, Duration Timeout)
      : Connection(Peer, Timeout) {}

  Result<std::optional<TableRow>> read(const std::string &Table,
                                       const std::string &Key) override {
    BOOST_LEAF_AUTO(Answer, Connection.exchange(
                                makeRequest(verb::get, rowTarget(Table, Key)),
                                RequestEffect::Read));
    if (Answer.Status == 404)
      return std::optional<TableRow>();
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Read);
    BOOST_LEAF_AUTO(Object, parseObject(Answer));
    BOOST_LEAF_AUTO(Row, parseRow(Object));
    return std::optional<TableRow>(std::move(Row));
  }

  Result<std::vector<TableRow>> range(const std::string &Table,
                                      const std::string &Prefix,
                                      const std::string &After,
                                      unsigned Limit) override {
    std::string Target =
        "/table/" + percentEncode(Table) + listQuery(Prefix, After, Limit);
    BOOST_LEAF_AUTO(Answer, Connection.exchange(makeRequest(verb::get, Target),
                                                RequestEffect::Read));
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Read);
    BOOST_LEAF_AUTO(Object, parseObject(Answer));
    BOOST_LEAF_AUTO(Rows, parseArray(Object, "rows"));
    std::vector<TableRow> Found;
    for (const json::value &Value : *Rows) {
      if (!Value.is_object())
        return corruptAnswer("row");
      BOOST_LEAF_AUTO(Row, parseRow(Value.get_object()));
      Found.push_back(std::move(Row));
    }
    return Found;
  }

  Result<std::uint64_t> insert(const std::string &Table, const std::string &Key,
                               const std::string &Value) override {
    auto Message = makeRequest(verb::put, rowTarget(Table, Key));
    Message.set(field::if_none_match, "*");
    return put(std::move(Message), Value);
  }

  Result<std::uint64_t> replace(const std::string &Table,
                                const std::string &Key,
                                const std::string &Value,
                                std::uint64_t Expected) override {
    auto Message = makeRequest(verb::put, rowTarget(Table, Key));
    Message.set(field::if_match, entityTag(Expected));
    return put(std::move(Message), Value);
  }

  Result<void> erase(const std::string &Table, const std::string &Key,
                     std::uint64_t Expected) override {
    auto Message = makeRequest(verb::delete_, rowTarget(Table, Key));
    Message.set(field::if_match, entityTag(Expected));
    BOOST_LEAF_AUTO(
        Answer, Connection.exchange(std::move(Message), RequestEffect::Write));
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Write);
    return {};
  }

private:
  static std::string rowTarget(const std::string &Table,
                               const std::string &Key) {
    return "/table/" + percentEncode(Table) + "/" + percentEncode(Key);
  }

  Result<std::uint64_t> put(PlatformConnection::Request Message,
                            const std::string &Value) {
    Message.set(field::content_type, "application/json");
    Message.body() = Value;
    BOOST_LEAF_AUTO(
        Answer, Connection.exchange(std::move(Message), RequestEffect::Write));
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Write);
    BOOST_LEAF_AUTO(Object, parseObject(Answer));
    return parseVersion(Object);
  }

  PlatformConnection Connection;
};

class HttpObjectStore final : public ObjectStore {
public:
  HttpObjectStore(const PlatformConnection::TcpEndpoint &Peer, Duration Timeout)
      : Connection(Peer, Timeout) {}

  Result<std::optional<std::string>> read(const std::string &Key) override {
    BOOST_LEAF_AUTO(
        Answer, Connection.exchange(makeRequest(verb::get, objectTarget(Key)),
                                    RequestEffect::Read));
    if (Answer.Status == 404)
      return std::optional<std::string>();
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Read);
    return std::optional<std::string>(std::move(Answer.Body));
  }

  Result<void> write(const std::string &Key, const std::string &Data) override {
    auto Message = makeRequest(verb::put, objectTarget(Key));
    Message.set(field::content_type, "application/octet-stream");
    Message.body() = Data;
    // Objects are immutable, so a repeated write would be safe. A lost answer
    // is still reported as Timeout: the caller decides whether to write again.
    BOOST_LEAF_AUTO(
        Answer, Connection.exchange(std::move(Message), RequestEffect::Write));
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Write);
    return {};
  }

  Result<std::vector<std::string>> list(const std::string &Prefix,
                                        const std::string &After,
                                        unsigned Limit) override {
    std::string Target = "/objects" + listQuery(Prefix, After, Limit);
    BOOST_LEAF_AUTO(Answer, Connection.exchange(makeRequest(verb::get, Target),
                                                RequestEffect::Read));
    if (!isSuccess(Answer.Status))
      return statusError(Answer, RequestEffect::Read);
    BOOST_LEAF_AUTO(Object, parseObject(Answer));
    BOOST_LEAF_AUTO(Keys, parseArray(Object, "keys"));
    std::vector<std::string> Found;
    for (const json::value &Key : *Keys) {
      if (!Key.is_string())
        return corruptAnswer("key");
      Found.emplace_back(Key.get_string());
    }
    return Found;
  }

private:
  static std::string objectTarget(const std::string &Key) {
    return "/objects/" + percentEncode(Key);
  }

  PlatformConnection Connection;
};

Result<PlatformConnection::TcpEndpoint> resolve(const Endpoint &Service) {
  boost::system::error_code Code;
  auto Address = boost::asio::ip::make_address(Service.Address, Code);
  if (Code)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Service.Address + "' is not an IP address");
  return PlatformConnection::TcpEndpoint(Address, Service.Port);
}

} // namespace

Result<std::unique_ptr<TableStore>>
createHttpTableStore(const Endpoint &Service, Duration Timeout) {
  BOOST_LEAF_AUTO(Peer, resolve(Service));
  return std::unique_ptr<TableStore>(
      std::make_unique<HttpTableStore>(Peer, Timeout));
}

Result<std::unique_ptr<ObjectStore>>
createHttpObjectStore(const Endpoint &Service, Duration Timeout) {
  BOOST_LEAF_AUTO(Peer, resolve(Service));
  return std::unique_ptr<ObjectStore>(
      std::make_unique<HttpObjectStore>(Peer, Timeout));
}

} // namespace teaselhitch

#include "Announcement.h"
#include "NativeProtocols.h"
#include "teaselhitch/Integration/Problem.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace teaselhitch {

namespace {

constexpr const char *AnnouncePath = "/v1/announce";
/// Interval at which backend servers are asked to repeat their announcement.
constexpr int AnnouncementIntervalMs = 1000;
constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

class NativeBackendProtocol final : public BackendProtocol {
public:
  Result<BackendMessage> read(const HttpRequest &Request) const override {
    if (Request.Method != "POST" || Request.Target != AnnouncePath)
      return makeError(ErrorCode::NotFound, "expected POST /v1/announce");
    BOOST_LEAF_AUTO(Parsed, parseAnnouncement(Request.Body));
    return BackendMessage(std::move(Parsed));
  }

  HttpAnswer accepted(const NodeName &Node) const override {
    boost::json::object Body;
    Body["node"] = Node.str();
    Body["repeat_ms"] = AnnouncementIntervalMs;
    return makeJson(Ok, Body);
  }

  HttpAnswer refused(const Error &Cause) const override {
    return makeJson(Cause.Code == ErrorCode::NotFound ? NotFound : BadRequest,
                    boost::json::object{{"error", Cause.Message}});
  }

  /// Returns an empty id, because the native protocol does not correlate
  /// sub-requests with the request that causes them.
  std::string callerId(const HttpRequest &) const override { return ""; }

  void prepare(HttpRequest &Request, const RunContext &Run) const override {
    auto RemainingMs = static_cast<std::int64_t>(Run.Remaining.ms());
    Request.Headers.push_back(
        Header{DeadlineHeader,
               std::to_string(std::max<std::int64_t>(RemainingMs, 1))});
    Request.Headers.push_back(Header{RequestIdHeader, toString(Run.Request)});
  }

  AnswerKind classify(const HeaderList &Sent,
                      const HttpAnswer &Answer) const override {
    std::string EchoedId = headerValue(Answer.Headers, RequestIdHeader);
    if (!EchoedId.empty() && EchoedId != headerValue(Sent, RequestIdHeader))
      return AnswerKind::Mismatched;
    bool IsShed = Answer.Status == Unavailable &&
                  headerValue(Answer.Headers, OutcomeHeader) ==
                      outcomeName(Outcome::NotRun);
    return IsShed ? AnswerKind::NotRun : AnswerKind::Valid;
  }

  bool namesRequest(const HttpAnswer &Answer) const override {
    return !headerValue(Answer.Headers, RequestIdHeader).empty();
  }

  std::optional<ReportedLoad> load(const HttpAnswer &) const override {
    return std::nullopt;
  }
};

} // namespace

std::unique_ptr<BackendProtocol> createNativeBackendProtocol() {
  return std::make_unique<NativeBackendProtocol>();
}

} // namespace teaselhitch

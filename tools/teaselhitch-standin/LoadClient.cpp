#include "LoadClient.h"

#include "JsonMembers.h"
#include "Timer.h"
#include "teaselhitch/Platform/Url.h"

#include <boost/beast/http/verb.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <cmath>

namespace teaselhitch::standin {

namespace {

using boost::beast::http::verb;

/// How long the client waits for an answer after the deadline of the request.
constexpr Duration AnswerGrace = Duration::seconds(1);
/// Maximum number of requests in progress. Each request has its own connection,
/// and a process has 1,024 file descriptors by default.
constexpr unsigned MaxInProgress = 800;

std::string headerOf(const HttpResponse &Answer, std::string_view Name) {
  return std::string(Answer[Name]);
}

/// Members of the answer body that identify the request and the backend server.
/// The backend server copies the request id and the nonce from the request.
struct EchoedFields {
  std::optional<std::string> RequestId;
  std::string Nonce;
  std::string Server;
};

EchoedFields parseEchoedFields(const std::string &Body) {
  return handleError(
      [&]() -> Result<EchoedFields> {
        EchoedFields Fields;
        BOOST_LEAF_AUTO(Object, parseJsonObject(Body));
        if (Object.contains("request_id")) {
          BOOST_LEAF_ASSIGN(Fields.RequestId,
                            textMember(Object, "request_id", ""));
        }
        BOOST_LEAF_ASSIGN(Fields.Nonce, textMember(Object, "nonce", ""));
        BOOST_LEAF_ASSIGN(Fields.Server, textMember(Object, "server", ""));
        return Fields;
      },
      [](const Error &) { return EchoedFields(); });
}

} // namespace

/// A request and its current try.
struct LoadClient::Request {
  PlannedRequest Plan;
  HttpClient *Node = nullptr;
  std::string Nonce;
  TryRecord Record;
  Time Start;
};

LoadClient::LoadClient(boost::asio::io_context &Context,
                       LoadSettings NewSettings, std::ostream &Records)
    : Context(Context), Settings(std::move(NewSettings)), Records(Records),
      Random(Settings.Seed), Timer(Context) {
  for (const Endpoint &Node : Settings.Nodes)
    Nodes.push_back(std::make_unique<HttpClient>(Context, Node));
}

void LoadClient::start() {
  Due = Clock.now();
  End = Due + Settings.RunTime;
  scheduleNext();
}

void LoadClient::scheduleNext() {
  Due = Due + chooseInterval(Settings.Plan, Random);
  if (Due > End)
    return;
  Timer.expires_after(toChrono(Due - Clock.now()));
  Timer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    startRequest();
    scheduleNext();
  });
}

void LoadClient::startRequest() {
  auto Current = std::make_shared<Request>();
  Current->Plan = chooseRequest(Settings.Plan, Random);
  Current->Node = &chooseNode();
  // Latency counts from the scheduled time, so that a delay within the client
  // is not omitted from the measured latency.
  Current->Start = Due;
  TryRecord &Record = Current->Record;
  Record.Request = ++LastRequest;
  Record.TimeMs = std::floor(wallClockMs());
  Record.Kind = Current->Plan.IsPaid ? "paid" : "get";
  Record.Path = Current->Plan.Path.Path;
  Record.Organisation = Current->Plan.Organisation;
  if (InProgress >= MaxInProgress) {
    Record.Problem = "client-overloaded";
    return write(Current, /*IsLast=*/true);
  }
  ++InProgress;
  if (Current->Plan.IsPaid && Settings.Keys == KeyKind::Guard)
    return requestKey(Current);
  if (Current->Plan.IsPaid)
    Record.Key = boost::uuids::to_string(NewUuid());
  sendTry(Current);
}

void LoadClient::requestKey(const RequestPtr &Current) {
  HttpRequest Message;
  Message.method(verb::post);
  Message.target("/.teaselhitch/keys?service=" +
                 percentEncode(Current->Plan.Path.Service));
  if (!Current->Plan.Organisation.empty())
    Message.set("Teaselhitch-Organisation", Current->Plan.Organisation);
  Current->Node->call(
      std::move(Message), Settings.Deadline + AnswerGrace,
      [this, Current](const CallResult &Call) { handleKey(Current, Call); });
}

void LoadClient::handleKey(const RequestPtr &Current, const CallResult &Call) {
  TryRecord &Record = Current->Record;
  Record.Key = handleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(Object, parseJsonObject(Call.Answer.body()));
        return textMember(Object, "key", "");
      },
      [](const Error &) { return ""; });
  bool Granted = Call.Answer.result_int() == 201 && !Record.Key.empty();
  if (Call.Problem.empty() && Granted) {
    Current->Start = Clock.now();
    return sendTry(Current);
  }
  Record.Key.clear();
  Record.Try = 0;
  finishTry(Current, Call);
}

void LoadClient::sendTry(const RequestPtr &Current) {
  Current->Nonce = boost::uuids::to_string(NewUuid());
  Current->Node->call(
      makeRequest(*Current), Settings.Deadline + AnswerGrace,
      [this, Current](const CallResult &Call) { finishTry(Current, Call); });
}

HttpRequest LoadClient::makeRequest(const Request &Current) {
  HttpRequest Message;
  Message.method(Current.Plan.IsPaid ? verb::post : verb::get);
  Message.target(Current.Record.Path);
  for (const auto &[Name, Value] : Settings.Headers)
    Message.set(Name, Value);
  Message.set("Teaselhitch-Deadline-Ms",
              std::to_string(std::lround(Settings.Deadline.ms())));
  Message.set("Standin-Nonce", Current.Nonce);
  if (!Current.Plan.Organisation.empty())
    Message.set("Teaselhitch-Organisation", Current.Plan.Organisation);
  if (!Current.Record.Key.empty())
    Message.set("Idempotency-Key", Current.Record.Key);
  if (Current.Plan.IsPaid)
    Message.body() = "{\"nonce\":\"" + Current.Nonce + "\"}";
  return Message;
}

void LoadClient::finishTry(const RequestPtr &Current, const CallResult &Call) {
  TryRecord &Record = Current->Record;
  Record.Node = Current->Node->name();
  Record.Problem = Call.Problem;
  Record.Reused = Call.Reused;
  Record.LatencyMs = (Clock.now() - Current->Start).ms();
  Record.Status = 0;
  if (Call.Problem.empty())
    readAnswer(*Current, Call.Answer);
  bool Unknown = Record.Outcome == "unknown" || Record.Problem == "cut" ||
                 Record.Problem == "timed-out";
  bool Retry = Current->Plan.IsPaid && Record.Try == 1 && Unknown;
  write(Current, !Retry);
  if (!Retry) {
    --InProgress;
    return;
  }
  prepareRetry(*Current);
  sendTry(Current);
}

void LoadClient::readAnswer(Request &Current, const HttpResponse &Answer) {
  TryRecord &Record = Current.Record;
  Record.Status = Answer.result_int();
  Record.Outcome = headerOf(Answer, "Teaselhitch-Outcome");
  Record.Reason = headerOf(Answer, "Teaselhitch-Reason");
  Record.RequestId = headerOf(Answer, "Teaselhitch-Request-Id");
  EchoedFields Fields = parseEchoedFields(Answer.body());
  Record.Server = Fields.Server;
  if (Fields.RequestId)
    Record.Matches = *Fields.RequestId == Record.RequestId &&
                     (Fields.Nonce.empty() || Fields.Nonce == Current.Nonce);
}

void LoadClient::prepareRetry(Request &Current) {
  TryRecord Next;
  Next.Request = Current.Record.Request;
  Next.Try = Current.Record.Try + 1;
  Next.TimeMs = std::floor(wallClockMs());
  Next.Kind = Current.Record.Kind;
  Next.Path = Current.Record.Path;
  Next.Organisation = Current.Record.Organisation;
  Next.Key = Current.Record.Key;
  Current.Record = std::move(Next);
  Current.Node = &chooseNode();
  Current.Start = Clock.now();
}

void LoadClient::write(const RequestPtr &Current, bool IsLast) {
  Records << toJsonLine(Current->Record) << '\n';
  Summary.add(Current->Record, IsLast);
}

HttpClient &LoadClient::chooseNode() {
  return *Nodes[Random.uniformInt(Nodes.size())];
}

} // namespace teaselhitch::standin

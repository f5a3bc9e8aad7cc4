#include "PlatformServer.h"

#include "JsonMembers.h"
#include "PlatformOperations.h"
#include "Timer.h"

#include <boost/json/serialize.hpp>

namespace teaselhitch::standin {

namespace {

Result<PlatformFaultMode> parseMode(const std::string &Name) {
  if (Name == "ok")
    return PlatformFaultMode::Ok;
  if (Name == "down")
    return PlatformFaultMode::Down;
  if (Name == "slow")
    return PlatformFaultMode::Slow;
  if (Name == "lost-answer")
    return PlatformFaultMode::LostAnswer;
  return makeError(ErrorCode::InvalidInput,
                   "unknown mode '" + Name +
                       "', known: ok, down, slow, lost-answer");
}

} // namespace

Result<PlatformFaults> parsePlatformFaults(const std::string &Body) {
  BOOST_LEAF_AUTO(Object, parseJsonObject(Body));
  BOOST_LEAF_CHECK(checkMembers(Object, {"mode", "delay_ms", "probability"}));
  PlatformFaults Parsed;
  BOOST_LEAF_AUTO(Name, textMember(Object, "mode", "ok"));
  BOOST_LEAF_ASSIGN(Parsed.Mode, parseMode(Name));
  BOOST_LEAF_AUTO(Delay, numberMember(Object, "delay_ms", 0));
  Parsed.Delay = Duration(Delay);
  BOOST_LEAF_ASSIGN(Parsed.Probability, numberMember(Object, "probability", 1));
  return Parsed;
}

PlatformServer::PlatformServer(boost::asio::io_context &Context,
                               std::uint64_t Seed)
    : Context(Context),
      Server(Context, [this](const ExchangePtr &Current) { handle(Current); }),
      Random(Seed) {}

Result<Endpoint> PlatformServer::listen(const Endpoint &Address) {
  return Server.listen(Address);
}

void PlatformServer::handle(const ExchangePtr &Current) {
  if (Current->request().target().starts_with("/standin/"))
    return handleControl(Current);
  ++(isWrite(Current->request()) ? Writes : Reads);
  handleWithFaults(Current);
}

void PlatformServer::handleControl(const ExchangePtr &Current) {
  const HttpRequest &Request = Current->request();
  if (Request.target() == "/standin/statistics") {
    boost::json::object Counts{
        {"reads", Reads}, {"writes", Writes}, {"faulted", Faulted}};
    return Current->answer(makeResponse(200, serialize(Counts)));
  }
  if (Request.target() != "/standin/faults")
    return Current->answer(makeResponse(404));
  Current->answer(handleError(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_ASSIGN(Faults, parsePlatformFaults(Request.body()));
        return makeResponse(204);
      },
      [](const Error &E) { return errorResponse(400, E.Message); }));
}

void PlatformServer::handleWithFaults(const ExchangePtr &Current) {
  const HttpRequest &Request = Current->request();
  bool Hit = Faults.Mode != PlatformFaultMode::Ok &&
             Random.uniform() < Faults.Probability;
  if (!Hit)
    return Current->answer(execute(Request));
  ++Faulted;
  switch (Faults.Mode) {
  case PlatformFaultMode::Down:
    if (Random.uniformInt(2) == 0)
      return Current->answer(errorResponse(503, "down"));
    return Current->drop();
  case PlatformFaultMode::Slow:
    return answerDelayed(Current);
  case PlatformFaultMode::LostAnswer:
    if (!isWrite(Request))
      return Current->answer(execute(Request));
    execute(Request);
    return Current->drop();
  case PlatformFaultMode::Ok:
    return Current->answer(execute(Request));
  }
}

/// The operation is executed after the delay even if the client has
/// disconnected, as in a service that processes a long queue.
void PlatformServer::answerDelayed(const ExchangePtr &Current) {
  runAfter(Context, Faults.Delay,
           [this, Current] { Current->answer(execute(Current->request())); });
}

HttpResponse PlatformServer::execute(const HttpRequest &Request) {
  return executeOperation(Table, Objects, Request);
}

} // namespace teaselhitch::standin

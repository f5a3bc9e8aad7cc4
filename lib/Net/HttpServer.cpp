#include "teaselhitch/Net/HttpServer.h"

#include "Asio.h"
#include "HttpSession.h"

namespace teaselhitch {

namespace {

class HttpServerImpl final : public HttpServer {
public:
  HttpServerImpl(EventLoop &Loop, std::shared_ptr<HttpServerState> Server)
      : State(std::move(Server)), Acceptor(contextOf(Loop)) {}
  ~HttpServerImpl() override { close(); }

  ErrorCodeT listen(const Tcp::endpoint &Address) {
    ErrorCodeT EC = listenOn(Acceptor, Address);
    if (!EC)
      accept();
    return EC;
  }

  void drain() override { State->drain(); }

  void stopListening() override {
    ErrorCodeT EC;
    Acceptor.cancel(EC);
    Acceptor.non_blocking(true, EC);
    while (!EC) {
      Tcp::socket Socket(Acceptor.get_executor());
      Acceptor.accept(Socket, EC);
      if (!EC)
        admit(std::move(Socket));
    }
    Acceptor.close(EC);
  }

  void close() override {
    ErrorCodeT Ignored;
    Acceptor.close(Ignored);
    State->close();
  }

  void setLimits(const HttpLimits &Limits) override {
    State->Settings.Limits = Limits;
  }

  std::size_t connectionCount() const override {
    return State->Sessions.size();
  }
  std::uint16_t port() const override {
    ErrorCodeT Ignored;
    return Acceptor.local_endpoint(Ignored).port();
  }

private:
  void accept() {
    Acceptor.async_accept([this](ErrorCodeT EC, Tcp::socket Socket) {
      if (EC == asio::error::operation_aborted)
        return;
      if (!EC)
        admit(std::move(Socket));
      accept();
    });
  }

  void admit(Tcp::socket Socket) {
    // Closing the connection at once is the only refusal that needs no further
    // memory.
    if (State->Sessions.size() >= State->Settings.MaxConnections &&
        !State->evictStalled(HttpServerEvent::EvictedForConnections, nullptr,
                             0))
      return;
    configureSocket(Socket);
    std::make_shared<HttpSession>(std::move(Socket), State)->start();
  }

  std::shared_ptr<HttpServerState> State;
  Tcp::acceptor Acceptor;
};

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, HttpServerSettings Settings, Handler Handle,
                   RefusalHandler Refuse) {
  Endpoint Listen = Settings.Listen;
  std::optional<Tcp::endpoint> Address = toTcp(Listen);
  if (!Address)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Listen.Address + "' is not an IP address");
  auto Server =
      std::make_shared<HttpServerState>(contextOf(Loop), std::move(Settings));
  Server->Handle = std::move(Handle);
  Server->Refuse = std::move(Refuse);
  auto Created = std::make_unique<HttpServerImpl>(Loop, std::move(Server));
  if (ErrorCodeT EC = Created->listen(*Address))
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Listen) + ": " +
                                                 EC.message());
  return std::unique_ptr<HttpServer>(std::move(Created));
}

} // namespace teaselhitch

#include "teaselhitch/Net/DatagramSocket.h"

#include "Asio.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace teaselhitch {

namespace {

using Udp = asio::ip::udp;

constexpr std::size_t MaxDatagramBytes = 65536;

class DatagramSocketImpl final : public DatagramSocket {
public:
  DatagramSocketImpl(EventLoop &Loop, Receiver OnReceive)
      : Socket(contextOf(Loop)), OnReceive(std::move(OnReceive)) {}

  ErrorCodeT open(const Udp::endpoint &Address) {
    ErrorCodeT Fault;
    Socket.open(Address.protocol(), Fault);
    if (!Fault)
      Socket.bind(Address, Fault);
    if (!Fault)
      Socket.non_blocking(true, Fault);
    if (!Fault)
      receive();
    return Fault;
  }

  void send(const Endpoint &To, std::string_view Bytes) override {
    ErrorCodeT Fault;
    auto Address = asio::ip::make_address(To.Address, Fault);
    if (Fault)
      return;
    Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                   Udp::endpoint(Address, To.Port), 0, Fault);
  }

private:
  void receive() {
    Socket.async_receive_from(
        asio::buffer(Buffer), From, [this](ErrorCodeT Fault, std::size_t Size) {
          if (Fault == asio::error::operation_aborted)
            return;
          if (!Fault)
            OnReceive(std::string_view(Buffer.data(), Size),
                      Endpoint{From.address().to_string(), From.port()});
          receive();
        });
  }

  Udp::socket Socket;
  Udp::endpoint From;
  std::array<char, MaxDatagramBytes> Buffer{};
  Receiver OnReceive;
};

} // namespace

Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(EventLoop &Loop, const Endpoint &Listen,
                       Receiver OnReceive) {
  ErrorCodeT Fault;
  auto Address = asio::ip::make_address(Listen.Address, Fault);
  if (Fault)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Listen.Address + "' is not an IP address");
  auto Created =
      std::make_unique<DatagramSocketImpl>(Loop, std::move(OnReceive));
  Fault = Created->open(Udp::endpoint(Address, Listen.Port));
  if (Fault)
    return makeError(ErrorCode::Unavailable, "cannot bind UDP " +
                                                 toString(Listen) + ": " +
                                                 Fault.message());
  return std::unique_ptr<DatagramSocket>(std::move(Created));
}

} // namespace teaselhitch

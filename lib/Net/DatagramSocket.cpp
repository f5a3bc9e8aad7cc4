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
    ErrorCodeT EC;
    Socket.open(Address.protocol(), EC);
    if (!EC)
      Socket.bind(Address, EC);
    if (!EC)
      Socket.non_blocking(true, EC);
    if (!EC)
      receive();
    return EC;
  }

  void send(const Endpoint &To, std::string_view Bytes) override {
    ErrorCodeT EC;
    auto Address = asio::ip::make_address(To.Address, EC);
    if (EC)
      return;
    Socket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                   Udp::endpoint(Address, To.Port), 0, EC);
  }

private:
  void receive() {
    Socket.async_receive_from(
        asio::buffer(Buffer), Sender, [this](ErrorCodeT EC, std::size_t Size) {
          if (EC == asio::error::operation_aborted)
            return;
          if (!EC)
            OnReceive(std::string_view(Buffer.data(), Size),
                      Endpoint{Sender.address().to_string(), Sender.port()});
          receive();
        });
  }

  Udp::socket Socket;
  Udp::endpoint Sender;
  std::array<char, MaxDatagramBytes> Buffer{};
  Receiver OnReceive;
};

} // namespace

Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(EventLoop &Loop, const Endpoint &Listen,
                       Receiver OnReceive) {
  ErrorCodeT EC;
  auto Address = asio::ip::make_address(Listen.Address, EC);
  if (EC)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Listen.Address + "' is not an IP address");
  auto Created =
      std::make_unique<DatagramSocketImpl>(Loop, std::move(OnReceive));
  EC = Created->open(Udp::endpoint(Address, Listen.Port));
  if (EC)
    return makeError(ErrorCode::Unavailable, "cannot bind UDP " +
                                                 toString(Listen) + ": " +
                                                 EC.message());
  return std::unique_ptr<DatagramSocket>(std::move(Created));
}

} // namespace teaselhitch

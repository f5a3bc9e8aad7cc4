/// \file
/// The socket calls of the program SoakNode, which is the node program with
/// these in front of those of the C library. They cut the path from the own
/// node to others in one direction: datagrams are dropped, connections are not
/// established and bytes on open connections stay unsent.
///
/// A node has an address of its own in 127.1.0.0/16. SOAK_ADDRESS is its own
/// address, SOAK_CUTS a file with one byte for each last byte of an address;
/// a byte other than 0 cuts the path to it. SOAK_SINK is the port of a listener
/// on 127.0.0.1 that drops all attempts to connect.

#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace {

constexpr std::uint32_t AddressCount = 256;
constexpr std::uint32_t NodeNetwork = 0x7F010000; // 127.1.0.0
constexpr std::uint32_t NetworkMask = 0xFFFF0000;

/// Returns true if the path to an address is cut at the moment.
bool isCut(std::uint32_t Ip) {
  static const int File = [] {
    const char *Path = std::getenv("SOAK_CUTS");
    return Path ? ::open(Path, O_RDONLY | O_CLOEXEC) : -1;
  }();
  char Cut = 0;
  return File >= 0 &&
         ::pread(File, &Cut, 1, static_cast<off_t>(Ip % AddressCount)) == 1 &&
         Cut != 0;
}

bool isNode(const sockaddr *Address) {
  if (!Address || Address->sa_family != AF_INET)
    return false;
  auto Ip =
      ntohl(reinterpret_cast<const sockaddr_in *>(Address)->sin_addr.s_addr);
  return (Ip & NetworkMask) == NodeNetwork;
}

bool isCut(const sockaddr *Address) {
  return isNode(Address) &&
         isCut(ntohl(
             reinterpret_cast<const sockaddr_in *>(Address)->sin_addr.s_addr));
}

bool isPeerCut(int Socket) {
  sockaddr_storage Peer{};
  socklen_t Size = sizeof(Peer);
  auto *Address = reinterpret_cast<sockaddr *>(&Peer);
  return ::getpeername(Socket, Address, &Size) == 0 && isCut(Address);
}

template <typename FunctionT> FunctionT next(const char *Name) {
  return reinterpret_cast<FunctionT>(::dlsym(RTLD_NEXT, Name));
}

sockaddr_in loopback(std::uint32_t Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = Ip;
  Address.sin_port = htons(Port);
  return Address;
}

} // namespace

extern "C" {

int connect(int Socket, const sockaddr *Address, socklen_t Size) {
  static auto Next = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
  if (!isNode(Address))
    return Next(Socket, Address, Size);
  // The other side recognizes this node by its address.
  const char *Own = std::getenv("SOAK_ADDRESS");
  sockaddr_in Source =
      loopback(Own ? ::inet_addr(Own) : htonl(INADDR_LOOPBACK), 0);
  (void)::bind(Socket, reinterpret_cast<sockaddr *>(&Source), sizeof(Source));
  if (!isCut(Address))
    return Next(Socket, Address, Size);
  const char *Port = std::getenv("SOAK_SINK");
  sockaddr_in Sink =
      loopback(htonl(INADDR_LOOPBACK),
               static_cast<std::uint16_t>(Port ? std::atoi(Port) : 0));
  return Next(Socket, reinterpret_cast<sockaddr *>(&Sink), sizeof(Sink));
}

ssize_t sendto(int Socket, const void *Data, std::size_t Size, int Flags,
               const sockaddr *To, socklen_t ToSize) {
  static auto Next = next<ssize_t (*)(int, const void *, std::size_t, int,
                                      const sockaddr *, socklen_t)>("sendto");
  if (isCut(To))
    return static_cast<ssize_t>(Size);
  return Next(Socket, Data, Size, Flags, To, ToSize);
}

ssize_t sendmsg(int Socket, const msghdr *Message, int Flags) {
  static auto Next = next<ssize_t (*)(int, const msghdr *, int)>("sendmsg");
  const auto *To = static_cast<const sockaddr *>(Message->msg_name);
  if (To && isCut(To)) {
    std::size_t Size = 0;
    for (std::size_t I = 0; I != Message->msg_iovlen; ++I)
      Size += Message->msg_iov[I].iov_len;
    return static_cast<ssize_t>(Size);
  }
  if (!To && isPeerCut(Socket)) {
    errno = EAGAIN;
    return -1;
  }
  return Next(Socket, Message, Flags);
}

ssize_t send(int Socket, const void *Data, std::size_t Size, int Flags) {
  static auto Next =
      next<ssize_t (*)(int, const void *, std::size_t, int)>("send");
  if (isPeerCut(Socket)) {
    errno = EAGAIN;
    return -1;
  }
  return Next(Socket, Data, Size, Flags);
}
}

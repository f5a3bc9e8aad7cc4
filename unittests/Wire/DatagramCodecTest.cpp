#include "teaselhitch/Wire/DatagramCodec.h"

#include "teaselhitch/Membership/DatagramSize.h"
#include "teaselhitch/Support/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const DatagramAuth Auth{"ventilo", "new key", "old key"};

/// The error code of Operation, or nothing if it returns a value.
template <typename FunctionT>
std::optional<ErrorCode> errorOf(FunctionT &&Operation) {
  return handleError(
      [&]() -> Result<std::optional<ErrorCode>> {
        BOOST_LEAF_CHECK(Operation());
        return std::optional<ErrorCode>();
      },
      [](const Error &E) { return std::optional<ErrorCode>(E.Code); });
}

std::optional<ErrorCode> datagramError(const std::string &Bytes,
                                       const DatagramAuth &A = Auth) {
  return errorOf([&] { return decodeDatagram(Bytes, A); });
}

/// Replaces the MAC by a valid one, to reach the checks that follow it.
std::string withValidMac(std::string Bytes) {
  Bytes.resize(Bytes.size() - 16);
  std::string Hex = hmacSha256Hex(Auth.CurrentKey, Auth.Fleet + '\0' + Bytes);
  for (std::size_t I = 0; I != 32; I += 2)
    Bytes += static_cast<char>(std::stoi(Hex.substr(I, 2), nullptr, 16));
  return Bytes;
}

std::string randomName(RandomSource &Random) {
  std::string Text(1 + Random.uniformInt(64), 'a');
  for (char &C : Text)
    C = static_cast<char>('a' + Random.uniformInt(3));
  return Text;
}

/// An incarnation near a realistic wall clock time, or anywhere in the valid
/// range.
RecordVersion randomVersion(RandomSource &Random) {
  std::uint64_t Any = 1 + (Random.next() >> (2 + Random.uniformInt(60)));
  std::uint64_t Wall = 1764840000000 + Random.uniformInt(100000000);
  return {Random.uniformInt(4) == 0 ? Any : Wall,
          Random.next() >> (2 + Random.uniformInt(61))};
}

NodeRecord randomNode(RandomSource &Random) {
  NodeRecord Record;
  Record.Name = NodeName(randomName(Random));
  static const std::vector<std::string> Addresses = {
      "10.1.2.3", "255.255.255.255", "fd00::17", "010.1.2.3", ""};
  Record.Address = {Addresses[Random.uniformInt(Addresses.size())],
                    static_cast<std::uint16_t>(Random.next())};
  Record.Domain = FailureDomain(randomName(Random));
  Record.State = static_cast<NodeState>(Random.uniformInt(4));
  Record.Version = randomVersion(Random);
  return Record;
}

BackendServerRecord randomServer(RandomSource &Random) {
  BackendServerRecord Record;
  Record.Id.Node = NodeName(randomName(Random));
  Record.Service = ServiceName(randomName(Random));
  Record.Id.Name = BackendServerName(
      Random.uniformInt(2) == 0 ? Record.Service.str().substr(0, 60) + "-1"
                                : randomName(Random));
  Record.Domain = FailureDomain(randomName(Random));
  Record.Label = std::string(Random.uniformInt(129), '\xff');
  Record.Slots = static_cast<std::uint32_t>(Random.next());
  Record.State = static_cast<BackendServerState>(Random.uniformInt(4));
  Record.Health = static_cast<BackendServerHealth>(Random.uniformInt(3));
  Record.Weight = static_cast<std::uint32_t>(Random.uniformInt(101));
  Record.Version = randomVersion(Random);
  return Record;
}

/// A random datagram whose estimated size does not exceed Limit; Bound receives
/// the estimate.
Datagram randomDatagram(RandomSource &Random, std::size_t Limit,
                        std::size_t *Bound = nullptr) {
  Datagram Message;
  Message.Kind = static_cast<DatagramKind>(Random.uniformInt(4));
  Message.Sender = NodeName(randomName(Random));
  Message.SenderIncarnation = randomVersion(Random).Incarnation;
  Message.Sequence = Random.next();
  Message.Target = NodeName(randomName(Random));
  DatagramSize Size(Message.Sender);
  Size.addTarget(Message.Target, Limit);
  ConfigHead Head{Random.next() >> 2, sha256Hex(randomName(Random))};
  if (Random.uniformInt(2) == 0 && Size.add(Head, Limit))
    Message.Changes.Head = Head;
  for (std::uint64_t I = Random.uniformInt(40); I != 0; --I) {
    NodeRecord Node = randomNode(Random);
    BackendServerRecord Server = randomServer(Random);
    Server.Id.Node = Random.uniformInt(2) == 0 ? Node.Name : Server.Id.Node;
    QuarantineRecord Quarantine{Random.next(), 600000, Random.next(), true,
                                ServiceName("seats")};
    if (Size.add(Node, Limit))
      Message.Changes.Nodes.push_back(Node);
    if (Size.add(Server, Limit))
      Message.Changes.Servers.push_back(Server);
    if (Size.add(Quarantine, Limit))
      Message.Changes.Quarantines.push_back(Quarantine);
  }
  if (Bound != nullptr)
    *Bound = Size.bytes();
  return Message;
}

class DatagramCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatagramCodecTest);
  CPPUNIT_TEST(roundTripWithinBound);
  CPPUNIT_TEST(frameRoundTrip);
  CPPUNIT_TEST(recordSizesAreBounded);
  CPPUNIT_TEST(authentication);
  CPPUNIT_TEST(malformedDatagramsAreRefused);
  CPPUNIT_TEST(countsAreBounded);
  CPPUNIT_TEST(fuzzedInputIsRefused);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fields that the codec drops, and against datagrams that
  /// exceed the limit because DatagramSize underestimates them.
  void roundTripWithinBound() {
    SeededRandom Random(1);
    for (int Round = 0; Round != 3000; ++Round) {
      std::size_t Bound = 0;
      Datagram Message = randomDatagram(Random, 1200, &Bound);
      std::string Bytes = encodeDatagram(Message, Auth);
      CPPUNIT_ASSERT(Bytes.size() <= Bound);
      CPPUNIT_ASSERT(Bound <= 1200);
      Result<Datagram> Decoded = decodeDatagram(Bytes, Auth);
      CPPUNIT_ASSERT(Decoded && Decoded.value() == Message);
    }
  }

  /// Guards against fields that are lost in the frames of anti-entropy.
  void frameRoundTrip() {
    SeededRandom Random(2);
    Digest Narrow, Wide;
    Delta Changes;
    for (std::size_t I = 0; I != Digest::BucketCount; ++I) {
      Narrow.Buckets[I] = Random.next() & 0xffffffffU;
      Wide.Buckets[I] = Random.next();
      Changes.Servers.push_back(randomServer(Random));
      Changes.Nodes.push_back(randomNode(Random));
    }
    Wide.Head = {3, "not a hash"};
    CPPUNIT_ASSERT(decodeDigest(encodeDigest(Narrow)).value() == Narrow);
    CPPUNIT_ASSERT(decodeDigest(encodeDigest(Wide)).value() == Wide);
    CPPUNIT_ASSERT(decodeDelta(encodeDelta(Changes)).value() == Changes);
    CPPUNIT_ASSERT(encodeDigest(Narrow).size() < 1100);
  }

  /// Guards against an encoding whose fixed overhead exhausts the bandwidth
  /// limit of 4 KB/s. Checks a probe, and a node with 13 backend servers.
  void recordSizesAreBounded() {
    Datagram Message;
    Message.Sender = NodeName("ishikari-0017");
    Message.SenderIncarnation = 1764840000000;
    CPPUNIT_ASSERT(encodeDatagram(Message, Auth).size() <= 50);
    std::size_t Empty = encodeDatagram(Message, Auth).size();
    for (int I = 0; I != 13; ++I) {
      BackendServerRecord Record;
      Record.Id = {Message.Sender,
                   BackendServerName("seat-sales-" + std::to_string(I))};
      Record.Service = ServiceName("seat-sales");
      Record.Domain = FailureDomain("ishikari");
      Record.Label = "r41";
      Record.Version = {Message.SenderIncarnation, 100};
      Message.Changes.Servers.push_back(Record);
    }
    CPPUNIT_ASSERT(encodeDatagram(Message, Auth).size() - Empty <=
                   std::size_t(13) * 18);
  }

  /// Guards against accepting datagrams of other fleets or with an unknown key,
  /// and against a key rotation that partitions the fleet.
  void authentication() {
    SeededRandom Random(3);
    Datagram Message = randomDatagram(Random, 600);
    DatagramAuth Old{"ventilo", "old key", std::nullopt};
    DatagramAuth OtherKey{"ventilo", "other key", std::nullopt};
    DatagramAuth OtherFleet{"yukiakari", "new key", std::nullopt};
    std::string Bytes = encodeDatagram(Message, Auth);
    CPPUNIT_ASSERT(!datagramError(Bytes));
    CPPUNIT_ASSERT(!datagramError(encodeDatagram(Message, Old)));
    CPPUNIT_ASSERT(ErrorCode::Corrupt == datagramError(Bytes, Old));
    CPPUNIT_ASSERT(ErrorCode::Corrupt ==
                   datagramError(encodeDatagram(Message, OtherKey)));
    CPPUNIT_ASSERT(ErrorCode::NotFound == datagramError(Bytes, OtherFleet));
  }

  /// Guards against malformed datagrams that are decoded without an error.
  void malformedDatagramsAreRefused() {
    SeededRandom Random(4);
    std::string Good = encodeDatagram(randomDatagram(Random, 600), Auth);
    std::string Trailing = Good;
    Trailing.insert(Trailing.size() - 16, 1, '\0');
    std::string Truncated = Good;
    Truncated.erase(Truncated.size() - 20, 4);
    std::string OtherVersion = Good, OtherKind = Good, OtherByteOrder = Good;
    OtherByteOrder[2] = 0;
    OtherVersion[3] = 0x20;
    OtherKind[3] = 0x1f;
    struct Case {
      std::string Bytes;
      ErrorCode Code;
    };
    const std::vector<Case> Cases = {
        {"", ErrorCode::InvalidInput},
        {Good.substr(0, 17), ErrorCode::InvalidInput},
        {Good + std::string(1400, 'x'), ErrorCode::Exhausted},
        {Trailing, ErrorCode::Corrupt},
        {withValidMac(Trailing), ErrorCode::InvalidInput},
        {withValidMac(Truncated), ErrorCode::InvalidInput},
        {withValidMac(OtherByteOrder), ErrorCode::InvalidInput},
        {withValidMac(OtherVersion), ErrorCode::InvalidInput},
        {withValidMac(OtherKind), ErrorCode::InvalidInput},
    };
    CPPUNIT_ASSERT(withValidMac(Good) == Good);
    for (const Case &C : Cases)
      CPPUNIT_ASSERT(C.Code == datagramError(C.Bytes));
    Datagram BadName;
    BadName.Sender = NodeName("../x");
    CPPUNIT_ASSERT(ErrorCode::InvalidInput ==
                   datagramError(encodeDatagram(BadName, Auth)));
  }

  /// Guards against short frames that make the decoder allocate much memory.
  void countsAreBounded() {
    Delta Large;
    Large.Quarantines.resize(4097);
    auto Decode = [](std::string Bytes) {
      return errorOf([&] { return decodeDelta(Bytes); });
    };
    CPPUNIT_ASSERT(ErrorCode::InvalidInput == Decode(encodeDelta(Large)));
    Large.Quarantines.pop_back();
    CPPUNIT_ASSERT(!Decode(encodeDelta(Large)));
    // A count of 2^63 nodes without any node.
    std::string HugeCount("\x01\xff\xff\xff\xff\xff\xff\xff\xff\x7f", 10);
    CPPUNIT_ASSERT(ErrorCode::InvalidInput == Decode(HugeCount));
  }

  /// Guards against crashes and uncaught exceptions on malicious input, with
  /// and without a valid MAC.
  void fuzzedInputIsRefused() {
    SeededRandom Random(5);
    for (int Round = 0; Round != 20000; ++Round) {
      std::string Bytes = encodeDatagram(randomDatagram(Random, 700), Auth);
      for (std::uint64_t I = 1 + Random.uniformInt(4); I != 0; --I)
        Bytes[Random.uniformInt(Bytes.size())] =
            static_cast<char>(Random.next());
      if (Random.uniformInt(4) == 0)
        Bytes.resize(18 + Random.uniformInt(Bytes.size() - 17));
      datagramError(Bytes);
      datagramError(withValidMac(Bytes));
      std::string Noise(Random.uniformInt(200), '\0');
      for (char &C : Noise)
        C = static_cast<char>(Random.next());
      Noise.insert(0, 1, '\x01');
      datagramError(Noise);
      errorOf([&] { return decodeDelta(Noise); });
      errorOf([&] { return decodeDigest(Noise + Noise + Noise); });
      std::string Frame = encodeDelta(randomDatagram(Random, 700).Changes);
      Frame[1 + Random.uniformInt(Frame.size() - 1)] =
          static_cast<char>(Random.next());
      errorOf([&] { return decodeDelta(Frame); });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatagramCodecTest);

} // namespace

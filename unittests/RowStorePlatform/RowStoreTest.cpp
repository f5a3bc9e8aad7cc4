#include "../../platform/ConfigReader.h"
#include "../../platform/NodeTable.h"
#include "../../platform/RowStoreClient.h"
#include "../../platform/StoreAdapters.h"
#include "../../tools/teaselhitch-standin/RowStoreServer.h"
#include "teaselhitch/Platform/TableRequests.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>
#include <thread>

using namespace teaselhitch;
using standin::RowStoreFault;

namespace {

constexpr Duration Timeout = Duration(200);
constexpr const char *MinimalConfig = R"({"Version":"r%","Listeners":[],)"
                                      R"("Clusters":[{"Name":"s"}]})";

std::string config(const std::string &Version) {
  std::string Text = MinimalConfig;
  return Text.replace(Text.find('%'), 1, Version);
}

/// The stand-in's row store, run by a thread of its own on a free loopback
/// port.
class StoreFixture {
public:
  StoreFixture() : Server(Context) {
    Address = Server.listen({"127.0.0.1", 0}).value();
    Thread = std::thread([this] { Context.run(); });
  }
  ~StoreFixture() {
    Context.stop();
    Thread.join();
  }
  StoreFixture(const StoreFixture &) = delete;
  StoreFixture &operator=(const StoreFixture &) = delete;

  template <typename FunctionT> void runOnServer(FunctionT Function) {
    std::promise<void> Done;
    boost::asio::post(Context, [&] {
      Function(Server);
      Done.set_value();
    });
    Done.get_future().wait();
  }
  void setFault(RowStoreFault Fault) {
    runOnServer([&](standin::RowStoreServer &S) { S.setFault(Fault); });
  }
  void publish(const std::string &Version) {
    runOnServer([&](standin::RowStoreServer &S) {
      S.put("op", "config", config(Version));
    });
  }

  void saveCopy() {
    runOnServer([](standin::RowStoreServer &S) { S.saveCopy(); });
  }
  void restore() {
    runOnServer([](standin::RowStoreServer &S) { S.restore(); });
  }
  /// Waits until a watch is pending.
  void awaitWatch() {
    for (bool IsPending = false; !IsPending;)
      runOnServer(
          [&](standin::RowStoreServer &S) { IsPending = S.hasPendingWatch(); });
  }

  RowStoreClient client() const {
    return RowStoreClient::create(Address, Timeout).value();
  }

private:
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  standin::RowStoreServer Server;
  Endpoint Address;
  std::thread Thread;
};

/// Answers one request on each of two connections with the same bytes and
/// closes them.
class RawServer {
public:
  explicit RawServer(std::string Bytes)
      : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, Bytes = std::move(Bytes)] {
          for (int I = 0; I != 2; ++I) {
            boost::system::error_code Ignored;
            std::array<char, 4096> Input{};
            auto Connection = Acceptor.accept();
            Connection.read_some(boost::asio::buffer(Input), Ignored);
            boost::asio::write(Connection, boost::asio::buffer(Bytes), Ignored);
          }
        }) {}
  ~RawServer() {
    // Ends the wait for connections that a failed test did not open.
    for (int I = 0; I != 2; ++I) {
      boost::system::error_code Ignored;
      boost::asio::ip::tcp::socket(Context).connect(
          {boost::asio::ip::make_address("127.0.0.1"), Address.Port}, Ignored);
    }
    Thread.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  Endpoint address() const { return Address; }

private:
  boost::asio::io_context Context{1};
  boost::asio::ip::tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::thread Thread;
};

/// Returns the name of the error code of a call, or "ok".
template <typename FunctionT> std::string describeOutcome(FunctionT Call) {
  return handleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(Call());
        return std::string("ok");
      },
      [](const Error &E) { return std::string(errorCodeName(E.Code)); });
}

std::uint64_t nextVersion(ConfigSource &Source, Duration Wait = Duration(50)) {
  return handleError(
      [&]() -> Result<std::uint64_t> {
        BOOST_LEAF_AUTO(Next, Source.next(Wait));
        return Next ? Next->Version : 0;
      },
      [](const Error &) { return std::uint64_t(0); });
}

class RowStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RowStoreTest);
  CPPUNIT_TEST(unmetConditionsFailWrites);
  CPPUNIT_TEST(faultsTellWhetherWriteTookEffect);
  CPPUNIT_TEST(invalidStatusLeavesWriteUnknown);
  CPPUNIT_TEST(valuesRoundTrip);
  CPPUNIT_TEST(objectsAreWrittenOnce);
  CPPUNIT_TEST(directoryListsAndRemovesNodes);
  CPPUNIT_TEST(sourceReturnsEachChangeOnce);
  CPPUNIT_TEST(sourceRereadsWhenHistoryIsGone);
  CPPUNIT_TEST(sourceRecoversFromEachFault);
  CPPUNIT_TEST(sourceFindsChangesAfterRestore);
  CPPUNIT_TEST(sourceFindsChangesInRepeatedVersions);
  CPPUNIT_TEST(sourceFindsChangesAfterTwoRestores);
  CPPUNIT_TEST(pendingWatchNoticesRestore);
  CPPUNIT_TEST(sourceWithoutEraStaysUnchanged);
  CPPUNIT_TEST(outdatedConditionsAreConflicts);
  CPPUNIT_TEST(invalidRowsAreSkipped);
  CPPUNIT_TEST(invalidAddressesAreSkipped);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against two conditional writes of the same version that both
  /// succeed.
  void unmetConditionsFailWrites() {
    StoreFixture F;
    auto Table = createRowTableStore(F.client());
    std::uint64_t First = Table->insert("t", "k", "1").value();
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), describeOutcome([&] {
                           return Table->insert("t", "k", "2");
                         }));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), describeOutcome([&] {
                           return Table->replace("t", "k", "2", First + 1);
                         }));
    std::uint64_t Second = Table->replace("t", "k", "2", First).value();
    CPPUNIT_ASSERT(Second > First);
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         Table->read("t", "k").value()->Value);
    CPPUNIT_ASSERT(!Table->read("t", "j").value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), describeOutcome([&] {
                           return Table->erase("t", "k", Second);
                         }));
    CPPUNIT_ASSERT(!Table->read("t", "k").value());
  }

  /// Guards against a write that is reported as without effect although it took
  /// effect.
  void faultsTellWhetherWriteTookEffect() {
    struct Case {
      const char *Write;
      const char *Read;
      RowStoreFault Fault;
      bool IsDone;
    };
    const Case Cases[] = {
        {"unavailable", "unavailable", RowStoreFault::Busy, false},
        {"unavailable", "unavailable", RowStoreFault::Many, false},
        {"timeout", "unavailable", RowStoreFault::Reset, false},
        {"timeout", "unavailable", RowStoreFault::Silent, false},
        {"timeout", "unavailable", RowStoreFault::LostAnswer, true},
    };
    for (const Case &C : Cases) {
      StoreFixture F;
      RowStoreClient Client = F.client();
      F.setFault(C.Fault);
      CPPUNIT_ASSERT_EQUAL(std::string(C.Write), describeOutcome([&] {
                             return Client.write({"t", "k", "v", 0});
                           }));
      CPPUNIT_ASSERT_EQUAL(std::string(C.Read), describeOutcome([&] {
                             return Client.read("t", KeyRange());
                           }));
      F.setFault(RowStoreFault::None);
      CPPUNIT_ASSERT_EQUAL(C.IsDone,
                           !Client.read("t", KeyRange()).value().Rows.empty());
    }
  }

  /// Guards against a write that is reported as without effect although the
  /// answer has a status that tells nothing, such as 000.
  void invalidStatusLeavesWriteUnknown() {
    for (const char *Status : {"000", "001", "099", "199", "204", "302", "600",
                               "999", "1", "2000", ""}) {
      RawServer Server("HTTP/1.1 " + std::string(Status) +
                       " X\r\nContent-Length: 0\r\n\r\n");
      auto Table = createRowTableStore(
          RowStoreClient::create(Server.address(), Timeout).value());
      CPPUNIT_ASSERT_MESSAGE(
          Status,
          runTableRequest(*Table, {1, TableOperation::Insert, "t", "k", "1"})
                  .Status == TableStatus::Unknown);
      CPPUNIT_ASSERT_MESSAGE(
          Status,
          runTableRequest(*Table, {1, TableOperation::Read, "t", "k", ""})
                  .Status == TableStatus::Unavailable);
    }
  }

  /// Guards against bytes of a value that the encoding changes.
  void valuesRoundTrip() {
    StoreFixture F;
    RowStoreClient Client = F.client();
    for (std::size_t Size = 0; Size != 7; ++Size) {
      std::string Value("\0\xff\x80=ab", Size);
      Client.write({"t", "a/b c", Value, std::nullopt}).value();
      CPPUNIT_ASSERT(Client.read("t", KeyRange()).value().Rows.at(0).Value ==
                     Value);
    }
  }

  /// Guards against an object store that overwrites an existing object.
  void objectsAreWrittenOnce() {
    StoreFixture F;
    auto Objects = createBlobObjectStore(F.client());
    CPPUNIT_ASSERT(!Objects->read("o").value());
    CPPUNIT_ASSERT(Objects->write("o", "bytes"));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), describeOutcome([&] {
                           return Objects->write("o", "others");
                         }));
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), *Objects->read("o").value());
  }

  /// Guards against a stopping node that removes the directory entry of the
  /// next process on its instance.
  void directoryListsAndRemovesNodes() {
    StoreFixture F;
    auto First = createNodeTable(F.client());
    auto Next = createNodeTable(F.client());
    NodeRecord Self;
    Self.Name = NodeName("n1");
    Self.Address = {"10.0.0.1", 7001};
    CPPUNIT_ASSERT(First->registerNode(Self));
    CPPUNIT_ASSERT(Next->registerNode(Self));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         describeOutcome([&] { return First->remove(Self); }));
    CPPUNIT_ASSERT(Next->read().value() == std::vector<Endpoint>{Self.Address});
    CPPUNIT_ASSERT(Next->remove(Self));
    CPPUNIT_ASSERT(Next->read().value().empty());
  }

  /// Guards against configuration changes that are missed or returned twice.
  void sourceReturnsEachChangeOnce() {
    StoreFixture F;
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), nextVersion(*Source));
    F.publish("3");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), nextVersion(*Source));
    F.publish("4");
    F.publish("9");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), nextVersion(*Source));
  }

  /// Guards against a configuration change that is missed because the store no
  /// longer has the history that contains the change.
  void sourceRereadsWhenHistoryIsGone() {
    StoreFixture F;
    F.publish("3");
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    F.publish("5");
    F.runOnServer([](standin::RowStoreServer &S) { S.compactHistory(); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), nextVersion(*Source));
  }

  /// Guards against a configuration source that keeps failing after the store
  /// has recovered.
  void sourceRecoversFromEachFault() {
    for (RowStoreFault Fault :
         {RowStoreFault::Busy, RowStoreFault::Many, RowStoreFault::Reset,
          RowStoreFault::Silent, RowStoreFault::LostAnswer}) {
      StoreFixture F;
      F.publish("3");
      auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
      F.setFault(Fault);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), nextVersion(*Source));
      F.publish("4");
      F.setFault(RowStoreFault::None);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), nextVersion(*Source));
    }
  }

  /// Guards against a configuration source whose watch starts at a version that
  /// the restored store does not have.
  void sourceFindsChangesAfterRestore() {
    StoreFixture F;
    F.publish("3");
    F.saveCopy();
    F.publish("4");
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), nextVersion(*Source));
    F.restore();
    // The older version is reported; only the reader knows the one in force.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    F.publish("4");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), nextVersion(*Source));
    F.publish("5");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), nextVersion(*Source));
  }

  /// Guards against a configuration that is missed because the restored store
  /// assigns the versions up to the position of the watch again, so that the
  /// watch does not fail.
  void sourceFindsChangesInRepeatedVersions() {
    StoreFixture F;
    F.publish("3");
    F.saveCopy();
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    for (int I = 0; I != 3; ++I)
      F.client().write({"t", "k", "v", std::nullopt}).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    F.restore();
    F.publish("4");
    for (int I = 0; I != 3; ++I)
      F.client().write({"t", "k", "w", std::nullopt}).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), nextVersion(*Source));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), nextVersion(*Source));
  }

  /// Guards against a second restore that is not noticed.
  void sourceFindsChangesAfterTwoRestores() {
    StoreFixture F;
    F.publish("3");
    F.saveCopy();
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    F.client().write({"t", "k", "v", std::nullopt}).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    for (const std::string Version : {"4", "5"}) {
      F.restore();
      F.publish(Version);
      F.client().write({"t", "k", "v", std::nullopt}).value();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(std::stoul(Version)),
                           nextVersion(*Source));
    }
    // Two restores between two calls of the source.
    F.restore();
    F.restore();
    F.publish("6");
    F.client().write({"t", "k", "v", std::nullopt}).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), nextVersion(*Source));
  }

  /// Guards against a change that is missed because the response to a watch
  /// that was pending during the restore sets the position beyond it.
  void pendingWatchNoticesRestore() {
    StoreFixture F;
    F.publish("3");
    F.saveCopy();
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    F.client().write({"t", "k", "v", std::nullopt}).value();
    F.client().write({"t", "k", "v", std::nullopt}).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    auto Pending = std::async(std::launch::async, [&] {
      return nextVersion(*Source, Duration::seconds(1));
    });
    F.awaitWatch();
    F.runOnServer([](standin::RowStoreServer &S) { S.restore(true); });
    F.publish("4");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Pending.get());
  }

  /// Guards against a store without eras, or with an invalid one, whose
  /// responses count as a restore and make each call read the row again.
  void sourceWithoutEraStaysUnchanged() {
    StoreFixture F;
    F.runOnServer([](standin::RowStoreServer &S) { S.sendEra(false); });
    F.publish("3");
    auto Source = createStoredConfigSource(F.client(), ConfigDefaults());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), nextVersion(*Source));
    for (bool IsSent : {false, true, false, true}) {
      F.runOnServer([&](standin::RowStoreServer &S) { S.sendEra(IsSent); });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), nextVersion(*Source));
    }
  }

  /// Guards against a conditional write that replaces the row of another
  /// writer, because the restored store gave that row the expected version.
  void outdatedConditionsAreConflicts() {
    StoreFixture F;
    RowStoreClient Client = F.client();
    auto Table = createRowTableStore(F.client());
    F.saveCopy();
    std::uint64_t Version = Table->insert("t", "k", "1").value();
    std::uint64_t Incarnation = Table->incarnation();
    CPPUNIT_ASSERT(Incarnation != 0);
    F.restore();
    CPPUNIT_ASSERT_EQUAL(Version,
                         Client.write({"t", "k", "2", std::nullopt}).value());
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), describeOutcome([&] {
                           return Table->replace("t", "k", "3", Version);
                         }));
    CPPUNIT_ASSERT_EQUAL(Incarnation + 1, Table->incarnation());
    // A condition that is known to be outdated is not sent.
    RowWrite Outdated{"t", "k", "4", Version + 1, Incarnation};
    std::string Before = Table->read("t", "k").value()->Value;
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), describeOutcome([&] {
                           return Client.write(Outdated);
                         }));
    CPPUNIT_ASSERT_EQUAL(Before, Table->read("t", "k").value()->Value);
  }

  /// Guards against a table that cannot be read or watched for as long as
  /// another writer keeps one invalid row in it.
  void invalidRowsAreSkipped() {
    const std::string InvalidRows[] = {
        R"(7)",
        R"({"Key":7,"Value":"dg==","RowVersion":3})",
        R"({"Key":"k","RowVersion":3})",
        R"({"Key":"k","Value":"%%","RowVersion":3})",
        R"({"Key":"k","Value":"dg==","RowVersion":99999999999999999999999})",
        R"({"Key":"k","Value":"dg==","RowVersion":-1})",
        R"({"Key":"k","Value":"dg==","RowVersion":1e400})",
        R"({"Key":"k","Value":[[[[[["dg=="]]]]]],"RowVersion":3})",
    };
    for (const std::string &Row : InvalidRows) {
      Result<RowPage> Page = parseRowPage(
          R"({"Rows":[)" + Row +
          R"(,{"Key":"valid","Value":"dg==","RowVersion":4}],"RowVersion":5})");
      CPPUNIT_ASSERT_MESSAGE(Row.substr(0, 60), bool(Page));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Page.value().Rows.size());
      CPPUNIT_ASSERT_EQUAL(std::string("valid"), Page.value().Rows[0].Key);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Page.value().SkippedRows);
    }
  }

  /// Guards against one odd row among those of the nodes that hides the others,
  /// and against an address to which no datagram can be sent.
  void invalidAddressesAreSkipped() {
    StoreFixture F;
    RowStoreClient Client = F.client();
    const std::string InvalidValues[] = {"",
                                         "10.0.0.1",
                                         "10.0.0.1:0",
                                         "10.0.0.1:70000",
                                         "10.0.0.1:-1",
                                         "host:80",
                                         "10.0.0.1:80 ",
                                         std::string("\xff\x00", 2),
                                         std::string(60000, '[')};
    int Number = 0;
    for (const std::string &Value : InvalidValues)
      Client
          .write({"nodes", "k" + std::to_string(Number++), Value, std::nullopt})
          .value();
    Client.write({"nodes", "valid", "10.0.0.1:7001", std::nullopt}).value();
    CPPUNIT_ASSERT(createNodeTable(F.client())->read().value() ==
                   (std::vector<Endpoint>{{"10.0.0.1", 7001}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowStoreTest);

} // namespace

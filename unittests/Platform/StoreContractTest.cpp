#include "StandInPlatform.h"
#include "teaselhitch/Platform/StorePlugins.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

/// Returns the result of an operation as text: the value or the name of the
/// error code.
template <typename OperationT, typename PrinterT>
std::string describeOutcome(OperationT Operation, PrinterT Print) {
  return handleError(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(Value, Operation());
        return Print(Value);
      },
      [](const Error &E) { return std::string(errorCodeName(E.Code)); });
}

std::string printRow(const std::optional<TableRow> &Row) {
  return Row ? Row->Key + "=" + Row->Value : "none";
}

/// An operation on a table and its expected outcome. Versions are opaque to
/// callers, so a step refers to the write that created the version.
struct TableStep {
  const char *Operation; // read, insert, replace, erase, range
  std::string Key;
  /// The value to write; for a range, "AFTER LIMIT".
  std::string Value;
  /// Number of the earlier write, counted from 1, whose version is expected; 0
  /// for none.
  std::size_t Expected;
  std::string Outcome;
};

const std::string ReservedCharsKey = "a/b c%2F?&\xC3\xA9";

const TableStep TableSteps[] = {
    {"read", "k", "", 0, "none"},
    {"insert", "k", "{\"n\": 1}", 0, "written"},
    {"insert", "k", "{\"n\": 2}", 0, "conflict"},
    {"read", "k", "", 0, "k={\"n\":1}"},
    {"replace", "k", "[true,null,\"x\"]", 1, "written"},
    {"replace", "k", "3", 1, "conflict"},
    {"read", "k", "", 0, "k=[true,null,\"x\"]"},
    {"erase", "k", "", 1, "conflict"},
    {"erase", "k", "", 2, "written"},
    {"erase", "k", "", 2, "conflict"},
    {"replace", "k", "3", 2, "conflict"},
    // A row that is inserted again must not match the version of the deleted
    // row.
    {"insert", "k", "4", 0, "written"},
    {"replace", "k", "5", 1, "conflict"},
    {"insert", "m", "{broken", 0, "invalid-input"},
    {"read", "m", "", 0, "none"},
    {"insert", ReservedCharsKey, "18446744073709551615", 0, "written"},
    {"read", ReservedCharsKey, "", 0,
     ReservedCharsKey + "=18446744073709551615"},
    {"insert", "k1", "1", 0, "written"},
    {"insert", "k2", "2", 0, "written"},
    {"range", "k", " 10", 0, "k=4 k1=1 k2=2 "},
    {"range", "k", "k 1", 0, "k1=1 "},
    {"range", "k", "k2 10", 0, ""},
    {"range", "a", " 10", 0, ReservedCharsKey + "=18446744073709551615 "},
};

class StoreContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreContractTest);
  CPPUNIT_TEST(memoryTableMeetsContract);
  CPPUNIT_TEST(httpTableMeetsContract);
  CPPUNIT_TEST(memoryObjectsMeetContract);
  CPPUNIT_TEST(httpObjectsMeetContract);
  CPPUNIT_TEST(unusableAddressIsRefused);
  CPPUNIT_TEST_SUITE_END();

  template <typename StoreT>
  static std::unique_ptr<StoreT>
  create(Result<std::unique_ptr<StoreT>> (*Factory)(const std::string &,
                                                    const StoreOptions &),
         const std::string &Name, const Endpoint &Service) {
    return handleError([&] { return Factory(Name, {Service}); },
                       [](const Error &) { return nullptr; });
  }

  static std::string printRange(TableStore &Table, const TableStep &Step) {
    std::size_t Space = Step.Value.find(' ');
    return describeOutcome(
        [&] {
          return Table.range("t", Step.Key, Step.Value.substr(0, Space),
                             std::stoul(Step.Value.substr(Space + 1)));
        },
        [](const std::vector<TableRow> &Rows) {
          std::string Text;
          for (const TableRow &Row : Rows)
            Text += printRow(Row) + " ";
          return Text;
        });
  }

  static std::string run(TableStore &Table, const TableStep &Step,
                         std::vector<std::uint64_t> &Versions) {
    std::string Operation = Step.Operation;
    std::uint64_t Expected = Step.Expected ? Versions.at(Step.Expected) : 0;
    if (Operation == "read")
      return describeOutcome([&] { return Table.read("t", Step.Key); },
                             printRow);
    if (Operation == "range")
      return printRange(Table, Step);
    return describeOutcome(
        [&]() -> Result<std::uint64_t> {
          if (Operation == "insert")
            return Table.insert("t", Step.Key, Step.Value);
          if (Operation == "replace")
            return Table.replace("t", Step.Key, Step.Value, Expected);
          BOOST_LEAF_CHECK(Table.erase("t", Step.Key, Expected));
          return std::uint64_t(0);
        },
        [&](std::uint64_t Version) {
          Versions.push_back(Version);
          return std::string("written");
        });
  }

  static void checkTable(TableStore &Table) {
    std::vector<std::uint64_t> Versions{0};
    std::size_t Index = 0;
    for (const TableStep &Step : TableSteps)
      CPPUNIT_ASSERT_EQUAL_MESSAGE("step " + std::to_string(Index++),
                                   Step.Outcome, run(Table, Step, Versions));
  }

  static void checkObjects(ObjectStore &Objects) {
    auto Read = [&](const std::string &Key) {
      return describeOutcome([&] { return Objects.read(Key); },
                             [](const std::optional<std::string> &Data) {
                               return Data.value_or("none");
                             });
    };
    auto Write = [&](const std::string &Key, const std::string &Data) {
      return describeOutcome(
          [&]() -> Result<int> {
            BOOST_LEAF_CHECK(Objects.write(Key, Data));
            return 0;
          },
          [](int) { return std::string("written"); });
    };
    auto List = [&](const std::string &Prefix, const std::string &After,
                    unsigned Limit) {
      return describeOutcome([&] { return Objects.list(Prefix, After, Limit); },
                             [](const std::vector<std::string> &Keys) {
                               std::string Text;
                               for (const std::string &Key : Keys)
                                 Text += Key + " ";
                               return Text;
                             });
    };
    const std::string Binary("\0\r\n\xFF", 4);
    CPPUNIT_ASSERT_EQUAL(std::string("none"), Read(ReservedCharsKey));
    CPPUNIT_ASSERT_EQUAL(std::string("written"),
                         Write(ReservedCharsKey, Binary));
    CPPUNIT_ASSERT_EQUAL(std::string("written"),
                         Write(ReservedCharsKey, Binary));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         Write(ReservedCharsKey, "other"));
    CPPUNIT_ASSERT_EQUAL(Binary, Read(ReservedCharsKey));
    CPPUNIT_ASSERT_EQUAL(std::string("written"), Write("p1", ""));
    CPPUNIT_ASSERT_EQUAL(std::string(), Read("p1"));
    CPPUNIT_ASSERT_EQUAL(std::string("written"), Write("p2", "x"));
    CPPUNIT_ASSERT_EQUAL(std::string("p1 p2 "), List("p", "", 10));
    CPPUNIT_ASSERT_EQUAL(std::string("p1 "), List("p", "", 1));
    CPPUNIT_ASSERT_EQUAL(std::string("p2 "), List("p", "p1", 10));
  }

  /// Guards against a memory store that breaks the rules of conditional writes.
  void memoryTableMeetsContract() {
    auto Table = create(createTableStore, "memory", {});
    checkTable(*Table);
  }

  /// Guards against a client or a protocol that changes keys or values, such as
  /// keys with reserved characters and large numbers.
  void httpTableMeetsContract() {
    StandInPlatform Platform;
    auto Table = create(createTableStore, "http", Platform.address());
    checkTable(*Table);
  }

  /// Guards against an object store that overwrites an existing object.
  void memoryObjectsMeetContract() {
    auto Objects = create(createObjectStore, "memory", {});
    checkObjects(*Objects);
  }

  /// Guards against a client that changes bytes or keys of objects.
  void httpObjectsMeetContract() {
    StandInPlatform Platform;
    auto Objects = create(createObjectStore, "http", Platform.address());
    checkObjects(*Objects);
  }

  /// Guards against a store that is created with an address that is not an IP
  /// address and so can never work.
  void unusableAddressIsRefused() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("invalid-input"),
        describeOutcome(
            [] {
              return createTableStore("http", {{"platform", 80}});
            },
            [](const std::unique_ptr<TableStore> &) { return "created"; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreContractTest);

} // namespace

#include "teaselhitch/Config/Publisher.h"

#include "FakeStores.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

ObjectSet makeSet(std::uint32_t Share) {
  ObjectSet Set;
  Set.Organisations = {{OrganisationName("firm"), Share}};
  return Set;
}

class PublisherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublisherTest);
  CPPUNIT_TEST(publishesNextVersion);
  CPPUNIT_TEST(writesPiecesBeforeHead);
  CPPUNIT_TEST(reportsLostRace);
  CPPUNIT_TEST(rejectsStaleBase);
  CPPUNIT_TEST(resolvesLostResponses);
  CPPUNIT_TEST(resolvesLostResponseBelowNewerHead);
  CPPUNIT_TEST(reportsOutages);
  CPPUNIT_TEST(repairsMissingHistoryRow);
  CPPUNIT_TEST(rejectsInvalidUtf8);
  CPPUNIT_TEST_SUITE_END();

  FakeTable Table;
  FakeObjects Objects;
  unsigned Backoffs = 0;

  PublishOutcome publish(const std::string &Who, std::uint32_t Share,
                         std::optional<std::uint64_t> Base = {}) {
    ConfigPublisher Publisher(Table, Objects, [this](Duration) { ++Backoffs; });
    return Publisher.publish(makeSet(Share),
                             {Who, "share", "id-" + Who, 1000, Base});
  }

  PublishedHead head() {
    return handleError(
        [&]() -> Result<PublishedHead> {
          auto Row = readHead(Table);
          return Row && *Row ? (*Row)->Head : PublishedHead();
        },
        [](const Error &) { return PublishedHead(); });
  }

  /// The key and the publisher of each history row.
  std::string historyText() {
    std::string Keys;
    for (const auto &[Id, Row] : Table.Rows)
      if (Id.first == ConfigHistoryTable)
        Keys += Row.Key + " " + parseHead(Row.Value)->Author + ",";
    return Keys;
  }

  /// Guards against skipped or repeated versions, and against a new version for
  /// an unchanged set.
  void publishesNextVersion() {
    CPPUNIT_ASSERT(publish("ann", 1, 0).Status == PublishStatus::Published);
    PublishOutcome Second = publish("bob", 2, 1);
    CPPUNIT_ASSERT(Second.Status == PublishStatus::Published);
    PieceHash One = splitIntoPieces(makeSet(1)).ManifestHash;
    PieceHash Two = splitIntoPieces(makeSet(2)).ManifestHash;
    PublishedHead Expected{2, Two, 1, One, "id-bob", "bob", 1000, "share"};
    CPPUNIT_ASSERT(Expected == Second.Head);
    CPPUNIT_ASSERT(Expected == head());
    CPPUNIT_ASSERT(publish("eve", 2).Status == PublishStatus::Unchanged);
    CPPUNIT_ASSERT(Expected == head());
    CPPUNIT_ASSERT_EQUAL(std::string("0000000001 ann,0000000002 bob,"),
                         historyText());
    CPPUNIT_ASSERT(publish("eve", 3, 9).Status == PublishStatus::UnknownBase);
  }

  /// Guards against a head that refers to pieces that are not stored.
  void writesPiecesBeforeHead() {
    bool Complete = false;
    Table.Faults = [&](StringArg Operation, StringArg Key) {
      if (Operation == "insert" && Key == ConfigHeadKey)
        Complete = Objects.Objects.size() == 3;
      return StoreFault::None;
    };
    // Every other object write loses its response and is retried.
    unsigned Writes = 0;
    Objects.Faults = [&](StringArg, StringArg) {
      return ++Writes % 2 == 1 ? StoreFault::LostResponse : StoreFault::None;
    };
    CPPUNIT_ASSERT(publish("ann", 1).Status == PublishStatus::Published);
    CPPUNIT_ASSERT(Complete);
  }

  /// Guards against a publication that overwrites a concurrent one, and against
  /// an outcome that does not report the author and the changes of the other
  /// publication.
  void reportsLostRace() {
    publish("ann", 1);
    bool Raced = false;
    Table.Faults = [&](StringArg Operation, StringArg) {
      if (Operation == "replace" && !Raced) {
        Raced = true;
        publish("bob", 2);
      }
      return StoreFault::None;
    };
    PublishOutcome Lost = publish("eve", 3);
    CPPUNIT_ASSERT(Lost.Status == PublishStatus::LostRace);
    CPPUNIT_ASSERT_EQUAL(std::string("bob"), Lost.Head.Author);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Lost.Head.TimeMs);
    CPPUNIT_ASSERT(Lost.DifferencesKnown);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Lost.BaseToWinner.size());
    CPPUNIT_ASSERT_EQUAL(std::string("~ organisation 'firm': share 1 -> 2"),
                         toString(Lost.BaseToWinner[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("bob"), head().Author);
  }

  /// Guards against a publication based on an old version that reverts the
  /// later versions.
  void rejectsStaleBase() {
    publish("ann", 1);
    publish("bob", 2);
    publish("cho", 3);
    PublishOutcome Lost = publish("eve", 4, 1);
    CPPUNIT_ASSERT(Lost.Status == PublishStatus::LostRace);
    CPPUNIT_ASSERT_EQUAL(std::string("~ organisation 'firm': share 1 -> 3"),
                         toString(Lost.BaseToWinner.at(0)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), head().Version);
  }

  /// Guards against a publication that is reported as failed after it took
  /// effect, or that takes effect twice.
  void resolvesLostResponses() {
    for (StoreFault Fault : {StoreFault::LostResponse, StoreFault::LostRequest,
                             StoreFault::Unavailable}) {
      Table = FakeTable();
      Objects = FakeObjects();
      publish("ann", 1);
      // The initial read succeeds; the write of the head and the next operation
      // on it fail.
      int Operations = 0;
      Table.Faults = [&](StringArg, StringArg Key) {
        if (Key != ConfigHeadKey)
          return StoreFault::None;
        ++Operations;
        return Operations == 2 || Operations == 3 ? Fault : StoreFault::None;
      };
      PublishOutcome Outcome = publish("bob", 2);
      CPPUNIT_ASSERT(Outcome.Status == PublishStatus::Published);
      CPPUNIT_ASSERT(!Outcome.MayHaveTakenEffect && Outcome.HistoryWritten);
      Table.Faults = nullptr;
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), head().Version);
      CPPUNIT_ASSERT_EQUAL(std::string("0000000001 ann,0000000002 bob,"),
                           historyText());
    }
  }

  /// Guards against a lost race being reported for a version that was published
  /// and then replaced by the next version, when the response to its write was
  /// lost.
  void resolvesLostResponseBelowNewerHead() {
    publish("ann", 1);
    bool Written = false;
    bool Raced = false;
    Table.Faults = [&](StringArg Operation, StringArg) {
      if (Raced)
        return StoreFault::None;
      if (Operation == "replace") {
        Written = true;
        return StoreFault::LostResponse;
      }
      if (Operation == "read" && Written) {
        Raced = true;
        publish("cho", 3);
      }
      return StoreFault::None;
    };
    PublishOutcome Outcome = publish("bob", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("cho"), head().Author);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::Published);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Outcome.Head.Version);
  }

  /// Guards against endless retries, and against an outcome that claims that
  /// the write had no effect when that is unknown.
  void reportsOutages() {
    Table.Faults = [](StringArg, StringArg) { return StoreFault::Unavailable; };
    PublishOutcome Outcome = publish("ann", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::StoreUnavailable);
    CPPUNIT_ASSERT(!Outcome.MayHaveTakenEffect);
    CPPUNIT_ASSERT_EQUAL(ConfigPublisher::MaxTries - 1, Backoffs);

    bool Written = false;
    Table.Faults = [&](StringArg Operation, StringArg) {
      if (Written)
        return StoreFault::Unavailable;
      Written = Operation == "insert";
      return Written ? StoreFault::LostResponse : StoreFault::None;
    };
    Outcome = publish("ann", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::StoreUnavailable);
    CPPUNIT_ASSERT(Outcome.MayHaveTakenEffect);
    Table.Faults = nullptr;
    CPPUNIT_ASSERT(publish("ann", 1).Status == PublishStatus::Unchanged);
  }

  /// Guards against a gap in the history after an outage between the write of
  /// the head and the write of its history row.
  void repairsMissingHistoryRow() {
    Table.Faults = [](StringArg Operation, StringArg Key) {
      return Operation == "insert" && Key != ConfigHeadKey
                 ? StoreFault::Unavailable
                 : StoreFault::None;
    };
    PublishOutcome Outcome = publish("ann", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::Published);
    CPPUNIT_ASSERT(!Outcome.HistoryWritten && historyText().empty());
    Table.Faults = nullptr;
    publish("bob", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("0000000001 ann,0000000002 bob,"),
                         historyText());
  }

  /// Guards against a head row that no node can parse.
  void rejectsInvalidUtf8() {
    PublishOutcome Outcome = publish("ann\xff", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::InvalidRequest);
    CPPUNIT_ASSERT(Table.Rows.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublisherTest);

} // namespace

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
  CPPUNIT_TEST(publishesOnTopOfTheHead);
  CPPUNIT_TEST(writesPiecesBeforeTheHead);
  CPPUNIT_TEST(tellsTheLoserOfARace);
  CPPUNIT_TEST(refusesAStaleBase);
  CPPUNIT_TEST(resolvesLostAnswers);
  CPPUNIT_TEST(resolvesALostAnswerBelowANewerHead);
  CPPUNIT_TEST(reportsOutages);
  CPPUNIT_TEST(repairsAMissingHistoryRow);
  CPPUNIT_TEST(refusesTextThatIsNotUtf8);
  CPPUNIT_TEST_SUITE_END();

  FakeTable Table;
  FakeObjects Objects;
  unsigned Pauses = 0;

  PublishOutcome publish(const std::string &Who, std::uint32_t Share,
                         std::optional<std::uint64_t> Base = {}) {
    ConfigPublisher Publisher(Table, Objects, [this](Duration) { ++Pauses; });
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

  /// Key and publisher of each history row.
  std::string historyOf() {
    std::string Keys;
    for (const auto &[Id, Row] : Table.Rows)
      if (Id.first == ConfigHistoryTable)
        Keys += Row.Key + " " + parseHead(Row.Value)->Who + ",";
    return Keys;
  }

  /// Guards against versions that skip or repeat, and against a new version
  /// for an equal set.
  void publishesOnTopOfTheHead() {
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
                         historyOf());
    CPPUNIT_ASSERT(publish("eve", 3, 9).Status == PublishStatus::UnknownBase);
  }

  /// Guards against a head that names pieces which are not stored.
  void writesPiecesBeforeTheHead() {
    bool Complete = false;
    Table.Faults = [&](Arg Operation, Arg Key) {
      if (Operation == "insert" && Key == ConfigHeadKey)
        Complete = Objects.Objects.size() == 3;
      return StoreFault::None;
    };
    // A lost answer and a refusal on the way do not matter.
    unsigned Writes = 0;
    Objects.Faults = [&](Arg, Arg) {
      return ++Writes % 2 == 1 ? StoreFault::LostAnswer : StoreFault::None;
    };
    CPPUNIT_ASSERT(publish("ann", 1).Status == PublishStatus::Published);
    CPPUNIT_ASSERT(Complete);
  }

  /// Guards against a publication that overwrites another operator's, and
  /// against a loser who is not told by whom and what.
  void tellsTheLoserOfARace() {
    publish("ann", 1);
    bool Raced = false;
    Table.Faults = [&](Arg Operation, Arg) {
      if (Operation == "replace" && !Raced) {
        Raced = true;
        publish("bob", 2);
      }
      return StoreFault::None;
    };
    PublishOutcome Lost = publish("eve", 3);
    CPPUNIT_ASSERT(Lost.Status == PublishStatus::LostRace);
    CPPUNIT_ASSERT_EQUAL(std::string("bob"), Lost.Head.Who);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Lost.Head.TimeMs);
    CPPUNIT_ASSERT(Lost.DifferencesKnown);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Lost.BaseToWinner.size());
    CPPUNIT_ASSERT_EQUAL(std::string("~ organisation 'firm': share 1 -> 2"),
                         toString(Lost.BaseToWinner[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("bob"), head().Who);
  }

  /// Guards against edits of an old version that undo the versions since.
  void refusesAStaleBase() {
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
  void resolvesLostAnswers() {
    for (StoreFault Fault : {StoreFault::LostAnswer, StoreFault::LostRequest,
                             StoreFault::Unavailable}) {
      Table = FakeTable();
      Objects = FakeObjects();
      publish("ann", 1);
      // The read at the start passes; the write and the next operation on the
      // head fail.
      int Operations = 0;
      Table.Faults = [&](Arg, Arg Key) {
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
                           historyOf());
    }
  }

  /// Guards against a loss that is reported to an operator whose version was
  /// in force and then replaced by the next one.
  void resolvesALostAnswerBelowANewerHead() {
    publish("ann", 1);
    bool Written = false;
    bool Raced = false;
    Table.Faults = [&](Arg Operation, Arg) {
      if (Raced)
        return StoreFault::None;
      if (Operation == "replace") {
        Written = true;
        return StoreFault::LostAnswer;
      }
      if (Operation == "read" && Written) {
        Raced = true;
        publish("cho", 3);
      }
      return StoreFault::None;
    };
    PublishOutcome Outcome = publish("bob", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("cho"), head().Who);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::Published);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Outcome.Head.Version);
  }

  /// Guards against endless tries, and against a claim that nothing happened
  /// when that is unknown.
  void reportsOutages() {
    Table.Faults = [](Arg, Arg) { return StoreFault::Unavailable; };
    PublishOutcome Outcome = publish("ann", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::StoreUnavailable);
    CPPUNIT_ASSERT(!Outcome.MayHaveTakenEffect);
    CPPUNIT_ASSERT_EQUAL(ConfigPublisher::MaxTries - 1, Pauses);

    bool Written = false;
    Table.Faults = [&](Arg Operation, Arg) {
      if (Written)
        return StoreFault::Unavailable;
      Written = Operation == "insert";
      return Written ? StoreFault::LostAnswer : StoreFault::None;
    };
    Outcome = publish("ann", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::StoreUnavailable);
    CPPUNIT_ASSERT(Outcome.MayHaveTakenEffect);
    Table.Faults = nullptr;
    CPPUNIT_ASSERT(publish("ann", 1).Status == PublishStatus::Unchanged);
  }

  /// Guards against a history with gaps after an outage between head and
  /// history row.
  void repairsAMissingHistoryRow() {
    Table.Faults = [](Arg Operation, Arg Key) {
      return Operation == "insert" && Key != ConfigHeadKey
                 ? StoreFault::Unavailable
                 : StoreFault::None;
    };
    PublishOutcome Outcome = publish("ann", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::Published);
    CPPUNIT_ASSERT(!Outcome.HistoryWritten && historyOf().empty());
    Table.Faults = nullptr;
    publish("bob", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("0000000001 ann,0000000002 bob,"),
                         historyOf());
  }

  /// Guards against a head row that no node can parse.
  void refusesTextThatIsNotUtf8() {
    PublishOutcome Outcome = publish("ann\xff", 1);
    CPPUNIT_ASSERT(Outcome.Status == PublishStatus::InvalidRequest);
    CPPUNIT_ASSERT(Table.Rows.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublisherTest);

} // namespace

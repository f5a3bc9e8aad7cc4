#include "teaselhitch/Config/Adoption.h"

#include "teaselhitch/Support/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace teaselhitch;

namespace {

ObjectSet makeSet(std::size_t Organisations, std::uint32_t LastShare) {
  ObjectSet Set;
  for (std::size_t I = 0; I != Organisations; ++I)
    Set.Organisations.push_back(
        {OrganisationName("firm-" + std::to_string(100'000 + I)), 1});
  Set.Organisations.back().Share = LastShare;
  return Set;
}

/// Answers each fetch from Pieces until a set is adopted or nothing is asked;
/// returns the number of pieces fetched, and the last step in Last.
std::size_t feed(ConfigAdoption &Adoption, AdoptionStep Step,
                 const PieceSet &Set, Time Now, AdoptionStep *Last = nullptr) {
  std::size_t Fetched = 0;
  std::vector<PieceHash> Queue = Step.Fetch;
  while (!Queue.empty()) {
    CPPUNIT_ASSERT(Queue.size() <= ConfigAdoption::MaxOutstanding);
    PieceHash Hash = Queue.back();
    Queue.pop_back();
    ++Fetched;
    Step = Adoption.pieceArrived(Hash, Set.Pieces.at(Hash), Now);
    Queue.insert(Queue.end(), Step.Fetch.begin(), Step.Fetch.end());
  }
  if (Last)
    *Last = Step;
  return Fetched;
}

class AdoptionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdoptionTest);
  CPPUNIT_TEST(adoptsAndServesPieces);
  CPPUNIT_TEST(neverGoesBack);
  CPPUNIT_TEST(higherHeadReplacesFetch);
  CPPUNIT_TEST(fetchesOnlyChangedPieces);
  CPPUNIT_TEST(refetchesWrongAndOverduePieces);
  CPPUNIT_TEST(rejectsBytesThatAreNoSet);
  CPPUNIT_TEST_SUITE_END();

  const PieceSet One = splitIntoPieces(makeSet(3000, 1));
  const PieceSet Two = splitIntoPieces(makeSet(3000, 2));
  const Time Now = Time(1000);

  /// Guards against a node that starts empty and gets stuck, or that does not
  /// pass the configuration on to its peers.
  void adoptsAndServesPieces() {
    ConfigAdoption Adoption;
    CPPUNIT_ASSERT(!Adoption.active());
    CPPUNIT_ASSERT(ConfigHead() == Adoption.head());
    AdoptionStep Step = Adoption.headSeen({5, One.ManifestHash}, Now);
    CPPUNIT_ASSERT_EQUAL(One.Pieces.size(), feed(Adoption, Step, One, Now));
    CPPUNIT_ASSERT(Adoption.active()->Objects == makeSet(3000, 1));
    CPPUNIT_ASSERT((ConfigHead{5, One.ManifestHash}) == Adoption.head());
    for (const auto &[Hash, Bytes] : One.Pieces)
      CPPUNIT_ASSERT(Adoption.piece(Hash) == Bytes);
  }

  /// Guards against an accepted configuration that reverts (invariant 7).
  void neverGoesBack() {
    ConfigAdoption Adoption;
    feed(Adoption, Adoption.headSeen({5, Two.ManifestHash}, Now), Two, Now);
    for (std::uint64_t Old : {0, 4, 5}) {
      AdoptionStep Step = Adoption.headSeen({Old, One.ManifestHash}, Now);
      CPPUNIT_ASSERT(Step.Fetch.empty() && !Step.Adopted);
    }
    for (const auto &[Hash, Bytes] : One.Pieces)
      CPPUNIT_ASSERT(!Adoption.pieceArrived(Hash, Bytes, Now).Adopted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Adoption.active()->Version);
    CPPUNIT_ASSERT(Adoption.active()->Objects == makeSet(3000, 2));
  }

  /// Guards against a node that finishes an old fetch first, or that adopts
  /// the older set afterwards.
  void higherHeadReplacesFetch() {
    ConfigAdoption Adoption;
    AdoptionStep Old = Adoption.headSeen({1, One.ManifestHash}, Now);
    Old = Adoption.pieceArrived(One.ManifestHash,
                                One.Pieces.at(One.ManifestHash), Now);
    auto Shared = std::find_if(
        Old.Fetch.begin(), Old.Fetch.end(),
        [this](const PieceHash &Hash) { return Two.Pieces.count(Hash) != 0; });
    CPPUNIT_ASSERT(Shared != Old.Fetch.end());
    Adoption.pieceArrived(*Shared, One.Pieces.at(*Shared), Now);
    AdoptionStep New = Adoption.headSeen({2, Two.ManifestHash}, Now);
    CPPUNIT_ASSERT(New.Fetch == std::vector<PieceHash>{Two.ManifestHash});
    CPPUNIT_ASSERT(Adoption.headSeen({1, One.ManifestHash}, Now).Fetch.empty());
    // The piece that came for the older set serves the newer one.
    CPPUNIT_ASSERT_EQUAL(Two.Pieces.size() - 1, feed(Adoption, New, Two, Now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Adoption.active()->Version);
  }

  /// Guards against transfers that grow with the set instead of the change,
  /// and against stored pieces of sets long gone.
  void fetchesOnlyChangedPieces() {
    ConfigAdoption Adoption;
    feed(Adoption, Adoption.headSeen({1, One.ManifestHash}, Now), One, Now);
    AdoptionStep Step = Adoption.headSeen({2, Two.ManifestHash}, Now);
    // The manifest, one index and one piece.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), feed(Adoption, Step, Two, Now));
    CPPUNIT_ASSERT(!Adoption.piece(One.ManifestHash));
    // Back to equal contents under a higher version.
    Step = Adoption.headSeen({3, One.ManifestHash}, Now);
    feed(Adoption, Step, One, Now);
    CPPUNIT_ASSERT(Adoption.active()->Objects == makeSet(3000, 1));
  }

  /// Guards against corrupt bytes in force, lost requests that stop a fetch,
  /// and a tight loop with a peer that keeps sending wrong bytes.
  void refetchesWrongAndOverduePieces() {
    ConfigAdoption Adoption;
    const PieceHash &Hash = One.ManifestHash;
    Adoption.headSeen({1, Hash}, Now);
    AdoptionStep Step = Adoption.pieceArrived(Hash, "wrong", Now);
    CPPUNIT_ASSERT(Step.Fetch == std::vector<PieceHash>{Hash});
    CPPUNIT_ASSERT(Adoption.pieceArrived(Hash, "wrong", Now).Fetch.empty());
    Time Due = Now + ConfigAdoption::RefetchInterval;
    CPPUNIT_ASSERT(Adoption.tick(Due - Duration(1)).Fetch.empty());
    CPPUNIT_ASSERT(Adoption.tick(Due).Fetch == std::vector<PieceHash>{Hash});
    CPPUNIT_ASSERT(Adoption.tick(Due).Fetch.empty());
    feed(Adoption, Adoption.pieceArrived(Hash, One.Pieces.at(Hash), Due), One,
         Due);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Adoption.active()->Version);
  }

  /// Guards against a set that cannot be read replacing a good one, or
  /// blocking the versions after it.
  void rejectsBytesThatAreNoSet() {
    ConfigAdoption Adoption;
    feed(Adoption, Adoption.headSeen({1, One.ManifestHash}, Now), One, Now);
    // A manifest that does not parse, and one whose only piece does not.
    const std::string Piece = "{}";
    const std::string Index =
        R"({"kind":"organisation","pieces":[")" + sha256Hex(Piece) + "\"]}";
    const std::string Manifest =
        R"({"format":1,"service":[],"group":[],"rule":[],"organisation":[")" +
        sha256Hex(Index) + R"("],"limit":[]})";
    PieceSet Bad;
    for (const std::string &Text : {Piece, Index, Manifest})
      Bad.Pieces[sha256Hex(Text)] = Text;
    std::uint64_t Version = 1;
    for (const std::string &Root : {Piece, Manifest}) {
      ConfigHead Head{++Version, sha256Hex(Root)};
      AdoptionStep Last;
      feed(Adoption, Adoption.headSeen(Head, Now), Bad, Now, &Last);
      CPPUNIT_ASSERT(!Last.Rejected.empty() && !Last.Adopted);
      CPPUNIT_ASSERT(Adoption.headSeen(Head, Now).Fetch.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Adoption.active()->Version);
      CPPUNIT_ASSERT(!Adoption.piece(sha256Hex(Piece)));
    }
    AdoptionStep Step = Adoption.headSeen({4, Two.ManifestHash}, Now);
    feed(Adoption, Step, Two, Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Adoption.active()->Version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdoptionTest);

} // namespace

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

/// Serves each requested piece from Set until no requests are left. Returns the
/// number of pieces fetched, and the last step in Last if it is not null.
std::size_t servePieces(ConfigAdoption &Adoption, AdoptionStep Step,
                        const PieceSet &Set, Time Now,
                        AdoptionStep *Last = nullptr) {
  std::size_t Fetched = 0;
  std::vector<PieceHash> Queue = Step.Fetch;
  while (!Queue.empty()) {
    CPPUNIT_ASSERT(Queue.size() <= ConfigAdoption::MaxOutstanding);
    PieceHash Hash = Queue.back();
    Queue.pop_back();
    ++Fetched;
    Step = Adoption.handlePiece(Hash, Set.Pieces.at(Hash), Now);
    Queue.insert(Queue.end(), Step.Fetch.begin(), Step.Fetch.end());
  }
  if (Last)
    *Last = Step;
  return Fetched;
}

class AdoptionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdoptionTest);
  CPPUNIT_TEST(adoptsAndServesPieces);
  CPPUNIT_TEST(neverAdoptsOlderVersion);
  CPPUNIT_TEST(revokedKeyStaysRevoked);
  CPPUNIT_TEST(newerHeadReplacesFetch);
  CPPUNIT_TEST(fetchesOnlyChangedPieces);
  CPPUNIT_TEST(refetchesCorruptAndOverduePieces);
  CPPUNIT_TEST(rejectsInvalidSets);
  CPPUNIT_TEST_SUITE_END();

  const PieceSet FirstSet = splitIntoPieces(makeSet(3000, 1));
  const PieceSet SecondSet = splitIntoPieces(makeSet(3000, 2));
  const Time Now = Time(1000);

  /// Guards against a node that never completes its first configuration, or
  /// that does not serve the adopted pieces to its peers.
  void adoptsAndServesPieces() {
    ConfigAdoption Adoption;
    CPPUNIT_ASSERT(!Adoption.active());
    CPPUNIT_ASSERT(ConfigHead() == Adoption.head());
    AdoptionStep Step = Adoption.handleHead({5, FirstSet.ManifestHash}, Now);
    CPPUNIT_ASSERT_EQUAL(FirstSet.Pieces.size(),
                         servePieces(Adoption, Step, FirstSet, Now));
    CPPUNIT_ASSERT(Adoption.active()->Objects == makeSet(3000, 1));
    CPPUNIT_ASSERT((ConfigHead{5, FirstSet.ManifestHash}) == Adoption.head());
    for (const auto &[Hash, Bytes] : FirstSet.Pieces)
      CPPUNIT_ASSERT(Adoption.piece(Hash) == Bytes);
  }

  /// Guards against a node that returns from an adopted configuration to an
  /// older one (invariant 7).
  void neverAdoptsOlderVersion() {
    ConfigAdoption Adoption;
    servePieces(Adoption, Adoption.handleHead({5, SecondSet.ManifestHash}, Now),
                SecondSet, Now);
    for (std::uint64_t Old : {0, 4, 5}) {
      AdoptionStep Step =
          Adoption.handleHead({Old, FirstSet.ManifestHash}, Now);
      CPPUNIT_ASSERT(Step.Fetch.empty() && !Step.Adopted);
    }
    for (const auto &[Hash, Bytes] : FirstSet.Pieces)
      CPPUNIT_ASSERT(!Adoption.handlePiece(Hash, Bytes, Now).Adopted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Adoption.active()->Version);
    CPPUNIT_ASSERT(Adoption.active()->Objects == makeSet(3000, 2));
  }

  /// Guards against a revoked key that becomes valid again: a node starts from
  /// a peer with an older version, learns the newer one, and then hears the
  /// older head again from other peers.
  void revokedKeyStaysRevoked() {
    ObjectSet Before = makeSet(100, 1);
    Before.Organisations[7].KeyDigests = {sha256Hex("key-7")};
    Before.Listeners.emplace_back().Name = ListenerName("callers");
    Before.Listeners[0].RequiresCredentials = true;
    ObjectSet After = Before;
    After.Organisations[7].KeyDigests.clear();
    const PieceSet Old = splitIntoPieces(Before);
    const PieceSet New = splitIntoPieces(After);

    ConfigAdoption Adoption;
    servePieces(Adoption, Adoption.handleHead({4, Old.ManifestHash}, Now), Old,
                Now);
    CPPUNIT_ASSERT(Adoption.active()->Objects == Before);
    servePieces(Adoption, Adoption.handleHead({5, New.ManifestHash}, Now), New,
                Now);
    for (int Repeats = 0; Repeats != 3; ++Repeats) {
      AdoptionStep Step = Adoption.handleHead({4, Old.ManifestHash}, Now);
      CPPUNIT_ASSERT(Step.Fetch.empty() && !Step.Adopted);
      for (const auto &[Hash, Bytes] : Old.Pieces)
        CPPUNIT_ASSERT(!Adoption.handlePiece(Hash, Bytes, Now).Adopted);
      CPPUNIT_ASSERT(!Adoption.handleSet(4, Old, Now).Adopted);
    }
    CPPUNIT_ASSERT(Adoption.active()->Objects == After);
    // Without any key, credentials are still required.
    CPPUNIT_ASSERT(Adoption.active()->Objects.Listeners[0].RequiresCredentials);
  }

  /// Guards against a node that completes the fetch of an older version before
  /// that of a newer one, or that adopts the older set afterwards.
  void newerHeadReplacesFetch() {
    ConfigAdoption Adoption;
    AdoptionStep Old = Adoption.handleHead({1, FirstSet.ManifestHash}, Now);
    Old = Adoption.handlePiece(FirstSet.ManifestHash,
                               FirstSet.Pieces.at(FirstSet.ManifestHash), Now);
    auto Shared = std::find_if(Old.Fetch.begin(), Old.Fetch.end(),
                               [this](const PieceHash &Hash) {
                                 return SecondSet.Pieces.count(Hash) != 0;
                               });
    CPPUNIT_ASSERT(Shared != Old.Fetch.end());
    Adoption.handlePiece(*Shared, FirstSet.Pieces.at(*Shared), Now);
    AdoptionStep New = Adoption.handleHead({2, SecondSet.ManifestHash}, Now);
    CPPUNIT_ASSERT(New.Fetch == std::vector<PieceHash>{SecondSet.ManifestHash});
    CPPUNIT_ASSERT(
        Adoption.handleHead({1, FirstSet.ManifestHash}, Now).Fetch.empty());
    // The piece received for the older set is reused for the newer one.
    CPPUNIT_ASSERT_EQUAL(SecondSet.Pieces.size() - 1,
                         servePieces(Adoption, New, SecondSet, Now));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Adoption.active()->Version);
  }

  /// Guards against transfers that grow with the size of the set instead of the
  /// change, and against pieces of earlier sets that are never released.
  void fetchesOnlyChangedPieces() {
    ConfigAdoption Adoption;
    servePieces(Adoption, Adoption.handleHead({1, FirstSet.ManifestHash}, Now),
                FirstSet, Now);
    AdoptionStep Step = Adoption.handleHead({2, SecondSet.ManifestHash}, Now);
    // The manifest, one index and one piece differ.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         servePieces(Adoption, Step, SecondSet, Now));
    CPPUNIT_ASSERT(!Adoption.piece(FirstSet.ManifestHash));
    // Publish the first contents again under a higher version.
    Step = Adoption.handleHead({3, FirstSet.ManifestHash}, Now);
    servePieces(Adoption, Step, FirstSet, Now);
    CPPUNIT_ASSERT(Adoption.active()->Objects == makeSet(3000, 1));
  }

  /// Guards against adoption of corrupt bytes, a fetch that stalls after a lost
  /// request, and a tight loop with a peer that keeps sending wrong bytes.
  void refetchesCorruptAndOverduePieces() {
    ConfigAdoption Adoption;
    const PieceHash &Hash = FirstSet.ManifestHash;
    Adoption.handleHead({1, Hash}, Now);
    AdoptionStep Step = Adoption.handlePiece(Hash, "wrong", Now);
    CPPUNIT_ASSERT(Step.Fetch == std::vector<PieceHash>{Hash});
    CPPUNIT_ASSERT(Adoption.handlePiece(Hash, "wrong", Now).Fetch.empty());
    Time Due = Now + ConfigAdoption::RefetchInterval;
    CPPUNIT_ASSERT(Adoption.tick(Due - Duration(1)).Fetch.empty());
    CPPUNIT_ASSERT(Adoption.tick(Due).Fetch == std::vector<PieceHash>{Hash});
    CPPUNIT_ASSERT(Adoption.tick(Due).Fetch.empty());
    servePieces(Adoption,
                Adoption.handlePiece(Hash, FirstSet.Pieces.at(Hash), Due),
                FirstSet, Due);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Adoption.active()->Version);
  }

  /// Guards against a set that cannot be parsed but replaces a valid one, or
  /// that blocks the adoption of later versions.
  void rejectsInvalidSets() {
    ConfigAdoption Adoption;
    servePieces(Adoption, Adoption.handleHead({1, FirstSet.ManifestHash}, Now),
                FirstSet, Now);
    // A manifest that cannot be parsed, and a manifest whose only piece cannot
    // be parsed.
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
      servePieces(Adoption, Adoption.handleHead(Head, Now), Bad, Now, &Last);
      CPPUNIT_ASSERT(!Last.RejectionReason.empty() && !Last.Adopted);
      CPPUNIT_ASSERT(Adoption.handleHead(Head, Now).Fetch.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Adoption.active()->Version);
      CPPUNIT_ASSERT(!Adoption.piece(sha256Hex(Piece)));
    }
    AdoptionStep Step = Adoption.handleHead({4, SecondSet.ManifestHash}, Now);
    servePieces(Adoption, Step, SecondSet, Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Adoption.active()->Version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdoptionTest);

} // namespace

#include "teaselhitch/Config/Pieces.h"

#include "teaselhitch/Support/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <iterator>

using namespace teaselhitch;

namespace {

constexpr std::size_t RuleCount = 10'000;

Rule makeRule(std::size_t Number) {
  std::string Digits = std::to_string(100'000 + Number);
  return {RuleName("rule-" + Digits), "GET", "/path/" + Digits,
          GroupName("workers")};
}

ObjectSet largeSet() {
  ObjectSet Set;
  Set.Services = {{ServiceName("service")}};
  Set.Groups = {{GroupName("workers"), ServiceName("service"), {}, ""}};
  for (std::size_t I = 0; I != RuleCount; ++I)
    Set.Rules.push_back(makeRule(I));
  return Set;
}

struct Transfer {
  std::size_t Pieces = 0;
  std::size_t Bytes = 0;
};

/// The pieces that a node with Before has to fetch to adopt After.
Transfer transferBetween(const PieceSet &Before, const PieceSet &After) {
  Transfer T;
  for (const auto &[Hash, Bytes] : After.Pieces) {
    if (Before.Pieces.count(Hash) != 0)
      continue;
    ++T.Pieces;
    T.Bytes += Bytes.size();
  }
  return T;
}

std::string joinError(const PieceHash &Manifest,
                      const std::map<PieceHash, std::string> &Pieces) {
  return handleError(
      [&]() -> Result<std::string> {
        auto Set = joinPieces(Manifest, Pieces);
        if (!Set)
          return Set.error();
        return std::string("joined");
      },
      [](const Error &E) { return std::string(errorCodeName(E.Code)); });
}

class PiecesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PiecesTest);
  CPPUNIT_TEST(splitThenJoinPreservesObjects);
  CPPUNIT_TEST(smallChangesTransferFewPieces);
  CPPUNIT_TEST(pieceSizesAreBounded);
  CPPUNIT_TEST(rejectsInvalidPieces);
  CPPUNIT_TEST(rejectsInvalidDigests);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fields that are lost between publisher and node.
  void splitThenJoinPreservesObjects() {
    ObjectSet Set = largeSet();
    Set.Services[0].Preset = DetectionPreset::FewFalseEjections;
    Set.Groups[0].Domains = {FailureDomain("rennes")};
    Set.Organisations = {{OrganisationName("firm"), 7}};
    Set.Limits = {
        {LimitName("limit"), ServiceName("service"), 2, 1'000'000, 30}};
    Set.Rules[0].IsPublic = true;
    Organisation &O = Set.Organisations[0];
    O.KeyDigests = {std::string(64, '0'), std::string(64, 'f')};
    O.Priority = 0;
    O.RatePerS = MaxRate;
    O.Burst = 1;
    Set.Listeners.emplace_back().Name = ListenerName("callers");
    Set.Listeners[0].RequiresCredentials = true;
    PieceSet Pieces = splitIntoPieces(Set);
    ObjectSet Joined = handleError(
        [&] { return joinPieces(Pieces.ManifestHash, Pieces.Pieces); },
        [](const Error &) { return ObjectSet(); });
    CPPUNIT_ASSERT(Set == Joined);
  }

  /// Guards against a node that adopts a list of keys that the check refuses,
  /// and whose lookup then depends on the order of the list.
  void rejectsInvalidDigests() {
    const std::string Low(64, '0');
    const std::string High(64, 'f');
    const std::vector<std::string> Lists[] = {
        {High, Low}, {Low, Low}, {"the-key"}, {std::string(64, 'F')}};
    for (const std::vector<std::string> &Digests : Lists) {
      ObjectSet Set = largeSet();
      Set.Organisations = {{OrganisationName("firm"), 7}};
      Set.Organisations[0].KeyDigests = Digests;
      PieceSet Pieces = splitIntoPieces(Set);
      CPPUNIT_ASSERT_EQUAL(std::string("corrupt"),
                           joinError(Pieces.ManifestHash, Pieces.Pieces));
    }
  }

  /// Guards against piece boundaries that move when an object is inserted or
  /// removed, which would transfer all later pieces to all nodes.
  void smallChangesTransferFewPieces() {
    constexpr std::size_t MaxBytes = 16'384;
    const ObjectSet Set = largeSet();
    const PieceSet Before = splitIntoPieces(Set);
    const std::size_t ManifestBytes =
        Before.Pieces.at(Before.ManifestHash).size();
    CPPUNIT_ASSERT(ManifestBytes < MaxBytes);
    for (std::size_t I = 0; I < RuleCount; I += 499) {
      ObjectSet Changed = Set;
      Changed.Rules[I].Deadline = Duration(1);
      Transfer Change = transferBetween(Before, splitIntoPieces(Changed));
      // The manifest, one index and one piece differ.
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), Change.Pieces);
      CPPUNIT_ASSERT(Change.Bytes < MaxBytes + ManifestBytes);

      auto Offset = static_cast<std::ptrdiff_t>(I);
      ObjectSet Removed = Set;
      Removed.Rules.erase(std::next(Removed.Rules.begin(), Offset));
      ObjectSet Inserted = Set;
      Rule New = Set.Rules[I];
      New.Name = RuleName(New.Name.str() + "-b");
      Inserted.Rules.insert(std::next(Inserted.Rules.begin(), Offset + 1), New);
      for (const ObjectSet &Other : {Removed, Inserted}) {
        Transfer T = transferBetween(Before, splitIntoPieces(Other));
        CPPUNIT_ASSERT(T.Pieces <= 4);
        CPPUNIT_ASSERT(T.Bytes < MaxBytes + ManifestBytes);
      }
    }
  }

  /// Guards against pieces that do not fit into one frame.
  void pieceSizesAreBounded() {
    for (std::size_t Count : {0, 1, 64, 65, 1000}) {
      ObjectSet Set = largeSet();
      Set.Rules.resize(Count);
      PieceSet Pieces = splitIntoPieces(Set);
      for (const auto &[Hash, Bytes] : Pieces.Pieces) {
        std::size_t Objects = 0;
        for (std::size_t At = Bytes.find("\"name\""); At != std::string::npos;
             At = Bytes.find("\"name\"", At + 1))
          ++Objects;
        CPPUNIT_ASSERT(Objects <= MaxObjectsPerPiece);
      }
      CPPUNIT_ASSERT_EQUAL(std::string("joined"),
                           joinError(Pieces.ManifestHash, Pieces.Pieces));
    }
  }

  /// Guards against a node that adopts objects that were never published.
  void rejectsInvalidPieces() {
    ObjectSet Set = largeSet();
    Set.Rules.resize(100);
    const PieceSet Good = splitIntoPieces(Set);
    const std::string Manifest = Good.Pieces.at(Good.ManifestHash);
    const PieceHash Index =
        Manifest.substr(Manifest.rfind("],\"organ") - 65, 64);
    const std::string IndexText = Good.Pieces.at(Index);
    const PieceHash Last = IndexText.substr(IndexText.size() - 67, 64);

    auto Missing = Good.Pieces;
    Missing.erase(Last);
    CPPUNIT_ASSERT_EQUAL(std::string("not-found"),
                         joinError(Good.ManifestHash, Missing));
    for (const PieceHash &Hash : {Good.ManifestHash, Index, Last}) {
      auto Altered = Good.Pieces;
      Altered[Hash] += " ";
      CPPUNIT_ASSERT_EQUAL(std::string("corrupt"),
                           joinError(Good.ManifestHash, Altered));
    }

    // Invalid pieces whose hashes match: an additional key, keys in another
    // order, invalid JSON, and a piece of another kind.
    std::string Text = Good.Pieces.at(Last);
    std::string Longer = Text;
    Longer.insert(Longer.size() - 1, ",\"x\":1");
    std::string Reordered =
        "{" +
        Text.substr(Text.find("\"objects\""),
                    Text.size() - 1 - Text.find("\"objects\"")) +
        ",\"kind\":\"rule\"}";
    for (const std::string &Wrong :
         {Longer, Reordered, std::string("{"),
          std::string("{\"kind\":\"limit\",\"objects\":[]}")}) {
      auto Pieces = Good.Pieces;
      Pieces[sha256Hex(Wrong)] = Wrong;
      std::string Changed = IndexText;
      Changed.replace(Changed.find(Last), Last.size(), sha256Hex(Wrong));
      Pieces[sha256Hex(Changed)] = Changed;
      std::string Root = Manifest;
      Root.replace(Root.find(Index), Index.size(), sha256Hex(Changed));
      Pieces[sha256Hex(Root)] = Root;
      CPPUNIT_ASSERT_EQUAL(std::string("corrupt"),
                           joinError(sha256Hex(Root), Pieces));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PiecesTest);

} // namespace

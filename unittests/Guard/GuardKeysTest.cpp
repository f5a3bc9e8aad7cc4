#include "GuardFixture.h"
#include "teaselhitch/Guard/GuardKey.h"
#include "teaselhitch/Support/Hash.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace teaselhitch;

namespace {

using S = std::string;

std::string mint(GuardFixture &F) {
  return F.G->mintKey({1, ServiceName("s")}, F.Now).Key;
}

std::string send(GuardFixture &F, std::uint64_t Sequence,
                 const std::string &Key) {
  DispatchInfo I = F.info(Sequence);
  I.GuardKey = Key;
  return text(F.dispatch(I));
}

/// A key with these fields and a valid signature.
std::string sign(GuardKey Key) {
  Key.Mac = hmacSha256Hex("secret", signedPart(Key));
  return toString(Key);
}

class GuardKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GuardKeysTest);
  CPPUNIT_TEST(keyRunsAtMostOnce);
  CPPUNIT_TEST(foreignAndForgedKeysAreRefused);
  CPPUNIT_TEST(keyParserIsStrict);
  CPPUNIT_TEST(keysAreBoundedAndRemembered);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a paid operation that runs twice, and against a key that is
  /// used up although no attempt ran with it.
  void keyRunsAtMostOnce() {
    GuardFixture F;
    CPPUNIT_ASSERT_EQUAL(S(), mint(F));
    F.announce(F.announcement("w1", 1));
    S Key = mint(F);
    F.dispatch(F.info(1));
    CPPUNIT_ASSERT_EQUAL(S(), send(F, 2, Key));
    // While an attempt with the key waits, a second one could be the one that
    // runs.
    CPPUNIT_ASSERT_EQUAL(S("fail 3 key-already-used unknown"), send(F, 3, Key));
    F.G->cancel(F.id(2), F.Now);
    CPPUNIT_ASSERT_EQUAL(S(), send(F, 4, Key));
    CPPUNIT_ASSERT_EQUAL(S("start 4 w1"), text(F.finish(1)));
    F.finish(4, RunEnd::Shed);
    CPPUNIT_ASSERT_EQUAL(S("fail 5 key-already-used unknown"), send(F, 5, Key));
    // A used key is never refused with not-run, not even while the guard
    // drains.
    F.G->drain(F.Now);
    CPPUNIT_ASSERT_EQUAL(S("fail 6 key-already-used unknown"), send(F, 6, Key));
    CPPUNIT_ASSERT_EQUAL(S(), mint(F));
  }

  /// Guards against a key that is accepted by a guard that has no record of its
  /// use.
  void foreignAndForgedKeysAreRefused() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    GuardKey Issued = *parseGuardKey(mint(F));
    CPPUNIT_ASSERT(Issued.Node == NodeName("n1") && Issued.Incarnation == 7);
    const auto With = [&](auto Change) {
      GuardKey Key = Issued;
      Change(Key);
      return Key;
    };
    const S Gone = "key-owner-gone unknown";
    const S Bad = "bad-request not-run";
    const std::vector<std::pair<S, S>> Cases = {
        {Gone, sign(With([](auto &K) { K.Node = NodeName("n2"); }))},
        {Gone, sign(With([](auto &K) { K.Incarnation = 6; }))},
        {Gone, sign(With([](auto &K) { K.Sequence = 99; }))},
        {"key-expired unknown", sign(With([](auto &K) { K.ExpiryMs = 0; }))},
        {Bad, toString(With([](auto &K) { K.Sequence = 2; }))},
        {Bad, toString(With([](auto &K) { K.ExpiryMs += 1; }))},
        {Bad, toString(With([](auto &K) { K.Mac[0] ^= 1; }))},
        {Bad, "th1"}};
    for (const auto &[Expected, Key] : Cases)
      CPPUNIT_ASSERT_EQUAL("fail 1 " + Expected, send(F, 1, Key));
    CPPUNIT_ASSERT_EQUAL(S("start 1 w1"), send(F, 1, toString(Issued)));
  }

  /// Guards against two texts for one key, which a cache or a claim store would
  /// treat as two keys, and against crashes on hostile input.
  void keyParserIsStrict() {
    const S Mac(64, 'a');
    const S Good = "th1.a.b-c.7.1.600000." + Mac;
    CPPUNIT_ASSERT(parseGuardKey(Good)->Node == NodeName("a.b-c"));
    CPPUNIT_ASSERT_EQUAL(Good, toString(*parseGuardKey(Good)));
    for (const S &Wrong :
         {S(), S("th1."), S("...."), S("th1....."), " " + Good, Good + " ",
          Good + "a", "th2" + Good.substr(3), "th1.a/b.7.1.6." + Mac,
          "th1.n.07.1.6." + Mac, "th1.n.7.+1.6." + Mac, "th1.n.7.-1.6." + Mac,
          "th1.n.7.1.6e3." + Mac, "th1.n.7.1.18446744073709551616." + Mac,
          "th1.n.7.1.6." + S(64, 'A'), "th1.n.7.1.6." + S(63, 'a'),
          "th1.7.1.6." + Mac, "th1.n.7..6." + Mac})
      CPPUNIT_ASSERT_MESSAGE(Wrong, !parseGuardKey(Wrong));
    SeededRandom Random(1);
    for (int I = 0; I != 20000; ++I) {
      S Text = Good;
      Text[Random.uniformInt(Text.size())] = static_cast<char>(Random.next());
      std::optional<GuardKey> Key = parseGuardKey(Text);
      CPPUNIT_ASSERT(!Key || toString(*Key) == Text);
    }
  }

  /// Guards against a used key that is forgotten while it is still valid, and
  /// against a key table without a bound.
  void keysAreBoundedAndRemembered() {
    GuardSettings Settings = GuardFixture::settings();
    Settings.MaxKeys = 3;
    Settings.KeyLifetime = Duration(1000);
    GuardFixture F(Settings);
    F.announce(F.announcement("w1", 4));
    std::set<S> Keys;
    for (int I = 0; I != 3; ++I)
      Keys.insert(mint(F));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Keys.size());
    CPPUNIT_ASSERT_EQUAL(S(), mint(F));
    CPPUNIT_ASSERT_EQUAL(S("start 1 w1"), send(F, 1, *Keys.begin()));
    F.tickAt(999);
    CPPUNIT_ASSERT_EQUAL(S(), mint(F));
    CPPUNIT_ASSERT_EQUAL(S("fail 2 key-already-used unknown"),
                         send(F, 2, *Keys.begin()));
    F.tickAt(1000);
    CPPUNIT_ASSERT_EQUAL(S("fail 2 key-expired unknown"),
                         send(F, 2, *Keys.begin()));
    CPPUNIT_ASSERT(!mint(F).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuardKeysTest);

} // namespace

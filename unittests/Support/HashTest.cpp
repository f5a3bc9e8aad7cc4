#include "teaselhitch/Support/Hash.h"

#include "teaselhitch/Support/Name.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

class HashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HashTest);
  CPPUNIT_TEST(digestsMatchTestVectors);
  CPPUNIT_TEST(partsHashLikeTheWhole);
  CPPUNIT_TEST(invalidNamesAreRejected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fingerprints that change with the way a body is stored.
  void partsHashLikeTheWhole() {
    for (std::size_t Size : {0, 1, 100, 1000, 100000}) {
      std::string Bytes(Size, 'b');
      CPPUNIT_ASSERT_EQUAL(hash64("target\n" + Bytes),
                           hash64("target\n", Bytes));
    }
  }

  /// Guards against digests that differ between builds, because digests are the
  /// names of objects in the object store. The test vectors are from FIPS 180-4
  /// and RFC 4231 (test case 2).
  void digestsMatchTestVectors() {
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                                     "b00361a396177a9cb410ff61f20015ad"),
                         sha256Hex("abc"));
    CPPUNIT_ASSERT_EQUAL(std::string("5bdcc146bf60754e6a042426089575c7"
                                     "5a003f089d2739839dec58b964ec3843"),
                         hmacSha256Hex("Jefe", "what do ya want for nothing?"));
    CPPUNIT_ASSERT(equalConstantTime("abc", "abc"));
    CPPUNIT_ASSERT(!equalConstantTime("abc", "abd"));
    CPPUNIT_ASSERT(!equalConstantTime("abc", "abcd"));
  }

  /// Guards against names that allow path traversal or header injection.
  void invalidNamesAreRejected() {
    CPPUNIT_ASSERT(isValidName("seat-sales_2.b"));
    CPPUNIT_ASSERT(!isValidName(""));
    CPPUNIT_ASSERT(!isValidName("../head"));
    CPPUNIT_ASSERT(!isValidName("a/b"));
    CPPUNIT_ASSERT(!isValidName("a\nb"));
    CPPUNIT_ASSERT(!isValidName(std::string(65, 'a')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);

} // namespace

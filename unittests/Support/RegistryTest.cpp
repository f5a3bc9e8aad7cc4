#include "teaselhitch/Support/Registry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

struct Shape {
  virtual ~Shape() = default;
  virtual int corners() const = 0;
};
struct Square final : Shape {
  int corners() const override { return 4; }
};

using ShapeRegistry = Registry<Shape>;
const ShapeRegistry::Entry SquareEntry("square", "has four corners", [] {
  return std::make_unique<Square>();
});

class RegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryTest);
  CPPUNIT_TEST(createsByName);
  CPPUNIT_TEST(unknownNameErrorListsKnownNames);
  CPPUNIT_TEST_SUITE_END();

  static std::string describe(const std::string &Name) {
    return handleError(
        [&]() -> Result<std::string> {
          auto Plugin = ShapeRegistry::create(Name);
          if (!Plugin)
            return Plugin.error();
          return std::to_string((*Plugin)->corners());
        },
        [](const Error &E) { return E.Message; });
  }

  /// Guards against plug-ins that do not register themselves.
  void createsByName() {
    CPPUNIT_ASSERT_EQUAL(std::string("4"), describe("square"));
  }

  /// Guards against an error message that does not tell the operator which
  /// plug-ins exist.
  void unknownNameErrorListsKnownNames() {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown plug-in 'circle', known: square"),
                         describe("circle"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);

} // namespace

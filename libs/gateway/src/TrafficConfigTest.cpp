//===- TrafficConfigTest.cpp - Tests of TrafficConfig.h -------------------===//
#include "ragwort/gateway/TrafficConfig.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class TrafficConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrafficConfigTest);
  CPPUNIT_TEST(routeWhenPrefixesNestIsTheLongest);
  CPPUNIT_TEST(routeWhenNothingMatchesIsNone);
  CPPUNIT_TEST(routeWhenHostHasPortOrCapitalsIsFound);
  CPPUNIT_TEST(splitWhenWeightedFollowsTheWeights);
  CPPUNIT_TEST(keyWhenUnknownHasNoOrganisation);
  CPPUNIT_TEST(regionsWhenRouteAndOrganisationLimitThemAreThoseOfBoth);
  CPPUNIT_TEST_SUITE_END();

  static Route route(const char *Name, const char *Prefix) {
    Route R;
    R.Name = Name;
    R.Host = "a.example";
    R.PathPrefix = Prefix;
    R.Split.push_back({"s", 1});
    return R;
  }

public:
  void regionsWhenRouteAndOrganisationLimitThemAreThoseOfBoth() {
    Route R = route("r", "/");
    Organisation O;
    CPPUNIT_ASSERT(!allowedRegions(R, nullptr) && !allowedRegions(R, &O));
    R.AllowedRegions = {"n", "s"};
    CPPUNIT_ASSERT(allowedRegions(R, nullptr) == R.AllowedRegions);
    CPPUNIT_ASSERT(allowedRegions(R, &O) == R.AllowedRegions);
    O.AllowedRegions = {"s", "w"};
    CPPUNIT_ASSERT(allowedRegions(R, &O) == dispatch::RegionSet{"s"});
    O.AllowedRegions = {"w"};
    // Nothing is left, which is not the same as no limit.
    CPPUNIT_ASSERT(allowedRegions(R, &O) == dispatch::RegionSet());
    R.AllowedRegions = {};
    CPPUNIT_ASSERT(allowedRegions(R, &O) == O.AllowedRegions);
  }

private:
  static TrafficConfig config() {
    TrafficConfig C;
    C.addRoute(route("outer", "/x/"));
    C.addRoute(route("inner", "/x/y/"));
    return C;
  }

  static std::string found(std::string_view Host, std::string_view Path) {
    TrafficConfig C = config();
    const Route *R = C.findRoute(Host, Path);
    return R ? R->Name : "none";
  }

public:
  void routeWhenPrefixesNestIsTheLongest() {
    CPPUNIT_ASSERT_EQUAL(std::string("inner"), found("a.example", "/x/y/z"));
    CPPUNIT_ASSERT_EQUAL(std::string("inner"), found("a.example", "/x/y/"));
    CPPUNIT_ASSERT_EQUAL(std::string("outer"), found("a.example", "/x/y"));
    CPPUNIT_ASSERT_EQUAL(std::string("outer"),
                         found("a.example", "/x/q?to=/x/y/"));
  }

  void routeWhenNothingMatchesIsNone() {
    CPPUNIT_ASSERT_EQUAL(std::string("none"), found("a.example", "/x"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), found("a.example", "/"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), found("a.example", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), found("b.example", "/x/y/"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), found("a.example", "/xx/y/"));
  }

  void routeWhenHostHasPortOrCapitalsIsFound() {
    CPPUNIT_ASSERT_EQUAL(std::string("outer"), found("A.Example:8080", "/x/"));
  }

  void splitWhenWeightedFollowsTheWeights() {
    Route R = route("r", "/");
    R.Split = {{"big", 90}, {"small", 10}, {"none", 0}};
    int Small = 0;
    for (int I = 0; I < 10'000; ++I) {
      std::string_view S = chooseService(R, "request-" + std::to_string(I));
      CPPUNIT_ASSERT(S != "none");
      Small += S == "small";
    }
    CPPUNIT_ASSERT(Small > 850 && Small < 1150);
  }

  void keyWhenUnknownHasNoOrganisation() {
    TrafficConfig C;
    C.requireKeys();
    C.addOrganisation({"o", 2}, {"k1", "k2"});
    CPPUNIT_ASSERT(C.findByKey("k2")->Name == "o");
    CPPUNIT_ASSERT(C.findByKey("k3") == nullptr);
    CPPUNIT_ASSERT(C.findByKey("") == nullptr);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TrafficConfigTest);

} // namespace ragwort::gateway

//===- FleetSettingsTest.cpp - Tests of FleetSettings.h -------------------===//
#include "ragwort/settings/FleetSettings.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::settings {

class FleetSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSettingsTest);
  CPPUNIT_TEST(overlayWhenItNamesAnOrganisationReplacesOnlyItsKeys);
  CPPUNIT_TEST(sharesWhenTheirSumExceeds100PercentAreRefusedWithFileAndLine);
  CPPUNIT_TEST(referencesWhenNamesAreUnknownAreRefused);
  CPPUNIT_TEST(groupWhenRanksHaveAGapIsRefused);
  CPPUNIT_TEST(problemsWhenSeveralAreAllReported);
  CPPUNIT_TEST(routeWhenPrefixesNestTakesTheLongest);
  CPPUNIT_TEST(routeWhenPrefixEndsInsideASegmentDoesNotMatch);
  CPPUNIT_TEST(loaderWhenTextIsMutatedNeverThrows);
  CPPUNIT_TEST_SUITE_END();

  const std::string Base = R"(
data_centres:
  - {name: dc-a, region: north}
organisations:
  - {name: large, share: 60%, max_concurrent: 9}
  - {name: small, share: 10%}
services:
  - name: drafting
    kind: model
    routes: [{prefix: /v1/chat/completions, method: POST}]
  - name: portal
    kind: plain
    deadline: 5s
    routes:
      - {prefix: /portal/}
      - {prefix: /portal/certificates, method: POST, non_idempotent: true}
)";
  const std::string Overlay = R"(
site: north
organisations:
  - {name: small, share: 40%}
instances:
  - {name: agent-1, role: agent, data_centre: dc-a, peer: "127.0.0.1:9100",
     service: portal}
)";

  static absl::StatusOr<FleetSettings> load(const std::string &BaseText,
                                            const std::string &OverlayText) {
    return loadFleetSettings({"base.yaml", BaseText},
                             {"north.yaml", OverlayText});
  }

  static void expectProblem(const absl::StatusOr<FleetSettings> &Fleet,
                            const std::string &Expected) {
    CPPUNIT_ASSERT_MESSAGE("accepted, expected: " + Expected, !Fleet.ok());
    std::string Actual(Fleet.status().message());
    CPPUNIT_ASSERT_MESSAGE("expected: " + Expected + "\nactual: " + Actual,
                           Actual.find(Expected) != std::string::npos);
  }

public:
  void overlayWhenItNamesAnOrganisationReplacesOnlyItsKeys() {
    FleetSettings Fleet = load(Base, Overlay).value();
    CPPUNIT_ASSERT_EQUAL(size_t(2), Fleet.Organisations.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, Fleet.organisation("small")->SharePercent,
                                 1e-9);
    CPPUNIT_ASSERT_EQUAL(uint32_t(9),
                         Fleet.organisation("large")->MaxConcurrent);
    CPPUNIT_ASSERT_EQUAL(std::string("north"), Fleet.Site);
  }

  void sharesWhenTheirSumExceeds100PercentAreRefusedWithFileAndLine() {
    std::string ExcessiveShare =
        "organisations:\n  - {name: small, share: 41%}\n";
    expectProblem(load(Base, ExcessiveShare),
                  "north.yaml:2: organisations[0].share: brings the sum");
  }

  void referencesWhenNamesAreUnknownAreRefused() {
    std::string UnknownNames =
        "instances:\n  - {name: a, role: agent, data_centre: "
        "dc-z, peer: \"127.0.0.1:1\", service: nothing}\n";
    expectProblem(load(Base, UnknownNames), "names no data centre 'dc-z'");
    expectProblem(load(Base, UnknownNames), "names no service 'nothing'");
  }

  void groupWhenRanksHaveAGapIsRefused() {
    std::string RankGap = "instances:\n  - {name: a, role: agent, data_centre: "
                          "dc-a, peer: \"127.0.0.1:1\", service: portal, "
                          "group: g, rank: 1}\n";
    expectProblem(load(Base, RankGap), "leaves a gap in group 'g'");
  }

  void problemsWhenSeveralAreAllReported() {
    std::string SeveralProblems = "limits: {max_body: 64, typo: 1}\n"
                                  "timing: {heartbeat_interval: 5}\n";
    absl::StatusOr<FleetSettings> Fleet = load(Base, SeveralProblems);
    expectProblem(Fleet, "north.yaml:1: limits.max_body: expected a size");
    expectProblem(Fleet, "north.yaml:1: limits.typo: is not a known key");
    expectProblem(Fleet, "north.yaml:2: timing.heartbeat_interval: expected a "
                         "duration with its unit");
  }

  void routeWhenPrefixesNestTakesTheLongest() {
    FleetSettings Fleet = load(Base, Overlay).value();
    CPPUNIT_ASSERT(
        matchRoute(Fleet, "POST", "/portal/certificates/7?x=1")->NonIdempotent);
    CPPUNIT_ASSERT(
        !matchRoute(Fleet, "GET", "/portal/certificates")->NonIdempotent);
    CPPUNIT_ASSERT_EQUAL(
        std::string("drafting"),
        matchRoute(Fleet, "POST", "/v1/chat/completions")->Service->Name);
  }

  void routeWhenPrefixEndsInsideASegmentDoesNotMatch() {
    FleetSettings Fleet = load(Base, Overlay).value();
    CPPUNIT_ASSERT(
        !matchRoute(Fleet, "POST", "/portal/certificatesx")->NonIdempotent);
    CPPUNIT_ASSERT(!matchRoute(Fleet, "GET", "/portals"));
    CPPUNIT_ASSERT(!matchRoute(Fleet, "GET", "/v1/chat/completions"));
  }

  void loaderWhenTextIsMutatedNeverThrows() {
    std::mt19937_64 Random(7);
    for (int Round = 0; Round < 2000; ++Round) {
      std::string Text = Base + Overlay;
      for (size_t I = 0; I < 3; ++I)
        Text[Random() % Text.size()] = static_cast<char>(Random());
      (void)load(Text, "site: north").ok();
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetSettingsTest);

} // namespace ragwort::settings

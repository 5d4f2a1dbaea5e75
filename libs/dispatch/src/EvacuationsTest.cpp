//===- EvacuationsTest.cpp - Tests of Evacuations.h and of its use --------===//
//
// Which tables count, and what the Dispatcher does with the requests for
// servers that are evacuated or outside a request's regions.
//
//===----------------------------------------------------------------------===//
#include "ragwort/dispatch/Dispatcher.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

class EvacuationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationsTest);
  CPPUNIT_TEST(tableWhenOlderIsIgnoredWhateverItsSource);
  CPPUNIT_TEST(rowWhenMissingInALaterListEnds);
  CPPUNIT_TEST(rowWhenLostInARestoreStaysForTheGracePeriod);
  CPPUNIT_TEST(rowWhenWrittenAfterARestoreCountsAtOnce);
  CPPUNIT_TEST(dataCentreWhenUnknownChangesNothing);
  CPPUNIT_TEST(evacuationsWhenTooManyKeepTheFirst);
  CPPUNIT_TEST(peerWhenItsTableIsOutdatedIsTold);
  CPPUNIT_TEST(nodeWhenItHasNoTableAsksItsPeers);
  CPPUNIT_TEST(newsWhenNothingIsEvacuatedIsNotSent);
  CPPUNIT_TEST(serverWhenEvacuatedIsNotChosenUntilItEnds);
  CPPUNIT_TEST(serviceWhenAllIsEvacuatedRefusesAtOnce);
  CPPUNIT_TEST(waitingWhenAllIsEvacuatedAreRefused);
  CPPUNIT_TEST(recoveryWhenTheRestIsEvacuatedIsPredictedFromTheOthers);
  CPPUNIT_TEST(requestWhenConfinedStaysInItsRegions);
  CPPUNIT_TEST(waitingWhenConfinedTakeOnlySlotsInTheirRegions);
  CPPUNIT_TEST_SUITE_END();

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis));
  }

  /// Three data centres, with one server of one slot in each of "a" and "b".
  std::unique_ptr<Evacuations> Table;
  std::unique_ptr<Dispatcher> Dispatch;

public:
  void setUp() override {
    Table = std::make_unique<Evacuations>(DataCentreSet{"a", "b", "c"}, at(0));
    Dispatch = std::make_unique<Dispatcher>("a", RetryBudgetLimits(), 1);
    Dispatch->loadTracker().setRegions({{"a", "north"}, {"b", "south"}});
    BackendDirectory Directory;
    Directory.replaceAll({server("a"), server("b")}, {0, 1}, std::nullopt);
    Dispatch->loadTracker().sync(Directory, at(0));
  }

private:
  static BackendInstance server(const std::string &DataCentre) {
    BackendInstance B;
    B.Id = "s-" + DataCentre;
    B.Service = "s";
    B.Address = "10.0.0.1:" + std::to_string(DataCentre[0]);
    B.DataCentre = DataCentre;
    return B;
  }
  bool list(StoreVersion Version, DataCentreSet Names, int64_t Millis) {
    return Table->replaceAll({Version, std::move(Names)}, std::nullopt, "store",
                             at(Millis));
  }
  bool change(StoreVersion Version, const char *Name, bool IsEvacuated,
              int64_t Millis) {
    EvacuationChange Change{Name, IsEvacuated};
    return Table->apply({&Change, 1}, Version, "store", at(Millis));
  }
  bool isInForce(const char *Name) const {
    return Table->inForce().contains(Name);
  }
  static PlacementRequest request(int64_t Millis,
                                  const RegionSet *Regions = nullptr) {
    PlacementRequest R;
    R.Service = "s";
    R.Regions = Regions;
    R.Arrived = at(Millis);
    R.TargetLatency = std::chrono::milliseconds(500);
    R.ExpiresAt = at(Millis + 5000);
    R.IsBatched = true;
    return R;
  }
  /// Fills all slots, so that further requests wait.
  void fill() {
    for (Placement P = Dispatch->place(request(0), at(0));
         P.Result == Placement::Decision::Send;
         P = Dispatch->place(request(0), at(0)))
      Dispatch->onStarted(P.Server.Id, at(0));
    CPPUNIT_ASSERT(!Dispatch->takeReady(at(4000)).empty());
  }

public:
  void tableWhenOlderIsIgnoredWhateverItsSource() {
    CPPUNIT_ASSERT(list({1, 90}, {"a"}, 0));
    CPPUNIT_ASSERT(change({1, 95}, "a", false, 1));
    // The peers and the store may still tell of the time before.
    CPPUNIT_ASSERT(!Table->onPeerTable({{1, 94}, {"a"}}, at(2)));
    CPPUNIT_ASSERT(!list({1, 92}, {"a"}, 3));
    CPPUNIT_ASSERT(!change({1, 93}, "a", true, 4));
    CPPUNIT_ASSERT(!change({0, 99}, "a", true, 5));
    CPPUNIT_ASSERT(!isInForce("a"));
    CPPUNIT_ASSERT(Table->onPeerTable({{1, 96}, {"b"}}, at(6)));
    CPPUNIT_ASSERT(isInForce("b"));
  }

  void rowWhenMissingInALaterListEnds() {
    list({1, 90}, {"a", "b"}, 0);
    CPPUNIT_ASSERT(list({1, 95}, {"b"}, 1));
    CPPUNIT_ASSERT(!isInForce("a") && isInForce("b"));
  }

  void rowWhenLostInARestoreStaysForTheGracePeriod() {
    list({1, 90}, {"a"}, 0);
    Table->replaceAll({{2, 40}, {"b"}}, at(1800), "store", at(0));
    CPPUNIT_ASSERT(!Table->expire(at(1799)));
    CPPUNIT_ASSERT(isInForce("a") && !isInForce("b"));
    CPPUNIT_ASSERT(!Table->takeNews(at(1799)).has_value());
    CPPUNIT_ASSERT(Table->expire(at(1800)));
    CPPUNIT_ASSERT(!isInForce("a") && isInForce("b"));
  }

  void rowWhenWrittenAfterARestoreCountsAtOnce() {
    list({1, 90}, {"a"}, 0);
    Table->replaceAll({{2, 40}, {"b"}}, at(1800), "store", at(0));
    CPPUNIT_ASSERT(!change({2, 41}, "a", true, 100));
    CPPUNIT_ASSERT(!change({2, 42}, "b", false, 100));
    CPPUNIT_ASSERT(change({2, 43}, "c", true, 100));
    CPPUNIT_ASSERT(!Table->expire(at(1800)));
    CPPUNIT_ASSERT((Table->inForce() == DataCentreSet{"a", "c"}));
  }

  void dataCentreWhenUnknownChangesNothing() {
    CPPUNIT_ASSERT(!Table->isDataCentre("x") && !Table->isDataCentre(""));
    CPPUNIT_ASSERT(!list({1, 90}, {"x"}, 0));
    CPPUNIT_ASSERT(!change({1, 91}, "x", true, 0));
    CPPUNIT_ASSERT(!Table->onPeerTable({{1, 92}, {"x"}}, at(0)));
    CPPUNIT_ASSERT(Table->inForce().empty());
    // Peers that know it must not take it for removed.
    Table->onPeerTable({}, at(0));
    CPPUNIT_ASSERT(Table->takeNews(at(0))->DataCentres == DataCentreSet{"x"});
    Evacuations Any({}, at(0));
    CPPUNIT_ASSERT(Any.isDataCentre("x"));
    CPPUNIT_ASSERT(
        !Any.isDataCentre(std::string(Evacuations::MaxNameBytes + 1, 'x')));
  }

  void evacuationsWhenTooManyKeepTheFirst() {
    Evacuations Any({}, at(0));
    DataCentreSet Names;
    for (size_t I = 0; I <= Evacuations::MaxDataCentres; ++I)
      Names.insert("d" + std::to_string(10 + I));
    Any.replaceAll({{1, 90}, Names}, std::nullopt, "store", at(0));
    CPPUNIT_ASSERT_EQUAL(Evacuations::MaxDataCentres, Any.inForce().size());
    CPPUNIT_ASSERT(Any.inForce().contains("d10"));
  }

  void peerWhenItsTableIsOutdatedIsTold() {
    list({1, 90}, {"a"}, 0);
    change({1, 95}, "a", false, 0);
    CPPUNIT_ASSERT(Table->takeNews(at(1999)).has_value());
    CPPUNIT_ASSERT(!Table->takeNews(at(60'000)).has_value());
    Table->onPeerTable({{1, 90}, {"a"}}, at(60'000));
    CPPUNIT_ASSERT((Table->takeNews(at(60'200)) ==
                    EvacuationTable{{1, 95}, DataCentreSet()}));
    CPPUNIT_ASSERT(!Table->takeNews(at(62'000)).has_value());
  }

  void nodeWhenItHasNoTableAsksItsPeers() {
    CPPUNIT_ASSERT(!Table->takeNews(at(999)).has_value());
    std::optional<EvacuationTable> Question = Table->takeNews(at(1000));
    CPPUNIT_ASSERT(Question == EvacuationTable());
    CPPUNIT_ASSERT(!Table->takeNews(at(1200)).has_value());
    CPPUNIT_ASSERT(Table->takeNews(at(2000)).has_value());
    Evacuations Peer({}, at(0));
    Peer.replaceAll({{1, 90}, {}}, std::nullopt, "store", at(0));
    Peer.onPeerTable(*Question, at(1000));
    Table->onPeerTable(Peer.takeNews(at(1200)).value(), at(1200));
    CPPUNIT_ASSERT(Table->isKnown());
  }

  void newsWhenNothingIsEvacuatedIsNotSent() {
    list({1, 90}, {}, 0);
    CPPUNIT_ASSERT(!Table->takeNews(at(5000)).has_value());
    list({1, 91}, {"a"}, 10'000);
    CPPUNIT_ASSERT(Table->takeNews(at(20'000)).has_value());
    CPPUNIT_ASSERT(!Table->takeNews(at(20'999)).has_value());
    CPPUNIT_ASSERT(Table->takeNews(at(21'000)).has_value());
  }

  void serverWhenEvacuatedIsNotChosenUntilItEnds() {
    LoadTracker &Tracker = Dispatch->loadTracker();
    Tracker.setEvacuated({"a"});
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("s-b"),
                           Tracker.choose({"s", {}}, at(I))->Server->Id);
    CPPUNIT_ASSERT(Tracker.isEvacuated("s-a") && !Tracker.isEvacuated("s-b"));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Tracker.counts(at(0)).Evacuated);
    // A server that is listed during the evacuation is evacuated too.
    BackendDirectory Directory;
    BackendInstance Late = server("a");
    Late.Id = "late";
    Directory.replaceAll({Late}, {0, 2}, std::nullopt);
    Tracker.sync(Directory, at(0));
    CPPUNIT_ASSERT(!Tracker.choose({"s", {}}, at(0)).has_value());
    Tracker.setEvacuated({});
    CPPUNIT_ASSERT(Tracker.choose({"s", {}}, at(0)).has_value());
  }

  void serviceWhenAllIsEvacuatedRefusesAtOnce() {
    Dispatch->loadTracker().setEvacuated({"a", "b"});
    Placement P = Dispatch->place(request(0), at(0));
    CPPUNIT_ASSERT(P.Result == Placement::Decision::Refuse);
    CPPUNIT_ASSERT(P.Refusal == PlacementRefusal::Evacuated);
    PlacementRequest Unlisted = request(0);
    Unlisted.Service = "none";
    CPPUNIT_ASSERT(Dispatch->place(Unlisted, at(0)).Refusal ==
                   PlacementRefusal::NoServer);
  }

  void waitingWhenAllIsEvacuatedAreRefused() {
    fill();
    Placement P = Dispatch->place(request(4000), at(4000));
    CPPUNIT_ASSERT(P.Result == Placement::Decision::Wait);
    Dispatch->loadTracker().setEvacuated({"a"});
    CPPUNIT_ASSERT(Dispatch->takeReady(at(4100)).empty());
    Dispatch->loadTracker().setEvacuated({"a", "b"});
    std::vector<DequeuedRequest> Taken = Dispatch->takeReady(at(4200));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Taken.size());
    CPPUNIT_ASSERT_EQUAL(P.Ticket, Taken[0].Ticket);
    CPPUNIT_ASSERT(Taken[0].Refusal == PlacementRefusal::Evacuated);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Dispatch->waiting());
  }

  void recoveryWhenTheRestIsEvacuatedIsPredictedFromTheOthers() {
    LoadTracker &Tracker = Dispatch->loadTracker();
    Tracker.onFault("s-b", ServerFault::Unavailable, at(0));
    CPPUNIT_ASSERT(!Tracker.isRecovering("s", at(0)));
    Tracker.setEvacuated({"a"});
    CPPUNIT_ASSERT(Tracker.isRecovering("s", at(0)));
    CPPUNIT_ASSERT(Dispatch->place(request(0), at(0)).Result !=
                   Placement::Decision::Refuse);
  }

  void requestWhenConfinedStaysInItsRegions() {
    RegionSet South{"south"};
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT_EQUAL(
          std::string("s-b"),
          Dispatch->place(request(I, &South), at(I)).Server.Id);
    // An empty set allows nothing; it is not the same as none.
    RegionSet Nowhere;
    CPPUNIT_ASSERT(Dispatch->place(request(0, &Nowhere), at(0)).Refusal ==
                   PlacementRefusal::OutsideRegions);
    // The only server in its regions has failed the request.
    std::vector<std::string> Failed{"s-b"};
    PlacementRequest Retry = request(0, &South);
    Retry.Excluded = Failed;
    CPPUNIT_ASSERT(Dispatch->place(Retry, at(0)).Result ==
                   Placement::Decision::Refuse);
    Dispatch->loadTracker().setEvacuated({"b"});
    CPPUNIT_ASSERT(Dispatch->place(request(0, &South), at(0)).Refusal ==
                   PlacementRefusal::Evacuated);
  }

  void waitingWhenConfinedTakeOnlySlotsInTheirRegions() {
    fill();
    RegionSet South{"south"};
    Placement P = Dispatch->place(request(4000, &South), at(4000));
    CPPUNIT_ASSERT(P.Result == Placement::Decision::Wait);
    while (Dispatch->loadTracker().inFlight("s-a") > 0)
      Dispatch->onEnded("s", "s-a", at(4000));
    CPPUNIT_ASSERT(Dispatch->takeReady(at(4100)).empty());
    while (Dispatch->loadTracker().inFlight("s-b") > 0)
      Dispatch->onEnded("s", "s-b", at(4100));
    std::vector<DequeuedRequest> Taken = Dispatch->takeReady(at(4200));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Taken.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s-b"), Taken[0].Server->Id);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationsTest);

} // namespace ragwort::dispatch

//===- DispatcherTest.cpp - Simulated load on a Dispatcher ----------------===//
//
// Simulates one node and a service with a fixed processing time, in virtual
// time, and checks the results that callers see.
//
//===----------------------------------------------------------------------===//
#include "ragwort/dispatch/Dispatcher.h"
#include "VirtualRun.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace ragwort::dispatch {

namespace {

constexpr uint32_t Servers = 4;
constexpr uint32_t Slots = 5;
constexpr int64_t WorkMillis = 500;
/// Requests per second that the servers can process.
constexpr double Capacity = Servers * Slots * 1000.0 / WorkMillis;
constexpr int64_t TargetMillis = 400;
constexpr int64_t CallerTimeoutMillis = 2000;

struct Outcome {
  uint64_t Requests = 0;
  uint64_t OnTime = 0;
  uint64_t Late = 0;
  uint64_t Refused = 0;
  int64_t LongestWaitBeforeRefusalMillis = 0;
  int64_t ShortestRetryAfterMillis = 1'000'000;
  uint32_t MostInFlight = 0;
  uint64_t UrgentRefused = 0;
  uint64_t Declined = 0;
};

class LoadSimulation {
public:
  explicit LoadSimulation(uint64_t Seed)
      : Dispatch("here", RetryBudgetLimits(), Seed), Random(Seed) {
    std::vector<BackendInstance> List;
    for (uint32_t I = 0; I < Servers; ++I) {
      BackendInstance B;
      B.Id = "s" + std::to_string(I);
      B.Service = "s";
      B.Address = "10.0.0." + std::to_string(I + 1) + ":1";
      B.DataCentre = "here";
      B.Slots = Slots;
      List.push_back(B);
    }
    Directory.replaceAll(List, {0, 1}, std::nullopt);
    Dispatch.loadTracker().sync(Directory, TimePoint());
  }

  /// Lets all servers decline requests between these times.
  void breakGroup(int64_t FromMillis, int64_t ToMillis) {
    BrokenFrom = FromMillis;
    BrokenTo = ToMillis;
  }

  /// Simulates Poisson arrivals at \p Load times the capacity for \p Millis.
  Outcome run(double Load, int64_t Millis) {
    std::exponential_distribution<double> Gap(Load * Capacity / 1000.0);
    double Arrival = 0;
    while (Arrival < static_cast<double>(Millis)) {
      Events.at(static_cast<int64_t>(Arrival), [this] { arrive(); });
      Arrival += Gap(Random);
    }
    for (int64_t T = 0; T < Millis + 5000; T += 100)
      Events.at(T, [this] { dequeueWaiting(); });
    while (Events.runNext()) {
    }
    return Result;
  }

private:
  struct Request {
    int64_t Arrived = 0;
    uint32_t Priority = 0;
    // Callers retry a refused request once, but only if breakGroup() was
    // called.
    bool HasRetried = false;
  };

  static TimePoint timeOf(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1));
  }
  TimePoint now() const { return timeOf(Events.now()); }

  void arrive() {
    ++Result.Requests;
    place({Events.now(), static_cast<uint32_t>(Random() % 10 == 0 ? 0 : 1)});
  }

  void place(Request R) {
    PlacementRequest P;
    P.Service = "s";
    P.Priority = R.Priority;
    P.Arrived = timeOf(R.Arrived);
    P.TargetLatency = std::chrono::milliseconds(TargetMillis);
    P.ExpiresAt = timeOf(R.Arrived + CallerTimeoutMillis);
    P.IsBatched = true;
    Placement Where = Dispatch.place(P, now());
    switch (Where.Result) {
    case Placement::Decision::Send:
      start(R, Where.Server.Id);
      break;
    case Placement::Decision::Wait:
      Waiting.emplace(Where.Ticket, R);
      break;
    case Placement::Decision::Refuse:
      refuse(R, Where.RetryAfter);
      break;
    }
  }

  void start(Request R, const std::string &Id) {
    Dispatch.onStarted(Id, now());
    if (Events.now() >= BrokenFrom && Events.now() < BrokenTo) {
      ++Result.Declined;
      Events.at(Events.now() + 2, [this, R, Id] {
        Dispatch.loadTracker().onFault(Id, ServerFault::Unavailable, now());
        Dispatch.onEnded("s", Id, now());
        place(R);
      });
      return;
    }
    Result.MostInFlight =
        std::max(Result.MostInFlight, Dispatch.loadTracker().inFlight(Id));
    int64_t Waited = Events.now() - R.Arrived;
    ++(Waited <= TargetMillis ? Result.OnTime : Result.Late);
    Events.at(Events.now() + WorkMillis, [this, Id] {
      Dispatch.loadTracker().onAnswered(
          Id, std::chrono::milliseconds(WorkMillis), now());
      Dispatch.onEnded("s", Id, now());
      dequeueWaiting();
    });
  }

  void refuse(Request R, Duration RetryAfter) {
    if (BrokenTo > 0 && !R.HasRetried) {
      int64_t RetryAt = Events.now() + RetryAfter.count() / 1000;
      Events.at(RetryAt, [this, R, RetryAt] {
        place({RetryAt, R.Priority, true});
      });
      return;
    }
    ++Result.Refused;
    Result.UrgentRefused += R.Priority == 0;
    Result.LongestWaitBeforeRefusalMillis = std::max(
        Result.LongestWaitBeforeRefusalMillis, Events.now() - R.Arrived);
    Result.ShortestRetryAfterMillis = std::min<int64_t>(
        Result.ShortestRetryAfterMillis, RetryAfter.count() / 1000);
  }

  void dequeueWaiting() {
    for (bool IsAny = true; IsAny;) {
      std::vector<DequeuedRequest> Dequeued = Dispatch.takeReady(now());
      IsAny = !Dequeued.empty();
      for (const DequeuedRequest &D : Dequeued) {
        Request R = Waiting.at(D.Ticket);
        Waiting.erase(D.Ticket);
        if (D.Server)
          start(R, D.Server->Id);
        else
          refuse(R, D.RetryAfter);
      }
    }
  }

  Dispatcher Dispatch;
  BackendDirectory Directory;
  std::mt19937_64 Random;
  testing::EventQueue<int64_t> Events;
  std::map<uint64_t, Request> Waiting;
  Outcome Result;
  int64_t BrokenFrom = 0;
  int64_t BrokenTo = 0;
};

} // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(loadWhenBelowCapacityIsServedOnTime);
  CPPUNIT_TEST(loadWhenAboveCapacityKeepsItsGoodput);
  CPPUNIT_TEST(refusalWhenOverloadedComesBeforeTheCallersTimeout);
  CPPUNIT_TEST(urgentWhenOverloadedIsRefusedLessOften);
  CPPUNIT_TEST(callersWhenAGroupIsDownForSecondsAreServedOnceItIsBack);
  CPPUNIT_TEST(requestWhenServiceHasNoServerIsRefusedAtOnce);
  CPPUNIT_TEST(waitingWhenOnlyAServerThatFailedItIsFreeStaysWaiting);
  CPPUNIT_TEST(waitingWhenTheFirstCannotUseAServerLetsTheNextPass);
  CPPUNIT_TEST(requestWhenAllServersPauseBrieflyWaits);
  CPPUNIT_TEST(requestWhenAllServersPauseForLongIsRefusedAtOnce);
  CPPUNIT_TEST(requestsWhenAPauseEndsAreTriedOneAtATime);
  CPPUNIT_TEST(requestsWhenServersAreUnavailableForLongAreRefusedAtOnce);
  CPPUNIT_TEST(requestWhenAServerHasALimitUsesAnotherOne);
  CPPUNIT_TEST(requestsWhenAllServersHaveLimitsWaitForTheirTurn);
  CPPUNIT_TEST(requestsWhenTurnsComeTooLateAreRefusedAtOnce);
  CPPUNIT_TEST(requestWhenOtherNodesOwnAllLimitsIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int64_t SimulatedMillis = 30'000;

  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1000));
  }

  /// Lists servers a and b with one slot each, and returns them.
  static std::vector<BackendInstance> addTwoServers(Dispatcher &D) {
    std::vector<BackendInstance> List(2);
    for (size_t I = 0; I < List.size(); ++I) {
      List[I].Id = std::string(1, static_cast<char>('a' + I));
      List[I].Service = "s";
      List[I].Address = "10.0.0." + std::to_string(I + 1) + ":1";
      List[I].Slots = 1;
    }
    BackendDirectory Directory;
    Directory.replaceAll(List, {0, 1}, std::nullopt);
    D.loadTracker().sync(Directory, TimePoint());
    return List;
  }

  static PlacementRequest request(int64_t ArrivedMillis,
                                  std::span<const std::string> Excluded = {}) {
    PlacementRequest P;
    P.Service = "s";
    P.Excluded = Excluded;
    P.Arrived = at(ArrivedMillis);
    P.TargetLatency = std::chrono::milliseconds(TargetMillis);
    P.ExpiresAt = at(ArrivedMillis + CallerTimeoutMillis);
    return P;
  }

  static void fill(Dispatcher &D, const std::string &Id) {
    for (int I = 0; I < 2; ++I)
      D.onStarted(Id, at(0));
  }

public:
  void loadWhenBelowCapacityIsServedOnTime() {
    Outcome O = LoadSimulation(1).run(0.8, SimulatedMillis);
    CPPUNIT_ASSERT(O.OnTime * 100 >= O.Requests * 98);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), O.Refused);
  }

  void loadWhenAboveCapacityKeepsItsGoodput() {
    double Peak = Capacity * SimulatedMillis / 1000.0;
    for (double Load : {1.5, 2.0, 3.0}) {
      Outcome O = LoadSimulation(2).run(Load, SimulatedMillis);
      std::string Summary = "load " + std::to_string(Load) + ": " +
                            std::to_string(O.OnTime) + " on time, " +
                            std::to_string(O.Late) + " late, " +
                            std::to_string(O.Refused) + " refused of " +
                            std::to_string(O.Requests);
      // Load above the capacity must not reduce the throughput.
      CPPUNIT_ASSERT_MESSAGE(Summary, static_cast<double>(O.OnTime + O.Late) >=
                                          0.95 * Peak);
      CPPUNIT_ASSERT_MESSAGE(Summary, O.MostInFlight <= Slots + 2);
    }
  }

  void refusalWhenOverloadedComesBeforeTheCallersTimeout() {
    Outcome O = LoadSimulation(3).run(2.0, SimulatedMillis);
    CPPUNIT_ASSERT(O.Refused > 0);
    CPPUNIT_ASSERT(O.LongestWaitBeforeRefusalMillis < CallerTimeoutMillis);
    CPPUNIT_ASSERT(O.ShortestRetryAfterMillis >= 200);
  }

  void urgentWhenOverloadedIsRefusedLessOften() {
    Outcome O = LoadSimulation(4).run(2.0, SimulatedMillis);
    double Urgent = static_cast<double>(O.UrgentRefused) /
                    (0.1 * static_cast<double>(O.Requests));
    double All =
        static_cast<double>(O.Refused) / static_cast<double>(O.Requests);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Urgent) + " against " +
                               std::to_string(All),
                           Urgent < All);
  }

  void callersWhenAGroupIsDownForSecondsAreServedOnceItIsBack() {
    LoadSimulation Simulation(5);
    Simulation.breakGroup(10'000, 14'300);
    // Low enough for the servers to process the backlog afterwards.
    Outcome O = Simulation.run(0.2, SimulatedMillis);
    std::string Summary = std::to_string(O.Refused) + " refused of " +
                          std::to_string(O.Requests) + ", " +
                          std::to_string(O.Declined) + " declined";
    // Callers retry only once: the wait in the queue and the Retry-After time
    // must together bridge the outage, with few refusals and few declined
    // trials.
    CPPUNIT_ASSERT_MESSAGE(Summary, O.Refused * 100 <= O.Requests * 2);
    CPPUNIT_ASSERT_MESSAGE(Summary, O.Declined <= 25);
  }

  void requestWhenServiceHasNoServerIsRefusedAtOnce() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    PlacementRequest P;
    P.Service = "nobody";
    Placement Where = D.place(P, TimePoint(std::chrono::seconds(1)));
    CPPUNIT_ASSERT(Where.Result == Placement::Decision::Refuse);
    CPPUNIT_ASSERT(Where.Refusal == PlacementRefusal::NoServer);
    CPPUNIT_ASSERT(Where.RetryAfter > Duration(0));
  }

  // Guards against an endless loop: such a request was taken from the queue for
  // the free server, which it may not use, and joined the queue again at once,
  // until its time to wait had passed. Each turn left a timer's handler behind,
  // and entry nodes ran out of memory within a fraction of a second.
  void waitingWhenOnlyAServerThatFailedItIsFreeStaysWaiting() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    addTwoServers(D);
    fill(D, "b");
    std::vector<std::string> Failed = {"a"};
    CPPUNIT_ASSERT(D.place(request(0, Failed), at(0)).Result ==
                   Placement::Decision::Wait);
    CPPUNIT_ASSERT(D.takeReady(at(1)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.waiting());
    D.onEnded("s", "b", at(2));
    std::vector<DequeuedRequest> Ready = D.takeReady(at(2));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Ready.size());
    CPPUNIT_ASSERT(Ready.front().Server && Ready.front().Server->Id == "b");
  }

  void waitingWhenTheFirstCannotUseAServerLetsTheNextPass() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    addTwoServers(D);
    fill(D, "a");
    fill(D, "b");
    std::vector<std::string> Failed = {"a"};
    Placement First = D.place(request(0, Failed), at(0));
    Placement Next = D.place(request(0), at(1));
    CPPUNIT_ASSERT(First.Result == Placement::Decision::Wait);
    CPPUNIT_ASSERT(Next.Result == Placement::Decision::Wait);
    D.onEnded("s", "a", at(2));
    std::vector<DequeuedRequest> Ready = D.takeReady(at(2));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Ready.size());
    CPPUNIT_ASSERT_EQUAL(Next.Ticket, Ready.front().Ticket);
  }

  // Load: requests for groups that cannot form, since ranks are missing.
  void requestsWhenServersAreUnavailableForLongAreRefusedAtOnce() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    std::vector<BackendInstance> Servers = addTwoServers(D);
    int64_t Longest = Dispatcher::MaxRecovery.count() / 1000;
    // Reports that repeat the condition do not begin it anew.
    for (int64_t Millis = 0; Millis <= Longest + 1000; Millis += 300)
      for (const BackendInstance &Server : Servers)
        D.loadTracker().onEngineNotice(Server.Address, EngineCondition::Closed,
                                       at(Millis));
    CPPUNIT_ASSERT(D.place(request(Longest - 100), at(Longest - 100)).Result ==
                   Placement::Decision::Wait);
    Placement Late = D.place(request(Longest + 100), at(Longest + 100));
    CPPUNIT_ASSERT(Late.Result == Placement::Decision::Refuse);
    CPPUNIT_ASSERT(Late.Refusal == PlacementRefusal::Recovering);
    CPPUNIT_ASSERT(Late.RetryAfter >= Dispatcher::RecoveringRetryAfter);
    // A server that is available again is used at once, and a later outage
    // begins anew.
    int64_t Back = Longest + 2000;
    D.loadTracker().onEngineNotice(Servers[0].Address, EngineCondition::Opened,
                                   at(Back));
    CPPUNIT_ASSERT(D.place(request(Back), at(Back)).Result ==
                   Placement::Decision::Send);
    for (const BackendInstance &Server : Servers)
      D.loadTracker().onEngineNotice(Server.Address, EngineCondition::Closed,
                                     at(Back + 100));
    CPPUNIT_ASSERT(D.place(request(Back + 200), at(Back + 200)).Result ==
                   Placement::Decision::Wait);
  }

  /// Sends a request if the dispatcher decides so. \returns the server.
  static std::string send(Dispatcher &D, int64_t Millis) {
    Placement Where = D.place(request(Millis), at(Millis));
    if (Where.Result != Placement::Decision::Send)
      return "";
    D.onStarted(Where.Server.Id, at(Millis));
    D.onEnded("s", Where.Server.Id, at(Millis));
    return Where.Server.Id;
  }

  void requestWhenAServerHasALimitUsesAnotherOne() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    std::vector<BackendInstance> Servers = addTwoServers(D);
    D.loadTracker().setNodes(1, {}, at(0));
    D.loadTracker().onRateLimit(Servers[0], 2.0, at(0));
    size_t SentToLimited = 0;
    for (int64_t Millis = 0; Millis < 10'000; Millis += 50) {
      std::string Id = send(D, Millis);
      CPPUNIT_ASSERT(!Id.empty());
      SentToLimited += Id == "a";
    }
    CPPUNIT_ASSERT(SentToLimited >= 10 && SentToLimited <= 21);
    D.loadTracker().onRateLimit(Servers[0], std::nullopt, at(10'000));
    SentToLimited = 0;
    for (int64_t Millis = 10'000; Millis < 11'000; Millis += 50)
      SentToLimited += send(D, Millis) == "a";
    CPPUNIT_ASSERT(SentToLimited > 3);
  }

  void requestsWhenAllServersHaveLimitsWaitForTheirTurn() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    std::vector<BackendInstance> Servers = addTwoServers(D);
    D.loadTracker().setNodes(1, {}, at(0));
    for (const BackendInstance &Server : Servers)
      D.loadTracker().onRateLimit(Server, 4.0, at(0));
    // Both servers' first turns come within a quarter of a second.
    CPPUNIT_ASSERT(!send(D, 300).empty());
    CPPUNIT_ASSERT(!send(D, 300).empty());
    CPPUNIT_ASSERT(D.place(request(301), at(301)).Result ==
                   Placement::Decision::Wait);
    CPPUNIT_ASSERT(D.takeReady(at(400)).empty());
    std::vector<DequeuedRequest> Ready = D.takeReady(at(551));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Ready.size());
    CPPUNIT_ASSERT(Ready.front().Server.has_value());
  }

  // Load: more requests than the limits of all servers allow.
  void requestsWhenTurnsComeTooLateAreRefusedAtOnce() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    std::vector<BackendInstance> Servers = addTwoServers(D);
    D.loadTracker().setNodes(1, {}, at(0));
    for (const BackendInstance &Server : Servers)
      D.loadTracker().onRateLimit(Server, 1.0, at(0));
    size_t Waiting = 0;
    Placement Where;
    for (int I = 0; I < 40; ++I) {
      Where = D.place(request(2000), at(2000));
      if (Where.Result == Placement::Decision::Send)
        D.onStarted(Where.Server.Id, at(2000));
      Waiting += Where.Result == Placement::Decision::Wait;
    }
    // Two turns a second in the time that a request may wait.
    CPPUNIT_ASSERT(Waiting >= 1 && Waiting <= 4);
    CPPUNIT_ASSERT(Where.Result == Placement::Decision::Refuse);
    CPPUNIT_ASSERT(Where.Refusal == PlacementRefusal::RateLimited);
    CPPUNIT_ASSERT(Where.RetryAfter >= std::chrono::milliseconds(500));
  }

  void requestWhenOtherNodesOwnAllLimitsIsRefusedAtOnce() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    std::vector<BackendInstance> Servers = addTwoServers(D);
    std::vector<uint64_t> Peers;
    for (uint64_t I = 0; I < 3000; ++I)
      Peers.push_back(I * 0x9e3779b97f4a7c15);
    D.loadTracker().setNodes(1, Peers, at(0));
    for (const BackendInstance &Server : Servers)
      D.loadTracker().onRateLimit(Server, 1.0, at(0));
    Placement Where = D.place(request(100), at(100));
    CPPUNIT_ASSERT(Where.Result == Placement::Decision::Refuse);
    CPPUNIT_ASSERT(Where.Refusal == PlacementRefusal::RateLimited);
    CPPUNIT_ASSERT(Where.RetryAfter >= Dispatcher::NoServerRetryAfter);
  }

  void requestWhenAllServersPauseBrieflyWaits() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    for (const BackendInstance &Server : addTwoServers(D))
      D.loadTracker().onPaused(Server, std::chrono::milliseconds(500), at(0));
    CPPUNIT_ASSERT(D.place(request(0), at(0)).Result ==
                   Placement::Decision::Wait);
    CPPUNIT_ASSERT(D.takeReady(at(499)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), D.takeReady(at(500)).size());
  }

  void requestWhenAllServersPauseForLongIsRefusedAtOnce() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    for (const BackendInstance &Server : addTwoServers(D))
      D.loadTracker().onPaused(Server, std::chrono::seconds(6), at(0));
    std::set<int64_t> RetryTimes;
    for (int I = 0; I < 20; ++I) {
      Placement Where = D.place(request(0), at(1000));
      CPPUNIT_ASSERT(Where.Result == Placement::Decision::Refuse);
      CPPUNIT_ASSERT(Where.Refusal == PlacementRefusal::Paused);
      // Callers must not come back before the pause is over, nor all at once.
      CPPUNIT_ASSERT(Where.RetryAfter >= std::chrono::seconds(5));
      CPPUNIT_ASSERT(Where.RetryAfter <= std::chrono::seconds(8));
      RetryTimes.insert(Where.RetryAfter.count());
    }
    CPPUNIT_ASSERT(RetryTimes.size() > 10);
  }

  void requestsWhenAPauseEndsAreTriedOneAtATime() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    std::vector<BackendInstance> Servers = addTwoServers(D);
    for (const BackendInstance &Server : Servers)
      D.loadTracker().onPaused(Server, std::chrono::milliseconds(500), at(0));
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(D.place(request(0), at(0)).Result ==
                     Placement::Decision::Wait);
    size_t Sent = 0;
    for (auto Ready = D.takeReady(at(500)); !Ready.empty();
         Ready = D.takeReady(at(500))) {
      D.onStarted(Ready.front().Server->Id, at(500));
      ++Sent;
    }
    CPPUNIT_ASSERT_EQUAL(Servers.size(), Sent);
    // An answer to a request from before the pause does not end the caution.
    D.loadTracker().onAnswered("a", std::chrono::milliseconds(600), at(510));
    CPPUNIT_ASSERT(D.takeReady(at(510)).empty());
    D.loadTracker().onAnswered("a", std::chrono::milliseconds(20), at(520));
    CPPUNIT_ASSERT(!D.takeReady(at(520)).empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace ragwort::dispatch

//===- ScarceRoomTest.cpp - What callers get when there is too little room ===//
//
// Plays loads above the capacity of a service against one Dispatcher in virtual
// time: routes of different priority, requests of different size, callers that
// come back when told and callers that come back at once, servers that are
// gone.
//
//===----------------------------------------------------------------------===//
#include "VirtualRun.h"
#include "ragwort/dispatch/Dispatcher.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::dispatch {

namespace {

constexpr uint32_t Slots = 5;
constexpr uint32_t Extra = 2;
constexpr int64_t WorkMillis = 500;
constexpr int64_t TargetMillis = 500;
constexpr int64_t TimeoutMillis = 2000;
constexpr double UsualTokens = 100;

/// Requests that arrive, and what becomes of them.
struct Source {
  uint32_t Priority = 0;
  double PerSecond = 0;
  /// A burst multiplies PerSecond by this between BurstFrom and BurstTo.
  double Burst = 1;
  /// Its callers come back at once this many times, or once when told.
  int RetriesAtOnce = 0;
  /// One of ten requests has this size, the others the usual one.
  double LargeSize = 1;

  uint64_t Owed = 0;
  uint64_t Served = 0;
  uint64_t OwedLarge = 0;
  uint64_t ServedLarge = 0;
  uint64_t Refusals = 0;
  uint64_t RefusalsAfterWait = 0;
  int64_t LongestWaitBeforeRefusal = 0;
  uint64_t CameBack = 0;
  uint64_t RefusedAgain = 0;
  uint64_t FirstTries = 0;
  uint64_t RefusedFirstTries = 0;

  double share() const {
    return static_cast<double>(Served) / static_cast<double>(Owed);
  }
};

class Play {
public:
  Play(std::vector<Source> Given, uint64_t Seed)
      : Sources(std::move(Given)), Dispatch("here", RetryBudgetLimits(), Seed),
        Random(Seed) {
    list(4);
  }

  static constexpr int64_t Length = 30'000;
  static constexpr int64_t BurstFrom = 10'000;
  static constexpr int64_t BurstTo = 20'000;

  /// Takes servers away between BurstFrom and BurstTo.
  void removeServers(uint32_t Left) {
    Events.at(BurstFrom, [this, Left] { list(Left); });
    Events.at(BurstTo, [this] { list(4); });
  }

  const std::vector<Source> &run() {
    for (Source &S : Sources)
      for (double T = 0; T < Length;) {
        bool IsBurst = T >= BurstFrom && T < BurstTo;
        double Rate = S.PerSecond * (IsBurst ? S.Burst : 1) / 1000;
        T += std::exponential_distribution<double>(Rate)(Random);
        bool IsLarge = Random() % 10 == 0;
        Events.at(static_cast<int64_t>(T),
                  [this, &S, IsLarge] { arrive(S, IsLarge); });
      }
    for (int64_t T = 0; T < Length + 5000; T += 100)
      Events.at(T, [this] { dequeue(); });
    while (Events.runNext()) {
    }
    return Sources;
  }

private:
  struct Request {
    Source *From = nullptr;
    bool IsLarge = false;
    int64_t Arrived = 0;
    int Tries = 0;
    bool HasComeBack = false;
    double Work = 1;
  };

  TimePoint now() const { return timeOf(Events.now()); }
  static TimePoint timeOf(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 10'000));
  }

  void list(uint32_t Count) {
    std::vector<BackendInstance> List(Count);
    for (uint32_t I = 0; I < Count; ++I) {
      List[I].Id = "s" + std::to_string(I);
      List[I].Service = "s";
      List[I].Address = "10.0.0." + std::to_string(I + 1) + ":1";
      List[I].DataCentre = "here";
      List[I].Slots = Slots;
    }
    Directory.replaceAll(List, {0, ++Version}, std::nullopt);
    Dispatch.loadTracker().sync(Directory, TimePoint());
    Listed = Count;
  }

  void arrive(Source &From, bool IsLarge) {
    ++From.Owed;
    From.OwedLarge += IsLarge;
    place({&From, IsLarge, Events.now()});
  }

  void place(Request R) {
    Source &From = *R.From;
    From.FirstTries += R.Tries == 0;
    From.CameBack += R.HasComeBack;
    double Tokens = UsualTokens * (R.IsLarge ? From.LargeSize : 1);
    PlacementRequest P;
    P.Service = "s";
    P.Priority = From.Priority;
    P.Arrived = timeOf(R.Arrived);
    P.TargetLatency = std::chrono::milliseconds(TargetMillis);
    P.ExpiresAt = timeOf(R.Arrived + TimeoutMillis);
    P.IsBatched = true;
    P.Speed = {1, 0, 1000, UsualTokens, UsualTokens};
    P.PromptTokens = Tokens;
    P.AnswerTokens = Tokens;
    P.HasComeBack = R.HasComeBack;
    Placement Where = Dispatch.place(P, now());
    R.Work = Where.Work;
    switch (Where.Result) {
    case Placement::Decision::Send:
      start(R, Where.Server.Id);
      break;
    case Placement::Decision::Wait:
      Waiting.emplace(Where.Ticket, R);
      dequeue();
      break;
    case Placement::Decision::Refuse:
      checkNoRoom();
      refuse(R, Where.RetryAfter);
      break;
    }
  }

  void checkNoRoom() {
    for (uint32_t I = 0; I < Listed; ++I)
      CPPUNIT_ASSERT(Dispatch.loadTracker().inFlight("s" + std::to_string(I)) >=
                     Slots + Extra);
  }

  void start(const Request &R, const std::string &Id) {
    Dispatch.onStarted(Id, now());
    ++R.From->Served;
    R.From->ServedLarge += R.IsLarge;
    double Size = R.IsLarge ? R.From->LargeSize : 1;
    auto End = Events.now() + static_cast<int64_t>(WorkMillis * Size);
    Events.at(End, [this, Id, Work = R.Work] {
      Dispatch.onEnded("s", Id, now(), Work);
      dequeue();
    });
  }

  void refuse(Request R, Duration RetryAfter) {
    Source &From = *R.From;
    ++From.Refusals;
    From.RefusedFirstTries += R.Tries == 0;
    From.RefusedAgain += R.HasComeBack;
    int64_t Waited = Events.now() - R.Arrived;
    From.RefusalsAfterWait += Waited > 0;
    From.LongestWaitBeforeRefusal =
        std::max(From.LongestWaitBeforeRefusal, Waited);
    if (R.Tries++ >= std::max(1, From.RetriesAtOnce))
      return;
    bool IsAtOnce = From.RetriesAtOnce > 0;
    R.HasComeBack = !IsAtOnce;
    R.Arrived = Events.now() + (IsAtOnce ? 5 : RetryAfter.count() / 1000);
    Events.at(R.Arrived, [this, R] { place(R); });
  }

  void dequeue() {
    for (bool IsAny = true; IsAny;) {
      std::vector<DequeuedRequest> Ready = Dispatch.takeReady(now());
      IsAny = !Ready.empty();
      for (const DequeuedRequest &D : Ready) {
        auto Found = Waiting.find(D.Ticket);
        if (Found == Waiting.end())
          continue;
        Request R = Found->second;
        Waiting.erase(Found);
        if (D.Server)
          start(R, D.Server->Id);
        else
          refuse(R, D.RetryAfter);
      }
    }
  }

  std::vector<Source> Sources;
  Dispatcher Dispatch;
  BackendDirectory Directory;
  uint64_t Version = 0;
  uint32_t Listed = 0;
  std::mt19937_64 Random;
  testing::EventQueue<int64_t> Events;
  std::map<uint64_t, Request> Waiting;
};

std::string describe(const std::vector<Source> &All) {
  std::string Text;
  for (const Source &S : All)
    Text += "priority " + std::to_string(S.Priority) + ": " +
            std::to_string(S.Served) + " served of " + std::to_string(S.Owed) +
            " (large " + std::to_string(S.ServedLarge) + " of " +
            std::to_string(S.OwedLarge) + "), refusals " +
            std::to_string(S.Refusals) + " (after a wait " +
            std::to_string(S.RefusalsAfterWait) + ", at most " +
            std::to_string(S.LongestWaitBeforeRefusal) + " ms), came back " +
            std::to_string(S.CameBack) + ", refused again " +
            std::to_string(S.RefusedAgain) + "\n";
  return Text;
}

} // namespace

// Loads are given in requests a second; four servers with five slots, and two
// requests beyond them, serve 56 usual ones.
class ScarceRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ScarceRoomTest);
  CPPUNIT_TEST(urgentRouteWhenALessUrgentOneBurstsIsServedAtLeastAsOften);
  CPPUNIT_TEST(urgentRouteWhenServersAreGoneIsServedAtLeastAsOften);
  CPPUNIT_TEST(largestTenthUnderLoadIsServedHalfAsOftenAsItsRoute);
  CPPUNIT_TEST(callersThatComeBackWhenToldAreNotRefusedAgainBeforeOthers);
  CPPUNIT_TEST(refusalUnderLoadComesAtArrival);
  CPPUNIT_TEST(waitBeforeARefusalIsShorterThanTheCallersTime);
  CPPUNIT_TEST(displacedRequestIsRefusedAtOnceWithATimeToComeBack);
  CPPUNIT_TEST_SUITE_END();

  static constexpr uint64_t Seeds = 10;

public:
  void urgentRouteWhenALessUrgentOneBurstsIsServedAtLeastAsOften() {
    for (double Burst : {2.0, 3.0})
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        Source Urgent{.Priority = 1, .PerSecond = 15};
        Source Bulk{.Priority = 2, .PerSecond = 30, .Burst = Burst};
        auto Got = Play({Urgent, Bulk}, Seed).run();
        CPPUNIT_ASSERT_MESSAGE(describe(Got), Got[0].share() >= Got[1].share());
      }
  }

  void urgentRouteWhenServersAreGoneIsServedAtLeastAsOften() {
    for (uint32_t Left : {3u, 2u})
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        Source Urgent{.Priority = 1, .PerSecond = 15};
        Source Bulk{.Priority = 2, .PerSecond = 35};
        Play P({Urgent, Bulk}, Seed);
        P.removeServers(Left);
        auto Got = P.run();
        CPPUNIT_ASSERT_MESSAGE(describe(Got), Got[0].share() >= Got[1].share());
      }
  }

  void largestTenthUnderLoadIsServedHalfAsOftenAsItsRoute() {
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      Source Mixed{.Priority = 1, .PerSecond = 90, .LargeSize = 4};
      auto Got = Play({Mixed}, Seed).run();
      double Large = static_cast<double>(Got[0].ServedLarge) /
                     static_cast<double>(Got[0].OwedLarge);
      CPPUNIT_ASSERT_MESSAGE(describe(Got), Large >= 0.5 * Got[0].share());
    }
  }

  // A request that came back is not refused again while others of its priority
  // go in: it is refused less often than those that come first.
  void callersThatComeBackWhenToldAreNotRefusedAgainBeforeOthers() {
    for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      Source Patient{.Priority = 1, .PerSecond = 50};
      Source AtOnce{.Priority = 1, .PerSecond = 25, .RetriesAtOnce = 3};
      auto Got = Play({Patient, AtOnce}, Seed).run();
      CPPUNIT_ASSERT(Got[0].CameBack > 0);
      CPPUNIT_ASSERT_MESSAGE(describe(Got),
                             Got[0].RefusedAgain * Got[0].FirstTries <=
                                 Got[0].RefusedFirstTries * Got[0].CameBack);
      // Those that come back at once gain nothing by it.
      CPPUNIT_ASSERT_MESSAGE(describe(Got), Got[0].share() >= Got[1].share());
    }
  }

  static Source overload(double PerSecond, uint64_t Seed) {
    Source One{.Priority = 1, .PerSecond = PerSecond};
    return Play({One}, Seed).run()[0];
  }

  // What cannot be served is refused at arrival, not after a wait. One that
  // others overtake is not held beyond the time at which it is given up.
  void refusalUnderLoadComesAtArrival() {
    constexpr double GiveUpFraction = 0.6;
    for (double Load : {80.0, 110.0})
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        Source Got = overload(Load, Seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe({Got}), uint64_t(0),
                                     Got.RefusalsAfterWait);
        CPPUNIT_ASSERT_MESSAGE(
            describe({Got}), static_cast<double>(Got.LongestWaitBeforeRefusal) <
                                 GiveUpFraction * TimeoutMillis);
      }
  }

  void waitBeforeARefusalIsShorterThanTheCallersTime() {
    for (double Load : {80.0, 110.0})
      for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        Source Got = overload(Load, Seed);
        CPPUNIT_ASSERT_MESSAGE(describe({Got}),
                               Got.LongestWaitBeforeRefusal < TimeoutMillis);
      }
  }

  void displacedRequestIsRefusedAtOnceWithATimeToComeBack() {
    Dispatcher D("here", RetryBudgetLimits(), 1);
    BackendInstance Server;
    Server.Id = "a";
    Server.Service = "s";
    Server.Address = "10.0.0.1:1";
    Server.Slots = 1;
    BackendDirectory Directory;
    Directory.replaceAll({Server}, {0, 1}, std::nullopt);
    D.loadTracker().sync(Directory, TimePoint());
    TimePoint Now(std::chrono::seconds(10));
    D.onStarted("a", Now);
    D.onStarted("a", Now);
    PlacementRequest R;
    R.Service = "s";
    R.Priority = 2;
    R.Arrived = Now;
    R.TargetLatency = std::chrono::milliseconds(TargetMillis);
    R.ExpiresAt = Now + std::chrono::milliseconds(TimeoutMillis);
    Placement Last;
    for (size_t I = 0; I < Dispatcher::MaxWaiting; ++I) {
      Last = D.place(R, Now);
      CPPUNIT_ASSERT(Last.Result == Placement::Decision::Wait);
    }
    CPPUNIT_ASSERT(D.place(R, Now).Result == Placement::Decision::Refuse);
    R.Priority = 1;
    CPPUNIT_ASSERT(D.place(R, Now).Result == Placement::Decision::Wait);
    std::vector<DequeuedRequest> Ready = D.takeReady(Now);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Ready.size());
    CPPUNIT_ASSERT_EQUAL(Last.Ticket, Ready[0].Ticket);
    CPPUNIT_ASSERT(!Ready[0].Server);
    CPPUNIT_ASSERT(Ready[0].Refusal == PlacementRefusal::Displaced);
    CPPUNIT_ASSERT(Ready[0].RetryAfter >= Admission::MinRetryAfter);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ScarceRoomTest);

} // namespace ragwort::dispatch

//===- TableFollowerTest.cpp - Tests of TableFollower.h -------------------===//
#include "ragwort/fleet/TableFollower.h"
#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace ragwort::fleet {

namespace {

/// A store whose responses are scripted.
struct ScriptedStore {
  enum class Answer : uint8_t {
    Ok,
    Fail,
    /// The connection is silent.
    Silent,
    /// The store answers that it does not serve the call.
    Refuse,
    HistoryLost,
    Restored,
    /// Calls OnWaiting and answers after the requested time.
    Waiting
  };

  asio::awaitable<absl::StatusOr<RowList>> list(std::string) {
    ++Lists;
    Answer Next = next();
    if (Next == Answer::Fail)
      co_return absl::UnavailableError("store is unavailable");
    if (Next == Answer::Restored)
      restore();
    RowList List;
    List.Version = nextVersion();
    co_return List;
  }

  asio::awaitable<absl::StatusOr<RowChanges>>
  follow(std::string, uint64_t After, Duration Wait, Duration) {
    LastAfter = After;
    Waits.push_back(Wait);
    Answer Next = next();
    if (Next == Answer::Waiting) {
      asio::steady_timer Wakeup(co_await asio::this_coro::executor, Wait);
      Pending = &Wakeup;
      asio::post(Wakeup.get_executor(), OnWaiting);
      error_code Cancelled;
      co_await Wakeup.async_wait(
          asio::redirect_error(asio::use_awaitable, Cancelled));
      Pending = nullptr;
      if (Cancelled)
        co_return absl::UnavailableError("cancelled");
    }
    if (Next == Answer::Fail)
      co_return absl::UnavailableError("store is unavailable");
    if (Next == Answer::Refuse)
      co_return absl::ResourceExhaustedError("store answered status 503");
    if (Next == Answer::Silent) {
      co_await sleepFor(SilentFor);
      co_return absl::DeadlineExceededError("no answer");
    }
    if (Next == Answer::Restored)
      restore();
    RowChanges Changes;
    Changes.IsHistoryLost = Next == Answer::HistoryLost;
    Changes.Version = nextVersion();
    co_return Changes;
  }

  void cancel() {
    if (Pending)
      Pending->cancel();
  }

  dispatch::StoreVersion nextVersion() {
    ++Version.Number;
    return Version;
  }

  // Gives out the last ten numbers again.
  void restore() {
    ++Version.Era;
    Version.Number -= 10;
  }

  Answer next() {
    if (Script.empty()) {
      OnScriptEnd();
      return Answer::Fail;
    }
    Answer Next = Script.front();
    Script.pop_front();
    return Next;
  }

  std::deque<Answer> Script;
  std::function<void()> OnScriptEnd;
  std::function<void()> OnWaiting;
  asio::steady_timer *Pending = nullptr;
  dispatch::StoreVersion Version{1, 40};
  uint64_t LastAfter = 0;
  std::vector<Duration> Waits;
  Duration SilentFor{100};
  int Lists = 0;
};

struct RecordingSink {
  void onList(RowList, std::optional<TimePoint> GraceUntil) {
    Seen += GraceUntil ? 'L' : 'l';
  }
  void onChanges(RowChanges, std::optional<TimePoint> GraceUntil) {
    Seen += GraceUntil ? 'C' : 'c';
  }
  /// One letter per call: l for onList(), c for onChanges(), in upper case
  /// during the grace period.
  std::string Seen;
};

} // namespace

class TableFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableFollowerTest);
  CPPUNIT_TEST(followerWhenTheStoreAnswersListsOnce);
  CPPUNIT_TEST(followerWhenTheStoreRecoversSetsTheGracePeriod);
  CPPUNIT_TEST(followerWhenHistoryIsLostListsAgainWithoutGrace);
  CPPUNIT_TEST(followerWhenRelaxedPollsLonger);
  CPPUNIT_TEST(followerWhenTheFirstCallFailsListsWithoutGrace);
  CPPUNIT_TEST(followerWhenTheStoreIsRestoredListsAgainWithGrace);
  CPPUNIT_TEST(followerWhenTheStoreIsRestoredTwiceListsForTheLastEra);
  CPPUNIT_TEST(followerWhenTheStoreIsRestoredInAnOutageListsAgain);
  CPPUNIT_TEST(connectionWhenSilentIsReplacedAtOnceWithoutGrace);
  CPPUNIT_TEST(storeWhenSilentOnANewConnectionTooIsInAnOutage);
  CPPUNIT_TEST(storeWhenItRefusesACallIsInAnOutage);
  CPPUNIT_TEST(pollWhenWhatIsKnownIsOldEndsSooner);
  CPPUNIT_TEST(connectionWhenSilentForAsLongAsEntriesLapseSetsTheGracePeriod);
  CPPUNIT_TEST(pollWhenAnotherFollowerReachesTheStoreAgainIsRepeatedAtOnce);
  CPPUNIT_TEST(pollWhileTheStoreIsLostAsksForAnImmediateAnswer);
  CPPUNIT_TEST(followerWhenItReachesTheStoreAgainTellsTheOthersOnce);
  CPPUNIT_TEST_SUITE_END();

  using Answer = ScriptedStore::Answer;

  /// \returns the calls that the sink received when the store responded with
  /// \p Script.
  std::string seen(std::deque<Answer> Script, bool IsRelaxed = false) {
    asio::io_context Io;
    Duration SilentFor = Store.SilentFor;
    Store = ScriptedStore();
    Store.SilentFor = SilentFor;
    Store.Script = std::move(Script);
    RecordingSink Sink;
    Timing.LapseTime = LapseTime;
    Timing.InitialBackoff = Duration(10);
    Timing.MaxBackoff = Duration(10);
    Timing.RestoredListSpread = Duration(10);
    Timing.IsRelaxed = [IsRelaxed] { return IsRelaxed; };
    TableFollower Follower(Io, Store, Group, "t", Sink, Timing, 1);
    Group.add(Other);
    Store.OnScriptEnd = [&Follower] { Follower.stop(); };
    Store.OnWaiting = [this] { Group.announceReturn(Other); };
    asio::co_spawn(Io, Follower.run(), asio::detached);
    Io.run();
    return Sink.Seen;
  }

  /// Another follower of the process.
  struct OtherFollower final : GroupedFollower {
    void onStoreReturned() override { ++Returns; }
    int Returns = 0;
  };

  static constexpr Duration LapseTime = std::chrono::milliseconds(50);
  ScriptedStore Store;
  FollowerGroup Group;
  OtherFollower Other;
  FollowerTiming Timing;

public:
  void followerWhenTheStoreAnswersListsOnce() {
    CPPUNIT_ASSERT_EQUAL(std::string("lcc"),
                         seen({Answer::Ok, Answer::Ok, Answer::Ok}));
    CPPUNIT_ASSERT_EQUAL(1, Store.Lists);
    CPPUNIT_ASSERT_EQUAL(uint64_t(43), Store.LastAfter);
  }

  void followerWhenTheStoreRecoversSetsTheGracePeriod() {
    CPPUNIT_ASSERT_EQUAL(std::string("lcCC"),
                         seen({Answer::Ok, Answer::Ok, Answer::Fail,
                               Answer::Fail, Answer::Ok, Answer::Ok}));
    CPPUNIT_ASSERT_EQUAL(1, Store.Lists);
  }

  void followerWhenHistoryIsLostListsAgainWithoutGrace() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("llc"),
        seen({Answer::Ok, Answer::HistoryLost, Answer::Ok, Answer::Ok}));
    CPPUNIT_ASSERT_EQUAL(2, Store.Lists);
  }

  void followerWhenRelaxedPollsLonger() {
    seen({Answer::Ok, Answer::Ok});
    CPPUNIT_ASSERT(Store.Waits[0] == FollowerTiming().PollTimeout);
    seen({Answer::Ok, Answer::Ok}, true);
    CPPUNIT_ASSERT(Store.Waits[0] == FollowerTiming().RelaxedPollTimeout);
  }

  void connectionWhenSilentIsReplacedAtOnceWithoutGrace() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("lccc"),
        seen({Answer::Ok, Answer::Ok, Answer::Silent, Answer::Ok, Answer::Ok}));
    CPPUNIT_ASSERT_EQUAL(1, Store.Lists);
    // The first call on the new connection asks for an answer at once.
    CPPUNIT_ASSERT(Store.Waits[2] == Duration(0));
  }

  void storeWhenSilentOnANewConnectionTooIsInAnOutage() {
    CPPUNIT_ASSERT_EQUAL(std::string("lcC"),
                         seen({Answer::Ok, Answer::Ok, Answer::Silent,
                               Answer::Silent, Answer::Ok}));
  }

  void storeWhenItRefusesACallIsInAnOutage() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("lcC"),
        seen({Answer::Ok, Answer::Ok, Answer::Refuse, Answer::Ok}));
  }

  void connectionWhenSilentForAsLongAsEntriesLapseSetsTheGracePeriod() {
    Store.SilentFor = 2 * LapseTime;
    CPPUNIT_ASSERT_EQUAL(
        std::string("lcC"),
        seen({Answer::Ok, Answer::Ok, Answer::Silent, Answer::Ok}));
  }

  void pollWhenWhatIsKnownIsOldEndsSooner() {
    Timing.MaxAge = std::chrono::milliseconds(1700);
    Timing.MinInterval = std::chrono::milliseconds(40);
    seen({Answer::Ok, Answer::Ok});
    Duration Most = Timing.MaxAge - Timing.AnswerMargin;
    CPPUNIT_ASSERT(Store.Waits[0] <= Most - Timing.MinInterval);
    CPPUNIT_ASSERT(Store.Waits[0] > Most / 2);
    Timing.MinInterval = std::chrono::milliseconds(0);
    seen({Answer::Ok, Answer::Ok});
    CPPUNIT_ASSERT(Store.Waits[0] <= Most);
    CPPUNIT_ASSERT(Store.Waits[0] > Most - std::chrono::milliseconds(30));
  }

  // Guards against a long poll that waits for an answer which an outage lost.
  void pollWhenAnotherFollowerReachesTheStoreAgainIsRepeatedAtOnce() {
    Timing.RelaxedPollTimeout = std::chrono::seconds(60);
    CPPUNIT_ASSERT_EQUAL(
        std::string("lccc"),
        seen({Answer::Ok, Answer::Ok, Answer::Waiting, Answer::Ok, Answer::Ok},
             true));
    CPPUNIT_ASSERT(Store.Waits[1] == Timing.RelaxedPollTimeout);
    CPPUNIT_ASSERT(Store.Waits[2] == Duration(0));
    CPPUNIT_ASSERT(Store.Waits[3] == Timing.RelaxedPollTimeout);
    // The others know already.
    CPPUNIT_ASSERT_EQUAL(0, Other.Returns);
  }

  // Guards against a long poll that begins in an outage and outlasts it.
  void pollWhileTheStoreIsLostAsksForAnImmediateAnswer() {
    seen({Answer::Ok, Answer::Refuse, Answer::Ok, Answer::Ok}, true);
    CPPUNIT_ASSERT(Store.Waits[1] == Duration(0));
    CPPUNIT_ASSERT(Store.Waits[2] == Timing.RelaxedPollTimeout);
  }

  void followerWhenItReachesTheStoreAgainTellsTheOthersOnce() {
    seen({Answer::Ok, Answer::Fail, Answer::Fail, Answer::Ok, Answer::Ok});
    CPPUNIT_ASSERT_EQUAL(1, Other.Returns);
  }

  void followerWhenTheFirstCallFailsListsWithoutGrace() {
    CPPUNIT_ASSERT_EQUAL(std::string("lc"),
                         seen({Answer::Fail, Answer::Ok, Answer::Ok}));
  }

  // The numbers of the restored store rise beyond the last known one while the
  // node is not looking, so the changes after that one would lack some.
  void followerWhenTheStoreIsRestoredListsAgainWithGrace() {
    CPPUNIT_ASSERT_EQUAL(std::string("lcLC"),
                         seen({Answer::Ok, Answer::Ok, Answer::Restored,
                               Answer::Ok, Answer::Ok}));
    CPPUNIT_ASSERT_EQUAL(2, Store.Lists);
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Store.Version.Era);
    // It resumes at a number of the new era, below those of the old one.
    CPPUNIT_ASSERT_EQUAL(uint64_t(35), Store.LastAfter);
  }

  void followerWhenTheStoreIsRestoredTwiceListsForTheLastEra() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("lLC"),
        seen({Answer::Ok, Answer::Restored, Answer::Restored, Answer::Ok}));
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Store.Version.Era);
  }

  void followerWhenTheStoreIsRestoredInAnOutageListsAgain() {
    CPPUNIT_ASSERT_EQUAL(std::string("lcLC"),
                         seen({Answer::Ok, Answer::Ok, Answer::Fail,
                               Answer::Restored, Answer::Ok, Answer::Ok}));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TableFollowerTest);

} // namespace ragwort::fleet

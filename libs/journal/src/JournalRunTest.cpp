//===- JournalRunTest.cpp - Randomised runs of shard owners ---------------===//
//
// Three entry nodes, two agents, one table service and many callers in virtual
// time. Messages are late, lost, doubled and reordered; nodes are killed,
// frozen and restarted without memory; the service is down or loses answers
// after a write took effect. At the end the ledger is compared with what the
// callers were told.
//
// RAGWORT_SEED=N replays one seed with a trace; RAGWORT_SOAK_SECONDS=N runs
// fresh seeds for that long.
//
//===----------------------------------------------------------------------===//
#include "VirtualRun.h"
#include "ragwort/attempts/AttemptTable.h"
#include "ragwort/journal/ShardOwner.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <iostream>
#include <random>
#include <utility>

namespace ragwort::journal {

namespace {

using namespace std::chrono_literals;
using attempts::AttemptTable;

constexpr int EntryCount = 3;
constexpr int AgentCount = 2;
constexpr int KeyCount = 25;
constexpr Duration RunLength = 60s;
constexpr Duration CallerPatience = 10s;

/// What callers were told, by kind.
struct Tally {
  int Answered = 0;
  int NotRun = 0;
  int Unknown = 0;
  int TimedOut = 0;
};

/// One run with one seed.
class Run {
public:
  Run(uint64_t Seed, bool IsTraced) : Random(Seed), IsTraced(IsTraced) {
    for (int I = 0; I < EntryCount; ++I)
      Entries.push_back(std::make_unique<Entry>());
    for (int I = 0; I < AgentCount; ++I)
      Agents.push_back(std::make_unique<Agent>());
    for (int I = 0; I < EntryCount; ++I)
      restartEntry(I);
    for (int I = 0; I < AgentCount; ++I)
      restartAgent(I);
  }

  /// Runs to the end. \returns the first broken promise, or nothing.
  std::string execute() {
    for (int I = 0; I < 200; ++I)
      at(TimePoint(pickDuration(RunLength)), [this] { callerSends(); });
    for (int I = 0; I < 30; ++I)
      at(TimePoint(pickDuration(RunLength)), [this] { injectFault(); });
    while (Failure.empty() && Events.runNext()) {
    }
    if (Failure.empty())
      checkHistory();
    return Failure;
  }

  const Tally &tally() const { return Told; }

private:
  struct Entry {
    Incarnation Self;
    std::unique_ptr<ShardOwner> Owner;
    bool IsUp = false;
    TimePoint FrozenUntil{};
  };
  struct Agent {
    Incarnation Self;
    std::unique_ptr<AttemptTable> Table;
    TimePoint FrozenUntil{};
  };
  struct Call {
    int Key = 0;
    bool IsTold = false;
    int Hops = 0;
  };

  // Scheduling.
  TimePoint now() const { return Events.now(); }
  void at(TimePoint When, std::function<void()> Act) {
    Events.at(When, std::move(Act));
  }
  void after(Duration Delay, std::function<void()> Act) {
    at(now() + Delay, std::move(Act));
  }
  Duration pickDuration(Duration Below) {
    return Duration(
        std::uniform_int_distribution<int64_t>(0, Below.count())(Random));
  }
  bool chance(int Percent) { return int(Random() % 100) < Percent; }
  void trace(const std::string &Line) {
    if (IsTraced)
      std::cout << now().time_since_epoch().count() << " " << Line << "\n";
  }
  void fail(const std::string &Reason) {
    trace("FAILED " + Reason);
    if (Failure.empty())
      Failure = Reason;
  }

  /// Runs \p Act on entry \p I if the process that asked still lives, after
  /// the end of a freeze.
  void onEntry(int I, Incarnation For, std::function<void(Entry &)> Act) {
    Entry &E = *Entries[I];
    if (!E.IsUp || E.Self != For)
      return;
    if (E.FrozenUntil > now())
      return at(E.FrozenUntil, [=, this] { onEntry(I, For, Act); });
    Act(E);
    carryOut(I);
  }

  // Faults.
  void restartEntry(int I) {
    Entry &E = *Entries[I];
    E.Self = Incarnation{NextIncarnation++};
    OwnerLimits Limits;
    Limits.CommitInterval = 20ms;
    E.Owner = std::make_unique<ShardOwner>(
        OwnerIdentity{0,
                      "entry-" + std::to_string(I),
                      E.Self,
                      {"127.0.0.1", uint16_t(I + 1)}},
        Limits);
    E.IsUp = true;
    E.FrozenUntil = now();
    trace("entry " + std::to_string(I) + " starts");
  }
  void restartAgent(int I) {
    Agent &A = *Agents[I];
    A.Self = Incarnation{NextIncarnation++};
    A.Table = std::make_unique<AttemptTable>(A.Self, attempts::TableLimits());
    A.FrozenUntil = now();
    trace("agent " + std::to_string(I) + " starts");
  }
  void injectFault() {
    int I = int(Random() % EntryCount);
    int J = int(Random() % AgentCount);
    switch (Random() % 6) {
    case 0:
      trace("kill entry " + std::to_string(I));
      Entries[I]->IsUp = false;
      return after(pickDuration(3s), [this, I] { restartEntry(I); });
    case 1:
      trace("freeze entry " + std::to_string(I));
      Entries[I]->FrozenUntil = now() + pickDuration(15s);
      return;
    case 2:
      return restartAgent(J);
    case 3:
      trace("freeze agent " + std::to_string(J));
      Agents[J]->FrozenUntil = now() + pickDuration(5s);
      return;
    case 4:
      trace("store down");
      StoreDownUntil = now() + pickDuration(8s);
      return;
    case 5:
      trace("store loses answers");
      LosesAnswersUntil = now() + pickDuration(8s);
      return;
    }
  }

  // The table service: \p Effect runs at once, the answer comes later or is
  // lost. During an outage nothing happens, or it happens and nobody hears.
  template <class Result>
  void callStore(std::function<Result()> Effect,
                 std::function<void(std::optional<Result>)> Answer) {
    after(pickDuration(20ms), [=, this] {
      if (now() < StoreDownUntil) {
        if (chance(10))
          Effect();
        return after(2s, [=] { Answer(std::nullopt); });
      }
      Result R = Effect();
      if (now() < LosesAnswersUntil && chance(50))
        return after(2s, [=] { Answer(std::nullopt); });
      after(pickDuration(20ms), [=] { Answer(R); });
    });
  }

  // The shell of an entry node.
  void carryOut(int I) {
    Incarnation Self = Entries[I]->Self;
    for (Action &A : Entries[I]->Owner->takeActions())
      std::visit([&](auto &What) { act(I, Self, What); }, A);
    std::optional<TimePoint> Timer = Entries[I]->Owner->nextTimer();
    if (Timer)
      at(std::max(*Timer, now() + 1ms), [=, this] {
        onEntry(I, Self, [this](Entry &E) {
          if (E.Owner->nextTimer() && *E.Owner->nextTimer() <= now())
            E.Owner->onTimer(now());
        });
      });
  }

  void act(int I, Incarnation Self, const ReadHead &) {
    using Result = std::pair<Head, uint64_t>;
    callStore<Result>([this] { return Result(StoredHead, HeadVersion); },
                      [=, this](std::optional<Result> R) {
                        onEntry(I, Self, [=, this](Entry &E) {
                          if (R)
                            E.Owner->onHead(R->first, R->second, now());
                          else
                            E.Owner->onHead(std::nullopt, 0, now());
                        });
                      });
  }
  void act(int I, Incarnation Self, const ClaimHead &Claim) {
    callStore<bool>(
        [=, this] {
          if (Claim.RowVersion != HeadVersion)
            return false;
          StoredHead = Claim.NewHead;
          ++HeadVersion;
          trace("entry " + std::to_string(I) + " owns epoch " +
                std::to_string(StoredHead.Current.Value));
          return true;
        },
        [=, this](std::optional<bool>) {
          onEntry(I, Self, [](Entry &E) { E.Owner->onClaimed(); });
        });
  }
  void act(int I, Incarnation Self, const ReadLog &Read) {
    using Result = std::vector<Batch>;
    callStore<Result>(
        [=, this] {
          Result Rows;
          for (auto &[Sequence, B] : Log)
            if (Sequence > Read.AfterSequence && Rows.size() < 5)
              Rows.push_back(B);
          return Rows;
        },
        [=, this](std::optional<Result> R) {
          onEntry(I, Self, [=, this](Entry &E) {
            E.Owner->onLog(R, R && R->size() < 5, now());
          });
        });
  }
  void act(int I, Incarnation Self, const AppendBatch &Append) {
    callStore<WriteResult>(
        [=, this] {
          if (Append.HeadRowVersion != HeadVersion ||
              Log.contains(Append.Value.Sequence))
            return WriteResult::Conflict;
          Log[Append.Value.Sequence] = Append.Value;
          return WriteResult::Committed;
        },
        [=, this](std::optional<WriteResult> R) {
          onEntry(I, Self, [=, this](Entry &E) {
            E.Owner->onAppended(R.value_or(WriteResult::Unknown), now());
          });
        });
  }
  void act(int I, Incarnation Self, const ReadBatch &Read) {
    using Result = std::optional<Batch>;
    callStore<Result>(
        [=, this]() -> Result {
          auto Place = Log.find(Read.Sequence);
          if (Place == Log.end())
            return std::nullopt;
          return Place->second;
        },
        [=, this](std::optional<Result> R) {
          onEntry(I, Self, [=, this](Entry &E) {
            E.Owner->onBatchRead(R.has_value(), R ? *R : std::nullopt, now());
          });
        });
  }
  void act(int I, Incarnation Self, const StartAttempt &Start) {
    // Sometimes the process is frozen between the decision and the act.
    Duration Late = chance(5) ? pickDuration(20s) : pickDuration(20ms);
    int Copies = chance(10) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (!chance(3))
        after(Late + pickDuration(50ms),
              [=, this] { agentReceives(I, Self, Start.What); });
    // The connection is found lost if nothing comes back.
    after(Late + 6s, [=, this] {
      ended(I, Self, Start.What, Ending::Unknown, {}, RefusalReason::Cancelled);
    });
  }
  void act(int I, Incarnation Self, const AskAgent &Ask) {
    after(pickDuration(50ms), [=, this] {
      int J = agentIndex(Ask.What);
      Agent &A = *Agents[J];
      if (A.FrozenUntil > now() || chance(5))
        return after(1s, [=, this] {
          reported(I, Self, Ask.What, AgentAnswer::Unreachable, {});
        });
      std::optional<attempts::Report> R =
          A.Table->query(Ask.What.Attempt, Ask.What.To.Addressee, now());
      AgentAnswer Said = AgentAnswer::CannotVouch;
      KeyedAnswer Answer;
      if (R) {
        switch (R->CurrentState) {
        case attempts::State::Forbidden:
        case attempts::State::Waiting:
          Said = AgentAnswer::NeverStarted;
          break;
        case attempts::State::Running:
          Said = AgentAnswer::Running;
          break;
        case attempts::State::Completed:
          Said = AgentAnswer::Completed;
          Answer = {200, "", R->Answer->Body, true};
          break;
        case attempts::State::Broken:
          Said = AgentAnswer::Broken;
          break;
        }
      }
      after(pickDuration(50ms),
            [=, this] { reported(I, Self, Ask.What, Said, Answer); });
    });
  }
  void act(int I, Incarnation Self, const Reply &R) {
    if (const auto *To = std::get_if<Redirected>(&R.Value))
      return redirect(I, Self, R.Ticket, To->Owner);
    tell(R.Ticket, R.Value);
  }

  int agentIndex(const Intent &What) {
    return What.To.Agent == "agent-0" ? 0 : 1;
  }

  void reported(int I, Incarnation Self, const Intent &What, AgentAnswer Said,
                const KeyedAnswer &Answer) {
    onEntry(I, Self, [=, this](Entry &E) {
      E.Owner->onAgentReport(What.Key, What.Attempt, Said, Answer, now());
    });
  }
  void ended(int I, Incarnation Self, const Intent &What, Ending How,
             const KeyedAnswer &Answer, RefusalReason Reason) {
    std::optional<Target> Next;
    if (How == Ending::NeverStarted && chance(50))
      Next = pickTarget();
    onEntry(I, Self, [=, this](Entry &E) {
      E.Owner->onAttemptEnded(What.Key, What.Attempt, How, Answer, Reason, Next,
                              now());
    });
  }

  Target pickTarget() {
    if (chance(5))
      return {}; // No agent is known at the moment.
    int J = int(Random() % AgentCount);
    return {"agent-" + std::to_string(J), Agents[J]->Self, {}};
  }

  // The agent and its backend server.
  void agentReceives(int I, Incarnation Self, const Intent &What) {
    int J = agentIndex(What);
    Agent &A = *Agents[J];
    if (A.FrozenUntil > now())
      return at(A.FrozenUntil, [=, this] { agentReceives(I, Self, What); });
    auto Admitted = A.Table->admit(What.Attempt, What.To.Addressee, now());
    if (Admitted == attempts::Admission::Duplicate)
      return;
    bool IsBusy = Admitted == attempts::Admission::Admitted && chance(5) &&
                  A.Table->cancel(What.Attempt, now());
    if (Admitted != attempts::Admission::Admitted || IsBusy)
      return after(pickDuration(50ms), [=, this] {
        ended(I, Self, What, Ending::NeverStarted, {}, RefusalReason::Leaving);
      });
    Incarnation Runner = A.Self;
    after(pickDuration(200ms), [=, this] {
      if (Agents[J]->Self != Runner || !Agents[J]->Table->start(What.Attempt))
        return;
      execute(What);
      std::string Serial = Serials[What.Key];
      bool IsBroken = chance(5);
      after(pickDuration(500ms), [=, this] {
        if (Agents[J]->Self != Runner)
          return;
        KeyedAnswer Answer{200, "", Serial, true};
        if (IsBroken)
          Agents[J]->Table->markBroken(What.Attempt, now());
        else
          Agents[J]->Table->complete(What.Attempt, {200, "", Serial}, now());
        after(pickDuration(50ms), [=, this] {
          ended(I, Self, What, IsBroken ? Ending::Unknown : Ending::Completed,
                Answer, RefusalReason::Cancelled);
        });
      });
    });
  }
  void execute(const Intent &What) {
    trace("execute " + What.Key.Digest);
    if (++Ledger[What.Key] > 1)
      fail("key " + What.Key.Digest + " ran twice");
    Serials[What.Key] = "serial " + std::to_string(NextSerial++);
  }

  // Callers.
  static KeyId keyId(int Key) { return {"key-" + std::to_string(Key)}; }

  void callerSends() {
    uint64_t Ticket = NextTicket++;
    Calls[Ticket].Key = int(Random() % KeyCount);
    submit(int(Random() % EntryCount), Ticket, std::nullopt);
    after(CallerPatience, [=, this] {
      if (!std::exchange(Calls[Ticket].IsTold, true)) {
        ++Told.TimedOut;
        MayHaveRun[keyId(Calls[Ticket].Key)] = true;
      }
    });
  }
  void submit(int I, uint64_t Ticket, std::optional<Epoch> TakeOverFrom) {
    KeyedRequest R;
    R.Ticket = Ticket;
    R.Key = keyId(Calls[Ticket].Key);
    R.Fingerprint = "f";
    R.To = pickTarget();
    R.TakeOverFrom = TakeOverFrom;
    onEntry(I, Entries[I]->Self,
            [=, this](Entry &E) { E.Owner->onRequest(R, now()); });
  }
  void redirect(int I, Incarnation, uint64_t Ticket, const Head &To) {
    if (++Calls[Ticket].Hops > 6)
      return tell(Ticket, NotRun{RefusalReason::NotOwner});
    int Other = To.Owner.back() - '0';
    bool IsReachable = Entries[Other]->IsUp &&
                       Entries[Other]->FrozenUntil <= now() && !chance(10);
    if (IsReachable)
      return submit(Other, Ticket, std::nullopt);
    after(1s, [=, this] { submit(I, Ticket, To.Current); });
  }
  void tell(uint64_t Ticket, const Verdict &V) {
    Call &C = Calls[Ticket];
    if (std::exchange(C.IsTold, true))
      return;
    KeyId Key = keyId(C.Key);
    trace("ticket " + std::to_string(Ticket) + " " + Key.Digest + " verdict " +
          std::to_string(V.index()));
    if (const auto *A = std::get_if<Answered>(&V)) {
      ++Told.Answered;
      if (A->Answer.Body != Serials[Key])
        fail("key " + Key.Digest + " got another answer");
      WasAnswered[Key] = true;
    } else if (std::holds_alternative<NotRun>(V)) {
      ++Told.NotRun;
      if (Ledger[Key] > 0)
        fail("key " + Key.Digest + " was told not-run after it ran");
    } else {
      ++Told.Unknown;
      MayHaveRun[Key] = true;
    }
  }

  void checkHistory() {
    for (auto &[Key, Count] : Ledger)
      if (Count > 0 && !WasAnswered[Key] && !MayHaveRun[Key])
        fail("key " + Key.Digest + " ran, and all callers heard not-run");
    for (auto &[Key, IsAnswered] : WasAnswered)
      if (IsAnswered && Ledger[Key] != 1)
        fail("key " + Key.Digest + " was answered without a run");
  }

  std::mt19937_64 Random;
  const bool IsTraced;
  testing::EventQueue<TimePoint> Events;
  uint64_t NextIncarnation = 1;
  uint64_t NextTicket = 1;
  uint64_t NextSerial = 1;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<std::unique_ptr<Agent>> Agents;
  Head StoredHead;
  uint64_t HeadVersion = 0;
  std::map<uint64_t, Batch> Log;
  TimePoint StoreDownUntil{};
  TimePoint LosesAnswersUntil{};
  std::map<uint64_t, Call> Calls;
  std::map<KeyId, int> Ledger;
  std::map<KeyId, std::string> Serials;
  std::map<KeyId, bool> WasAnswered;
  std::map<KeyId, bool> MayHaveRun;
  Tally Told;
  std::string Failure;
};

} // namespace

class JournalRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalRunTest);
  CPPUNIT_TEST(keysWhenEverythingFailsRunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

  static void runSeed(uint64_t Seed, bool IsTraced, Tally &Sum) {
    Run Subject(Seed, IsTraced);
    std::string Failure = Subject.execute();
    CPPUNIT_ASSERT_MESSAGE(
        "seed " + std::to_string(Seed) + ": " + Failure +
            " (replay with RAGWORT_SEED=" + std::to_string(Seed) + ")",
        Failure.empty());
    Sum.Answered += Subject.tally().Answered;
    Sum.NotRun += Subject.tally().NotRun;
    Sum.Unknown += Subject.tally().Unknown;
    Sum.TimedOut += Subject.tally().TimedOut;
  }

public:
  void keysWhenEverythingFailsRunAtMostOnce() {
    Tally Sum;
    bool IsList = testing::runSeeds(300, [&](uint64_t Seed, bool IsTraced) {
      runSeed(Seed, IsTraced, Sum);
    });
    if (!IsList)
      return;
    std::cout << " answered=" << Sum.Answered << " not-run=" << Sum.NotRun
              << " unknown=" << Sum.Unknown << " timed-out=" << Sum.TimedOut;
    CPPUNIT_ASSERT(Sum.Answered > 0 && Sum.NotRun > 0 && Sum.Unknown > 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JournalRunTest);

} // namespace ragwort::journal

//===- JournalRunTest.cpp - Randomised simulation of shard owners ---------===//
//
// Simulates three entry nodes, two agents, a table service and many callers in
// virtual time. Messages are delayed, lost, duplicated and reordered; nodes are
// killed, suspended and restarted without their state; the table service is
// down or loses answers after a write was committed. At the end the recorded
// executions are compared with the outcomes that the callers got.
//
// RAGWORT_SEED=N replays one seed with a trace; RAGWORT_SOAK_SECONDS=N runs new
// seeds for that many seconds.
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
constexpr Duration CallerTimeout = 10s;

/// Number of callers by the outcome they got.
struct OutcomeCounts {
  int Answered = 0;
  int NotRun = 0;
  int Unknown = 0;
  int TimedOut = 0;
};

/// One simulation with one seed.
class SimulationRun {
public:
  SimulationRun(uint64_t Seed, bool IsTraced)
      : Random(Seed), IsTraced(IsTraced) {
    for (int I = 0; I < EntryCount; ++I)
      Entries.push_back(std::make_unique<Entry>());
    for (int I = 0; I < AgentCount; ++I)
      Agents.push_back(std::make_unique<Agent>());
    for (int I = 0; I < EntryCount; ++I)
      restartEntry(I);
    for (int I = 0; I < AgentCount; ++I)
      restartAgent(I);
  }

  /// Runs to the end. \returns the first violated invariant, or an empty
  /// string.
  std::string execute() {
    for (int I = 0; I < 200; ++I)
      at(TimePoint(pickDuration(RunLength)), [this] { callerSends(); });
    for (int I = 0; I < 30; ++I)
      at(TimePoint(pickDuration(RunLength)), [this] { injectFault(); });
    while (Failure.empty() && Events.runNext()) {
    }
    if (Failure.empty())
      checkInvariants();
    return Failure;
  }

  const OutcomeCounts &counts() const { return Counts; }

private:
  struct Entry {
    Incarnation Self;
    std::unique_ptr<ShardOwner> Owner;
    bool IsUp = false;
    TimePoint SuspendedUntil{};
  };
  struct Agent {
    Incarnation Self;
    std::unique_ptr<AttemptTable> Table;
    TimePoint SuspendedUntil{};
  };
  struct Call {
    int Key = 0;
    bool IsDone = false;
    int Redirects = 0;
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

  /// Runs \p Act on entry \p I unless it was killed or restarted since
  /// incarnation \p For. If the entry is suspended, runs it after that.
  void onEntry(int I, Incarnation For, std::function<void(Entry &)> Act) {
    Entry &E = *Entries[I];
    if (!E.IsUp || E.Self != For)
      return;
    if (E.SuspendedUntil > now())
      return at(E.SuspendedUntil, [=, this] { onEntry(I, For, Act); });
    Act(E);
    performActions(I);
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
    E.SuspendedUntil = now();
    trace("entry " + std::to_string(I) + " starts");
  }
  void restartAgent(int I) {
    Agent &A = *Agents[I];
    A.Self = Incarnation{NextIncarnation++};
    A.Table = std::make_unique<AttemptTable>(A.Self, attempts::TableLimits());
    A.SuspendedUntil = now();
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
      trace("suspend entry " + std::to_string(I));
      Entries[I]->SuspendedUntil = now() + pickDuration(15s);
      return;
    case 2:
      return restartAgent(J);
    case 3:
      trace("suspend agent " + std::to_string(J));
      Agents[J]->SuspendedUntil = now() + pickDuration(5s);
      return;
    case 4:
      trace("table service down");
      ServiceDownUntil = now() + pickDuration(8s);
      return;
    case 5:
      trace("table service loses answers");
      AnswersLostUntil = now() + pickDuration(8s);
      return;
    }
  }

  // The table service: \p Effect is applied after a delay, and its result is
  // returned after another delay or lost. During an outage the effect is
  // usually not applied, and the result is always lost.
  template <class Result>
  void callTableService(std::function<Result()> Effect,
                        std::function<void(std::optional<Result>)> Answer) {
    after(pickDuration(20ms), [=, this] {
      if (now() < ServiceDownUntil) {
        if (chance(10))
          Effect();
        return after(2s, [=] { Answer(std::nullopt); });
      }
      Result R = Effect();
      if (now() < AnswersLostUntil && chance(50))
        return after(2s, [=] { Answer(std::nullopt); });
      after(pickDuration(20ms), [=] { Answer(R); });
    });
  }

  // The driver of an entry node's ShardOwner.
  void performActions(int I) {
    Incarnation Self = Entries[I]->Self;
    for (Action &A : Entries[I]->Owner->takeActions())
      std::visit([&](auto &What) { perform(I, Self, What); }, A);
    std::optional<TimePoint> Timer = Entries[I]->Owner->nextTimer();
    if (Timer)
      at(std::max(*Timer, now() + 1ms), [=, this] {
        onEntry(I, Self, [this](Entry &E) {
          if (E.Owner->nextTimer() && *E.Owner->nextTimer() <= now())
            E.Owner->onTimer(now());
        });
      });
  }

  void perform(int I, Incarnation Self, const ReadHead &) {
    using Result = std::pair<Head, uint64_t>;
    callTableService<Result>([this] { return Result(HeadRow, HeadRowVersion); },
                             [=, this](std::optional<Result> R) {
                               onEntry(I, Self, [=, this](Entry &E) {
                                 if (R)
                                   E.Owner->onHead(R->first, R->second, now());
                                 else
                                   E.Owner->onHead(std::nullopt, 0, now());
                               });
                             });
  }
  void perform(int I, Incarnation Self, const ClaimHead &Claim) {
    callTableService<bool>(
        [=, this] {
          if (Claim.RowVersion != HeadRowVersion)
            return false;
          HeadRow = Claim.NewHead;
          ++HeadRowVersion;
          trace("entry " + std::to_string(I) + " owns epoch " +
                std::to_string(HeadRow.OwnerEpoch.Value));
          return true;
        },
        [=, this](std::optional<bool>) {
          onEntry(I, Self, [](Entry &E) { E.Owner->onClaimed(); });
        });
  }
  void perform(int I, Incarnation Self, const ReadLog &Read) {
    using Result = std::vector<Batch>;
    callTableService<Result>(
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
  void perform(int I, Incarnation Self, const AppendBatch &Append) {
    callTableService<WriteResult>(
        [=, this] {
          if (Append.HeadRowVersion != HeadRowVersion ||
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
  void perform(int I, Incarnation Self, const ReadBatch &Read) {
    using Result = std::optional<Batch>;
    callTableService<Result>(
        [=, this]() -> Result {
          auto It = Log.find(Read.Sequence);
          if (It == Log.end())
            return std::nullopt;
          return It->second;
        },
        [=, this](std::optional<Result> R) {
          onEntry(I, Self, [=, this](Entry &E) {
            E.Owner->onBatchRead(R.has_value(), R ? *R : std::nullopt, now());
          });
        });
  }
  void perform(int I, Incarnation Self, const StartAttempt &Start) {
    // Sometimes the process is suspended between deciding to start the attempt
    // and sending it.
    Duration Delay = chance(5) ? pickDuration(20s) : pickDuration(20ms);
    int Copies = chance(10) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (!chance(3))
        after(Delay + pickDuration(50ms),
              [=, this] { agentReceives(I, Self, Start.AttemptIntent); });
    // The connection is reported as lost if no answer has arrived by then.
    after(Delay + 6s, [=, this] {
      onEnded(I, Self, Start.AttemptIntent, AttemptResult::Unknown, {},
              RefusalReason::Cancelled);
    });
  }
  void perform(int I, Incarnation Self, const QueryAgent &Ask) {
    after(pickDuration(50ms), [=, this] {
      int J = agentIndex(Ask.AttemptIntent);
      Agent &A = *Agents[J];
      if (A.SuspendedUntil > now() || chance(5))
        return after(1s, [=, this] {
          onReported(I, Self, Ask.AttemptIntent, AttemptStatus::Unreachable,
                     {});
        });
      std::optional<attempts::Report> R =
          A.Table->query(Ask.AttemptIntent.Attempt,
                         Ask.AttemptIntent.To.AgentIncarnation, now());
      AttemptStatus Status = AttemptStatus::WrongIncarnation;
      KeyedAnswer Answer;
      if (R) {
        switch (R->CurrentState) {
        case attempts::State::Forbidden:
        case attempts::State::Waiting:
          Status = AttemptStatus::NeverStarted;
          break;
        case attempts::State::Running:
          Status = AttemptStatus::Running;
          break;
        case attempts::State::Completed:
          Status = AttemptStatus::Completed;
          Answer = {200, "", R->Answer->Body, true};
          break;
        case attempts::State::Broken:
          Status = AttemptStatus::Broken;
          break;
        }
      }
      after(pickDuration(50ms), [=, this] {
        onReported(I, Self, Ask.AttemptIntent, Status, Answer);
      });
    });
  }
  void perform(int I, Incarnation Self, const Reply &R) {
    if (const auto *To = std::get_if<Redirected>(&R.Value))
      return redirect(I, Self, R.Ticket, To->Owner);
    answer(R.Ticket, R.Value);
  }

  int agentIndex(const Intent &What) {
    return What.To.Agent == "agent-0" ? 0 : 1;
  }

  void onReported(int I, Incarnation Self, const Intent &What,
                  AttemptStatus Status, const KeyedAnswer &Answer) {
    onEntry(I, Self, [=, this](Entry &E) {
      E.Owner->onAgentReport(What.Key, What.Attempt, Status, Answer, now());
    });
  }
  void onEnded(int I, Incarnation Self, const Intent &What,
               AttemptResult Result, const KeyedAnswer &Answer,
               RefusalReason Reason) {
    std::optional<Target> Next;
    if (Result == AttemptResult::NeverStarted && chance(50))
      Next = pickTarget();
    onEntry(I, Self, [=, this](Entry &E) {
      E.Owner->onAttemptEnded(What.Key, What.Attempt, Result, Answer, Reason,
                              Next, now());
    });
  }

  Target pickTarget() {
    if (chance(5))
      return {}; // No agent is available.
    int J = int(Random() % AgentCount);
    return {"agent-" + std::to_string(J), Agents[J]->Self, {}};
  }

  // The agent and its backend server.
  void agentReceives(int I, Incarnation Self, const Intent &What) {
    int J = agentIndex(What);
    Agent &A = *Agents[J];
    if (A.SuspendedUntil > now())
      return at(A.SuspendedUntil, [=, this] { agentReceives(I, Self, What); });
    auto Admitted =
        A.Table->admit(What.Attempt, What.To.AgentIncarnation, now());
    if (Admitted == attempts::Admission::Duplicate)
      return;
    bool IsBusy = Admitted == attempts::Admission::Admitted && chance(5) &&
                  A.Table->cancel(What.Attempt, now());
    if (Admitted != attempts::Admission::Admitted || IsBusy)
      return after(pickDuration(50ms), [=, this] {
        onEnded(I, Self, What, AttemptResult::NeverStarted, {},
                RefusalReason::Leaving);
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
          onEnded(I, Self, What,
                  IsBroken ? AttemptResult::Unknown : AttemptResult::Completed,
                  Answer, RefusalReason::Cancelled);
        });
      });
    });
  }
  void execute(const Intent &What) {
    trace("execute " + What.Key.Digest);
    if (++ExecutionCounts[What.Key] > 1)
      fail("key " + What.Key.Digest + " ran more than once");
    Serials[What.Key] = "serial " + std::to_string(NextSerial++);
  }

  // Callers.
  static KeyId keyId(int Key) { return {"key-" + std::to_string(Key)}; }

  void callerSends() {
    uint64_t Ticket = NextTicket++;
    Calls[Ticket].Key = int(Random() % KeyCount);
    submit(int(Random() % EntryCount), Ticket, std::nullopt);
    after(CallerTimeout, [=, this] {
      if (!std::exchange(Calls[Ticket].IsDone, true)) {
        ++Counts.TimedOut;
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
    if (++Calls[Ticket].Redirects > 6)
      return answer(Ticket, NotRun{RefusalReason::NotOwner});
    int Other = To.Owner.back() - '0';
    bool IsReachable = Entries[Other]->IsUp &&
                       Entries[Other]->SuspendedUntil <= now() && !chance(10);
    if (IsReachable)
      return submit(Other, Ticket, std::nullopt);
    after(1s, [=, this] { submit(I, Ticket, To.OwnerEpoch); });
  }
  void answer(uint64_t Ticket, const KeyedOutcome &Outcome) {
    Call &C = Calls[Ticket];
    if (std::exchange(C.IsDone, true))
      return;
    KeyId Key = keyId(C.Key);
    trace("ticket " + std::to_string(Ticket) + " " + Key.Digest + " outcome " +
          std::to_string(Outcome.index()));
    if (const auto *A = std::get_if<Answered>(&Outcome)) {
      ++Counts.Answered;
      if (A->Answer.Body != Serials[Key])
        fail("key " + Key.Digest +
             " was answered with the result of another attempt");
      WasAnswered[Key] = true;
    } else if (std::holds_alternative<NotRun>(Outcome)) {
      ++Counts.NotRun;
      if (ExecutionCounts[Key] > 0)
        fail("key " + Key.Digest + " was answered as not-run after it ran");
    } else {
      ++Counts.Unknown;
      MayHaveRun[Key] = true;
    }
  }

  void checkInvariants() {
    for (auto &[Key, Count] : ExecutionCounts)
      if (Count > 0 && !WasAnswered[Key] && !MayHaveRun[Key])
        fail("key " + Key.Digest +
             " ran, but all its callers were answered with not-run");
    for (auto &[Key, IsAnswered] : WasAnswered)
      if (IsAnswered && ExecutionCounts[Key] != 1)
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
  Head HeadRow;
  uint64_t HeadRowVersion = 0;
  std::map<uint64_t, Batch> Log;
  TimePoint ServiceDownUntil{};
  TimePoint AnswersLostUntil{};
  std::map<uint64_t, Call> Calls;
  std::map<KeyId, int> ExecutionCounts;
  std::map<KeyId, std::string> Serials;
  std::map<KeyId, bool> WasAnswered;
  std::map<KeyId, bool> MayHaveRun;
  OutcomeCounts Counts;
  std::string Failure;
};

} // namespace

class JournalRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalRunTest);
  CPPUNIT_TEST(keysWhenFaultsAreRandomRunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

  static void runSeed(uint64_t Seed, bool IsTraced, OutcomeCounts &Sum) {
    SimulationRun Simulation(Seed, IsTraced);
    std::string Failure = Simulation.execute();
    CPPUNIT_ASSERT_MESSAGE(
        "seed " + std::to_string(Seed) + ": " + Failure +
            " (replay with RAGWORT_SEED=" + std::to_string(Seed) + ")",
        Failure.empty());
    Sum.Answered += Simulation.counts().Answered;
    Sum.NotRun += Simulation.counts().NotRun;
    Sum.Unknown += Simulation.counts().Unknown;
    Sum.TimedOut += Simulation.counts().TimedOut;
  }

public:
  void keysWhenFaultsAreRandomRunAtMostOnce() {
    OutcomeCounts Sum;
    bool HasManySeeds =
        testing::runSeeds(300, [&](uint64_t Seed, bool IsTraced) {
          runSeed(Seed, IsTraced, Sum);
        });
    if (!HasManySeeds)
      return;
    std::cout << " answered=" << Sum.Answered << " not-run=" << Sum.NotRun
              << " unknown=" << Sum.Unknown << " timed-out=" << Sum.TimedOut;
    CPPUNIT_ASSERT(Sum.Answered > 0 && Sum.NotRun > 0 && Sum.Unknown > 0);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(JournalRunTest);

} // namespace ragwort::journal

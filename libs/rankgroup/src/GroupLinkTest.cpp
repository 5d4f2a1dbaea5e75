//===- GroupLinkTest.cpp - A map change of a large group on its link ------===//
//
// Simulates, in virtual time, the datagrams between a controller and the agents
// of its group: they share the controller's link, whose queues drop what they
// cannot hold. Guards against a collapse that kept groups of 96 ranks on their
// first map: counts of all ranks and one order for each rank at a time filled
// the link several times over, and resent orders kept it full.
//
//===----------------------------------------------------------------------===//
#include "VirtualRun.h"
#include "ragwort/rankgroup/AgentMessage.h"
#include "ragwort/rankgroup/CountRota.h"
#include "ragwort/rankgroup/HeartbeatSchedule.h"
#include "ragwort/rankgroup/LinkPacer.h"
#include "ragwort/rankgroup/OrderMessage.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::rankgroup {

namespace {

/// Microseconds of virtual time.
using Micros = int64_t;

struct GroupSize {
  double LinkMbps;
  uint32_t Ranks, Sets, Experts, Places;
};

/// One direction of a link with a bounded queue.
class Link {
public:
  explicit Link(double BytesPerSecond) : BytesPerMicro(BytesPerSecond / 1e6) {}

  /// \returns when the datagram has passed, or nothing if it is dropped.
  std::optional<Micros> send(size_t Bytes, Micros Now) {
    constexpr double QueueBytes = 64 * 1024;
    FreeAt = std::max(FreeAt, static_cast<double>(Now));
    if ((FreeAt - static_cast<double>(Now)) * BytesPerMicro > QueueBytes) {
      ++Dropped;
      return std::nullopt;
    }
    FreeAt += static_cast<double>(Bytes) / BytesPerMicro;
    return static_cast<Micros>(FreeAt);
  }

  uint64_t Dropped = 0;

private:
  const double BytesPerMicro;
  double FreeAt = 0;
};

class GroupRun {
public:
  explicit GroupRun(GroupSize Size)
      : Size(Size), Out(Size.LinkMbps * 1e6 / 8), In(Size.LinkMbps * 1e6 / 8),
        Pacer(Size.LinkMbps * 1e6 / 8), Switch(Size.Ranks), Members(Size.Ranks),
        Random(1) {
    for (uint32_t Set = 0; Set < Size.Sets; ++Set)
      Initial.At.push_back(roundRobinMap(Size.Experts, Size.Ranks));
    for (uint32_t Rank = 0; Rank < Size.Ranks; ++Rank) {
      Member &M = Members[Rank];
      M.Maps.setInitialMap(Size.Sets, Size.Experts, Size.Ranks);
      M.Report.Group = "g0-0";
      M.Report.Epoch = 1;
      M.Report.Rank = Rank;
      M.Report.GroupSize = Size.Ranks;
      M.Report.IsOpen = true;
      M.Rota.emplace(Size.LinkMbps * 1e6 / 8);
      M.Rota->setGroup(Size.Ranks, Rank, countBytes(Size.Sets, Size.Experts));
      M.Experts.Sets.assign(Size.Sets, std::vector<ExpertId>(Size.Places, 1));
      Events.at(static_cast<Micros>(Random() % 150'000),
                [this, Rank] { readEngine(Rank); });
    }
    Events.at(0, [this] { control(); });
  }

  /// Time from the planning of a change until all ranks have prepared it, in
  /// milliseconds; -1 if they have not within five seconds.
  int64_t prepareMillis() {
    while (!Begun && Events.runNext()) {
    }
    while (Events.now() < BegunAt + 5'000'000 && Events.runNext())
      if (Switch.phase() != SwitchPhase::Preparing)
        return Switch.times().Prepared == TimePoint()
                   ? -1
                   : (Events.now() - BegunAt) / 1000;
    return -1;
  }

  uint64_t dropped() const { return Out.Dropped + In.Dropped; }
  uint64_t countsReceived() const { return CountsReceived; }

private:
  struct Member {
    EngineReport Report;
    RankExperts Experts;
    HeartbeatSchedule Schedule;
    std::optional<CountRota> Rota;
    KnownMaps Maps;
    OrderAssembler Assembler;
    // Version whose weights are being copied, and when that is done.
    uint64_t Copying = 0;
    Micros CopiedAt = 0;
  };

  static constexpr Micros DelayMicros = 1'400;
  static constexpr Micros CopyMicros = 100'000;
  static constexpr Micros EngineMicros = 5'000;
  static constexpr Micros ChangeAtMicros = 1'000'000;

  TimePoint now() const {
    return TimePoint(std::chrono::microseconds(Events.now() + 1));
  }

  void readEngine(uint32_t Rank) {
    Member &M = Members[Rank];
    if (M.Copying != 0 && Events.now() >= M.CopiedAt)
      M.Report.Prepared = std::exchange(M.Copying, 0);
    if (M.Schedule.onReport(M.Report, now()))
      sendHeartbeat(Rank);
    Events.at(Events.now() + M.Schedule.interval(now()).count(),
              [this, Rank] { readEngine(Rank); });
  }

  void sendHeartbeat(uint32_t Rank) {
    Member &M = Members[Rank];
    bool HasCounts =
        M.Rota->next(M.Schedule.interval(now())) == CountTurn::Report;
    if (Rank == 0) {
      Switch.onReport(0, M.Report, 0, now());
      return;
    }
    AgentMessage Message;
    Message.Group = M.Report.Group;
    Message.Epoch = 1;
    Message.Engine = "10.64.12.134:8221";
    Message.Report = M.Report;
    std::vector<std::vector<uint64_t>> Selections;
    if (HasCounts)
      Selections.assign(Size.Sets, std::vector<uint64_t>(Size.Experts, 3));
    for (const std::string &Bytes :
         encodeHeartbeats(Message, M.Experts, Selections))
      sendToController(Bytes.size(), [this, Report = M.Report, HasCounts] {
        Switch.onReport(Report.Rank, Report, 0, now());
        CountsReceived += HasCounts;
      });
  }

  template <class Action> void sendToController(size_t Bytes, Action Arrive) {
    if (auto At = In.send(Bytes + HeaderBytes, Events.now()))
      Events.at(*At + DelayMicros, std::move(Arrive));
  }

  void control() {
    if (!Begun && Events.now() >= ChangeAtMicros && Switch.canBegin())
      beginChange();
    while (Pacer.room(now()) > 0) {
      std::vector<OutgoingOrder> Orders = Switch.takeOrders(now(), 8);
      if (Orders.empty())
        break;
      for (const OutgoingOrder &S : Orders)
        sendOrder(S);
    }
    Events.at(Events.now() + (Begun ? 10'000 : 50'000), [this] { control(); });
  }

  void beginChange() {
    Begun = true;
    BegunAt = Events.now();
    Target = Initial;
    // On each set, a quarter of the ranks get an expert, some in place of
    // another: about as much as the planner changes after a shift of demand.
    for (auto &Set : Target.At)
      for (auto &Rank : Set) {
        if (Random() % 4 != 0)
          continue;
        auto New = static_cast<ExpertId>(Random() % Size.Experts);
        if (std::find(Rank.begin(), Rank.end(), New) != Rank.end())
          continue;
        if (Rank.empty() || (Rank.size() < Size.Places && Random() % 3 != 0))
          Rank.push_back(New);
        else
          Rank.back() = New;
      }
    Difference = differenceOf(Initial, Target);
    Switch.begin(Initial, Target, 1'000'007, now());
  }

  void sendOrder(const OutgoingOrder &S) {
    if (S.Rank == 0) {
      execute(0, S.Order, S.Number);
      return;
    }
    RankOrder Order = S.Order;
    Order.Map = Difference;
    std::vector<std::string> Datagrams =
        S.Order.Kind == OrderKind::Prepare
            ? encodeOrder("g0-0", S.Number, Order,
                          MapReference{0, digestOf(Target)})
            : encodeOrder("g0-0", S.Number, S.Order);
    for (const std::string &Bytes : Datagrams) {
      Pacer.spend(Bytes.size());
      if (auto At = Out.send(Bytes.size() + HeaderBytes, Events.now()))
        Events.at(*At + DelayMicros,
                  [this, Rank = S.Rank, Bytes] { receive(Rank, Bytes); });
    }
  }

  void receive(uint32_t Rank, const std::string &Bytes) {
    auto Part = decodeOrderPart(Bytes);
    CPPUNIT_ASSERT(Part.ok());
    uint64_t Number = Part->Number;
    auto Order = Members[Rank].Assembler.add(std::move(*Part));
    if (!Order)
      return;
    if (Order->From) {
      auto Map = Members[Rank].Maps.resolve(*Order->From, Order->Order.Map);
      CPPUNIT_ASSERT(Map.has_value());
      Order->Order.Map = std::move(*Map);
    }
    Events.at(Events.now() + EngineMicros,
              [this, Rank, Number, Order = std::move(Order->Order)] {
                execute(Rank, Order, Number);
              });
  }

  void execute(uint32_t Rank, const RankOrder &Order, uint64_t Number) {
    Member &M = Members[Rank];
    if (Order.Kind == OrderKind::Prepare && M.Copying == 0 &&
        !M.Report.Prepared) {
      M.Copying = Order.Version;
      M.CopiedAt = Events.now() + CopyMicros;
      M.Schedule.onPrepareAccepted(Order.Version, now());
      Events.at(M.CopiedAt, [this, Rank] { readEngine(Rank); });
    }
    auto Answer = [this, Rank, Number] {
      Switch.onAnswer(Rank, Number, OrderAnswer::Accepted, now());
    };
    if (Rank == 0)
      Answer();
    else
      sendToController(encodeReply({"g0-0", Rank, 1, Number}).size(), Answer);
  }

  // UDP, IP and Ethernet.
  static constexpr size_t HeaderBytes = 42;

  const GroupSize Size;
  Link Out;
  Link In;
  LinkPacer Pacer;
  MapSwitch Switch;
  std::vector<Member> Members;
  std::mt19937_64 Random;
  testing::EventQueue<Micros> Events;
  ExpertMap Initial;
  ExpertMap Target;
  ExpertMap Difference;
  bool Begun = false;
  Micros BegunAt = 0;
  uint64_t CountsReceived = 0;
};

} // namespace

class GroupLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupLinkTest);
  CPPUNIT_TEST(changeWhenTheGroupIsLargeIsPreparedInASecond);
  CPPUNIT_TEST(linkWhenTheGroupIsLargeDropsNothing);
  CPPUNIT_TEST_SUITE_END();

  static constexpr GroupSize Sizes[] = {{8, 32, 12, 128, 5},
                                        {8, 63, 8, 252, 5},
                                        {6, 96, 16, 192, 3},
                                        {8, 96, 4, 64, 3}};

  static std::string describe(const GroupSize &Size) {
    return std::to_string(Size.Ranks) + " ranks: ";
  }

public:
  void changeWhenTheGroupIsLargeIsPreparedInASecond() {
    for (const GroupSize &Size : Sizes) {
      GroupRun Run(Size);
      int64_t Millis = Run.prepareMillis();
      CPPUNIT_ASSERT_MESSAGE(describe(Size) + std::to_string(Millis) + " ms",
                             Millis >= 0 && Millis < 1000);
    }
  }

  void linkWhenTheGroupIsLargeDropsNothing() {
    for (const GroupSize &Size : Sizes) {
      GroupRun Run(Size);
      Run.prepareMillis();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(Size) + "dropped datagrams",
                                   uint64_t(0), Run.dropped());
      CPPUNIT_ASSERT_MESSAGE(describe(Size) + "counts",
                             Run.countsReceived() > 20);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GroupLinkTest);

} // namespace ragwort::rankgroup

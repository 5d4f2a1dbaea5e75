//===- Group.cpp - A rank group in lock-step on an expert map -------------===//
//
// One stand-in plays all ranks of a group, each on a port of its own from
// --port upwards. A step happens when every rank has an order for it; the
// stand-in counts steps in which two ranks would have used different versions.
//
// Options: ranks, experts, slots, step_us, checks_fencing, shift_at_step (the
// popularity of experts turns around there). GET /rank/state, POST /rank/stage
// and /rank/order as an agent uses them; GET /group for the comparison.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include <algorithm>
#include <map>
#include <set>

namespace ragwort::standin {

namespace {

struct Order {
  uint64_t Index = 0;
  uint64_t Version = 0;
  uint64_t From = 0;
  uint64_t Through = 0;
  uint64_t By = 0;
};

struct RankState {
  uint64_t Fencing = 0;
  std::vector<Order> Orders;
  // Version 0 is loaded from the start, placed by index.
  std::map<uint64_t, std::vector<uint16_t>> Staged{{0, {}}};
};

class Group final : public Service {
public:
  Group(asio::io_context &Io, const Json &Options)
      : Ranks(Options.value("ranks", 4u)),
        Experts(Options.value("experts", 64u)),
        Slots(Options.value("slots", 18u)),
        StepMicros(Options.value("step_us", 5000)),
        ChecksFencing(Options.value("checks_fencing", true)),
        ShiftAtStep(Options.value("shift_at_step", uint64_t(1) << 60)),
        States(Ranks), Counts(Experts, 0) {
    asio::co_spawn(Io, stepLoop(), asio::detached);
  }

  asio::awaitable<void> handle(http::Exchange &X) override {
    const http::Request &R = X.request();
    std::string_view Path = pathOf(R.Target);
    // The rank is the port that was called, told by the host header.
    std::string Host(R.header("Host"));
    uint64_t Port =
        std::strtoull(Host.substr(Host.rfind(':') + 1).c_str(), nullptr, 10);
    size_t Rank = (Port - FirstPort) % Ranks;
    http::Response Answer = answer(R, Path, Rank);
    if (Path == "/rank/stage")
      co_await sleepFor(std::chrono::milliseconds(20));
    co_await X.respond(std::move(Answer));
  }

  void setFirstPort(uint16_t Port) { FirstPort = Port; }

private:
  http::Response answer(const http::Request &R, std::string_view Path,
                        size_t Rank) {
    if (Path == "/group")
      return jsonResponse(200, {{"step", Step},
                                {"violations", Violations},
                                {"switches", Switches},
                                {"version", LastVersion},
                                {"stalled_ticks", StalledTicks},
                                {"skew", skew()}});
    RankState &State = States[Rank];
    if (Path == "/rank/state")
      return jsonResponse(200, stateJson(State));
    Json Body = Json::parse(R.Body, nullptr, false);
    if (!Body.is_object())
      return jsonResponse(400, {{"error", "expected an object"}});
    uint64_t Number = Body.value("fencing", uint64_t(0));
    if (ChecksFencing && Number < State.Fencing)
      return jsonResponse(409, {{"fencing", State.Fencing}});
    if (ChecksFencing)
      State.Fencing = Number;
    if (Path == "/rank/stage") {
      State.Staged[Body.value("version", uint64_t(0))] =
          Body.value("placement", std::vector<uint16_t>());
      return jsonResponse(200, {{"staged", true}});
    }
    Order O{Body.value("index", uint64_t(0)),
            Body.value("version", uint64_t(0)), Body.value("from", uint64_t(0)),
            Body.value("through", uint64_t(0)), Body.value("by", uint64_t(0))};
    bool IsKnown = false;
    for (const Order &Known : State.Orders)
      IsKnown |= Known.Index == O.Index;
    if (!IsKnown)
      State.Orders.push_back(O);
    return jsonResponse(200, {{"ordered", true}});
  }

  Json stateJson(const RankState &State) const {
    Json Orders = Json::array();
    for (const Order &O : State.Orders)
      if (O.Through + 64 >= Step)
        Orders.push_back({{"index", O.Index},
                          {"version", O.Version},
                          {"from", O.From},
                          {"through", O.Through},
                          {"by", O.By}});
    return {{"step", Step},     {"fencing", State.Fencing}, {"orders", Orders},
            {"counts", Counts}, {"ranks", Ranks},           {"slots", Slots}};
  }

  double popularity(size_t Expert) const {
    size_t Place = Step < ShiftAtStep ? Expert : Experts - 1 - Expert;
    return 1.0 / static_cast<double>(Place + 4);
  }

  /// Slowest rank over the mean under the placement in use.
  double skew() {
    auto Place = States[0].Staged.find(LastVersion);
    bool IsDefault = Place == States[0].Staged.end() ||
                     Place->second.size() != size_t(Ranks) * Slots;
    std::vector<uint16_t> Cells;
    for (size_t I = 0; I < size_t(Ranks) * Slots; ++I) {
      size_t Rank = I / Slots;
      size_t Index = (I % Slots) * Ranks + Rank;
      Cells.push_back(IsDefault ? uint16_t((Index + Index / Experts) % Experts)
                                : Place->second[I]);
    }
    std::vector<int> Copies(Experts, 0);
    for (uint16_t Cell : Cells)
      ++Copies[Cell];
    std::vector<double> Loads(Ranks, 0);
    double Sum = 0;
    for (size_t I = 0; I < Cells.size(); ++I) {
      double Load = popularity(Cells[I]) / Copies[Cells[I]];
      Loads[I / Slots] += Load;
      Sum += Load;
    }
    return *std::max_element(Loads.begin(), Loads.end()) * Ranks / Sum;
  }

  asio::awaitable<void> stepLoop() {
    for (;;) {
      co_await sleepFor(std::chrono::microseconds(StepMicros));
      step();
    }
  }

  void step() {
    std::set<uint64_t> Versions;
    for (const RankState &State : States) {
      const Order *Found = nullptr;
      for (const Order &O : State.Orders)
        if (O.From <= Step + 1 && Step + 1 <= O.Through)
          Found = &O;
      if (!Found || !State.Staged.contains(Found->Version)) {
        ++StalledTicks;
        return;
      }
      Versions.insert(Found->Version);
    }
    ++Step;
    Violations += Versions.size() > 1;
    Switches += *Versions.begin() != LastVersion;
    LastVersion = *Versions.begin();
    for (size_t E = 0; E < Experts; ++E)
      Counts[E] += 1000 * popularity(E);
    for (RankState &State : States)
      std::erase_if(State.Orders,
                    [&](const Order &O) { return O.Through + 500 < Step; });
  }

  const uint32_t Ranks;
  const uint32_t Experts;
  const uint32_t Slots;
  const int64_t StepMicros;
  const bool ChecksFencing;
  const uint64_t ShiftAtStep;
  uint16_t FirstPort = 0;
  std::vector<RankState> States;
  std::vector<double> Counts;
  uint64_t Step = 0;
  uint64_t Violations = 0;
  uint64_t Switches = 0;
  uint64_t StalledTicks = 0;
  uint64_t LastVersion = 0;
};

} // namespace

std::unique_ptr<Service> makeGroup(asio::io_context &Io, const Json &Options,
                                   uint16_t FirstPort) {
  auto Result = std::make_unique<Group>(Io, Options);
  Result->setFirstPort(FirstPort);
  return Result;
}

} // namespace ragwort::standin

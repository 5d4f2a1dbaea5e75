//===- Group.cpp - Stand-in for a rank group ------------------------------===//
//
// Simulates all ranks of a group, which run in lock-step with an expert map.
// Each rank has its own port, from --port upwards. A step runs only if every
// rank has an order that covers it and has staged the order's map version.
// Steps in which ranks use different map versions are counted as violations.
//
// Options: ranks, experts, slots, step_us, checks_fencing, shift_at_step (the
// step at which the order of the experts' popularity is reversed). Agents use
// GET /rank/state, POST /rank/stage and POST /rank/order; tests read the
// group's counters with GET /group.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include <algorithm>
#include <map>
#include <set>

namespace ragwort::standin {

namespace {

/// Permission to use a map version from step From to step Through, inclusive.
struct Order {
  uint64_t Index = 0;
  uint64_t Version = 0;
  uint64_t From = 0;
  uint64_t Through = 0;
  /// Epoch of the controller that last proposed it.
  uint64_t By = 0;
};

struct RankState {
  uint64_t Fencing = 0;
  std::vector<Order> Orders;
  /// Expert of each slot, by map version. Version 0 is staged from the start;
  /// its empty list stands for the default placement, by index.
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
    // The port in the Host header identifies the rank.
    std::string Host(R.header("Host"));
    uint64_t Port =
        std::strtoull(Host.substr(Host.rfind(':') + 1).c_str(), nullptr, 10);
    size_t Rank = (Port - FirstPort) % Ranks;
    http::Response Answer = handleCall(R, Path, Rank);
    if (Path == "/rank/stage")
      co_await sleepFor(std::chrono::milliseconds(20));
    co_await X.respond(std::move(Answer));
  }

  void setFirstPort(uint16_t Port) { FirstPort = Port; }

private:
  http::Response handleCall(const http::Request &R, std::string_view Path,
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
    uint64_t RequestFencing = Body.value("fencing", uint64_t(0));
    if (ChecksFencing && RequestFencing < State.Fencing)
      return jsonResponse(409, {{"fencing", State.Fencing}});
    if (ChecksFencing)
      State.Fencing = RequestFencing;
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

  /// Relative popularity of \p Expert at the current step.
  double popularity(size_t Expert) const {
    size_t Position = Step < ShiftAtStep ? Expert : Experts - 1 - Expert;
    return 1.0 / static_cast<double>(Position + 4);
  }

  /// Highest load of a rank over the mean load, with the placement in use.
  double skew() {
    auto Found = States[0].Staged.find(LastVersion);
    bool IsDefault = Found == States[0].Staged.end() ||
                     Found->second.size() != size_t(Ranks) * Slots;
    std::vector<uint16_t> SlotExperts;
    for (size_t I = 0; I < size_t(Ranks) * Slots; ++I) {
      size_t Rank = I / Slots;
      size_t Index = (I % Slots) * Ranks + Rank;
      SlotExperts.push_back(IsDefault
                                ? uint16_t((Index + Index / Experts) % Experts)
                                : Found->second[I]);
    }
    std::vector<int> Copies(Experts, 0);
    for (uint16_t Expert : SlotExperts)
      ++Copies[Expert];
    std::vector<double> Loads(Ranks, 0);
    double Sum = 0;
    for (size_t I = 0; I < SlotExperts.size(); ++I) {
      double Load = popularity(SlotExperts[I]) / Copies[SlotExperts[I]];
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

  /// Runs the next step, or counts a stalled tick if a rank cannot run it.
  void step() {
    std::set<uint64_t> Versions;
    for (const RankState &State : States) {
      const Order *Covering = nullptr;
      for (const Order &O : State.Orders)
        if (O.From <= Step + 1 && Step + 1 <= O.Through)
          Covering = &O;
      if (!Covering || !State.Staged.contains(Covering->Version)) {
        ++StalledTicks;
        return;
      }
      Versions.insert(Covering->Version);
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

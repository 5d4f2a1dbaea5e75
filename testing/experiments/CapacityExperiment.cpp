//===- CapacityExperiment.cpp - Costs of single operations ----------------===//
//
// Measures CPU times and sizes of single operations for three input sizes each.
// docs/CAPACITY.md derives from them how the costs grow with the size.
//
//===----------------------------------------------------------------------===//
#include "Experiments.h"
#include "ragwort/config/ConfigReplica.h"
#include "ragwort/config/TextChange.h"
#include "ragwort/experts/Planner.h"
#include "ragwort/journal/ShardOwner.h"
#include "ragwort/routing/Choosers.h"
#include "ragwort/settings/FleetSettings.h"
#include "ragwort/shares/FairQueue.h"
#include "ragwort/wire/Codec.h"
#include <algorithm>
#include <chrono>
#include <functional>
#include <malloc.h>

namespace ragwort::experiments {

namespace {

/// Median over five batches of the mean time of a call to \p Operation, in
/// microseconds. Each batch makes \p Calls calls.
double medianMicros(int Calls, const std::function<void()> &Operation) {
  std::vector<double> Times;
  for (int Batch = 0; Batch < 5; ++Batch) {
    auto Begin = std::chrono::steady_clock::now();
    for (int I = 0; I < Calls; ++I)
      Operation();
    Times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Begin)
                        .count() /
                    Calls);
  }
  std::sort(Times.begin(), Times.end());
  return Times[Times.size() / 2];
}

/// Allocated heap memory.
double heapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

/// Base document with \p Organisations organisations.
std::string baseDocument(int Organisations) {
  std::string Text = "organisations:\n";
  for (int I = 0; I < Organisations; ++I)
    Text += "  - {name: org-" + std::to_string(I) + ", share: 0.02%}\n";
  return Text;
}

void printSettings(std::ostream &Out) {
  Out << "\n| organisations | document | parse and check | one change, delta | "
         "apply delta | settings in memory |\n|---|---|---|---|---|---|\n";
  for (int Count : {500, 1500, 4500}) {
    std::string Old = baseDocument(Count);
    std::string New = Old;
    New.replace(New.rfind("0.02%"), 5, "0.01%");
    double Parse = medianMicros(1, [&] {
      (void)settings::loadFleetSettings({"base", Old}, {"overlay", "{}"}).ok();
    });
    wire::ConfigChange Change = config::makeChange(Old, New);
    Change.Document = "base";
    size_t Delta = wire::serializeMessage(
                       wire::Message(wire::ConfigReply{1, 2, {Change}, {}}))
                       ->size();
    double Apply =
        medianMicros(20, [&] { (void)config::applyChange(Old, Change).ok(); });
    double Before = heapMegabytes();
    auto Fleet = settings::loadFleetSettings({"base", Old}, {"overlay", "{}"});
    double Memory = heapMegabytes() - Before;
    Out << "| " << Count << " | " << Old.size() / 1000 << " kB | "
        << formatFixed(Parse / 1000, 1) << " ms | " << Delta << " B | "
        << formatFixed(Apply, 0) << " us | " << formatFixed(Memory, 2)
        << " MB |\n";
  }
}

void printQueues(std::ostream &Out) {
  Out << "\n| organisations that wait at one agent | push and pop "
         "|\n|---|---|\n";
  for (int Count : {10, 100, 1000}) {
    shares::FairQueue<int> Queue(100'000);
    auto Push = [&](int I) {
      shares::QueueTicket Ticket;
      Ticket.Organisation = "org-" + std::to_string(I % Count);
      Queue.push(Ticket, I);
    };
    for (int I = 0; I < 2 * Count; ++I)
      Push(I);
    int NextIndex = 0;
    double Time = medianMicros(1000, [&] {
      Push(NextIndex++);
      (void)Queue.pop();
    });
    Out << "| " << Count << " | " << formatFixed(Time, 2) << " us |\n";
  }
}

void printChoices(std::ostream &Out) {
  Out << "\n| subset | one choice |\n|---|---|\n";
  for (size_t Size : {size_t(8), size_t(16), size_t(32)}) {
    routing::Random Rng(1);
    std::vector<routing::Candidate> List(Size);
    routing::OwnLoadChooser Chooser;
    routing::RequestTraits Traits;
    double Time =
        medianMicros(20'000, [&] { (void)Chooser.choose(List, Traits, Rng); });
    Out << "| " << Size << " | " << formatFixed(Time, 3) << " us |\n";
  }
}

void printJournal(std::ostream &Out) {
  Out << "\n| keys of one shard | memory | memory a key |\n|---|---|---|\n";
  for (int Count : {10'000, 30'000, 100'000}) {
    double Before = heapMegabytes();
    journal::ShardOwner Owner({0, "entry-1", {1}, {"127.0.0.1", 1}},
                              journal::OwnerLimits());
    std::vector<journal::Batch> Log;
    journal::KeyedRequest First;
    First.Key = {"first"};
    Owner.onRequest(First, TimePoint());
    Owner.onHead(journal::Head{{1}, "entry-1", {1}, {}}, 1, TimePoint());
    for (int I = 0; I < Count; ++I) {
      journal::KeyId Key = journal::keyIdOf("org", "portal", std::to_string(I));
      journal::Intent Start{Key,
                            "0123456789abcdef0123456789abcdef",
                            {1, uint64_t(I)},
                            {"agent-1", {2}, {}}};
      journal::Conclusion End{
          Key,
          Start.Attempt,
          journal::AttemptResult::Completed,
          {200, "application/json", "{\"serial\":12345}", true}};
      std::vector<journal::Batch> SingleBatch = {
          {uint64_t(I + 1), "batch", {Start, End}}};
      Owner.onLog(SingleBatch, false, TimePoint());
    }
    (void)Owner.takeActions();
    double Memory = heapMegabytes() - Before;
    Out << "| " << Count << " | " << formatFixed(Memory, 1) << " MB | "
        << formatFixed(Memory * 1e6 / Count, 0) << " B |\n";
  }
}

void printPlans(std::ostream &Out) {
  Out << "\n| ranks, experts | plan from the default placement |\n|---|---|\n";
  for (uint32_t Ranks : {8u, 16u, 32u}) {
    std::vector<double> Popularity;
    for (uint32_t E = 0; E < 2 * Ranks; ++E)
      Popularity.push_back(1.0 / (E + 4));
    experts::Placement Start =
        experts::Placement::roundRobin(2 * Ranks, Ranks, 3);
    double Time = medianMicros(1, [&] {
      (void)experts::planRebalancing(Start, Popularity, {0.8, 0.2},
                                     experts::PlanLimits());
    });
    Out << "| " << Ranks << ", " << 2 * Ranks << " | "
        << formatFixed(Time / 1000, 2) << " ms |\n";
  }
}

void printFrames(std::ostream &Out) {
  Out << "\n| message | size on the wire | encode and check |\n|---|---|---|\n";
  const wire::Keyring Keys{{1, "0123456789abcdef"}};
  for (size_t BodyBytes : {size_t(0), size_t(1000), size_t(10'000)}) {
    wire::StartRequest Start;
    Start.Method = "POST";
    Start.Target = "/portal/certificates";
    Start.Body = std::string(BodyBytes, 'x');
    wire::FrameCodec Client(Keys, wire::Direction::FromClient);
    wire::FrameCodec Server(Keys, wire::Direction::FromServer);
    size_t Size = 0;
    double Time = medianMicros(2000, [&] {
      std::string Frame = Client.encode(Start).value();
      Size = Frame.size();
      (void)Server.decode(std::string_view(Frame).substr(wire::LengthBytes))
          .ok();
    });
    Out << "| request with " << BodyBytes << " B | " << Size << " B | "
        << formatFixed(Time, 1) << " us |\n";
  }
  wire::DatagramCodec Codec(Keys);
  wire::Heartbeat Message;
  Message.Node = "draft-a1234";
  Message.ToNode = "entry-a123";
  size_t Size = 0;
  double Time = medianMicros(2000, [&] {
    std::string Datagram = Codec.encode(Message).value();
    Size = Datagram.size();
    (void)Codec.decode(Datagram).ok();
  });
  Out << "| heartbeat | " << Size << " B | " << formatFixed(Time, 1)
      << " us |\n";
}

} // namespace

void runCapacity(std::ostream &Out, const std::string &) {
  printSettings(Out);
  printQueues(Out);
  printChoices(Out);
  printJournal(Out);
  printPlans(Out);
  printFrames(Out);
}

} // namespace ragwort::experiments

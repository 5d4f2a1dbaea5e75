//===- SlowCallerTest.cpp - Callers that fill the node's memory -----------===//
//
// A gateway on loopback with a small memory, callers that stop reading or never
// end their requests, and a server that answers more than their connections
// hold.
//
//===----------------------------------------------------------------------===//
#include "LoopbackPeers.h"
#include "ragwort/base/Bytes.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

namespace ragwort::gateway {

class SlowCallerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowCallerTest);
  CPPUNIT_TEST(callersWhenTheyReadNothingLeaveTheNodeWithinItsBudget);
  CPPUNIT_TEST(finishedAnswerWhenItsCallerReadsLaterArrivesWhole);
  CPPUNIT_TEST(bodyWhenThereIsNoRoomForItIsRefusedBeforeItArrives);
  CPPUNIT_TEST(bodiesWhenTheyNeverEndLeaveTheNodeWithinItsMemory);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t Memory = 32 * MiB;
  // Half of the memory, see Gateway.
  static constexpr size_t Budget = Memory / 2;
  // More than the buffers of a loopback connection hold.
  static constexpr size_t LargeAnswer = 7 * MiB;

  asio::io_context Io{1};
  MetricsRegistry Metrics;
  std::unique_ptr<Gateway> Node;
  std::unique_ptr<ScriptedServer> Server;

public:
  void setUp() override {
    GatewayOptions Options = loopbackOptions(/*RetryAllowance=*/100);
    Options.MemoryBytes = Memory;
    Node = std::make_unique<Gateway>(Io, Options, ProtocolNames(), Metrics);
    CPPUNIT_ASSERT(Node->listen().ok());
    Server = std::make_unique<ScriptedServer>(Io);
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Config->Limits.MaxBodyBytes = 64 * MiB;
    Route R;
    R.Name = "r";
    R.Host = "h";
    R.PathPrefix = "/";
    R.IsPublic = true;
    R.Repeat = Repeatability::Resumable;
    R.IsStream = true;
    R.Timeout = std::chrono::seconds(8);
    R.TargetLatency = std::chrono::milliseconds(400);
    R.Split.push_back({"s", 1});
    Config->addRoute(R);
    Node->applyConfig(std::move(Config));
    dispatch::BackendInstance B;
    B.Id = "i";
    B.Service = "s";
    B.Address = Server->address();
    B.DataCentre = "here";
    B.Slots = 100;
    Node->directory().replaceAll({B}, {0, 1}, std::nullopt);
    Node->onDirectoryChanged();
  }

  void tearDown() override {
    Server.reset();
    Node.reset();
  }

private:
  std::unique_ptr<Caller> call(const std::string &Id, size_t Announced = 0) {
    auto C = std::make_unique<Caller>(Io);
    C->ToSend = "POST / HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: " + Id +
                "\r\nContent-Length: " + std::to_string(Announced) + "\r\n\r\n";
    C->Socket->connect(endpointOf<asio::ip::tcp>({"127.0.0.1", Node->port()}),
                       std::chrono::seconds(5));
    C->Socket->pauseReading();
    return C;
  }

  static size_t allocatedBytes() {
    auto Info = ::mallinfo2();
    return Info.uordblks + Info.hblkhd;
  }

  /// A stream of \p Events events of 32 KiB.
  static std::string stream(const std::string &Id, size_t Events) {
    std::string Text = "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + Id + "\r\n" +
                       Stamp +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    for (size_t I = 1; I <= Events; ++I)
      Text += "8000\r\nid: " + std::to_string(10000 + I).substr(1) +
              "\ndata: " + std::string(32 * KiB - 17, 'x') + "\n\n\r\n";
    return Text + "0\r\n\r\n";
  }

public:
  // 16 answers of 7 MiB are seven times the budget. The callers' connections
  // hold some of it; the rest must stay with the server, and the callers, which
  // never read, must be given up before a server cuts off unread answers.
  void callersWhenTheyReadNothingLeaveTheNodeWithinItsBudget() {
    constexpr size_t Callers = 16;
    std::string Payload;
    Server->Always = [&](const std::string &R) {
      return stream(idOf(R), LargeAnswer / (32 * KiB));
    };
    std::vector<std::unique_ptr<Caller>> Readers;
    for (size_t I = 0; I < Callers; ++I)
      Readers.push_back(call("r" + std::to_string(I)));
    runLoopUntil(Io, [&] { return Server->Requests.size() == Callers; });
    auto Begun = std::chrono::steady_clock::now();
    runLoopUntil(Io, [&] { return Node->activeRequests() == 0; });
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begun <
                   std::chrono::seconds(4));
    CPPUNIT_ASSERT(Node->memory().peak() < Budget);
    CPPUNIT_ASSERT_EQUAL(uint64_t(Callers),
                         Metrics.counter("ragwort_slow_callers_total").value());
  }

  // The server is done; its answer waits in the node while the caller pauses.
  void finishedAnswerWhenItsCallerReadsLaterArrivesWhole() {
    Server->Always = [](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp, std::string(LargeAnswer, 'y'));
    };
    auto Reader = call("late");
    runLoopUntil(Io, [&] { return Server->Requests.size() == 1; });
    Io.run_for(std::chrono::milliseconds(3500));
    CPPUNIT_ASSERT(Node->memory().held(dispatch::Held::CallerAnswers) > MiB);
    // The node stops meanwhile: it must wait for the caller.
    Node->beginDrain({SteadyClock().now(), std::chrono::seconds(8)});
    Node->closeIdle();
    CPPUNIT_ASSERT_EQUAL(size_t(1), Node->activeRequests());
    Reader->Socket->resumeReading();
    runLoopUntil(Io, [&] { return Reader->Received.size() > LargeAnswer; });
    size_t Head = Reader->Received.find("\r\n\r\n") + 4;
    CPPUNIT_ASSERT_EQUAL(LargeAnswer, Reader->Received.size() - Head);
    runLoopUntil(Io, [&] { return Node->activeRequests() == 0; });
  }

  // A head announces 20 MiB; the node has 16 for everything.
  void bodyWhenThereIsNoRoomForItIsRefusedBeforeItArrives() {
    auto Sender = call("large", 20 * MiB);
    Sender->Socket->resumeReading();
    runLoopUntil(Io, [&] { return Sender->IsEnded; });
    CPPUNIT_ASSERT(Sender->Received.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Sender->Received.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT(Sender->Received.find("large") != std::string::npos);
    CPPUNIT_ASSERT(Server->Requests.empty());
    CPPUNIT_ASSERT(Node->memory().held() < MiB);
  }

  // Guards against bodies of refused requests that are held without a charge.
  void bodiesWhenTheyNeverEndLeaveTheNodeWithinItsMemory() {
    constexpr size_t Callers = 100;
    constexpr size_t ChunksPerCaller = 40;
    const std::string Chunk = "8000\r\n" + std::string(32 * KiB, 'x') + "\r\n";
    size_t Before = allocatedBytes();
    size_t Peak = 0;
    std::vector<std::unique_ptr<Caller>> Senders;
    for (size_t I = 0; I < Callers; ++I) {
      Senders.push_back(std::make_unique<Caller>(Io));
      Senders[I]->ToSend = "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
      Senders[I]->Socket->connect(
          endpointOf<asio::ip::tcp>({"127.0.0.1", Node->port()}),
          std::chrono::seconds(5));
    }
    Io.run_for(std::chrono::milliseconds(50));
    for (size_t Round = 0; Round < ChunksPerCaller; ++Round) {
      for (auto &Each : Senders)
        if (!Each->IsEnded && Each->Socket->unsent() == 0)
          Each->Socket->write(Chunk);
      Io.run_for(std::chrono::milliseconds(2));
      size_t Waiting = 0;
      for (auto &Each : Senders)
        Waiting += Each->Socket->unsent();
      Peak = std::max(Peak, allocatedBytes() - Before - Waiting);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Peak), Peak < Memory);
    CPPUNIT_ASSERT(
        std::any_of(Senders.begin(), Senders.end(), [](const auto &Each) {
          return Each->Received.starts_with("HTTP/1.1 503 ");
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallerTest);

} // namespace ragwort::gateway

//===- EvacuationTest.cpp - A fleet and an evacuated data centre ----------===//
//
// Nodes that exchange what they know, of which some follow the operators'
// table. Servers are in the data centres "here" and "there".
//
//===----------------------------------------------------------------------===//
#include "LoopbackFleet.h"
#include "ragwort/fleet/EvacuationNews.h"
#include "ragwort/fleet/EvacuationSink.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::fleet {

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(digestWhenDecodedEqualsTheEncodedOne);
  CPPUNIT_TEST(digestWhenTruncatedOrCorruptNeverThrows);
  CPPUNIT_TEST(rowWhenSetAndRemovedBeginsAndEndsTheEvacuation);
  CPPUNIT_TEST(rowWhenOlderThanWhatAPeerToldIsIgnored);
  CPPUNIT_TEST(nodeWhenCutFromTheStoreLearnsBeginAndEndFromPeers);
  CPPUNIT_TEST(nodeWhenStartedWithoutTheStoreIsReadyOnceAPeerHasToldIt);
  CPPUNIT_TEST(requestWhenEvacuatedWhileConnectingIsNotWritten);
  CPPUNIT_TEST(answerWhenEvacuatedWhileRunningEndsInPeace);
  CPPUNIT_TEST(callerWhenAllIsEvacuatedIsRefused);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<LoopbackFleet> Fleet;
  std::vector<std::unique_ptr<gateway::ScriptedServer>> Servers;
  // Of node 0, the only one that reaches the store.
  std::unique_ptr<EvacuationSink> Sink;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Fleet = std::make_unique<LoopbackFleet>(*Io, 2, /*AwaitsEvacuations=*/true);
    for (int I = 0; I < 2; ++I) {
      Servers.push_back(std::make_unique<gateway::ScriptedServer>(*Io));
      Servers.back()->Always = [](const std::string &Request) {
        return gateway::answer("200 OK", gateway::idOf(Request), gateway::Stamp,
                               "x");
      };
    }
    listServers();
    Sink = std::make_unique<EvacuationSink>(
        Fleet->front(0),
        [](std::string_view Key) -> std::optional<std::string> {
          if (!Key.starts_with("out/"))
            return std::nullopt;
          return std::string(Key.substr(4));
        });
  }

  void tearDown() override {
    Sink.reset();
    Servers.clear();
    Fleet.reset();
    Io.reset();
  }

private:
  void listServers() {
    std::vector<dispatch::BackendInstance> List;
    for (size_t I = 0; I < Servers.size(); ++I) {
      dispatch::BackendInstance B;
      B.Id = "i" + std::to_string(I);
      B.Service = "s";
      B.Address = Servers[I]->address();
      B.DataCentre = I == 0 ? "here" : "there";
      B.Slots = 4;
      List.push_back(B);
    }
    for (size_t I = 0; I < Fleet->size(); ++I) {
      Fleet->front(I).directory().replaceAll(List, {0, 1}, std::nullopt);
      Fleet->front(I).onDirectoryChanged();
    }
  }
  void list(uint64_t Version) {
    Sink->onList({{}, {0, Version}}, std::nullopt);
  }
  void change(uint64_t Version, const char *Key, bool IsRemoved = false) {
    Sink->onChanges({{{Key, "{}", Version, IsRemoved}}, {0, Version}, false},
                    std::nullopt);
  }
  bool isEvacuated(size_t Node, const char *Name) {
    return Fleet->front(Node).evacuations().inForce().contains(Name);
  }
  void awaitKnown() {
    list(1);
    gateway::runLoopUntil(
        *Io, [&] { return Fleet->front(1).evacuations().isKnown(); });
  }

public:
  void digestWhenDecodedEqualsTheEncodedOne() {
    using dispatch::Evacuations;
    dispatch::EvacuationTable Table{{3, 7}, {}};
    for (size_t I = 0; I < Evacuations::MaxDataCentres; ++I)
      Table.DataCentres.insert(
          std::string(Evacuations::MaxNameBytes, static_cast<char>('a' + I)));
    std::string Bytes = encodeEvacuations(Table);
    CPPUNIT_ASSERT(Bytes.size() <= MaxPeerDatagramBytes);
    auto Back = decodeEvacuations(Bytes);
    CPPUNIT_ASSERT(Back.ok() && Back->Table == Table);
  }

  void digestWhenTruncatedOrCorruptNeverThrows() {
    std::string Bytes = encodeEvacuations({{3, 7}, {"here", "there"}});
    for (size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeEvacuations(Bytes.substr(0, Size)).ok());
    std::mt19937_64 Random(1);
    for (int I = 0; I < 20'000; ++I) {
      std::string Changed = Bytes;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      decodeEvacuations(Changed).status().IgnoreError();
    }
  }

  void rowWhenSetAndRemovedBeginsAndEndsTheEvacuation() {
    CPPUNIT_ASSERT(!Fleet->front(0).isReady());
    list(1);
    CPPUNIT_ASSERT(Fleet->front(0).isReady());
    change(2, "config");
    CPPUNIT_ASSERT(!isEvacuated(0, "config"));
    change(3, "out/there");
    CPPUNIT_ASSERT(isEvacuated(0, "there"));
    CPPUNIT_ASSERT(Fleet->front(0).describe().find("evacuated=there") !=
                   std::string::npos);
    change(4, "out/there", /*IsRemoved=*/true);
    CPPUNIT_ASSERT(!isEvacuated(0, "there"));
  }

  void rowWhenOlderThanWhatAPeerToldIsIgnored() {
    list(1);
    Fleet->front(0).evacuations().onPeerTable({{0, 9}, {}},
                                              SteadyClock().now());
    change(8, "out/there");
    CPPUNIT_ASSERT(!isEvacuated(0, "there"));
    change(10, "out/there");
    CPPUNIT_ASSERT(isEvacuated(0, "there"));
  }

  void nodeWhenCutFromTheStoreLearnsBeginAndEndFromPeers() {
    awaitKnown();
    change(2, "out/there");
    gateway::runLoopUntil(*Io, [&] { return isEvacuated(1, "there"); });
    // The store is away meanwhile: nothing changes.
    Io->run_for(2 * dispatch::Evacuations::ForwardTime);
    CPPUNIT_ASSERT(isEvacuated(0, "there") && isEvacuated(1, "there"));
    for (int I = 0; I < 8; ++I)
      Fleet->statusOf(1, {});
    CPPUNIT_ASSERT(Servers[1]->Requests.empty());
    change(3, "out/there", /*IsRemoved=*/true);
    gateway::runLoopUntil(*Io, [&] { return !isEvacuated(1, "there"); });
  }

  void nodeWhenStartedWithoutTheStoreIsReadyOnceAPeerHasToldIt() {
    awaitKnown();
    change(2, "out/there");
    Fleet->startAnother();
    listServers();
    CPPUNIT_ASSERT(!Fleet->front(2).isReady());
    CPPUNIT_ASSERT(Fleet->statusOf(2, {}).starts_with("HTTP/1.1 503"));
    gateway::runLoopUntil(*Io, [&] { return Fleet->front(2).isReady(); });
    CPPUNIT_ASSERT(isEvacuated(2, "there"));
  }

  void requestWhenEvacuatedWhileConnectingIsNotWritten() {
    list(1);
    change(2, "out/here");
    auto C = Fleet->call(0, {LoopbackFleet::LookupPrefix, {}, {}});
    auto &Connections =
        Fleet->metrics(0).counter("ragwort_backend_connections_total");
    while (Connections.value() == 0)
      Io->run_one();
    change(3, "out/here", /*IsRemoved=*/true);
    change(4, "out/there");
    gateway::runLoopUntil(*Io, [&] { return !C->Received.empty(); });
    CPPUNIT_ASSERT(C->Received.starts_with(LoopbackFleet::Served));
    CPPUNIT_ASSERT(Servers[1]->Requests.empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Servers[0]->Requests.size());
  }

  void answerWhenEvacuatedWhileRunningEndsInPeace() {
    list(1);
    change(2, "out/here");
    Servers[1]->Always = [](const std::string &) {
      return gateway::ScriptedServer::Silence;
    };
    auto C = Fleet->call(0, {LoopbackFleet::LookupPrefix, {}, {}});
    gateway::runLoopUntil(*Io, [&] { return !Servers[1]->Requests.empty(); });
    change(3, "out/there");
    Io->run_for(std::chrono::milliseconds(200));
    Servers[1]->sendLate(gateway::answer(
        "200 OK", gateway::idOf(Servers[1]->Requests[0]), gateway::Stamp, "x"));
    gateway::runLoopUntil(*Io, [&] { return !C->Received.empty(); });
    CPPUNIT_ASSERT(C->Received.starts_with(LoopbackFleet::Served));
    CPPUNIT_ASSERT(Servers[0]->Requests.empty());
  }

  void callerWhenAllIsEvacuatedIsRefused() {
    list(1);
    change(2, "out/here");
    change(3, "out/there");
    CPPUNIT_ASSERT(Fleet->statusOf(0, {}).starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(Servers[0]->Requests.empty() &&
                   Servers[1]->Requests.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

} // namespace ragwort::fleet

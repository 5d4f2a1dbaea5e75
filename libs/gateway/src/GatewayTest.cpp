//===- GatewayTest.cpp - Tests of Gateway.h over real sockets -------------===//
//
// One event loop runs a gateway, scripted backend servers and callers on
// loopback. Most tests simulate one fault of a server or a caller and check
// what the other side receives.
//
//===----------------------------------------------------------------------===//
#include "LoopbackPeers.h"
#include "ragwort/base/Bytes.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

namespace {

size_t count(const std::string &Text, const std::string &Part) {
  size_t Total = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Total;
  return Total;
}

} // namespace

class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(answerWhenServedIsForwardedUnchanged);
  CPPUNIT_TEST(requestWhenForwardedOmitsTheKeyAndNamesTheOrganisation);
  CPPUNIT_TEST(requestWhenCallerForgesSystemHeadersOverwritesThem);
  CPPUNIT_TEST(requestWhenKeyIsUnknownIsNotForwarded);
  CPPUNIT_TEST(requestWhenNoConfigurationIsKnownIsRefusedAsNotRun);
  CPPUNIT_TEST(atMostOnceWhenServerResetsIsSentOnce);
  CPPUNIT_TEST(atMostOnceWhenDeclinedReturnsNotRunAndRetryAfter);
  CPPUNIT_TEST(burstWhenServersRefuseConnectionsIsAnsweredWithFewAttempts);
  CPPUNIT_TEST(serverWhenItsAnswerSaysItLeavesReceivesNoMore);
  CPPUNIT_TEST(streamsWhenTheirServerLeavesEndCompletely);
  CPPUNIT_TEST(serverWhenItAsksForAPauseReceivesNoMore);
  CPPUNIT_TEST(serverWhenItsPauseIsMalformedIsStillUsed);
  CPPUNIT_TEST(idempotentWhenServerResetsIsServedByAnother);
  CPPUNIT_TEST(idempotentWhenServerFailsIsServedByAnother);
  CPPUNIT_TEST(answerWhenWithoutStampIsNotForwarded);
  CPPUNIT_TEST(answerWhenForAnotherRequestIsSkipped);
  CPPUNIT_TEST(answerWhenTruncatedIsNotForwarded);
  CPPUNIT_TEST(answerWhenWithoutLengthIsForwardedCompletely);
  CPPUNIT_TEST(answerWhenExtraBytesFollowClosesTheServersConnection);
  CPPUNIT_TEST(streamWhenServerFailsWithinAnEventResumesOnAnotherServer);
  CPPUNIT_TEST(streamWhenItCannotResumeEndsIncomplete);
  CPPUNIT_TEST(streamWhenItEndsWithItsConnectionIsForwardedCompletely);
  CPPUNIT_TEST(streamWhenItsConnectionEndsInsideAnEventIsBrokenOff);
  CPPUNIT_TEST(answerWhenAnotherOneBeforeItNeverEndsIsGivenUp);
  CPPUNIT_TEST(requestWhenItsPromptIsQuarantinedIsRefusedWithoutASend);
  CPPUNIT_TEST(requestWhenItsPromptIsQuarantinedAtAServerIsWithdrawn);
  CPPUNIT_TEST(streamWhenSilentWithoutAnotherServerKeepsWaiting);
  CPPUNIT_TEST(streamWhenBytesTrickleWithoutEventsResumesOnAnotherServer);
  CPPUNIT_TEST(streamWhenItsServerStragglesResumesOnAnotherServer);
  CPPUNIT_TEST(atMostOnceWhenItsServerStragglesIsNotMoved);
  CPPUNIT_TEST(callerWhenDisconnectedClosesTheServersConnection);
  CPPUNIT_TEST(requestWhenGivenUpIsNotDeliveredLater);
  CPPUNIT_TEST(requestWhenRouteTimeoutExpiresIsAnsweredImmediately);
  CPPUNIT_TEST(requestsWhenPipelinedAreAnsweredInOrder);
  CPPUNIT_TEST(requestWhenMalformedClosesOnlyItsConnection);
  CPPUNIT_TEST(callersWhenNodeDrainsReceiveConnectionClose);
  CPPUNIT_TEST(connectionsWhenPooledAreReused);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<MetricsRegistry> Metrics;
  std::unique_ptr<Gateway> Node;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Metrics = std::make_unique<MetricsRegistry>();
    constexpr double RetryAllowance = 100;
    Node = std::make_unique<Gateway>(*Io, loopbackOptions(RetryAllowance),
                                     ProtocolNames(), *Metrics);
    CPPUNIT_ASSERT(Node->listen().ok());
    Servers.clear();
    for (int I = 0; I < 2; ++I)
      Servers.push_back(std::make_unique<ScriptedServer>(*Io));
    configure();
  }

  void tearDown() override {
    Servers.clear();
    Node.reset();
    Io.reset();
  }

private:
  static Route route(const char *Prefix, Repeatability Repeat,
                     uint32_t Attempts) {
    Route R;
    R.Name = Prefix;
    R.Host = "h";
    R.PathPrefix = Prefix;
    R.Repeat = Repeat;
    R.IsStream = Repeat == Repeatability::Resumable;
    R.MaxAttempts = Attempts;
    R.Timeout = std::chrono::milliseconds(400);
    R.TargetLatency = std::chrono::milliseconds(300);
    R.Split.push_back({"s", 1});
    return R;
  }

  void configure() {
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Config->addRoute(route("/once/", Repeatability::AtMostOnce, 1));
    Config->addRoute(route("/safe/", Repeatability::Idempotent, 2));
    Config->addRoute(route("/stream/", Repeatability::Resumable, 2));
    Route Slow = route("/slow/", Repeatability::Resumable, 2);
    Slow.Timeout = std::chrono::seconds(4);
    Config->addRoute(Slow);
    Config->requireKeys();
    Config->addOrganisation({"org", std::nullopt}, {"key"});
    Node->applyConfig(std::move(Config));
    std::vector<dispatch::BackendInstance> List;
    for (size_t I = 0; I < Servers.size(); ++I) {
      dispatch::BackendInstance B;
      B.Id = "i" + std::to_string(I);
      B.Service = "s";
      B.Address = Servers[I]->address();
      B.DataCentre = "here";
      B.Slots = 4;
      List.push_back(B);
    }
    Node->directory().replaceAll(List, {0, ++DirectoryVersion}, std::nullopt);
    Node->onDirectoryChanged();
  }
  uint64_t DirectoryVersion = 0;

  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Extra = "",
                             const std::string &Body = "body") {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: " + Id +
           "\r\nAuthorization: Bearer key\r\n" + Extra +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  /// Both servers answer with \p L, whichever is chosen.
  void scriptBoth(const ScriptedServer::Responder &L, int Times = 1) {
    for (auto &S : Servers)
      for (int I = 0; I < Times; ++I)
        S->Script.push_back(L);
  }
  /// The first request to arrive at either server is answered by \p First, each
  /// later one by \p Then.
  void scriptFirst(const ScriptedServer::Responder &First,
                   const ScriptedServer::Responder &Then) {
    auto IsFirst = std::make_shared<bool>(true);
    scriptBoth(
        [=](const std::string &R) {
          return std::exchange(*IsFirst, false) ? First(R) : Then(R);
        },
        4);
  }

  std::vector<std::string> requestsSeen() const {
    std::vector<std::string> All;
    for (const auto &S : Servers)
      All.insert(All.end(), S->Requests.begin(), S->Requests.end());
    return All;
  }

  std::unique_ptr<Caller> call(const std::string &Bytes) {
    auto C = std::make_unique<Caller>(*Io);
    C->ToSend = Bytes;
    C->Socket->connect(endpointOf<asio::ip::tcp>({"127.0.0.1", Node->port()}),
                       std::chrono::seconds(5));
    return C;
  }

  template <class Condition> void runUntil(Condition IsDone) {
    runLoopUntil(*Io, IsDone);
  }
  void runFor(Duration Time) { Io->run_for(Time); }

  /// Sends one request and returns all bytes that the caller received.
  std::string exchange(const std::string &Bytes) {
    auto C = call(Bytes);
    runUntil([&C] {
      size_t Head = C->Received.find("\r\n\r\n");
      if (Head == std::string::npos)
        return C->IsEnded;
      ResponseParser P;
      P.feed(C->Received);
      return P.stage() == ParseStage::Done || C->IsEnded;
    });
    return C->Received;
  }

  static ScriptedServer::Responder served(const std::string &Body) {
    return [Body](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp, Body);
    };
  }
  static ScriptedServer::Responder literal(const std::string &Text) {
    return [Text](const std::string &) { return Text; };
  }

public:
  void answerWhenServedIsForwardedUnchanged() {
    scriptBoth([](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp + "X-Own: 1\r\n", "hello");
    });
    std::string Got = exchange(request("/once/a?q=1", "r1"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(Got.find("X-Own: 1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(Got.find(Stamp) != std::string::npos);
    CPPUNIT_ASSERT(Got.ends_with("\r\n\r\nhello"));
    CPPUNIT_ASSERT(requestsSeen()[0].starts_with("POST /once/a?q=1 HTTP/1.1"));
    CPPUNIT_ASSERT(requestsSeen()[0].ends_with("\r\n\r\nbody"));
  }

  void requestWhenForwardedOmitsTheKeyAndNamesTheOrganisation() {
    scriptBoth(served("x"));
    exchange(request("/once/", "r1"));
    std::string Seen = requestsSeen()[0];
    CPPUNIT_ASSERT(Seen.find("key") == std::string::npos);
    CPPUNIT_ASSERT(Seen.find("Ragwort-Organisation: org\r\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Seen.find("Ragwort-Expected-Instance: i") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Seen.find("Host: h\r\n") != std::string::npos);
  }

  void requestWhenCallerForgesSystemHeadersOverwritesThem() {
    scriptBoth(served("x"));
    exchange(request("/once/", "r1",
                     "Ragwort-Organisation: other\r\n"
                     "Ragwort-Expected-Instance: zz\r\n"
                     "Ragwort-Time-Left-Ms: 100000\r\n"
                     "Connection: keep-alive, X-Hop, Ragwort-Request-Id\r\n"
                     "X-Hop: 1\r\n"));
    std::string Seen = requestsSeen()[0];
    for (const char *Forged : {"other", "zz", "100000", "X-Hop"})
      CPPUNIT_ASSERT_MESSAGE(Forged, Seen.find(Forged) == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Seen, "Ragwort-Request-Id: r1"));
  }

  void requestWhenKeyIsUnknownIsNotForwarded() {
    std::string Bytes = request("/once/", "r1");
    Bytes.replace(Bytes.find("Bearer key"), 10, "Bearer kez");
    CPPUNIT_ASSERT(exchange(Bytes).starts_with("HTTP/1.1 401 "));
    CPPUNIT_ASSERT(
        exchange(request("/nowhere/", "r2")).starts_with("HTTP/1.1 404 "));
    CPPUNIT_ASSERT(requestsSeen().empty());
  }

  void requestWhenNoConfigurationIsKnownIsRefusedAsNotRun() {
    GatewayOptions Options;
    Options.Listen = {"127.0.0.1", 0};
    Node = std::make_unique<Gateway>(*Io, Options, ProtocolNames(), *Metrics);
    CPPUNIT_ASSERT(Node->listen().ok());
    CPPUNIT_ASSERT(!Node->isReady());
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Got.find("Retry-After: 0.5") != std::string::npos);
  }

  void atMostOnceWhenServerResetsIsSentOnce() {
    scriptBoth(literal(ScriptedServer::Reset), 2);
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
  }

  void atMostOnceWhenDeclinedReturnsNotRunAndRetryAfter() {
    scriptBoth([](const std::string &R) {
      return answer("503 Service Unavailable", idOf(R),
                    "Ragwort-Not-Run: 1\r\n", "");
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Got.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
  }

  void burstWhenServersRefuseConnectionsIsAnsweredWithFewAttempts() {
    // Nothing listens at these addresses any more.
    Servers.clear();
    constexpr size_t Burst = 40;
    std::vector<std::unique_ptr<Caller>> Callers;
    for (size_t I = 0; I < Burst; ++I)
      Callers.push_back(call(request("/slow/x", "q" + std::to_string(I))));
    runUntil([&] {
      return std::all_of(Callers.begin(), Callers.end(),
                         [](const auto &C) { return !C->Received.empty(); });
    });
    for (const auto &C : Callers) {
      CPPUNIT_ASSERT(C->Received.starts_with("HTTP/1.1 503"));
      CPPUNIT_ASSERT_EQUAL(size_t(1), count(C->Received, "Retry-After: "));
    }
    CPPUNIT_ASSERT(
        Metrics->counter("ragwort_backend_connections_total").value() <=
        Burst * RequestFlow::MaxConnectFailures);
  }

  void serverWhenItsAnswerSaysItLeavesReceivesNoMore() {
    // Each kind of answer counts: success, failure, decline.
    for (const char *Status :
         {"200 OK", "404 Not Found", "500 Oops", "421 Elsewhere"}) {
      tearDown();
      setUp();
      std::string Text = Status;
      scriptBoth(
          [Text](const std::string &R) {
            return answer(
                Text, idOf(R),
                Stamp + "Ragwort-Leaving: 1\r\n" +
                    (Text.starts_with("421") ? "Ragwort-Not-Run: 1\r\n" : ""),
                "bye");
          },
          1);
      exchange(request("/once/x", "q0"));
      size_t Leaving = Servers[0]->Requests.empty() ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(size_t(1), Servers[Leaving]->Requests.size());
      for (auto &S : Servers)
        S->Script.assign(10, served("fine"));
      for (int I = 1; I <= 10; ++I)
        exchange(request("/once/x", "q" + std::to_string(I)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, size_t(1),
                                   Servers[Leaving]->Requests.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, size_t(10),
                                   Servers[1 - Leaving]->Requests.size());
    }
  }

  void streamsWhenTheirServerLeavesEndCompletely() {
    auto Begun = [](const std::string &R) {
      return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) + "\r\n" +
             Stamp +
             "Ragwort-Leaving: 1\r\nContent-Type: text/event-stream\r\n"
             "Content-Length: 14\r\n\r\nid: 1\n\n";
    };
    scriptBoth(Begun);
    auto C = call(request("/slow/x", "q"));
    runUntil([&] { return count(C->Received, "id: 1") == 1; });
    size_t Used = Servers[0]->Requests.empty() ? 1 : 0;
    Servers[Used]->sendLate("id: 2\n\n");
    runUntil([&] { return count(C->Received, "id: 2") == 1; });
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
  }

  void serverWhenItAsksForAPauseReceivesNoMore() {
    scriptBoth(
        [](const std::string &R) {
          return answer("503 Busy", idOf(R),
                        "Ragwort-Not-Run: 1\r\nRetry-After: 30\r\n", "");
        },
        10);
    std::string Refused;
    for (int I = 0; I < 8; ++I)
      Refused = exchange(request("/once/x", "q" + std::to_string(I)));
    // Each server was asked once. Later requests are refused at once, with the
    // time that the servers named.
    CPPUNIT_ASSERT_EQUAL(size_t(2), requestsSeen().size());
    CPPUNIT_ASSERT(Refused.starts_with("HTTP/1.1 503"));
    size_t At = Refused.find("Retry-After: ");
    CPPUNIT_ASSERT(At != std::string::npos);
    CPPUNIT_ASSERT(std::stod(Refused.substr(At + 13)) >= 29);
  }

  void serverWhenItsPauseIsMalformedIsStillUsed() {
    auto Paused = [](const std::string &R) {
      return answer("503 Busy", idOf(R),
                    "Ragwort-Not-Run: 1\r\nRetry-After: soon\r\n"
                    "Ragwort-Leaving: maybe\r\n",
                    "");
    };
    for (auto &S : Servers) {
      S->Script.push_back(Paused);
      for (int I = 0; I < 4; ++I)
        S->Script.push_back(served("fine"));
    }
    for (int I = 0; I < 2; ++I)
      exchange(request("/once/x", "q" + std::to_string(I)));
    // Declining with free slots makes a server unavailable for a short time.
    runFor(std::chrono::milliseconds(700));
    std::string Answer = exchange(request("/once/x", "q9"));
    CPPUNIT_ASSERT(Answer.starts_with("HTTP/1.1 200"));
  }

  void idempotentWhenServerResetsIsServedByAnother() {
    scriptFirst(literal(ScriptedServer::Reset), served("second"));
    std::string Got = exchange(request("/safe/", "r1"));
    CPPUNIT_ASSERT(Got.ends_with("second"));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Servers[0]->Requests.size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Servers[1]->Requests.size());
  }

  void idempotentWhenServerFailsIsServedByAnother() {
    scriptFirst(
        [](const std::string &R) {
          return answer("500 Internal Server Error", idOf(R), Stamp, "bad");
        },
        served("second"));
    CPPUNIT_ASSERT(exchange(request("/safe/", "r1")).ends_with("second"));
  }

  void answerWhenWithoutStampIsNotForwarded() {
    scriptBoth([](const std::string &R) {
      return answer("200 OK", idOf(R), "", "forged");
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(Got.find("forged") == std::string::npos);
  }

  void answerWhenForAnotherRequestIsSkipped() {
    scriptBoth([](const std::string &R) {
      return answer("200 OK", "someone-else", Stamp, "theirs") +
             answer("200 OK", idOf(R), Stamp, "mine");
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.ends_with("mine"));
    CPPUNIT_ASSERT(Got.find("theirs") == std::string::npos);
  }

  void answerWhenTruncatedIsNotForwarded() {
    scriptBoth([](const std::string &R) {
      std::string Whole = answer("200 OK", idOf(R), Stamp, "complete-body");
      return Whole.substr(0, Whole.size() - 4) + ScriptedServer::Close;
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(Got.find("complete") == std::string::npos);
  }

  void answerWhenWithoutLengthIsForwardedCompletely() {
    scriptBoth([](const std::string &R) {
      return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + idOf(R) + "\r\n" +
             Stamp + "\r\nto the end" + ScriptedServer::Close;
    });
    std::string Got = exchange(request("/once/", "r1"));
    CPPUNIT_ASSERT(Got.find("Content-Length: 10\r\n") != std::string::npos);
    CPPUNIT_ASSERT(Got.ends_with("to the end"));
  }

  void answerWhenExtraBytesFollowClosesTheServersConnection() {
    scriptBoth([](const std::string &R) {
      return answer("200 OK", idOf(R), Stamp, "mine") + "HTTP/1.1 200 OK\r\n";
    });
    CPPUNIT_ASSERT(exchange(request("/once/", "r1")).ends_with("mine"));
    runUntil([this] {
      return Servers[0]->ClosedByGateway + Servers[1]->ClosedByGateway == 1;
    });
  }

  static std::string event(int Id) {
    return "id: " + std::to_string(Id) + "\ndata: x\n\n";
  }
  static std::string chunk(const std::string &Data) {
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Data.size());
    return Size + Data + "\r\n";
  }
  /// Head of a stream that ends with its connection.
  static std::string unframedStreamHead(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + Id + "\r\n" + Stamp +
           "Content-Type: text/event-stream\r\n\r\n";
  }
  static std::string streamHead(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + Id + "\r\n" + Stamp +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  void streamWhenServerFailsWithinAnEventResumesOnAnotherServer() {
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(event(1) + event(2) + "id: 3\nd") +
                 ScriptedServer::Reset;
        },
        [](const std::string &R) {
          CPPUNIT_ASSERT(R.find("Last-Event-Id: 2\r\n") != std::string::npos);
          return streamHead(idOf(R)) + chunk(event(3)) + "0\r\n\r\n";
        });
    std::string Got = exchange(request("/stream/", "r1"));
    ResponseParser P;
    P.feed(Got);
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), P.takeBody());
  }

  void streamWhenItCannotResumeEndsIncomplete() {
    scriptBoth(
        [](const std::string &R) {
          return streamHead(idOf(R)) +
                 chunk(event(
                     R.find("Last-Event-Id") == std::string::npos ? 1 : 2)) +
                 ScriptedServer::Reset;
        },
        2);
    auto C = call(request("/stream/", "r1"));
    runUntil([&C] { return C->IsEnded; });
    ResponseParser P;
    P.feed(C->Received);
    P.feedEnd();
    CPPUNIT_ASSERT(P.stage() == ParseStage::Failed);
    CPPUNIT_ASSERT_EQUAL(size_t(2), requestsSeen().size());
  }

  void streamWhenItEndsWithItsConnectionIsForwardedCompletely() {
    scriptBoth([](const std::string &R) {
      return unframedStreamHead(idOf(R)) + event(1) + event(2) +
             ScriptedServer::Close;
    });
    auto C = call(request("/stream/", "r1"));
    runUntil([&C] { return C->Received.ends_with("0\r\n\r\n"); });
    CPPUNIT_ASSERT(C->Received.find(event(1) + event(2)) != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
  }

  void streamWhenItsConnectionEndsInsideAnEventIsBrokenOff() {
    scriptBoth(
        [](const std::string &R) {
          return unframedStreamHead(idOf(R)) +
                 event(R.find("Last-Event-Id") == std::string::npos ? 1 : 2) +
                 "id: 3\nda" + ScriptedServer::Close;
        },
        2);
    auto C = call(request("/stream/", "r1"));
    runUntil([&C] { return C->IsEnded; });
    CPPUNIT_ASSERT(!C->Received.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT(C->Received.find("id: 3") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(size_t(2), requestsSeen().size());
  }

  void answerWhenAnotherOneBeforeItNeverEndsIsGivenUp() {
    constexpr size_t Pieces = 200;
    const std::string Piece(64 * KiB, 'x');
    scriptBoth([&](const std::string &) {
      std::string Text = "HTTP/1.1 200 OK\r\nRagwort-Request-Id: other\r\n" +
                         Stamp + "Content-Length: 100000000\r\n\r\n";
      for (size_t I = 0; I < Pieces; ++I)
        Text += Piece;
      return Text;
    });
    auto C = call(request("/slow/", "r1"));
    runUntil([this] {
      return Servers[0]->ClosedByGateway + Servers[1]->ClosedByGateway > 0;
    });
    CPPUNIT_ASSERT(Metrics
                       ->counter("ragwort_failed_sends_total",
                                 "fault=\"malformed-response\"")
                       .value() > 0);
  }

  void requestWhenItsPromptIsQuarantinedIsRefusedWithoutASend() {
    scriptBoth(served("x"), 2);
    quarantine::QuarantinedTrait Part{
        {quarantine::TraitKind::PromptPart, 0xdead}, 600, 1};
    Node->requestQuarantine().restore(std::span(&Part, 1), "peer",
                                      SteadyClock().now());
    std::string Got = exchange(
        request("/safe/", "r1", "Ragwort-Prompt-Parts: 5afe:4,dead:3,1:9\r\n"));
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Got.find("Retry-After: 6") != std::string::npos);
    CPPUNIT_ASSERT(requestsSeen().empty());
    // The last part belongs to the request itself.
    for (const char *Parts : {"5afe:4,1:9", "5afe:4,dead:9"})
      CPPUNIT_ASSERT(exchange(request("/safe/", "r2",
                                      "Ragwort-Prompt-Parts: " +
                                          std::string(Parts) + "\r\n"))
                         .starts_with("HTTP/1.1 200 "));
  }

  void requestWhenItsPromptIsQuarantinedAtAServerIsWithdrawn() {
    // Without another server, the request would wait for its answer.
    Servers.resize(1);
    configure();
    Servers[0]->Script.push_back(literal(ScriptedServer::Silence));
    auto C =
        call(request("/slow/", "r1", "Ragwort-Prompt-Parts: dead:3,1:9\r\n"));
    runUntil([this] { return requestsSeen().size() == 1; });
    quarantine::QuarantinedTrait Part{
        {quarantine::TraitKind::PromptPart, 0xdead}, 600, 1};
    Node->requestQuarantine().restore(std::span(&Part, 1), "peer",
                                      SteadyClock().now());
    runUntil([&C] { return !C->Received.empty(); });
    // The server may have begun to run it.
    CPPUNIT_ASSERT(C->Received.starts_with("HTTP/1.1 502 "));
    runUntil([this] { return Servers[0]->ClosedByGateway == 1; });
  }

  void streamWhenSilentWithoutAnotherServerKeepsWaiting() {
    // The only server answers after more than half of the time that a caller
    // waits for a stream's next event. From then on the stream would move to
    // another server.
    Servers.resize(1);
    configure();
    Servers[0]->Script.push_back(literal(ScriptedServer::Silence));
    auto C = call(request("/slow/", "r1"));
    runUntil([this] { return Servers[0]->Requests.size() == 1; });
    runFor(std::chrono::milliseconds(1300));
    CPPUNIT_ASSERT(C->Received.empty());
    Servers[0]->sendLate(streamHead("r1") + chunk(event(1)) + "0\r\n\r\n");
    runUntil(
        [&C] { return C->Received.find("0\r\n\r\n") != std::string::npos; });
    CPPUNIT_ASSERT(C->Received.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Servers[0]->Requests.size());
  }

  /// Reports the server that received the first request as a straggler.
  void reportFirstAsStraggler() {
    ScriptedServer &First = *Servers[Servers[0]->Requests.empty() ? 1 : 0];
    Node->dispatcher().loadTracker().onEngineNotice(
        First.address(), dispatch::EngineCondition::Straggles,
        SteadyClock().now());
  }

  // A stalled server that sends a byte now and then makes no progress.
  void streamWhenBytesTrickleWithoutEventsResumesOnAnotherServer() {
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(event(1));
        },
        [](const std::string &R) {
          CPPUNIT_ASSERT(R.find("Last-Event-Id: 1\r\n") != std::string::npos);
          return streamHead(idOf(R)) + chunk(event(2)) + "0\r\n\r\n";
        });
    auto C = call(request("/slow/", "r1"));
    runUntil([&C] { return C->Received.find("id: 1") != std::string::npos; });
    size_t First = Servers[0]->Requests.empty() ? 1 : 0;
    std::string Partial = "id: 2\ndata: " + std::string(200, 'x');
    for (char Byte : Partial) {
      if (requestsSeen().size() == 2)
        break;
      Servers[First]->sendLate(chunk(std::string(1, Byte)));
      runFor(std::chrono::milliseconds(20));
    }
    runUntil(
        [&C] { return C->Received.find("0\r\n\r\n") != std::string::npos; });
    ResponseParser P;
    P.feed(C->Received);
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2), P.takeBody());
  }

  void streamWhenItsServerStragglesResumesOnAnotherServer() {
    scriptFirst(
        [](const std::string &R) {
          return streamHead(idOf(R)) + chunk(event(1) + event(2));
        },
        [](const std::string &R) {
          CPPUNIT_ASSERT(R.find("Last-Event-Id: 2\r\n") != std::string::npos);
          return streamHead(idOf(R)) + chunk(event(3)) + "0\r\n\r\n";
        });
    auto C = call(request("/slow/", "r1"));
    runUntil([&C] { return C->Received.find("id: 2") != std::string::npos; });
    reportFirstAsStraggler();
    // Within half a second, since the server's silence alone would also move
    // the stream, after one second.
    runFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(C->Received.find("0\r\n\r\n") != std::string::npos);
    ResponseParser P;
    P.feed(C->Received);
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), P.takeBody());
    CPPUNIT_ASSERT_EQUAL(1, Servers[0]->ClosedByGateway +
                                Servers[1]->ClosedByGateway);
  }

  void atMostOnceWhenItsServerStragglesIsNotMoved() {
    scriptBoth(literal(ScriptedServer::Silence));
    auto C = call(request("/once/", "r1"));
    runUntil([this] { return requestsSeen().size() == 1; });
    reportFirstAsStraggler();
    runFor(std::chrono::milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
    CPPUNIT_ASSERT(C->Received.empty());
  }

  void callerWhenDisconnectedClosesTheServersConnection() {
    scriptBoth(literal(ScriptedServer::Silence));
    auto C = call(request("/safe/", "r1"));
    runUntil([this] { return requestsSeen().size() == 1; });
    C->Socket->close();
    runUntil([this] {
      return Servers[0]->ClosedByGateway + Servers[1]->ClosedByGateway == 1;
    });
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
  }

  // A reset makes the network drop bytes that it still holds.
  void requestWhenGivenUpIsNotDeliveredLater() {
    Servers.resize(1);
    configure();
    Servers[0]->Script.assign(2, literal(ScriptedServer::Silence));
    auto Gone = call(request("/slow/", "r1"));
    runUntil([this] { return requestsSeen().size() == 1; });
    Gone->Socket->close();
    runUntil([this] { return Servers[0]->ResetByGateway == 1; });
    auto Late = call(request("/once/", "r2"));
    runUntil([this] { return Servers[0]->ResetByGateway == 2; });
    runUntil([&Late] { return !Late->Received.empty(); });
    CPPUNIT_ASSERT(Late->Received.starts_with("HTTP/1.1 504 "));
  }

  void requestWhenRouteTimeoutExpiresIsAnsweredImmediately() {
    scriptBoth(literal(ScriptedServer::Silence));
    auto Begun = std::chrono::steady_clock::now();
    std::string Got = exchange(request("/once/", "r1"));
    auto Took = std::chrono::steady_clock::now() - Begun;
    CPPUNIT_ASSERT(Got.starts_with("HTTP/1.1 504 "));
    // The route's timeout is 400 ms; the platform allows 500 ms more.
    CPPUNIT_ASSERT(Took < std::chrono::milliseconds(900));
    CPPUNIT_ASSERT(Took >= std::chrono::milliseconds(390));
  }

  void requestsWhenPipelinedAreAnsweredInOrder() {
    scriptBoth(
        [](const std::string &R) {
          return answer("200 OK", idOf(R), Stamp, "body-of-" + idOf(R));
        },
        3);
    auto C = call(request("/once/", "r1") + request("/once/", "r2") +
                  request("/once/", "r3"));
    runUntil(
        [&C] { return C->Received.find("body-of-r3") != std::string::npos; });
    size_t First = C->Received.find("body-of-r1");
    size_t Second = C->Received.find("body-of-r2");
    CPPUNIT_ASSERT(First < Second);
    CPPUNIT_ASSERT(Second < C->Received.find("body-of-r3"));
  }

  void requestWhenMalformedClosesOnlyItsConnection() {
    scriptBoth(served("fine"), 2);
    auto Bad = call("POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Content-Length: 5\r\n\r\nabcde");
    auto Good = call(request("/once/", "r1"));
    runUntil([&] { return Bad->IsEnded && Good->Received.ends_with("fine"); });
    CPPUNIT_ASSERT(Bad->Received.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT_EQUAL(size_t(1), requestsSeen().size());
  }

  void callersWhenNodeDrainsReceiveConnectionClose() {
    scriptBoth(served("x"));
    CPPUNIT_ASSERT(Node->isReady());
    Node->beginDrain();
    CPPUNIT_ASSERT(!Node->isReady());
    auto C = call(request("/once/", "r1"));
    runUntil([&C] { return C->IsEnded; });
    CPPUNIT_ASSERT(C->Received.find("Connection: close\r\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(C->Received.ends_with("x"));
    CPPUNIT_ASSERT(!C->WasBroken);
  }

  void connectionsWhenPooledAreReused() {
    scriptBoth(served("x"), 4);
    auto C = call("");
    for (int I = 1; I <= 4; ++I) {
      std::string Id = "r" + std::to_string(I);
      runUntil([&C] { return C->Socket->isOpen(); });
      C->Socket->write(request("/once/", Id));
      runUntil([&] {
        return count(C->Received, "HTTP/1.1 200") == static_cast<size_t>(I);
      });
    }
    CPPUNIT_ASSERT(Servers[0]->Connections + Servers[1]->Connections <= 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

} // namespace ragwort::gateway

//===- GatewayTest.cpp - Tests of Gateway.h over real sockets -------------===//
//
// One event loop runs a gateway, scripted backend servers and callers on
// loopback. Most tests simulate one fault of a server or a caller and check
// what the other side receives.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include "ragwort/base/Bytes.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class GatewayTest : public GatewayFixture {
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
    Node->beginDrain({SteadyClock().now(), std::chrono::seconds(8)});
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

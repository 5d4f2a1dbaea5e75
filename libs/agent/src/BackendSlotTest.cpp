//===- BackendSlotTest.cpp - Tests of BackendSlot.h -----------------------===//
#include "BackendSlot.h"
#include "ScriptedHttpServer.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::agent {

class BackendSlotTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendSlotTest);
  CPPUNIT_TEST(requestWhenAbortedIsNotSentAgain);
  CPPUNIT_TEST(answerWhenItNamesAnEarlierRequestIsNotTheNextOnes);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io;
  ScriptedHttpServer Server{Io};

  static WorkItemPtr idempotent(uint64_t Sequence) {
    auto Item = std::make_shared<WorkItem>();
    Item->Id = {1, Sequence};
    Item->Request.Method = "GET";
    Item->Request.Target = "/";
    Item->Request.Headers.push_back(
        {"Ragwort-Request-Id", "r" + std::to_string(Sequence)});
    Item->Deadline = SteadyClock().now() + std::chrono::seconds(1);
    return Item;
  }

  static std::string answer(const std::string &Id, const std::string &Body) {
    return "HTTP/1.1 200 OK\r\nRagwort-Request-Id: " + Id +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }

  std::vector<RunResult> run(BackendSlot &Slot, uint64_t Count) {
    std::vector<RunResult> Results;
    BackendSlot::StartCheck Start = [] { return true; };
    BackendSlot::MessageSender Send = [](wire::Message) {};
    runWith(Io, Server, [&]() -> asio::awaitable<void> {
      for (uint64_t I = 0; I < Count; ++I)
        Results.push_back(co_await Slot.run(idempotent(I), Start, Send));
    });
    return Results;
  }

public:
  void requestWhenAbortedIsNotSentAgain() {
    BackendSlot Slot(Io, Server.address());
    size_t Requests = 0;
    auto Abort = [&](const std::string &) {
      ++Requests;
      Slot.abort({1, 0});
      return std::string();
    };
    Server.Script = {Abort, Abort};
    CPPUNIT_ASSERT(run(Slot, 1)[0].End == RunEnd::Broken);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Requests);
  }

  void answerWhenItNamesAnEarlierRequestIsNotTheNextOnes() {
    BackendSlot Slot(Io, Server.address());
    Server.setScript(
        {answer("r0", "one"), answer("r0", "one") + answer("r1", "two")});
    std::vector<RunResult> Results = run(Slot, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), Results[0].Answer.Body);
    CPPUNIT_ASSERT(Results[1].End == RunEnd::Broken);
    CPPUNIT_ASSERT(Results[1].Answer.Body.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BackendSlotTest);

} // namespace ragwort::agent

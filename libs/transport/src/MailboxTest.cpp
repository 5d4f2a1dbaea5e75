//===- MailboxTest.cpp - Tests of Mailbox.h -------------------------------===//
#include "ragwort/transport/Mailbox.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort {

class MailboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MailboxTest);
  CPPUNIT_TEST(boxWhenClosedDeliversWhatIsQueuedFirst);
  CPPUNIT_TEST(boxWhenFullRefuses);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io;
  std::shared_ptr<Mailbox<int>> Box =
      std::make_shared<Mailbox<int>>(Io.get_executor(), 2);

  absl::StatusOr<int> receive() {
    absl::StatusOr<int> Result = absl::InternalError("not received");
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::hours(1);
    asio::co_spawn(
        Io,
        [&]() -> asio::awaitable<void> {
          Result = co_await Box->receive(Deadline);
        },
        asio::detached);
    Io.restart();
    Io.run();
    return Result;
  }

public:
  void boxWhenClosedDeliversWhatIsQueuedFirst() {
    Box->push(5);
    Box->close();
    CPPUNIT_ASSERT_EQUAL(5, receive().value());
    CPPUNIT_ASSERT(absl::IsUnavailable(receive().status()));
  }

  void boxWhenFullRefuses() {
    CPPUNIT_ASSERT(Box->push(1));
    CPPUNIT_ASSERT(Box->push(2));
    CPPUNIT_ASSERT(!Box->push(3));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MailboxTest);

} // namespace ragwort

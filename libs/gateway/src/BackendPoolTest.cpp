//===- BackendPoolTest.cpp - Tests of idle connections --------------------===//
#include "ragwort/gateway/BackendPool.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class BackendPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendPoolTest);
  CPPUNIT_TEST(connectionWhenItHasCarriedTheIdIsNotTaken);
  CPPUNIT_TEST(connectionWhenItHasCarriedManyIdsIsNotKept);
  CPPUNIT_TEST(connectionWhenIdleForTooLongIsNotTaken);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Duration KeepAlive = std::chrono::seconds(5);
  asio::io_context Io;
  BackendPool Pool;
  const TimePoint Now = SteadyClock().now();

  StreamSocket *keep(const std::vector<std::string> &Ids, Duration Idle) {
    KeptConnection C{std::make_shared<StreamSocket>(Io), {}};
    for (const std::string &Id : Ids)
      C.Carried.add(Id);
    StreamSocket *Socket = C.Socket.get();
    Pool.keep("i", std::move(C), KeepAlive, Now - Idle);
    return Socket;
  }

  StreamSocket *take(std::string_view RequestId) {
    auto Taken = Pool.take("i", RequestId, Now, std::chrono::seconds(2));
    return Taken ? Taken->Socket.get() : nullptr;
  }

public:
  void connectionWhenItHasCarriedTheIdIsNotTaken() {
    StreamSocket *Older = keep({"b"}, std::chrono::seconds(1));
    keep({"a", "c"}, std::chrono::seconds(0));
    CPPUNIT_ASSERT(take("a") == Older);
    CPPUNIT_ASSERT(take("a") == nullptr);
    CPPUNIT_ASSERT(take("c") == nullptr);
    CPPUNIT_ASSERT(take("b") != nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Pool.size());
  }

  void connectionWhenItHasCarriedManyIdsIsNotKept() {
    std::vector<std::string> Ids(CarriedIds::Limit - 1, "x");
    keep(Ids, std::chrono::seconds(0));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Pool.size());
    Ids.emplace_back("y");
    keep(Ids, std::chrono::seconds(0));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Pool.size());
  }

  void connectionWhenIdleForTooLongIsNotTaken() {
    keep({}, std::chrono::seconds(3));
    CPPUNIT_ASSERT(take("a") == nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Pool.size());
    keep({}, std::chrono::seconds(6));
    CPPUNIT_ASSERT(take("a") == nullptr);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Pool.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BackendPoolTest);

} // namespace ragwort::gateway

//===- StreamStartsTest.cpp - Tests of StreamStarts.h ---------------------===//
#include "ragwort/gateway/StreamStarts.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

class StreamStartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamStartsTest);
  CPPUNIT_TEST(startWhenFewStreamsAreKnownIsUnknown);
  CPPUNIT_TEST(startWhenStreamsBeginDifferentlyIsUnknown);
  CPPUNIT_TEST(startWhenStreamsAreRejectedInARowIsForgotten);
  CPPUNIT_TEST_SUITE_END();

  StreamStarts Starts;

  void confirm(uint64_t Id, uint32_t Times) {
    for (uint32_t I = 0; I < Times; ++I)
      Starts.onConfirmed("s", Id);
  }

public:
  void startWhenFewStreamsAreKnownIsUnknown() {
    confirm(1, StreamStarts::MinStreams - 1);
    CPPUNIT_ASSERT(!Starts.usual("s"));
    confirm(1, 1);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), *Starts.usual("s"));
    CPPUNIT_ASSERT(!Starts.usual("other"));
  }

  void startWhenStreamsBeginDifferentlyIsUnknown() {
    for (uint64_t Id = 1; Id < 100; ++Id) {
      confirm(Id, StreamStarts::MinStreams - 1);
      CPPUNIT_ASSERT(!Starts.usual("s"));
    }
  }

  void startWhenStreamsAreRejectedInARowIsForgotten() {
    confirm(1, StreamStarts::MinStreams);
    for (uint32_t I = 1; I < StreamStarts::MaxRejected; ++I)
      Starts.onRejected("s");
    confirm(1, 1);
    for (uint32_t I = 1; I < StreamStarts::MaxRejected; ++I)
      Starts.onRejected("s");
    CPPUNIT_ASSERT(Starts.usual("s"));
    Starts.onRejected("s");
    CPPUNIT_ASSERT(!Starts.usual("s"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StreamStartsTest);

} // namespace ragwort::gateway

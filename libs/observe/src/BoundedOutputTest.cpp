//===- BoundedOutputTest.cpp - Tests of BoundedOutput.h -------------------===//
#include "ragwort/observe/BoundedOutput.h"
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

namespace ragwort {

class BoundedOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedOutputTest);
  CPPUNIT_TEST(lineWhenTheReaderKeepsUpIsWritten);
  CPPUNIT_TEST(linesWhenTheReaderIsStuckAreDroppedAndCounted);
  CPPUNIT_TEST(linesWhenOverTheRateLeaveRoomForImportantOnes);
  CPPUNIT_TEST_SUITE_END();

  std::array<int, 2> Pipe{};

  // Starts at 1 ms: BoundedOutput takes time 0 to mean that it was not refilled
  // yet.
  static TimePoint at(int64_t Millis) {
    return TimePoint(std::chrono::milliseconds(Millis + 1));
  }

  std::string readAll() const {
    std::string Result;
    std::array<char, 65536> Buffer;
    for (;;) {
      ssize_t Count = ::read(Pipe[0], Buffer.data(), Buffer.size());
      if (Count > 0)
        Result.append(Buffer.data(), static_cast<size_t>(Count));
      if (Count < static_cast<ssize_t>(Buffer.size()))
        return Result;
    }
  }

public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, ::pipe(Pipe.data())); }
  void tearDown() override {
    ::close(Pipe[0]);
    ::close(Pipe[1]);
  }

  void lineWhenTheReaderKeepsUpIsWritten() {
    BoundedOutput Out(Pipe[1], BoundedOutput::Limits());
    CPPUNIT_ASSERT(Out.write("event=a\n", LinePriority::Routine, at(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("event=a\n"), readAll());
  }

  void linesWhenTheReaderIsStuckAreDroppedAndCounted() {
    BoundedOutput::Limits Limits;
    Limits.BufferBytes = 4 * KiB;
    Limits.BurstBytes = 64 * MiB;
    BoundedOutput Out(Pipe[1], Limits);
    const std::string Line(999, 'x');
    for (int I = 0; I < 1000; ++I)
      Out.write(Line + "\n", LinePriority::Important, at(I));
    CPPUNIT_ASSERT(Out.dropped() > 500);
    readAll();
    Out.write("event=b\n", LinePriority::Important, at(2000));
    std::string Rest = readAll();
    CPPUNIT_ASSERT(Rest.find("event=log-lines-dropped count=" +
                             std::to_string(Out.dropped())) !=
                   std::string::npos);
    CPPUNIT_ASSERT(Rest.ends_with("event=b\n"));
  }

  void linesWhenOverTheRateLeaveRoomForImportantOnes() {
    BoundedOutput::Limits Limits;
    Limits.BytesPerSecond = 1000;
    Limits.BurstBytes = 1000;
    BoundedOutput Out(Pipe[1], Limits);
    const std::string Line = std::string(99, 'x') + "\n";
    int Taken = 0;
    for (int I = 0; I < 20; ++I)
      Taken += Out.write(Line, LinePriority::Routine, at(0));
    CPPUNIT_ASSERT_EQUAL(5, Taken);
    CPPUNIT_ASSERT(Out.write(Line, LinePriority::Important, at(0)));
    CPPUNIT_ASSERT(Out.write(Line, LinePriority::Routine, at(3000)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BoundedOutputTest);

} // namespace ragwort

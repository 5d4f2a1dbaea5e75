//===- BoundedOutput.cpp - Non-blocking line output with bounds -----------===//
#include "ragwort/observe/BoundedOutput.h"
#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace ragwort {

BoundedOutput::BoundedOutput(int Descriptor, Limits Bounds)
    : Descriptor(Descriptor), Bounds(Bounds),
      Tokens(static_cast<double>(Bounds.BurstBytes)) {
  int Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

void BoundedOutput::refill(TimePoint Now) {
  if (LastRefill != TimePoint()) {
    double Seconds = std::chrono::duration<double>(Now - LastRefill).count();
    Tokens =
        std::min(static_cast<double>(Bounds.BurstBytes),
                 Tokens + Seconds * static_cast<double>(Bounds.BytesPerSecond));
  }
  LastRefill = Now;
}

bool BoundedOutput::hasRoom(size_t Bytes, LinePriority Class) const {
  bool IsRoutine = Class == LinePriority::Routine;
  size_t Buffer = IsRoutine ? Bounds.BufferBytes / 2 : Bounds.BufferBytes;
  double Reserve = IsRoutine ? static_cast<double>(Bounds.BurstBytes) / 2 : 0.0;
  return Pending.size() + Bytes <= Buffer &&
         Tokens - Reserve >= static_cast<double>(Bytes);
}

bool BoundedOutput::write(std::string_view Line, LinePriority Class,
                          TimePoint Now) {
  refill(Now);
  flush();
  if (!hasRoom(Line.size(), Class)) {
    ++DroppedTotal;
    ++DroppedUnreported;
    return false;
  }
  if (DroppedUnreported > 0) {
    Pending +=
        "event=log-lines-dropped count=" + std::to_string(DroppedUnreported) +
        "\n";
    DroppedUnreported = 0;
  }
  Pending += Line;
  Tokens -= static_cast<double>(Line.size());
  flush();
  return true;
}

void BoundedOutput::flush() {
  size_t Written = 0;
  while (Written < Pending.size()) {
    ssize_t Count =
        ::write(Descriptor, Pending.data() + Written, Pending.size() - Written);
    if (Count <= 0)
      break; // Full or closed; the rest is retried with the next line.
    Written += static_cast<size_t>(Count);
  }
  Pending.erase(0, Written);
}

} // namespace ragwort

//===- LinkLoad.cpp - Whether the node's own link is full -----------------===//
#include "ragwort/dispatch/LinkLoad.h"
#include "ragwort/observe/Log.h"

namespace ragwort::dispatch {

void LinkLoad::update(const LinkBacklog &Backlog) {
  if (Mbps <= 0)
    return;
  bool IsShared =
      Backlog.Waiting >= MinWaiting && 2 * Backlog.Waiting >= Backlog.Answering;
  // Mbit/s are bits per microsecond.
  Queued = IsShared ? Duration(static_cast<int64_t>(
                          8 * static_cast<double>(Backlog.Bytes) / Mbps))
                    : Duration(0);
  bool IsNowFull = Queued >= (IsFull ? FullUntil : FullFrom);
  if (IsNowFull == IsFull)
    return;
  IsFull = IsNowFull;
  logEvent(IsFull ? LogLevel::Warning : LogLevel::Info, "link-load",
           {{"state", IsFull ? "full" : "normal"},
            {"queued_ms", Queued.count() / 1000},
            {"waiting", Backlog.Waiting},
            {"answering", Backlog.Answering}});
}

} // namespace ragwort::dispatch

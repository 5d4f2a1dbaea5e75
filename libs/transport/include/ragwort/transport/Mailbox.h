//===- Mailbox.h - Queue from many threads to one coroutine ---------------===//
//
// Producers push from any thread; one coroutine on the mailbox's executor
// receives. The queue is bounded, so that a slow receiver cannot make it
// grow without limit.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_MAILBOX_H
#define RAGWORT_TRANSPORT_MAILBOX_H

#include "ragwort/transport/Asio.h"
#include <absl/status/statusor.h>
#include <deque>
#include <memory>
#include <mutex>

namespace ragwort {

/// \code
///   auto Box = std::make_shared<Mailbox<int>>(Executor, 16);
///   Box->push(1);                                    // any thread
///   absl::StatusOr<int> Item = co_await Box->receive(Deadline);
/// \endcode
template <class T>
class Mailbox : public std::enable_shared_from_this<Mailbox<T>> {
public:
  using Clock = std::chrono::steady_clock;

  /// \p Executor must serialize its handlers (a strand). \p Bound counts items.
  Mailbox(asio::any_io_executor Executor, size_t Bound)
      : Executor(Executor), Bound(Bound), WakeTimer(Executor) {}

  /// Queues an item. \returns false when the mailbox is full or closed.
  bool push(T Item) {
    {
      std::lock_guard Lock(Mutex);
      if (IsClosed || Items.size() >= Bound)
        return false;
      Items.push_back(std::move(Item));
    }
    wake();
    return true;
  }

  /// Closes the mailbox. The receiver gets the queued items, then Unavailable.
  void close() {
    {
      std::lock_guard Lock(Mutex);
      IsClosed = true;
    }
    wake();
  }

  /// The next item. Unavailable once closed and empty, DeadlineExceeded when
  /// \p Deadline passes first.
  asio::awaitable<absl::StatusOr<T>> receive(Clock::time_point Deadline) {
    for (;;) {
      {
        std::lock_guard Lock(Mutex);
        if (!Items.empty()) {
          T Item = std::move(Items.front());
          Items.pop_front();
          co_return Item;
        }
        if (IsClosed)
          co_return absl::UnavailableError("closed");
      }
      if (Clock::now() >= Deadline)
        co_return absl::DeadlineExceededError("no message in time");
      WakeTimer.expires_at(Deadline);
      error_code Error;
      co_await WakeTimer.async_wait(
          asio::redirect_error(asio::use_awaitable, Error));
    }
  }

private:
  // The timer is used on the executor only. A wake-up posted between
  // receive()'s check and its wait runs after the wait has begun: both run on
  // the strand.
  void wake() {
    asio::post(Executor,
               [Self = this->shared_from_this()] { Self->WakeTimer.cancel(); });
  }

  asio::any_io_executor Executor;
  const size_t Bound;
  asio::steady_timer WakeTimer;
  std::mutex Mutex; // Leaf lock. Guards the two fields below.
  std::deque<T> Items;
  bool IsClosed = false;
};

} // namespace ragwort

#endif

//===- MemoryBudget.h - What a node holds for others, and its bound -------===//
//
// Counts the bytes that a node holds for callers and servers and says how
// scarce memory is. Each holder owns a MemoryCharge, which ends with it.
// docs/design/memory.md tells what each level changes.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_MEMORYBUDGET_H
#define RAGWORT_DISPATCH_MEMORYBUDGET_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ragwort::dispatch {

/// For whom bytes are held.
enum class Held : uint8_t {
  CallerRequests,
  CallerAnswers,
  /// Parts of answers, and requests that a server has not taken yet.
  Servers,
};
inline constexpr size_t HeldKinds = 3;

std::string_view toString(Held Value);

/// How scarce memory is. Ordered by scarcity.
enum class MemoryLevel : uint8_t { Normal, Tight, Full, Exhausted };

std::string_view toString(MemoryLevel Value);

/// \code
///   auto Budget = std::make_shared<MemoryBudget>(MemoryBytes / 2);
///   MemoryCharge Charge(Budget, Held::CallerAnswers);
///   Charge.set(Buffer.capacity());
///   if (!Budget->admits(BodyBytes)) refuse();
/// \endcode
class MemoryBudget {
public:
  /// \p Budget in bytes; 0 if unlimited.
  explicit MemoryBudget(size_t Budget) : Budget(Budget) {}

  size_t budget() const { return Budget; }
  size_t held() const { return Total; }
  size_t held(Held Kind) const { return ByKind[static_cast<size_t>(Kind)]; }
  /// Most bytes held since the start.
  size_t peak() const { return Peak; }
  MemoryLevel level() const { return Level; }
  /// Whether a new request that will hold \p Bytes may be accepted.
  bool admits(size_t Bytes) const;
  /// Bytes that one caller may have unread before reading from its server
  /// pauses.
  size_t unreadLimit() const;

private:
  friend class MemoryCharge;
  void change(Held Kind, size_t Before, size_t After);
  void updateLevel();

  const size_t Budget;
  std::array<size_t, HeldKinds> ByKind{};
  // Invariant: the sum of ByKind.
  size_t Total = 0;
  size_t Peak = 0;
  MemoryLevel Level = MemoryLevel::Normal;
};

/// The part of one holder. Does nothing if it was constructed without a budget.
class MemoryCharge {
public:
  MemoryCharge() = default;
  MemoryCharge(std::shared_ptr<MemoryBudget> Budget, Held Kind)
      : Budget(std::move(Budget)), Kind(Kind) {}
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;
  MemoryCharge(MemoryCharge &&Other) noexcept;
  MemoryCharge &operator=(MemoryCharge &&Other) noexcept;
  ~MemoryCharge() { set(0); }

  /// Replaces the bytes charged by \p NewBytes.
  void set(size_t NewBytes);
  size_t bytes() const { return Bytes; }

private:
  std::shared_ptr<MemoryBudget> Budget;
  Held Kind = Held::Servers;
  size_t Bytes = 0;
};

} // namespace ragwort::dispatch

#endif

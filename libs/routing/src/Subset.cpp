//===- Subset.cpp - Deterministic subsetting of backend servers -----------===//
#include "ragwort/routing/Subset.h"
#include "ragwort/base/Hash.h"
#include <algorithm>
#include <numeric>

namespace ragwort::routing {

namespace {

/// Returns the indices of \p Names in a pseudo-random order that depends only
/// on the names and \p Seed.
std::vector<size_t> shuffledIndices(std::span<const std::string> Names,
                                    uint64_t Seed) {
  std::vector<uint64_t> Scores(Names.size());
  for (size_t I = 0; I < Names.size(); ++I)
    Scores[I] = hash64(Names[I], Seed);
  std::vector<size_t> Order(Names.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](size_t A, size_t B) {
    return std::pair(Scores[A], Names[A]) < std::pair(Scores[B], Names[B]);
  });
  return Order;
}

} // namespace

std::vector<size_t> deterministicSubset(std::string_view Self,
                                        std::span<const std::string> Entries,
                                        std::span<const std::string> Servers,
                                        size_t Size) {
  Size = std::min(Size, Servers.size());
  auto SelfIt = std::find(Entries.begin(), Entries.end(), Self);
  if (SelfIt == Entries.end() || Size == 0)
    return rendezvousPick(Self, Servers, Size);
  // The rounds form one infinite sequence of server indices. The entry nodes,
  // in shuffled order, each take the next Size elements of it.
  std::vector<size_t> EntryOrder = shuffledIndices(Entries, 0);
  auto SelfIndex = static_cast<size_t>(SelfIt - Entries.begin());
  auto Position = static_cast<size_t>(
      std::find(EntryOrder.begin(), EntryOrder.end(), SelfIndex) -
      EntryOrder.begin());
  std::vector<size_t> Result;
  size_t Offset = Position * Size;
  while (Result.size() < Size) {
    size_t Round = Offset / Servers.size();
    std::vector<size_t> Order = shuffledIndices(Servers, Round + 1);
    for (size_t I = Offset % Servers.size();
         I < Servers.size() && Result.size() < Size; ++I, ++Offset)
      // A subset that spans two rounds may come across the same server twice;
      // skip the duplicate.
      if (std::find(Result.begin(), Result.end(), Order[I]) == Result.end())
        Result.push_back(Order[I]);
  }
  return Result;
}

} // namespace ragwort::routing

//===- StreamStarts.h - The id with which new streams begin ---------------===//
#ifndef RAGWORT_GATEWAY_STREAMSTARTS_H
#define RAGWORT_GATEWAY_STREAMSTARTS_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwort::gateway {

/// For each service, the id of the first event of its new streams, learned from
/// streams whose first id was confirmed. A stream that begins otherwise has
/// lost its first event, or its first id is wrong.
///
/// \code
///   if (std::optional<uint64_t> First = Starts.usual(Service))
///     Events.expectFirst(*First);
/// \endcode
class StreamStarts {
public:
  /// Streams in a row that must begin alike before others are rejected.
  static constexpr uint32_t MinStreams = 8;
  /// Rejected streams in a row after which the service is taken to have changed
  /// its numbering.
  static constexpr uint32_t MaxRejected = 3;

  /// Nothing if unknown, or if streams begin differently.
  std::optional<uint64_t> usual(std::string_view Service) const {
    auto Found = Starts.find(Service);
    if (Found == Starts.end() || Found->second.Streams < MinStreams)
      return std::nullopt;
    return Found->second.Id;
  }

  /// A stream began with the confirmed id \p Id.
  void onConfirmed(std::string_view Service, uint64_t Id) {
    auto Found = Starts.find(Service);
    if (Found == Starts.end())
      Found = Starts.emplace(std::string(Service), Start{Id}).first;
    Start &S = Found->second;
    if (S.Id != Id)
      S = Start{Id};
    S.Streams = std::min(S.Streams + 1, MinStreams);
    S.Rejected = 0;
  }

  /// A stream was rejected because it began otherwise.
  void onRejected(std::string_view Service) {
    auto Found = Starts.find(Service);
    if (Found != Starts.end() && ++Found->second.Rejected >= MaxRejected)
      Starts.erase(Found);
  }

private:
  struct Start {
    uint64_t Id = 0;
    uint32_t Streams = 0;
    uint32_t Rejected = 0;
  };

  // By the service's name.
  std::map<std::string, Start, std::less<>> Starts;
};

} // namespace ragwort::gateway

#endif

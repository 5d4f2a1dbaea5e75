//===- RecordText.h - JSON encoding of journal rows -----------------------===//
#ifndef RAGWORT_JOURNAL_RECORDTEXT_H
#define RAGWORT_JOURNAL_RECORDTEXT_H

#include "ragwort/journal/Records.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace ragwort::journal {

/// Converts a head row to JSON text and back. DataLoss if the text is
/// malformed.
std::string printHead(const Head &H);
absl::StatusOr<Head> parseHead(std::string_view Text);

/// Converts a log row to JSON text and back. DataLoss if the text is malformed.
/// An answer whose body or content type is not valid UTF-8 is written without
/// them and marked as not kept.
std::string printBatch(const Batch &B);
absl::StatusOr<Batch> parseBatch(std::string_view Text);

} // namespace ragwort::journal

#endif

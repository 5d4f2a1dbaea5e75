//===- RecordText.h - Rows of the journal as JSON text --------------------===//
#ifndef RAGWORT_JOURNAL_RECORDTEXT_H
#define RAGWORT_JOURNAL_RECORDTEXT_H

#include "ragwort/journal/Records.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace ragwort::journal {

/// Text of a head row, and back. Malformed text is DataLoss.
std::string printHead(const Head &H);
absl::StatusOr<Head> parseHead(std::string_view Text);

/// Text of a log row, and back. An answer whose body is not valid UTF-8 is
/// written without it and marked as not kept.
std::string printBatch(const Batch &B);
absl::StatusOr<Batch> parseBatch(std::string_view Text);

} // namespace ragwort::journal

#endif

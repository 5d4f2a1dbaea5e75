#include "Experiments.h"
namespace ragwort::experiments {
void runShares(std::ostream &, const std::string &) {}
} // namespace ragwort::experiments

#include "Experiments.h"
namespace ragwort::experiments {
void runRouting(std::ostream &, const std::string &) {}
} // namespace ragwort::experiments

#include "bambootack/health/evidence.h"

#include <array>

namespace bambootack::health {
namespace {

struct KindRow {
  EvidenceKind kind;
  bool evidence;
  double weight;
};

// A timeout weighs slightly less than a reset: part of the elapsed time may
// have been spent in the network.
constexpr std::array<KindRow, kEvidenceKindCount> kKindTable{{
    {EvidenceKind::kSuccess, true, 0.0},
    {EvidenceKind::kError, true, 1.0},
    {EvidenceKind::kTimeout, true, 0.9},
    {EvidenceKind::kReset, true, 1.0},
    {EvidenceKind::kRefused, true, 1.0},
    {EvidenceKind::kClientError, false, 0.0},
    {EvidenceKind::kShed, false, 0.0},
    {EvidenceKind::kDraining, false, 0.0},
}};

constexpr bool IsOrderedByKind() {
  for (std::size_t i = 0; i < kKindTable.size(); ++i) {
    if (kKindTable[i].kind != static_cast<EvidenceKind>(i)) {
      return false;
    }
  }
  return true;
}
static_assert(IsOrderedByKind(), "one row for each kind, in order");

}  // namespace

double FailureWeight(EvidenceKind kind) noexcept {
  return kKindTable[static_cast<std::size_t>(kind)].weight;
}

bool IsEvidence(EvidenceKind kind) noexcept {
  return kKindTable[static_cast<std::size_t>(kind)].evidence;
}

}  // namespace bambootack::health

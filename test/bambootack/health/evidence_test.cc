#include "bambootack/health/evidence.h"

#include <boost/test/unit_test.hpp>

namespace health = bambootack::health;

BOOST_AUTO_TEST_SUITE(evidence)

// Guards against 4xx responses and explicit refusals that count against a
// server, and against failures without weight.
BOOST_AUTO_TEST_CASE(weights_match_the_kinds) {
  using health::EvidenceKind;
  struct Row {
    EvidenceKind kind;
    bool evidence;
    bool failure;
  };
  const Row rows[] = {
      {EvidenceKind::kSuccess, true, false},
      {EvidenceKind::kError, true, true},
      {EvidenceKind::kTimeout, true, true},
      {EvidenceKind::kReset, true, true},
      {EvidenceKind::kRefused, true, true},
      {EvidenceKind::kClientError, false, false},
      {EvidenceKind::kShed, false, false},
      {EvidenceKind::kDraining, false, false},
  };
  static_assert(std::size(rows) == health::kEvidenceKindCount);
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(health::kEvidenceKindNames.Name(row.kind)) {
      BOOST_TEST(health::IsEvidence(row.kind) == row.evidence);
      BOOST_TEST((health::FailureWeight(row.kind) > 0.0) == row.failure);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

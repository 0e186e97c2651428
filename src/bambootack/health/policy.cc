#include "bambootack/health/policy.h"

namespace bambootack::health {

Policy MakePolicy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kConsecutive:
      return Consecutive();
    case PolicyKind::kSuccessRate:
      return SuccessRate();
    case PolicyKind::kSequential:
      break;
  }
  return Sequential();
}

}  // namespace bambootack::health

#ifndef BAMBOOTACK_HEALTH_FWD_H_
#define BAMBOOTACK_HEALTH_FWD_H_

#include <cstdint>

namespace bambootack::health {

class Consecutive;
class GroupHealth;
class LatencyProfile;
class RequestQuarantine;
class Sequential;
class SuccessRate;
enum class EvidenceKind : std::uint8_t;
struct Evidence;
struct QuarantinedFingerprint;
struct ServerStatus;

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_FWD_H_

#ifndef BAMBOOTACK_IDEMPOTENCY_FWD_H_
#define BAMBOOTACK_IDEMPOTENCY_FWD_H_

namespace bambootack::idempotency {

class KeyTable;
class Owner;
struct KeyRecord;
struct KeyTableLimits;

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_FWD_H_

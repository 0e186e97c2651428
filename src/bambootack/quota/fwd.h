#ifndef BAMBOOTACK_QUOTA_FWD_H_
#define BAMBOOTACK_QUOTA_FWD_H_

namespace bambootack::quota {

class Lender;
class Owner;
class TokenBucket;

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_FWD_H_

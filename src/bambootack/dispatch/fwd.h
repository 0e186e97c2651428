#ifndef BAMBOOTACK_DISPATCH_FWD_H_
#define BAMBOOTACK_DISPATCH_FWD_H_

namespace bambootack::dispatch {

class CustomerSketch;
class FairTags;
class Group;
class GroupChooser;
class RankQueue;
class RankShares;
class RateLimiter;
class RetryBudget;
class ServiceTime;
class SlotTable;
struct Assignment;
struct QueuedRequest;
struct ServerAdmission;
struct ServerSlots;

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_FWD_H_

#ifndef BAMBOOTACK_MEMBERSHIP_FWD_H_
#define BAMBOOTACK_MEMBERSHIP_FWD_H_

namespace bambootack::membership {

class PartitionTable;
class ViewLog;
struct Member;
struct View;
struct ViewRecord;

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_FWD_H_

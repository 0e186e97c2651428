#ifndef BAMBOOTACK_SPREAD_FWD_H_
#define BAMBOOTACK_SPREAD_FWD_H_

namespace bambootack::spread {

class Gossiper;
class LogClient;
class PeerTable;
class SnapshotSchedule;
class StateFetcher;
class StateServer;
struct Peer;

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_FWD_H_

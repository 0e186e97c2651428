#ifndef BAMBOOTACK_CONFIG_FWD_H_
#define BAMBOOTACK_CONFIG_FWD_H_

namespace bambootack::config {

class Store;
struct FleetConfig;
struct Limit;
struct Position;
struct RankPolicy;
struct Route;
struct Server;
struct Service;
struct Ticket;

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_FWD_H_

#ifndef BAMBOOTACK_GATEWAY_FWD_H_
#define BAMBOOTACK_GATEWAY_FWD_H_

namespace bambootack::gateway {

struct GatewayConfig;
struct GatewayRoute;
struct ServerRecord;
class Gateway;
class PoisonRequestDetector;
class RouteTable;
class ServerPool;
class ServerRegistry;

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_FWD_H_

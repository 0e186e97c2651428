#ifndef BAMBOOTACK_NET_FWD_H_
#define BAMBOOTACK_NET_FWD_H_

namespace bambootack::net {

class HttpClient;
class HttpServer;
class PeerTransport;
class PlatformClient;

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_FWD_H_

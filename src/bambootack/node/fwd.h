#ifndef BAMBOOTACK_NODE_FWD_H_
#define BAMBOOTACK_NODE_FWD_H_

namespace bambootack::node {

class ControlRole;
class DispatcherRole;
class Entry;
class MembershipRole;
class Node;
class OwnerRole;
struct Context;
struct Shared;

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_FWD_H_

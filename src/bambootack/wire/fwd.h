#ifndef BAMBOOTACK_WIRE_FWD_H_
#define BAMBOOTACK_WIRE_FWD_H_

namespace bambootack::wire {

struct AcquireReply;
struct AcquireRequest;
struct Answer;
struct Cancel;
struct DispatchReply;
struct DispatchRequest;
struct Envelope;
class FrameGuard;
struct GroupLoad;
struct KeyUpdate;
struct Identity;
struct OpenedFrame;
struct OwnReply;
struct OwnRequest;
struct RefusedFrame;

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_FWD_H_

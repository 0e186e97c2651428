#ifndef BAMBOOTACK_LOG_FWD_H_
#define BAMBOOTACK_LOG_FWD_H_

namespace bambootack::log {

struct EventInfo;
class LineLimiter;
struct Record;

}  // namespace bambootack::log

#endif  // BAMBOOTACK_LOG_FWD_H_

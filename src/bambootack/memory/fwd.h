#ifndef BAMBOOTACK_MEMORY_FWD_H_
#define BAMBOOTACK_MEMORY_FWD_H_

namespace bambootack::memory {

class BodyAccount;

}  // namespace bambootack::memory

#endif  // BAMBOOTACK_MEMORY_FWD_H_

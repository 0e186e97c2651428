#ifndef BAMBOOTACK_SETTINGS_FWD_H_
#define BAMBOOTACK_SETTINGS_FWD_H_

namespace bambootack::settings {

struct Peer;
struct Settings;

}  // namespace bambootack::settings

#endif  // BAMBOOTACK_SETTINGS_FWD_H_

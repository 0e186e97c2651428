#ifndef BAMBOOTACK_TOML_FWD_H_
#define BAMBOOTACK_TOML_FWD_H_

namespace bambootack::toml_reader {

class Reader;
struct ShapeError;

}  // namespace bambootack::toml_reader

#endif  // BAMBOOTACK_TOML_FWD_H_

#include "bambootack/wire/codec.h"

#include <boost/leaf/error.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

#include "bambootack/core/error_kind.h"
#include "bambootack/wire/bounded_archive.h"
#include "bambootack/wire/serialize.h"

namespace bambootack::wire {

std::string Encode(const Envelope& envelope) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(envelope);
  }
  return std::move(out).str();
}

boost::leaf::result<Envelope> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return boost::leaf::new_error(
        core::Error{core::ErrorKind::kDecodeFailed, "message too large"});
  }
  try {
    BoundedInputArchive archive(bytes);
    Envelope envelope;
    archive(envelope);
    if (archive.Remaining() != 0) {
      return boost::leaf::new_error(core::Error{core::ErrorKind::kDecodeFailed,
                                                "bytes after the message"});
    }
    return envelope;
  } catch (const std::exception& error) {
    return boost::leaf::new_error(
        core::Error{core::ErrorKind::kDecodeFailed, error.what()});
  }
}

}  // namespace bambootack::wire

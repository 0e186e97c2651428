#include "bambootack/gateway/codec.h"

#include <boost/leaf/error.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

#include "bambootack/core/error_kind.h"
#include "bambootack/wire/bounded_archive.h"

namespace bambootack::wire {

template <>
struct EnumLimit<gateway::SendEnd> {
  static constexpr std::uint64_t kCount = CountOf(gateway::kSendEndNames);
};

}  // namespace bambootack::wire

namespace bambootack::core {

template <typename A>
void serialize(A& ar, Handle& it) {
  ar(it.index, it.version);
}

}  // namespace bambootack::core

namespace bambootack::gateway {

template <typename A>
void serialize(A& ar, SendKey& it) {
  ar(it.request, it.send);
}

template <typename A>
void serialize(A& ar, SlotNeed& it) {
  ar(it.service, it.route, it.repeatable, it.priority, it.patience,
     it.failure_domain, it.excluded);
}

template <typename A>
void serialize(A& ar, Slot& it) {
  ar(it.lease, it.server, it.address);
}

template <typename A>
void serialize(A& ar, ServerLoad& it) {
  ar(it.running, it.waiting);
}

template <typename A>
void serialize(A& ar, SlotRequest& it) {
  ar(it.key, it.repeat, it.need);
}

template <typename A>
void serialize(A& ar, SlotReply& it) {
  ar(it.key, it.slot);
}

template <typename A>
void serialize(A& ar, SlotRelease& it) {
  ar(it.lease, it.end, it.load);
}

template <typename A>
void serialize(A& ar, MemberNotice& it) {
  ar(it.address, it.failure_domain, it.leaving);
}

template <typename A>
void serialize(A& ar, TopicUpdate& it) {
  ar(it.topic, it.from, it.end, it.records);
}

std::string Encode(const PeerMessage& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

boost::leaf::result<PeerMessage> Decode(std::string_view bytes) {
  try {
    wire::BoundedInputArchive archive(bytes);
    PeerMessage message;
    archive(message);
    if (archive.Remaining() != 0) {
      return boost::leaf::new_error(core::Error{core::ErrorKind::kDecodeFailed,
                                                "bytes after the message"});
    }
    return message;
  } catch (const std::exception& error) {
    return boost::leaf::new_error(
        core::Error{core::ErrorKind::kDecodeFailed, error.what()});
  }
}

}  // namespace bambootack::gateway

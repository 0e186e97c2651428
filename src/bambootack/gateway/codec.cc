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
struct EnumLimit<gateway::AttemptOutcome> {
  static constexpr std::uint64_t kCount =
      CountOf(gateway::kAttemptOutcomeNames);
};

}  // namespace bambootack::wire

namespace bambootack::core {

template <typename A>
void serialize(A& ar, Handle& it) {
  ar(it.index, it.version);
}

}  // namespace bambootack::core

namespace bambootack::customers {

template <typename A>
void serialize(A& ar, Customer& it) {
  ar(it.name, it.keys, it.rank, it.rate, it.burst);
}

template <typename A>
void serialize(A& ar, KeyStateQuery& it) {
  ar(it.number);
}

template <typename A>
void serialize(A& ar, KeyStateReply& it) {
  ar(it.number, it.config_version, it.age);
}

}  // namespace bambootack::customers

namespace bambootack::quota {

template <typename A>
void serialize(A& ar, Stamp& it) {
  ar(it.incarnation, it.time);
}

template <typename A>
void serialize(A& ar, Quota& it) {
  ar(it.rate, it.burst);
}

template <typename A>
void serialize(A& ar, TokenRequest& it) {
  ar(it.number, it.customer, it.quota, it.stamp);
}

template <typename A>
void serialize(A& ar, TokenReply& it) {
  ar(it.number, it.shard, it.granted, it.exhausted, it.wait, it.stamp);
}

template <typename A>
void serialize(A& ar, LeaseNotice& it) {
  ar(it.shard, it.stamp);
}

template <typename A>
void serialize(A& ar, LeaseReply& it) {
  ar(it.shard, it.stamp);
}

template <typename A>
void serialize(A& ar, TokenReturn& it) {
  ar(it.customer);
}

}  // namespace bambootack::quota

namespace bambootack::gateway {

template <typename A>
void serialize(A& ar, SlotRequestKey& it) {
  ar(it.request, it.number);
}

template <typename A>
void serialize(A& ar, SlotRequirements& it) {
  ar(it.service, it.group, it.route, it.repeatable, it.priority,
     it.defers_to_urgent, it.waited_for_slot, it.max_queue_wait, it.time_left,
     it.failure_domain, it.excluded, it.fingerprint, it.customer,
     it.customer_rank);
}

template <typename A>
void serialize(A& ar, Slot& it) {
  ar(it.lease, it.server, it.address);
}

template <typename A>
void serialize(A& ar, ServerLoad& it) {
  ar(it.executing, it.queued);
}

template <typename A>
void serialize(A& ar, LimitReport& it) {
  ar(it.rate);
}

template <typename A>
void serialize(A& ar, KnownLimit& it) {
  ar(it.server, it.rate, it.age);
}

template <typename A>
void serialize(A& ar, SlotRequest& it) {
  ar(it.key, it.retry, it.requirements, it.lends_limits, it.limits);
}

template <typename A>
void serialize(A& ar, SlotReply& it) {
  ar(it.key, it.slot, it.knows_servers, it.quarantined, it.admission_wait);
}

template <typename A>
void serialize(A& ar, SlotRelease& it) {
  ar(it.lease, it.outcome, it.load, it.limit);
}

template <typename A>
void serialize(A& ar, CrashNotice& it) {
  ar(it.fingerprint, it.server, it.started);
}

template <typename A>
void serialize(A& ar, LeavingNotice& it) {
  ar(it.server, it.started);
}

template <typename A>
void serialize(A& ar, MemberNotice& it) {
  ar(it.address, it.failure_domain, it.leaving);
}

template <typename A>
void serialize(A& ar, ServerRecord& it) {
  ar(it.id, it.service, it.address, it.failure_domain, it.slots, it.draining,
     it.warmup_left, it.started, it.sequence);
}

template <typename A>
void serialize(A& ar, ServerChange& it) {
  ar(it.record, it.removed, it.offset);
}

template <typename A>
void serialize(A& ar, WeightedService& it) {
  ar(it.service, it.weight);
}

template <typename A>
void serialize(A& ar, GatewayRoute& it) {
  ar(it.id, it.host, it.path_prefix, it.repeatable, it.exempt, it.timeout,
     it.latency_target, it.priority, it.max_attempts, it.weighted_services);
}

template <typename A>
void serialize(A& ar, CallerLimits& it) {
  ar(it.header_bytes, it.body_bytes, it.header_timeout, it.idle_timeout);
}

template <typename A>
void serialize(A& ar, GatewayConfig& it) {
  ar(it.version, it.routes, it.services, it.requires_keys, it.customers,
     it.caller_limits);
}

template <typename A>
void serialize(A& ar, StateUpdate& it) {
  ar(it.from, it.position, it.history_start, it.age, it.available_for,
     it.servers, it.config_version, it.config);
}

template <typename A>
void serialize(A& ar, StateQuery& it) {
  ar(it.position, it.config_version);
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

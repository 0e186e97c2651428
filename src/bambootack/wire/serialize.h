#ifndef BAMBOOTACK_WIRE_SERIALIZE_H_
#define BAMBOOTACK_WIRE_SERIALIZE_H_

#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "bambootack/wire/messages.h"

// Field lists of the message types for cereal. Included by the codec only.

namespace bambootack::core {

template <typename A>
void serialize(A& ar, Handle& it) {
  ar(it.index, it.version);
}

template <typename A>
void serialize(A& ar, HeaderField& it) {
  ar(it.name, it.value);
}

template <typename A>
void serialize(A& ar, HttpRequest& it) {
  ar(it.method, it.target, it.headers, it.body);
}

template <typename A>
void serialize(A& ar, HttpAnswer& it) {
  ar(it.status, it.headers, it.body);
}

}  // namespace bambootack::core

namespace bambootack::config {

template <typename A>
void serialize(A& ar, GroupKey& it) {
  ar(it.service, it.failure_domain, it.number);
}

}  // namespace bambootack::config

namespace bambootack::wire {

template <typename A>
void serialize(A& ar, Answer& it) {
  ar(it.outcome, it.error, it.http, it.retry_after, it.new_key_would_be_served);
}

template <typename A>
void serialize(A& ar, GroupLoad& it) {
  ar(it.group, it.free_slots, it.wait);
}

template <typename A>
void serialize(A& ar, RoutedRequest& it) {
  ar(it.service, it.route, it.customer, it.rank, it.kind, it.remaining, it.key,
     it.first_attempt, it.fingerprint, it.http);
}

template <typename A>
void serialize(A& ar, SendId& it) {
  ar(it.incarnation, it.number);
}

template <typename A>
void serialize(A& ar, OwnRequest& it) {
  ar(it.requester, it.send, it.view, it.request);
}

template <typename A>
void serialize(A& ar, OwnReply& it) {
  ar(it.requester, it.send, it.answer);
}

template <typename A>
void serialize(A& ar, DispatchRequest& it) {
  ar(it.role, it.requester, it.send, it.group, it.request);
}

template <typename A>
void serialize(A& ar, DispatchReply& it) {
  ar(it.role, it.requester, it.send, it.state, it.answer, it.load);
}

template <typename A>
void serialize(A& ar, Cancel& it) {
  ar(it.role, it.requester, it.send);
}

template <typename A>
void serialize(A& ar, KeyState& it) {
  ar(it.key, it.fingerprint, it.answer, it.remaining);
}

template <typename A>
void serialize(A& ar, AcquireRequest& it) {
  ar(it.view, it.partitions);
}

template <typename A>
void serialize(A& ar, ReleasedPartition& it) {
  ar(it.partition, it.released_view, it.acquired_view, it.lost_until, it.keys);
}

template <typename A>
void serialize(A& ar, AcquireReply& it) {
  ar(it.incarnation, it.view, it.partitions);
}

template <typename A>
void serialize(A& ar, KeyUpdate& it) {
  ar(it.partition, it.key);
}

template <typename A>
void serialize(A& ar, Envelope& it) {
  ar(it.sender, it.incarnation, it.sequence, it.message);
}

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_SERIALIZE_H_

#ifndef BAMBOOTACK_WIRE_SERIALIZE_STATE_H_
#define BAMBOOTACK_WIRE_SERIALIZE_STATE_H_

#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "bambootack/config/state.h"
#include "bambootack/wire/spread_messages.h"

// Field lists of the control state for cereal. Included by codecs only.

namespace bambootack::config {

template <typename A>
void serialize(A& ar, Position& it) {
  ar(it.generation, it.offset);
}

template <typename A>
void serialize(A& ar, Server& it) {
  ar(it.id, it.address, it.failure_domain, it.slots, it.pin, it.leaving);
}

template <typename A>
void serialize(A& ar, Service& it) {
  ar(it.id, it.floor_slots, it.retry_budget, it.servers);
}

template <typename A>
void serialize(A& ar, Route& it) {
  ar(it.id, it.method, it.path, it.service, it.rank, it.kind, it.timeout,
     it.mint_key);
}

template <typename A>
void serialize(A& ar, RankPolicy& it) {
  ar(it.rank, it.target, it.share);
}

template <typename A>
void serialize(A& ar, Limit& it) {
  ar(it.id, it.service, it.route, it.customer, it.rank, it.per_second,
     it.burst);
}

template <typename A>
void serialize(A& ar, FleetConfig& it) {
  ar(it.services, it.routes, it.limits, it.ranks);
}

template <typename A>
void serialize(A& ar, ObjectMark& it) {
  ar(it.number, it.body_hash);
}

template <typename A>
void serialize(A& ar, AcceptedTicket& it) {
  ar(it.number, it.body_hash, it.author, it.record_id, it.at);
}

template <typename A>
void save(A& ar, const IntervalSet& it) {
  ar(it.All());
}

template <typename A>
void load(A& ar, IntervalSet& it) {
  IntervalSet::Ranges ranges;
  ar(ranges);
  it = {};
  for (const auto& [first, last] : ranges) {
    it.Insert(first, last);
  }
}

template <typename A>
void serialize(A& ar, State& it) {
  ar(it.config, it.position, it.last_id, it.numbers, it.lowest_number, it.marks,
     it.recent);
}

}  // namespace bambootack::config

namespace bambootack::wire {

template <typename A>
void serialize(A& ar, HeardPeer& it) {
  ar(it.vm, it.heard, it.current);
}

template <typename A>
void serialize(A& ar, HeldFingerprint& it) {
  ar(it.fingerprint, it.remaining_s);
}

template <typename A>
void serialize(A& ar, Gossip& it) {
  ar(it.incarnation, it.position, it.digest, it.view, it.has_state, it.leaving,
     it.receiver_heard, it.log_read, it.heard, it.held);
}

template <typename A>
void serialize(A& ar, StateRequest& it) {
  ar(it.incarnation, it.address, it.position, it.digest, it.view,
     it.state_digest, it.from);
}

template <typename A>
void serialize(A& ar, TicketRecord& it) {
  ar(it.offset, it.id, it.body);
}

template <typename A>
void serialize(A& ar, StateReply& it) {
  ar(it.position, it.digest, it.records, it.total, it.from, it.part, it.view,
     it.views);
}

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_SERIALIZE_STATE_H_

#include "bambootack/spread/state_server.h"

#include <algorithm>
#include <utility>

#include "bambootack/wire/state_codec.h"

namespace bambootack::spread {
namespace {

/// Memory for kept records; the newest record is kept whatever its size.
constexpr std::size_t kMaxKeptBytes = 4 * 1024 * 1024;

std::size_t SizeOf(const wire::TicketRecord& record) {
  return record.id.size() + record.body.size();
}

}  // namespace

void StateServer::Remember(wire::TicketRecord record, config::Position before,
                           std::uint64_t digest_before) {
  const bool follows = !kept_.empty() &&
                       kept_.back().before.generation == before.generation &&
                       kept_.back().before.offset + 1 == before.offset;
  if (!follows) {
    kept_.clear();
    kept_bytes_ = 0;
  }
  kept_bytes_ += SizeOf(record);
  kept_.push_back({std::move(record), before, digest_before});
  while (kept_bytes_ > kMaxKeptBytes && kept_.size() > 1) {
    kept_bytes_ -= SizeOf(kept_.front().record);
    kept_.pop_front();
  }
}

wire::StateReply StateServer::Answer(const wire::StateRequest& request,
                                     const config::Store& store,
                                     const ViewSection& views) {
  wire::StateReply reply;
  reply.position = store.Where();
  reply.digest = store.Digest();
  if (views.number > request.view) {
    reply.view = views.number;
    reply.views = views.bytes;
  }
  const bool same =
      request.position == store.Where() && request.digest == store.Digest();
  if (same || request.position > store.Where() || !store.HasState()) {
    return reply;
  }
  if (request.from > 0 || !AddRecords(request, reply)) {
    AddPart(request, store, reply);
  }
  return reply;
}

bool StateServer::AddRecords(const wire::StateRequest& request,
                             wire::StateReply& reply) const {
  auto it = std::find_if(kept_.begin(), kept_.end(), [&](const Kept& kept) {
    // With another digest the requester holds another state at this position,
    // which the records alone would not repair.
    return kept.before == request.position &&
           kept.digest_before == request.digest;
  });
  std::size_t bytes = 0;
  for (; it != kept_.end(); ++it) {
    bytes += SizeOf(it->record);
    if (bytes > kMaxPartBytes && !reply.records.empty()) {
      break;
    }
    reply.records.push_back(it->record);
  }
  return !reply.records.empty();
}

void StateServer::AddPart(const wire::StateRequest& request,
                          const config::Store& store, wire::StateReply& reply) {
  if (encoded_.empty() || encoded_at_ != store.Where() ||
      encoded_digest_ != store.Digest()) {
    encoded_ = wire::EncodeState(store.Whole());
    encoded_at_ = store.Where();
    encoded_digest_ = store.Digest();
  }
  const bool continues =
      request.state_digest == store.Digest() && request.from < encoded_.size();
  reply.from = continues ? request.from : 0;
  reply.total = encoded_.size();
  reply.part = encoded_.substr(reply.from, kMaxPartBytes);
}

}  // namespace bambootack::spread

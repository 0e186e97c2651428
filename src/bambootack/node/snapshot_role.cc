#include "bambootack/node/snapshot_role.h"

#include <fmt/format.h>

#include "bambootack/core/hash.h"
#include "bambootack/core/uuid.h"
#include "bambootack/spread/reader_choice.h"
#include "bambootack/wire/state_codec.h"

namespace bambootack::node {
namespace {

/// Beyond every offset: a read from here tells the end without any record.
constexpr std::uint64_t kProbeOffset = 1ULL << 62;

constexpr std::string_view kSnapshotObject = "snapshot";

}  // namespace

std::optional<config::State> SnapshotRole::Receive(const LogRead& event,
                                                   Context& context) {
  known_ = event.ok;
  if (!event.ok) {
    return std::nullopt;
  }
  if (event.first >= event.next) {
    schedule_.Lost();
    return std::nullopt;
  }
  if (event.next < seen_) {
    seen_ = 0;
  }
  if (event.records.empty()) {
    if (event.next > seen_) {
      context.Do(ReadLog{kSnapshotStream, event.next - 1});
    }
    return std::nullopt;
  }
  seen_ = event.next;
  auto state = wire::ReadSnapshot(event.records.back().body);
  if (state) {
    schedule_.Seen(state->position, context.now);
  }
  return state;
}

void SnapshotRole::Tick(std::uint64_t log_first, const spread::PeerTable& peers,
                        Context& context) {
  if (context.now >= next_read_) {
    next_read_ = context.now + spread::kSnapshotReadInterval;
    context.Do(ReadLog{kSnapshotStream, kProbeOffset});
  }
  const config::Store& store = context.shared.store;
  if (!known_ || !context.shared.HasControlState()) {
    return;
  }
  const std::size_t rank =
      spread::HashRank(context.shared.settings.vm, {},
                       core::HashBytes(kSnapshotObject), peers, context.now);
  if (schedule_.IsTurn(store.Where(), log_first, rank, context.now,
                       context.shared.random)) {
    Publish(context);
  }
}

void SnapshotRole::Publish(Context& context) {
  const config::State& state = context.shared.store.Whole();
  const std::string id =
      core::Uuid::Make(context.wall, context.shared.random).ToString();
  context.Do(AppendLog{kSnapshotStream, id, wire::SnapshotText(state)});
  context.Log(log::EventId::kSnapshotPublished,
              fmt::format("position={}:{}", state.position.generation,
                          state.position.offset));
}

}  // namespace bambootack::node

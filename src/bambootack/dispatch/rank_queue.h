#ifndef BAMBOOTACK_DISPATCH_RANK_QUEUE_H_
#define BAMBOOTACK_DISPATCH_RANK_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bambootack/core/handle.h"
#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"
#include "bambootack/dispatch/fair_tags.h"

namespace bambootack::dispatch {

/// @brief One request that waits for a slot.
struct QueuedRequest {
  core::Handle job;
  core::Rank rank = core::Rank::kNormal;
  core::Time deadline{};
  std::string customer;
  bool repeatable = false;
};

/// @brief A queued request as seen by the scheduler.
struct QueueEntry {
  core::Handle job;
  core::Time deadline{};
  bool repeatable = false;
};

/// @brief Queue of one rank. Requests are in rounds that are fair between
/// customers, and in order of their deadlines within a round.
class RankQueue {
 public:
  /// @brief Number of queued requests that are served before a new one.
  /// @param deadline Deadline of the new request.
  /// @param cells Cells of its customer.
  [[nodiscard]] std::size_t CountBefore(core::Time deadline,
                                        const SketchCells& cells) const;

  /// @brief Adds a request.
  /// @param cells Cells of its customer.
  void Push(const QueuedRequest& request, const SketchCells& cells);

  /// @brief First request in order of service.
  /// @param repeatable_only Skip requests that are not safe to execute more
  /// than once. Only the front of the queue is searched.
  [[nodiscard]] std::optional<QueueEntry> First(bool repeatable_only) const;

  /// @brief Removes a request to serve it, and advances to its round.
  void Dequeue(core::Handle job);

  /// @brief Removes a request without serving it.
  /// @return True if it was queued.
  bool Remove(core::Handle job);

  /// @brief Removes the requests whose deadline has passed.
  /// @return Their handles.
  [[nodiscard]] std::vector<core::Handle> RemoveExpired(core::Time now);

  [[nodiscard]] std::size_t size() const noexcept { return keys_.size(); }

  [[nodiscard]] bool empty() const noexcept { return keys_.empty(); }

 private:
  struct Key {
    std::uint64_t round = 0;
    core::Time deadline{};
    std::uint64_t sequence = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /// Tree that also counts the elements before a key in logarithmic time.
  using Order =
      __gnu_pbds::tree<Key, QueueEntry, std::less<>, __gnu_pbds::rb_tree_tag,
                       __gnu_pbds::tree_order_statistics_node_update>;

  Order order_;
  std::map<core::Handle, Key> keys_;
  FairTags tags_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_RANK_QUEUE_H_

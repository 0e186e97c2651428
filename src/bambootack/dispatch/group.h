#ifndef BAMBOOTACK_DISPATCH_GROUP_H_
#define BAMBOOTACK_DISPATCH_GROUP_H_

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/handle.h"
#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"
#include "bambootack/dispatch/customer_sketch.h"
#include "bambootack/dispatch/rank_queue.h"
#include "bambootack/dispatch/rank_shares.h"
#include "bambootack/dispatch/service_time.h"
#include "bambootack/dispatch/slot_table.h"
#include "bambootack/wire/messages.h"

namespace bambootack::dispatch {

/// @brief Assignment of a queued request to a slot of a server.
struct Assignment {
  core::Handle job;
  core::Rank rank = core::Rank::kNormal;
  std::string server_id;
  std::string address;
};

/// @brief Queue state of one rank, for reports.
struct RankState {
  std::size_t queued = 0;
  int busy = 0;                   ///< Slots in use.
  core::Duration wait{};          ///< Expected wait of a new request.
  core::Duration service_time{};  ///< Moving mean.
};

/// @brief Request queue and slots of one group of servers. Admits requests by
/// their deadline and expected wait, and assigns them to free slots by rank.
class Group {
 public:
  explicit Group(config::GroupKey key,
                 ServerSelection selection = ServerSelection::kLeastLoaded);

  /// @brief Applies the configured servers and ranks; slots in use are kept.
  /// @param policies Latency target and guaranteed share of every rank.
  /// @param max_busy Upper bound of the slots in use over all servers.
  void Configure(const std::vector<config::Server>& servers,
                 const RankPolicies& policies = config::FleetConfig{}.ranks,
                 int max_busy = std::numeric_limits<int>::max());

  /// @brief Sets the limits that a server's health imposes.
  void SetAdmission(std::string_view server_id, ServerAdmission admission) {
    slots_.SetAdmission(server_id, admission);
  }

  /// @brief Treats every slot as occupied by requests of the VM that was the
  /// group's dispatcher before, until load reports show otherwise.
  /// @param until Time by which all of these requests have ended.
  void AssumeBusy(core::Time until) { slots_.AssumeBusy(until); }

  /// @brief Records a server's load report.
  /// @param load Fraction of the server's slots in use, 0 to 1.
  void RecordServerLoad(std::string_view server_id, double load) {
    slots_.RecordServerLoad(server_id, load);
  }

  /// @brief Records that a server refused a request or a connection.
  void RecordRefusal(std::string_view server_id, core::Time now) {
    slots_.RecordRefusal(server_id, now);
  }

  /// @brief Queues a request if it can meet its deadline and its expected wait
  /// is within the limit of its rank.
  /// @return Nothing if it was queued, otherwise the delay before a retry.
  [[nodiscard]] std::optional<core::Duration> Offer(
      const QueuedRequest& request, core::Time now);

  /// @brief Queues an admitted request again whose attempt did not start on a
  /// server. It is not refused.
  void Requeue(const QueuedRequest& request);

  /// @brief Removes a request from the queue.
  /// @return True if the request was queued or dropped but not yet returned by
  /// `RemoveExpired`; false if it is assigned to a server or unknown.
  bool Remove(core::Handle job);

  /// @brief Removes the requests whose deadline has passed.
  /// @return Their handles, and those of requests that `AssignNext` dropped
  /// since the last call because they could no longer meet their deadline.
  [[nodiscard]] std::vector<core::Handle> RemoveExpired(core::Time now);

  /// @brief Assigns the next queued request to a free slot. Drops requests that
  /// can no longer meet their deadline.
  /// @return Nothing if no slot is free or no request is queued.
  [[nodiscard]] std::optional<Assignment> AssignNext(core::Time now);

  /// @brief Frees a slot of a server.
  /// @param rank Rank of the request that occupied the slot.
  void Release(std::string_view server_id, core::Rank rank, core::Time now);

  /// @brief Adds a service time to the estimate of a rank.
  void RecordServiceTime(core::Rank rank, core::Duration value) noexcept;

  /// @brief Free slots and expected wait of every rank, for the VMs that choose
  /// between groups.
  [[nodiscard]] wire::GroupLoad Load(core::Time now) const;

  /// @brief Queue state of one rank, for reports.
  [[nodiscard]] RankState StateOf(core::Rank rank, core::Time now) const;

  /// @brief Number of queued requests of all ranks.
  [[nodiscard]] std::size_t QueueSize() const noexcept;

  [[nodiscard]] const std::vector<ServerSlots>& Servers() const noexcept {
    return slots_.Servers();
  }

 private:
  /// Accounts for the slot time since the last event.
  void UpdateShares(core::Time now);
  /// Expected wait of a request behind `ahead` requests of its rank.
  [[nodiscard]] core::Duration ExpectedWait(std::size_t ahead, core::Rank rank,
                                            core::Time now) const;
  /// Expected wait above which a request of this customer is refused.
  [[nodiscard]] core::Duration MaxQueueWait(core::Rank rank,
                                            const SketchCells& cells) const;
  /// Drops requests at the front of a queue that can no longer meet their
  /// deadline.
  void DropInfeasible(RankQueue& queue, core::Rank rank, core::Time now);
  std::optional<Assignment> AssignFrom(core::Rank rank, core::Time now);

  config::GroupKey key_;
  RankPolicies policies_{};
  SlotTable slots_;
  RankShares shares_;
  PerRank<RankQueue> queues_;
  PerRank<ServiceTime> service_times_;
  PerRank<CustomerSketch> customers_;
  /// Dropped requests that `RemoveExpired` has not returned yet.
  std::vector<core::Handle> dropped_;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_GROUP_H_

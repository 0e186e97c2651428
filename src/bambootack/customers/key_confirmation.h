#ifndef BAMBOOTACK_CUSTOMERS_KEY_CONFIRMATION_H_
#define BAMBOOTACK_CUSTOMERS_KEY_CONFIRMATION_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "bambootack/core/random.h"
#include "bambootack/core/time.h"

namespace bambootack::customers {

/// @brief Asks a peer how old its confirmation of the API keys is.
struct KeyStateQuery {
  std::uint64_t number = 0;
};

/// @brief Answers a `KeyStateQuery`.
struct KeyStateReply {
  std::uint64_t number = 0;  ///< Of the query.
  std::uint64_t config_version = 0;
  core::Duration age{};  ///< Of the confirmation of the sender.
};

/// @brief Time up to which this VM knows all changes of the API keys: the start
/// of a read of the store whose result it has applied. A withdrawn key may be
/// in use again wherever that time is unknown or long ago. The time passes
/// between VMs in round trips only, because a message without a question may
/// have waited in a socket while its link or a process stood still. All times
/// must include the suspension of the VM.
class KeyConfirmation {
 public:
  /// @param max_age Age from which on the keys may not be used.
  explicit KeyConfirmation(core::Duration max_age) : max_age_(max_age) {}

  /// @brief Records a read of the store whose result has been applied.
  /// @param began When the read was sent.
  void RecordStoreRead(core::Time began) noexcept { Confirm(began); }

  /// @brief Whether the keys may be used.
  [[nodiscard]] bool IsValid(core::Time now) const noexcept {
    return confirmed_at_ && now - *confirmed_at_ <= max_age_;
  }

  /// @brief Age of the confirmation, or nothing before the first one.
  [[nodiscard]] std::optional<core::Duration> Age(core::Time now) const;

  /// @brief Whether a peer should be asked now.
  [[nodiscard]] bool IsQueryDue(core::Time now) const {
    return now >= NextTimer();
  }

  /// @brief Next time at which a peer should be asked.
  [[nodiscard]] core::Time NextTimer() const;

  /// @brief Records that a peer is asked now.
  [[nodiscard]] KeyStateQuery StartQuery(core::Time now, core::Random& random);

  /// @brief Number of queries since the last useful reply. The first goes to
  /// the store reader of the domain, further ones to other VMs.
  [[nodiscard]] std::uint32_t UnansweredQueries() const noexcept {
    return unanswered_queries_;
  }

  /// @brief Handles a reply. It confirms nothing if this VM has an older
  /// configuration than the sender.
  void Receive(const KeyStateReply& reply, std::uint64_t own_version,
               core::Time now, core::Random& random);

  /// @brief Builds the reply to a query, or nothing before the first
  /// confirmation.
  [[nodiscard]] std::optional<KeyStateReply> Reply(const KeyStateQuery& query,
                                                   std::uint64_t own_version,
                                                   core::Time now) const;

 private:
  struct SentQuery {
    std::uint64_t number = 0;
    core::Time sent_at{};
  };

  void Confirm(core::Time time) noexcept;

  core::Duration max_age_;
  std::optional<core::Time> confirmed_at_;
  core::Time next_query_at_{};
  std::uint64_t last_number_ = 0;
  std::uint32_t unanswered_queries_ = 0;
  std::deque<SentQuery> sent_queries_;  ///< The latest ones, oldest first.
};

}  // namespace bambootack::customers

#endif  // BAMBOOTACK_CUSTOMERS_KEY_CONFIRMATION_H_

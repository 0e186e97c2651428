#ifndef BAMBOOTACK_SPREAD_STATE_SERVER_H_
#define BAMBOOTACK_SPREAD_STATE_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "bambootack/config/store.h"
#include "bambootack/wire/spread_messages.h"

namespace bambootack::spread {

/// @brief Bytes of records or state in one reply: well below the largest
/// message, so that its other fields fit.
inline constexpr std::size_t kMaxPartBytes = 512 * 1024;

/// @brief Membership views as another module wrote them.
struct ViewSection {
  core::ViewNumber number{};
  std::string bytes;
};

/// @brief Answers requests for the state of this VM.
class StateServer {
 public:
  /// @brief Keeps an applied record for VMs that are a little behind.
  /// @param record The record.
  /// @param before Position before it.
  /// @param digest_before Digest of the configuration before it.
  void Remember(wire::TicketRecord record, config::Position before,
                std::uint64_t digest_before);

  /// @brief Answers a request.
  /// @param request The request.
  /// @param store State of this VM.
  /// @param views Views of this VM; sent if newer than the requester's.
  /// @return The reply.
  [[nodiscard]] wire::StateReply Answer(const wire::StateRequest& request,
                                        const config::Store& store,
                                        const ViewSection& views);

 private:
  struct Kept {
    wire::TicketRecord record;
    config::Position before;
    std::uint64_t digest_before = 0;
  };

  bool AddRecords(const wire::StateRequest& request,
                  wire::StateReply& reply) const;
  void AddPart(const wire::StateRequest& request, const config::Store& store,
               wire::StateReply& reply);

  std::deque<Kept> kept_;
  std::size_t kept_bytes_ = 0;
  std::string encoded_;
  config::Position encoded_at_;
  std::uint64_t encoded_digest_ = 0;
};

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_STATE_SERVER_H_

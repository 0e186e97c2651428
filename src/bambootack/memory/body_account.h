#ifndef BAMBOOTACK_MEMORY_BODY_ACCOUNT_H_
#define BAMBOOTACK_MEMORY_BODY_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "bambootack/core/time.h"

namespace bambootack::memory {

/// @brief Bounds on the bodies of requests that a process holds.
struct BodyLimits {
  std::size_t large_bytes = 0;  ///< All large bodies together.
  std::size_t small_bytes = 0;  ///< All small bodies together.
};

/// @brief Derives the bounds from the memory of the VM.
/// @param memory_bytes Memory of the VM; 0 if it is not known.
[[nodiscard]] BodyLimits MakeBodyLimits(std::size_t memory_bytes) noexcept;

/// @brief Account of the memory that bodies of requests take. A body reserves
/// its announced length before it is read, or, without one, twice what it has
/// reached so far. An announced body that was admitted can always be read to
/// its end, so that no two bodies wait for each other. Small bodies have a part
/// of their own and are admitted beside large ones. If a body does not fit,
/// incomplete bodies that have made no progress lose their memory, the one that
/// has waited longest first. No I/O and no clock.
class BodyAccount {
 public:
  /// @brief Identifies the body of one request.
  using BodyId = std::uint64_t;

  /// @brief Result of a reservation.
  struct Decision {
    bool admitted = false;
    /// Bodies whose connections are to be closed; they hold no memory any more.
    std::vector<BodyId> evicted;
  };

  explicit BodyAccount(BodyLimits limits) : limits_(limits) {}

  /// @brief Reserves memory for a body, or extends its reservation.
  /// @param bytes Size to be held in total.
  [[nodiscard]] Decision Reserve(BodyId body, std::size_t bytes,
                                 core::Time now);

  /// @brief Records how much of a body has been received.
  void RecordReceived(BodyId body, std::size_t bytes, core::Time now);

  /// @brief Records that a body is complete. It is held until its release.
  void RecordComplete(BodyId body);

  /// @brief Releases the memory of a body; ignores an unknown one.
  void Release(BodyId body);

  /// @brief Bytes reserved for large bodies.
  [[nodiscard]] std::size_t LargeBytes() const noexcept { return large_used_; }

  /// @brief Bytes reserved for small bodies.
  [[nodiscard]] std::size_t SmallBytes() const noexcept { return small_used_; }

  [[nodiscard]] const BodyLimits& Limits() const noexcept { return limits_; }

 private:
  struct Body {
    std::size_t reserved = 0;
    std::size_t counted = 0;  ///< Received bytes at the last progress.
    core::Time progress_at{};
    bool complete = false;
  };

  [[nodiscard]] std::size_t& UsedBy(std::size_t bytes) noexcept;
  [[nodiscard]] std::size_t LimitFor(std::size_t bytes) const noexcept;
  [[nodiscard]] bool EvictOne(bool large, BodyId except, core::Time now,
                              std::vector<BodyId>& evicted);

  BodyLimits limits_;
  std::size_t large_used_ = 0;
  std::size_t small_used_ = 0;
  std::map<BodyId, Body> bodies_;
};

}  // namespace bambootack::memory

#endif  // BAMBOOTACK_MEMORY_BODY_ACCOUNT_H_

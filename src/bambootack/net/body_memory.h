#ifndef BAMBOOTACK_NET_BODY_MEMORY_H_
#define BAMBOOTACK_NET_BODY_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "bambootack/core/error_kind.h"
#include "bambootack/memory/body_account.h"

namespace bambootack::net {

/// @brief Memory of the request bodies that one HTTP server holds. Used on one
/// thread.
class BodyMemory {
 public:
  using BodyId = memory::BodyAccount::BodyId;

  /// @brief Keeps the memory of a complete body until the last copy is gone.
  using Reservation = std::shared_ptr<void>;

  /// @param now Current time, in which suspension counts.
  BodyMemory(memory::BodyLimits limits, std::size_t max_body_bytes,
             std::function<core::Time()> now)
      : account_(std::make_shared<memory::BodyAccount>(limits)),
        max_body_bytes_(max_body_bytes),
        now_(std::move(now)) {}

  /// @brief Sets the largest body of a request.
  void SetMaxBodyBytes(std::size_t bytes) noexcept { max_body_bytes_ = bytes; }

  [[nodiscard]] std::size_t MaxBodyBytes() const noexcept {
    return max_body_bytes_;
  }

  /// @brief Admits a body.
  /// @param key Address of the parser that reads it.
  /// @param bytes Announced length, or 0 if there is none.
  /// @param close Closes the connection of the body.
  /// @return `kCount` if it is admitted, and otherwise the error to answer.
  [[nodiscard]] core::ErrorKind Begin(const void* key, std::size_t bytes,
                                      std::function<void()> close);

  /// @brief Records bytes of a body before they are stored.
  /// @param total Size of the body with them.
  /// @return As `Begin`.
  [[nodiscard]] core::ErrorKind Receive(const void* key, std::size_t total);

  /// @brief Bytes reserved for the body that a parser reads.
  [[nodiscard]] std::size_t ReservedBytes(const void* key) const;

  /// @brief Ends the reading of a body.
  /// @return Its reservation, empty if it has no body.
  [[nodiscard]] Reservation Complete(const void* key);

  /// @brief Releases the body of a parser that ends before it is complete.
  void Abandon(const void* key);

  /// @brief Incomplete bodies whose connections were closed for others.
  [[nodiscard]] std::uint64_t EvictedCount() const noexcept { return evicted_; }

  /// @brief Bodies refused for want of memory.
  [[nodiscard]] std::uint64_t RefusedCount() const noexcept { return refused_; }

  [[nodiscard]] const memory::BodyAccount& Account() const noexcept {
    return *account_;
  }

 private:
  struct Reading {
    BodyId id = 0;
    std::size_t reserved = 0;
    std::function<void()> close;
  };

  [[nodiscard]] core::ErrorKind Reserve(Reading& reading, std::size_t bytes);

  /// Shared with reservations, which may outlive this object.
  std::shared_ptr<memory::BodyAccount> account_;
  std::size_t max_body_bytes_;
  std::function<core::Time()> now_;
  BodyId last_id_ = 0;
  std::unordered_map<const void*, Reading> readings_;
  std::unordered_map<BodyId, const void*> by_id_;
  std::uint64_t evicted_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_BODY_MEMORY_H_

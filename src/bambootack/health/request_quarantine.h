#ifndef BAMBOOTACK_HEALTH_REQUEST_QUARANTINE_H_
#define BAMBOOTACK_HEALTH_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/time.h"

namespace bambootack::health {

/// @brief A held fingerprint as it travels between VMs. The time left is
/// relative, so that clocks need not agree.
struct QuarantinedFingerprint {
  std::uint64_t fingerprint = 0;
  core::Duration remaining{};

  friend bool operator==(const QuarantinedFingerprint&,
                         const QuarantinedFingerprint&) = default;
};

/// @brief Holds requests whose runs ended in the loss of servers. A success
/// clears a fingerprint: a request that crashes every server never has one.
class RequestQuarantine {
 public:
  /// @brief Notes that a server was lost while it ran the request.
  /// @param fingerprint Fingerprint of the request.
  /// @param server_id The server. Further losses of the same server count only
  /// after `RecordServerDown`, since a faulty server breaks the connections of
  /// any request.
  /// @param now Current time.
  void RecordLoss(std::uint64_t fingerprint, std::string_view server_id,
                  core::Time now);

  /// @brief Notes that a server accepts no connections: it has crashed.
  /// @param server_id The server.
  void RecordServerDown(std::string_view server_id);

  /// @brief Notes that the request ended in a whole answer.
  /// @param fingerprint Fingerprint of the request.
  void RecordSuccess(std::uint64_t fingerprint);

  /// @brief Tells whether the request is refused.
  /// @param fingerprint Fingerprint of the request.
  /// @param now Current time.
  /// @return True after the second loss, until it expires.
  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint,
                                   core::Time now) const;

  /// @brief Tells whether a loss is on record: the request is not retried and
  /// its failures are not evidence.
  /// @param fingerprint Fingerprint of the request.
  /// @param now Current time.
  /// @return True from the first loss, until it expires.
  [[nodiscard]] bool IsSuspected(std::uint64_t fingerprint,
                                 core::Time now) const;

  /// @brief Fingerprints to spread to other VMs.
  /// @param now Current time.
  /// @return Those held, with the time left.
  [[nodiscard]] std::vector<QuarantinedFingerprint> Export(
      core::Time now) const;

  /// @brief Takes over fingerprints held by another VM. A fingerprint that is
  /// held already keeps its expiry, so repeated merges never extend it.
  /// @param held Fingerprints of the other VM.
  /// @param now Current time.
  void Merge(const std::vector<QuarantinedFingerprint>& held, core::Time now);

  /// @brief Removes what has expired.
  /// @param now Current time.
  void Expire(core::Time now);

  /// @brief Number of fingerprints on record.
  /// @return The count.
  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

 private:
  struct Loss {
    std::string server_id;
    bool down = false;  ///< The server was seen down after the loss.
  };
  struct Record {
    std::vector<Loss> losses;
    bool held = false;
    core::Time until{};
  };

  [[nodiscard]] const Record* Find(std::uint64_t fingerprint,
                                   core::Time now) const;

  std::map<std::uint64_t, Record> records_;
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_REQUEST_QUARANTINE_H_

#ifndef BAMBOOTACK_HEALTH_REQUEST_QUARANTINE_H_
#define BAMBOOTACK_HEALTH_REQUEST_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/time.h"

namespace bambootack::health {

/// @brief A quarantined fingerprint as exchanged between VMs. The remaining
/// time is relative, so that clocks need not be synchronized.
struct QuarantinedFingerprint {
  std::uint64_t fingerprint = 0;
  core::Duration remaining{};

  friend bool operator==(const QuarantinedFingerprint&,
                         const QuarantinedFingerprint&) = default;
};

/// @brief Detects poison requests, which crash the servers that execute them,
/// and quarantines their fingerprints. A success clears a fingerprint, since a
/// request that crashes every server never succeeds.
class RequestQuarantine {
 public:
  /// @brief Records that the connection to a server was lost while it executed
  /// the request.
  /// @param server_id The server. Further losses of the same server count only
  /// after `RecordServerDown`, since a faulty server breaks the connections of
  /// any request.
  void RecordLoss(std::uint64_t fingerprint, std::string_view server_id,
                  core::Time now);

  /// @brief Records that a server accepts no connections: it has crashed.
  void RecordServerDown(std::string_view server_id);

  /// @brief Records that the request received a complete response. This clears
  /// a suspected fingerprint, but not a quarantined one.
  void RecordSuccess(std::uint64_t fingerprint);

  /// @brief Tells whether the request has to be refused.
  /// @return True from the second loss until the quarantine expires.
  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint,
                                   core::Time now) const;

  /// @brief Tells whether a loss is recorded for the request: it is not retried
  /// then, and its failures are not evidence.
  /// @return True from the first loss until its record expires.
  [[nodiscard]] bool IsSuspected(std::uint64_t fingerprint,
                                 core::Time now) const;

  /// @return The quarantined fingerprints, to be sent to peers.
  [[nodiscard]] std::vector<QuarantinedFingerprint> Export(
      core::Time now) const;

  /// @brief Adds fingerprints quarantined by a peer. A fingerprint that is
  /// quarantined already keeps its expiry time, so repeated merges never extend
  /// it. Remaining times are limited to the quarantine time of 10 min.
  void Merge(const std::vector<QuarantinedFingerprint>& quarantined,
             core::Time now);

  /// @brief Removes expired records.
  void Expire(core::Time now);

  /// @return Number of recorded fingerprints, suspected and quarantined.
  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

 private:
  struct Loss {
    std::string server_id;
    bool down = false;  ///< The server was down after the loss.
  };
  struct Record {
    std::vector<Loss> losses;
    bool quarantined = false;
    core::Time expires{};
  };

  [[nodiscard]] const Record* Find(std::uint64_t fingerprint,
                                   core::Time now) const;

  std::map<std::uint64_t, Record> records_;
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_REQUEST_QUARANTINE_H_

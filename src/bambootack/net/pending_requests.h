#ifndef BAMBOOTACK_NET_PENDING_REQUESTS_H_
#define BAMBOOTACK_NET_PENDING_REQUESTS_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bambootack/core/ids.h"

namespace bambootack::net::detail {

/// Requests that wait for their answers, shared by the traffic threads.
class PendingRequests {
 public:
  using Connection = restinio::connection_id_t;

  /// Adds a request, unless an earlier answer will close its connection: the
  /// caller takes such a request for one that was not read and sends it again.
  /// @param reservation Kept until the request is answered.
  std::optional<core::CallerId> Add(const restinio::request_handle_t& request,
                                    std::shared_ptr<void> reservation = {}) {
    const std::scoped_lock lock(mutex_);
    Row& row = rows_[request->connection_id()];
    if (row.close_after) {
      return std::nullopt;
    }
    const core::CallerId caller{++last_};
    pending_[caller] = {request, std::move(reservation)};
    row.callers.push_back(caller);
    row.newest = caller;
    ++row.unwritten;
    return caller;
  }

  /// Decides whether the answer to a request closes its connection. Answers are
  /// sent in the order of the requests, and nothing follows one that closes, so
  /// only the answer to the newest request may.
  /// @param requested Whether the answer asks for it. Once one has, the answer
  /// to the newest request closes the connection.
  bool ClosesConnection(const restinio::request_t& request,
                        core::CallerId caller, bool requested) {
    const std::scoped_lock lock(mutex_);
    const auto it = rows_.find(request.connection_id());
    if (it == rows_.end()) {
      return requested;
    }
    Row& row = it->second;
    const bool newest_is_open =
        row.newest == caller ||
        std::find(row.callers.begin(), row.callers.end(), row.newest) !=
            row.callers.end();
    if (requested && !row.close_after && newest_is_open) {
      row.close_after = row.newest;
    }
    return row.close_after == caller;
  }

  restinio::request_handle_t Take(core::CallerId caller) {
    const std::scoped_lock lock(mutex_);
    const auto it = pending_.find(caller);
    if (it == pending_.end()) {
      return nullptr;
    }
    restinio::request_handle_t request = std::move(it->second.request);
    pending_.erase(it);
    std::erase(rows_[request->connection_id()].callers, caller);
    return request;
  }

  /// An answer has been written, or could not be.
  void SetWritten(Connection connection) {
    const std::scoped_lock lock(mutex_);
    const auto it = rows_.find(connection);
    if (it != rows_.end() && --it->second.unwritten == 0) {
      rows_.erase(it);
    }
  }

  /// Whether a request of the connection has no complete answer yet.
  [[nodiscard]] bool IsWaiting(Connection connection) const {
    const std::scoped_lock lock(mutex_);
    return rows_.contains(connection);
  }

  std::vector<core::CallerId> Close(Connection connection) {
    const std::scoped_lock lock(mutex_);
    const auto it = rows_.find(connection);
    if (it == rows_.end()) {
      return {};
    }
    std::vector<core::CallerId> callers = std::move(it->second.callers);
    rows_.erase(it);
    for (const core::CallerId caller : callers) {
      pending_.erase(caller);
    }
    return callers;
  }

  void Clear() {
    const std::scoped_lock lock(mutex_);
    pending_.clear();
    rows_.clear();
  }

 private:
  struct Pending {
    restinio::request_handle_t request;
    std::shared_ptr<void> reservation;
  };
  struct Row {
    std::vector<core::CallerId> callers;
    std::size_t unwritten = 0;
    core::CallerId newest{};  ///< Last request that was read.
    /// Request whose answer closes the connection.
    std::optional<core::CallerId> close_after;
  };

  mutable std::mutex mutex_;
  std::uint64_t last_ = 0;
  std::unordered_map<core::CallerId, Pending> pending_;
  std::unordered_map<Connection, Row> rows_;
};

}  // namespace bambootack::net::detail

#endif  // BAMBOOTACK_NET_PENDING_REQUESTS_H_

#ifndef BAMBOOTACK_NODE_ROUTING_H_
#define BAMBOOTACK_NODE_ROUTING_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

#include "bambootack/idempotency/limits.h"
#include "bambootack/node/context.h"

namespace bambootack::node {

/// @brief Header fields that callers set.
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kTimeoutHeader = "Bambootack-Timeout-Ms";
inline constexpr std::string_view kAttemptHeader = "Bambootack-Attempt";
inline constexpr std::string_view kCustomerHeader = "Bambootack-Customer";

/// @brief Header field of a server's explicit refusal before it started.
inline constexpr std::string_view kNotStartedHeader = "Bambootack-Not-Started";

/// @brief Largest body of a caller's request.
inline constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

/// @brief Clock error allowed between a caller and a VM and between two VMs.
inline constexpr core::Duration kClockMargin = idempotency::kMaxClockSkew;

/// @brief Matches a caller's request with its route and checks its key.
/// @param http The request.
/// @param context Surroundings.
/// @return The routed request, or the answer that refuses it.
[[nodiscard]] std::variant<wire::RoutedRequest, wire::Answer> RouteRequest(
    core::HttpRequest http, Context& context);

/// @brief Where to send a request of a service.
struct DispatchTarget {
  config::GroupKey group;
  core::VmId vm = core::kNoVm;
};

/// @brief Groups and retry budgets for the configuration and view in force.
/// @param context Surroundings.
/// @return The tables, computed again only after a change.
[[nodiscard]] DispatchTables& TablesInForce(Context& context);

/// @brief Chooses a group of a service and the VM that dispatches for it.
/// @param service The service.
/// @param rank Rank of the request.
/// @param context Surroundings.
/// @return The target, or nothing if the service has no servers.
[[nodiscard]] std::optional<DispatchTarget> ChooseTarget(
    std::string_view service, core::Rank rank, Context& context);

/// @brief Key under which an entry dispatches by itself, `dispatch = "local"`.
/// @param service The service.
/// @return A key without failure domain.
[[nodiscard]] config::GroupKey LocalGroup(std::string_view service);

/// @brief Tells whether a reply proves that the operation did not run and that
/// another attempt may succeed. Overload and limits are final.
/// @param reply The reply.
/// @return True if so.
[[nodiscard]] bool IsNotRunAndRepeatable(
    const wire::DispatchReply& reply) noexcept;

/// @brief Tells whether another copy of a read may help. Overload and limits
/// are final.
/// @param reply The reply to the earlier copy.
/// @return True if so.
[[nodiscard]] bool IsReadRepeatable(const wire::DispatchReply& reply) noexcept;

/// @brief Takes the right to send a second copy from the service's budget.
/// @param service The service.
/// @param context Surroundings.
/// @return False if the budget is used up.
[[nodiscard]] bool TakeRetry(std::string_view service, Context& context);

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_ROUTING_H_

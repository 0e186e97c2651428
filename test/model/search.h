#ifndef TEST_MODEL_SEARCH_H_
#define TEST_MODEL_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/state_exchange.h"

namespace bambootack::model {

/// @brief An order of events that breaks an invariant.
struct Finding {
  std::vector<Event> events;
  std::string violation;
};

/// @brief Result of a search.
struct SearchReport {
  std::uint64_t states = 0;  ///< States reached, counted once for each order.
  std::optional<Finding> finding;  ///< Its shortest order if it was shrunk.
};

/// @brief Checks all orders of up to `depth` events. The subjects of reads,
/// messages and disruptions are all VMs; only one server changes.
[[nodiscard]] SearchReport CheckAllOrders(std::size_t domains,
                                          std::size_t depth,
                                          std::size_t threads);

/// @brief Checks one random order of events, with calm at its end, and shrinks
/// it if it breaks an invariant.
[[nodiscard]] SearchReport CheckRandomOrder(std::size_t domains,
                                            std::uint64_t seed,
                                            std::size_t length);

}  // namespace bambootack::model

#endif  // TEST_MODEL_SEARCH_H_

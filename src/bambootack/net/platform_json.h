#ifndef BAMBOOTACK_NET_PLATFORM_JSON_H_
#define BAMBOOTACK_NET_PLATFORM_JSON_H_

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "bambootack/node/events.h"

// JSON field names of the platform's interface. Included by source files only.

namespace bambootack::node {

template <typename A>
void serialize(A& ar, LogRecord& it) {
  ar(cereal::make_nvp("offset", it.offset), cereal::make_nvp("id", it.id),
     cereal::make_nvp("body", it.body));
}

template <typename A>
void serialize(A& ar, ListedVm& it) {
  ar(cereal::make_nvp("vm", it.vm), cereal::make_nvp("address", it.address),
     cereal::make_nvp("failure_domain", it.failure_domain),
     cereal::make_nvp("leaving", it.leaving));
}

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NET_PLATFORM_JSON_H_

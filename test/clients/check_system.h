#ifndef TEST_CLIENTS_CHECK_SYSTEM_H_
#define TEST_CLIENTS_CHECK_SYSTEM_H_

#include "clients/system.h"

namespace clients {

/// @brief Checks what must hold after any load: the system runs, serves, and
/// has stayed within its limits.
void CheckSystem(System& system, const SystemLimits& limits);

}  // namespace clients

#endif  // TEST_CLIENTS_CHECK_SYSTEM_H_

#ifndef GATEWAY_LOG_WRITER_H_
#define GATEWAY_LOG_WRITER_H_

#include <cstdint>
#include <string>

#include "bambootack/core/time.h"
#include "bambootack/log/event.h"
#include "bambootack/log/line_limiter.h"
#include "bambootack/settings/settings.h"

namespace bambootack::gateway_daemon {

/// @brief Writes log lines to standard output without blocking. Lines that do
/// not fit in the buffer are dropped and counted.
class LogWriter {
 public:
  /// @brief Makes standard output non-blocking.
  /// @param level Lowest level that is written.
  /// @param vm Name of the VM, part of each line.
  LogWriter(settings::LogLevel level, std::string vm);

  /// @brief Adds a line to the buffer, unless its level or the rate limit of
  /// its event suppresses it.
  void Add(const log::Record& record, core::Time now);

  /// @brief Writes as much of the buffer as standard output accepts.
  void Flush();

 private:
  settings::LogLevel level_;
  std::string vm_;
  log::LineLimiter limiter_;
  std::string buffer_;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_LOG_WRITER_H_

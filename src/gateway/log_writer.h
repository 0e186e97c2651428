#ifndef GATEWAY_LOG_WRITER_H_
#define GATEWAY_LOG_WRITER_H_

#include <cstdint>
#include <string>

#include "bambootack/core/time.h"
#include "bambootack/log/event.h"
#include "bambootack/log/line_limiter.h"
#include "bambootack/settings/settings.h"

namespace bambootack::gateway_daemon {

/// @brief Writes log lines to standard output without ever waiting for it. What
/// does not fit is dropped and counted.
class LogWriter {
 public:
  /// @brief Makes standard output non-blocking.
  /// @param level Least level that is written.
  /// @param vm Name of the VM.
  LogWriter(settings::LogLevel level, std::string vm);

  /// @brief Adds a line to the buffer.
  /// @param record The event.
  /// @param now Current time.
  void Add(const log::Record& record, core::Time now);

  /// @brief Writes the buffer, as far as standard output takes it.
  void Flush();

 private:
  settings::LogLevel level_;
  std::string vm_;
  log::LineLimiter limiter_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_LOG_WRITER_H_

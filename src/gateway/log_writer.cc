#include "gateway/log_writer.h"

#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace bambootack::gateway_daemon {
namespace {

/// Lines are dropped beyond this amount of unwritten output.
constexpr std::size_t kMaxBufferBytes = 64UL * 1024;

std::string Timestamp() {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch() % std::chrono::seconds(1);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis.count());
}

}  // namespace

LogWriter::LogWriter(settings::LogLevel level, std::string vm)
    : level_(level), vm_(std::move(vm)) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void LogWriter::Add(const log::Record& record, core::Time now) {
  const log::EventInfo& info = log::InfoOf(record.id);
  if (info.level < level_) {
    return;
  }
  const auto suppressed = limiter_.Admit(record.id, now);
  if (!suppressed) {
    return;
  }
  if (buffer_.size() > kMaxBufferBytes) {
    ++dropped_lines_;
    return;
  }
  buffer_ += fmt::format(
      "{} level={} event={} name={} vm={} {}{}{}\n", Timestamp(),
      settings::kLogLevelNames.Name(info.level), static_cast<int>(record.id),
      info.name, vm_, record.detail,
      *suppressed > 0 ? fmt::format(" held_back={}", *suppressed) : "",
      dropped_lines_ > 0
          ? fmt::format(" dropped={}", std::exchange(dropped_lines_, 0))
          : "");
}

void LogWriter::Flush() {
  while (!buffer_.empty()) {
    const ssize_t n = write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (n <= 0) {
      return;  // The reader is slow or closed; lines are buffered or dropped.
    }
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace bambootack::gateway_daemon

#include "bambootack/membership/appender.h"

#include <utility>

namespace bambootack::membership {
namespace {

/// The first reading that ends after the answer was lost may have begun before.
constexpr int kReadsBeforeRepeat = 2;

}  // namespace

void Appender::Start(Append append, core::Time now) {
  append_ = std::move(append);
  sent_ = now;
  lost_ = false;
  reads_ = 0;
}

void Appender::Answered(std::string_view id, bool ok) {
  if (append_ && append_->id == id && !ok) {
    lost_ = true;
  }
}

void Appender::Seen(std::string_view id) {
  if (append_ && append_->id == id) {
    append_.reset();
  }
}

std::optional<Appender::Append> Appender::ReadToEnd(core::Time now) {
  if (!append_) {
    return std::nullopt;
  }
  lost_ = lost_ || now - sent_ >= kAppendTimeout;
  if (!lost_ || ++reads_ < kReadsBeforeRepeat) {
    return std::nullopt;
  }
  sent_ = now;
  lost_ = false;
  reads_ = 0;
  return append_;
}

}  // namespace bambootack::membership

#include "bambootack/net/framing.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <system_error>

namespace bambootack::net {
namespace {

constexpr std::string_view kHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Stops the parser behind the message.
int OnComplete(http_parser* parser) {
  http_parser_pause(parser, 1);
  return 0;
}

http_parser_settings Settings() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_complete = &OnComplete;
  return settings;
}

}  // namespace

std::optional<std::uint64_t> ParseContentLength(
    std::string_view value) noexcept {
  std::int64_t length = 0;
  const char* end = value.data() + value.size();
  const auto [rest, ec] = std::from_chars(value.data(), end, length);
  const bool is_valid =
      ec == std::errc() && rest == end && !value.starts_with('-');
  return is_valid ? std::optional(static_cast<std::uint64_t>(length))
                  : std::nullopt;
}

BodyFraming FramingOf(const core::Headers& headers) noexcept {
  std::optional<std::string_view> length;
  std::optional<std::string_view> coding;
  for (const core::HeaderField& it : headers) {
    if (boost::algorithm::iequals(it.name, "Content-Length")) {
      // Equal lengths may be taken for one.
      if (length.value_or(it.value) != it.value ||
          !ParseContentLength(it.value)) {
        return BodyFraming::kInvalid;
      }
      length = it.value;
    } else if (boost::algorithm::iequals(it.name, "Transfer-Encoding")) {
      if (coding || !boost::algorithm::iequals(it.value, "chunked")) {
        return BodyFraming::kInvalid;
      }
      coding = it.value;
    }
  }
  if (length && coding) {
    return BodyFraming::kInvalid;
  }
  if (coding) {
    return BodyFraming::kChunked;
  }
  return length ? BodyFraming::kLength : BodyFraming::kClose;
}

ChunkedBodyValidator::ChunkedBodyValidator() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  Feed(kHead);
}

void ChunkedBodyValidator::Feed(std::string_view bytes) {
  if (!valid_ || complete_) {
    return;
  }
  const http_parser_settings settings = Settings();
  http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  complete_ = error == HPE_PAUSED;
  valid_ = complete_ || error == HPE_OK;
}

}  // namespace bambootack::net

#include "bambootack/net/framing.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <system_error>

#include "bambootack/net/field_syntax.h"

namespace bambootack::net {
namespace {

/// Longest line of a chunk size or of a trailer.
constexpr std::size_t kMaxLineBytes = 8192;

constexpr int kHexadecimal = 16;
constexpr std::size_t kLineEndBytes = 2;

void SkipBlanks(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
}

/// Removes a token from the start of a text.
/// @return False if there is none.
bool SkipToken(std::string_view& text) {
  std::size_t n = 0;
  while (n < text.size() && IsToken(text.substr(n, 1))) {
    ++n;
  }
  text.remove_prefix(n);
  return n > 0;
}

/// Removes a quoted string (RFC 9110, 5.6.4) from the start of a text that has
/// no control characters.
/// @return False if it does not end.
bool SkipQuotedString(std::string_view& text) {
  for (std::size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return true;
    }
  }
  return false;
}

/// Tells whether a text is a list of chunk extensions (RFC 9112, 7.1.1).
bool AreChunkExtensions(std::string_view text) {
  if (HasControlCharacter(text)) {
    return false;
  }
  while (!text.empty()) {
    SkipBlanks(text);
    if (!text.starts_with(';')) {
      return false;
    }
    text.remove_prefix(1);
    SkipBlanks(text);
    if (!SkipToken(text)) {
      return false;
    }
    std::string_view rest = text;
    SkipBlanks(rest);
    if (!rest.starts_with('=')) {
      continue;
    }
    text = rest.substr(1);
    SkipBlanks(text);
    if (!(text.starts_with('"') ? SkipQuotedString(text) : SkipToken(text))) {
      return false;
    }
  }
  return true;
}

/// Size of a chunk and what follows it on its line.
struct ChunkSize {
  std::uint64_t bytes = 0;
  std::string_view rest;
};

std::optional<ChunkSize> LeadingChunkSize(std::string_view line) {
  std::int64_t size = 0;
  const char* end = line.data() + line.size();
  const auto [rest, ec] = std::from_chars(line.data(), end, size, kHexadecimal);
  if (ec != std::errc() || line.starts_with('-')) {
    return std::nullopt;
  }
  return ChunkSize{static_cast<std::uint64_t>(size),
                   {rest, static_cast<std::size_t>(end - rest)}};
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

void ChunkedBodyValidator::Feed(std::string_view bytes) {
  while (!bytes.empty() && state_ != State::kComplete && IsValid()) {
    bytes.remove_prefix(state_ == State::kData ? FeedData(bytes)
                                               : FeedLine(bytes));
  }
}

std::size_t ChunkedBodyValidator::FeedData(std::string_view bytes) noexcept {
  const std::uint64_t n = std::min<std::uint64_t>(data_left_, bytes.size());
  data_left_ -= n;
  if (data_left_ == 0) {
    state_ = State::kDataEnd;
  }
  return n;
}

std::size_t ChunkedBodyValidator::FeedLine(std::string_view bytes) {
  const std::size_t newline = bytes.find('\n');
  const std::size_t n =
      newline == std::string_view::npos ? bytes.size() : newline + 1;
  const std::size_t limit =
      state_ == State::kDataEnd ? kLineEndBytes : kMaxLineBytes;
  if (line_.size() + n > limit) {
    state_ = State::kInvalid;
    return n;
  }
  line_.append(bytes.substr(0, n));
  if (newline != std::string_view::npos) {
    state_ = StateAfterLine();
    line_.clear();
  } else if (!IsLinePossible()) {
    state_ = State::kInvalid;
  }
  return n;
}

/// Checks the start of a line. libcurl reports a malformed one like a reset of
/// the connection, before the line is complete.
bool ChunkedBodyValidator::IsLinePossible() const {
  if (state_ == State::kDataEnd) {
    return line_ == "\r";
  }
  return state_ != State::kSizeLine || LeadingChunkSize(line_).has_value();
}

ChunkedBodyValidator::State ChunkedBodyValidator::StateAfterLine() {
  const auto line = WithoutLineEnd(line_);
  if (!line) {
    return State::kInvalid;
  }
  if (state_ == State::kDataEnd) {
    return line->empty() ? State::kSizeLine : State::kInvalid;
  }
  if (state_ == State::kTrailer) {
    if (line->empty()) {
      return State::kComplete;
    }
    return ParseField(*line) ? State::kTrailer : State::kInvalid;
  }
  const auto size = LeadingChunkSize(*line);
  if (!size || !AreChunkExtensions(size->rest)) {
    return State::kInvalid;
  }
  data_left_ = size->bytes;
  return data_left_ == 0 ? State::kTrailer : State::kData;
}

}  // namespace bambootack::net

#include "bambootack/net/answer_head.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "bambootack/net/field_syntax.h"

namespace bambootack::net {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kVersionLength = kVersionPrefix.size() + 1;
constexpr std::size_t kStatusLength = 3;
/// "HTTP/1.1 200 " without a reason phrase.
constexpr std::size_t kMinStatusLine = kVersionLength + kStatusLength + 2;

constexpr int kMinInterimStatus = 100;
constexpr int kMaxInterimStatus = 199;
constexpr int kSwitchingProtocols = 101;

/// No request asks for another protocol.
bool IsInterimStatus(int status) noexcept {
  return status >= kMinInterimStatus && status <= kMaxInterimStatus &&
         status != kSwitchingProtocols;
}

bool IsDigit(char it) noexcept { return it >= '0' && it <= '9'; }

}  // namespace

void AnswerHeadParser::Feed(std::string_view line) {
  const auto text = WithoutLineEnd(line);
  state_ = text ? NextState(*text) : State::kInvalid;
}

AnswerHeadParser::State AnswerHeadParser::NextState(std::string_view line) {
  switch (state_) {
    case State::kStatusLine:
      return ParseStatusLine(line) ? State::kFields : State::kInvalid;
    case State::kFields:
      if (line.empty()) {
        return StateAfterHead();
      }
      if (auto field = ParseField(line)) {
        fields_.push_back(*std::move(field));
        return State::kFields;
      }
      return State::kInvalid;
    case State::kComplete:
    case State::kInvalid:
      break;
  }
  return State::kInvalid;
}

bool AnswerHeadParser::ParseStatusLine(std::string_view line) noexcept {
  if (line.size() < kMinStatusLine || !line.starts_with(kVersionPrefix) ||
      !IsDigit(line[kVersionLength - 1]) || line[kVersionLength] != ' ' ||
      line[kMinStatusLine - 1] != ' ' || HasControlCharacter(line)) {
    return false;
  }
  const std::string_view status =
      line.substr(kVersionLength + 1, kStatusLength);
  if (!std::all_of(status.begin(), status.end(), &IsDigit)) {
    return false;
  }
  std::from_chars(status.data(), status.data() + status.size(), status_);
  supports_codings_ = line[kVersionLength - 1] != '0';
  fields_.clear();
  return core::IsFinalStatus(status_) || IsInterimStatus(status_);
}

AnswerHeadParser::State AnswerHeadParser::StateAfterHead() const noexcept {
  if (!core::IsFinalStatus(status_)) {
    return State::kStatusLine;
  }
  const bool coded = core::FindHeader(fields_, "Transfer-Encoding").has_value();
  return coded && !supports_codings_ ? State::kInvalid : State::kComplete;
}

}  // namespace bambootack::net

#include "bambootack/net/field_syntax.h"

#include <algorithm>
#include <string>

namespace bambootack::net {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;
constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kLineEnd = "\r\n";

/// Removes blanks and tabs at both ends.
std::string_view TrimBlanks(std::string_view text) noexcept {
  const std::size_t first = text.find_first_not_of(kBlanks);
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

bool IsToken(std::string_view text) noexcept {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char it) {
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') ||
           (it >= 'A' && it <= 'Z') ||
           kSymbols.find(it) != std::string_view::npos;
  });
}

bool HasControlCharacter(std::string_view text) noexcept {
  return std::any_of(text.begin(), text.end(), [](char it) {
    const auto byte = static_cast<unsigned char>(it);
    return (byte < kFirstPrintable && it != '\t') || byte == kDelete;
  });
}

std::optional<std::string_view> WithoutLineEnd(std::string_view line) noexcept {
  if (!line.ends_with(kLineEnd)) {
    return std::nullopt;
  }
  line.remove_suffix(kLineEnd.size());
  return line;
}

std::optional<core::HeaderField> ParseField(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return std::nullopt;
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (HasControlCharacter(value)) {
    return std::nullopt;
  }
  return core::HeaderField{std::string(line.substr(0, colon)),
                           std::string(value)};
}

}  // namespace bambootack::net

#ifndef BAMBOOTACK_WIRE_STATE_CODEC_H_
#define BAMBOOTACK_WIRE_STATE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "bambootack/config/state.h"

namespace bambootack::wire {

/// @brief Largest encoded state: 180,000 servers and 160,000 routes of about
/// 150 bytes each take 51 MB.
inline constexpr std::size_t kMaxStateBytes = 64UL * 1024 * 1024;

/// @brief Encodes the control state.
/// @param state The state.
/// @return Bytes in cereal's portable binary form.
[[nodiscard]] std::string EncodeState(const config::State& state);

/// @brief Decodes a control state.
/// @param bytes Bytes received.
/// @return The state, or nothing if the bytes are malformed or too long.
[[nodiscard]] std::optional<config::State> DecodeState(std::string_view bytes);

/// @brief Writes a state as text for a record of the log.
/// @param state The state.
/// @return Base64 text that starts with a checksum.
[[nodiscard]] std::string SnapshotText(const config::State& state);

/// @brief Reads a snapshot.
/// @param text Text of the record.
/// @return The state, or nothing if the text is truncated or malformed.
[[nodiscard]] std::optional<config::State> ReadSnapshot(std::string_view text);

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_STATE_CODEC_H_

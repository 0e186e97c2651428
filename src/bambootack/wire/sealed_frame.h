#ifndef BAMBOOTACK_WIRE_SEALED_FRAME_H_
#define BAMBOOTACK_WIRE_SEALED_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/ids.h"
#include "bambootack/wire/replay_window.h"

namespace bambootack::wire {

/// @brief Random number that a process draws when it starts. Frames are bound
/// to the session of their receiver. Zero is no session.
enum class Session : std::uint64_t {};

/// @brief Random bytes for one frame (XChaCha20-Poly1305). At 192 bits, random
/// nonces do not repeat in practice.
using Nonce = std::array<std::uint8_t, 24>;

/// @brief Bytes that sealing adds to a message.
inline constexpr std::size_t kSealOverheadBytes = 86;

/// @brief Senders remembered at a time: twice the VMs of the design scale.
inline constexpr std::size_t kMaxSenders = 16'384;

/// @brief A process of the fleet.
struct Identity {
  core::VmId vm{};
  core::Incarnation incarnation{};
  Session session{};
};

/// @brief Purpose of a frame.
enum class FrameKind : std::uint8_t {
  kMessage,  ///< Carries a message for one receiver.
  kHello,    ///< Tells the sender's session to any receiver.
};

/// @brief Why a frame was refused.
enum class FrameFault : std::uint8_t {
  kMalformed,       ///< Too short, or of another version or kind.
  kUnknownKey,      ///< Sealed with a key that is not in the settings.
  kWrongReceiver,   ///< Sealed for another VM.
  kNotAuthentic,    ///< Authentication failed.
  kWrongSession,    ///< Sealed for another process of this VM.
  kOldIncarnation,  ///< A newer process of the sender is known.
  kReplayed,        ///< The sequence number was accepted before.
};

/// @brief Names of the faults in logs and metrics.
inline constexpr core::EnumNames<FrameFault, 7> kFrameFaultNames{
    {"malformed", "unknown-key", "wrong-receiver", "not-authentic",
     "wrong-session", "old-incarnation", "replayed"}};

/// @brief An accepted frame.
struct OpenedFrame {
  FrameKind kind = FrameKind::kMessage;
  core::VmId sender{};
  core::Incarnation incarnation{};
  std::string message;      ///< Empty for a hello.
  bool asks_hello = false;  ///< A hello whose sender lacks this session.
};

/// @brief A refused frame.
struct RefusedFrame {
  FrameFault fault = FrameFault::kMalformed;
  /// Sender; set only for faults found after authentication. It should be sent
  /// a hello after `kWrongSession`.
  core::VmId sender = core::kNoVm;
};

/// @brief Seals and opens the frames of one process, for TCP and datagrams.
/// A frame is accepted at most once, by the one process that it was sealed for.
class FrameGuard {
 public:
  using Opened = std::variant<OpenedFrame, RefusedFrame>;

  /// @brief Creates a guard.
  /// @param self This process.
  /// @param hex_keys Keys of 64 hex digits; the first one seals, all open.
  /// @param max_senders Most senders to remember.
  /// @throw std::invalid_argument if a key is malformed.
  FrameGuard(Identity self, const std::vector<std::string>& hex_keys,
             std::size_t max_senders = kMaxSenders);

  /// @brief Seals a hello, which makes its receiver able to send here.
  /// @param nonce Random bytes, never used before.
  /// @param receiver VM that gets it. Unless its session is known, the hello
  /// asks for one in return.
  /// @return The frame.
  [[nodiscard]] std::string SealHello(const Nonce& nonce,
                                      core::VmId receiver = core::kNoVm);

  /// @brief Seals a message.
  /// @param receiver VM that may open it.
  /// @param message The message.
  /// @param nonce Random bytes, never used before.
  /// @return The frame, or nothing while the receiver's session is unknown.
  [[nodiscard]] std::optional<std::string> Seal(core::VmId receiver,
                                                std::string_view message,
                                                const Nonce& nonce);

  /// @brief Opens a frame and records its sequence number.
  /// @param frame Bytes received.
  /// @return The message, or why it was refused.
  [[nodiscard]] Opened Open(std::string_view frame);

  /// @brief Number of senders remembered.
  /// @return The count.
  [[nodiscard]] std::size_t SenderCount() const noexcept {
    return senders_.size();
  }

 private:
  using KeyBytes = std::array<std::uint8_t, 32>;

  struct Key {
    KeyBytes bytes{};
    std::uint32_t id = 0;
  };

  struct Header {
    FrameKind kind = FrameKind::kMessage;
    std::uint32_t key_id = 0;
    core::VmId sender{};
    core::VmId receiver = core::kNoVm;
    core::Incarnation incarnation{};
    Session session{};
    Session receiver_session{};
    std::uint64_t sequence = 0;
  };

  struct Sender {
    core::Incarnation incarnation{};
    Session session{};
    ReplayWindow window;
    std::uint64_t last_used = 0;
  };

  static Key ParseKey(const std::string& hex);
  static std::string Write(const Header& header, const Nonce& nonce);
  static std::optional<Header> Read(std::string_view frame);

  std::string SealWith(Header header, std::string_view message,
                       const Nonce& nonce);
  [[nodiscard]] const Key* FindKey(std::uint32_t id) const noexcept;
  Sender* Admit(const Header& header);
  void ForgetOldest();

  Identity self_;
  std::vector<Key> keys_;
  std::size_t max_senders_;
  std::map<core::VmId, Sender> senders_;
  /// Highest incarnation of the forgotten senders. A sender without a row is
  /// accepted only above it, so forgetting a row does not allow a replay.
  core::Incarnation forgotten_{};
  std::uint64_t sequence_ = 0;
  std::uint64_t uses_ = 0;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_SEALED_FRAME_H_

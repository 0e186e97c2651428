#ifndef DAEMON_PEER_SECURITY_H_
#define DAEMON_PEER_SECURITY_H_

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bambootack/wire/messages.h"
#include "bambootack/wire/sealed_frame.h"

namespace bambootack::daemon {

/// @brief Why a frame was not accepted.
struct FrameRejection {
  std::optional<wire::FrameFault> fault;  ///< Empty if only decoding failed.
  core::VmId sender = core::kNoVm;        ///< Set once authenticated.
  std::string detail;
  bool hello = false;        ///< The frame told the sender's session.
  bool needs_hello = false;  ///< The sender lacks the session of this process.
};

/// @brief Seals, opens and decodes the messages of this process, for TCP and
/// for datagrams. Draws the nonces; may be used by several threads.
class PeerSecurity {
 public:
  using Received = std::variant<wire::Envelope, FrameRejection>;
  using Frame = std::variant<wire::OpenedFrame, FrameRejection>;

  /// @brief Draws the session of this process.
  /// @param vm This VM.
  /// @param keys Hex keys of the fleet, the first one seals.
  /// @param incarnation Start number of the process.
  PeerSecurity(core::VmId vm, const std::vector<std::string>& keys,
               core::Incarnation incarnation);

  /// @brief Frame that enables its receiver to send to this process.
  /// @param receiver VM that gets it, if it is known.
  /// @return The frame.
  [[nodiscard]] std::string Hello(core::VmId receiver);

  /// @brief Learns the session of a VM from its hello.
  /// @param vm VM that is expected to have sent it.
  /// @param frame Bytes received.
  /// @return False if it is not a valid hello of that VM.
  [[nodiscard]] bool AcceptHello(core::VmId vm, std::string_view frame);

  /// @brief Seals an encoded message.
  /// @param vm Receiver.
  /// @param bytes Encoded envelope.
  /// @return The frame, or nothing while the receiver's session is unknown.
  [[nodiscard]] std::optional<std::string> Seal(core::VmId vm,
                                                std::string_view bytes);

  /// @brief Opens a frame.
  /// @param frame Bytes received.
  /// @return The message's bytes, or why the frame was rejected.
  [[nodiscard]] Frame OpenFrame(std::string_view frame);

  /// @brief Opens and decodes a frame.
  /// @param frame Bytes received.
  /// @return The message, or why it was rejected.
  [[nodiscard]] Received Open(std::string_view frame);

 private:
  std::mutex mutex_;
  wire::FrameGuard guard_;
};

}  // namespace bambootack::daemon

#endif  // DAEMON_PEER_SECURITY_H_

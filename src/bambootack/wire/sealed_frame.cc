#include "bambootack/wire/sealed_frame.h"

#include <sodium.h>

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace bambootack::wire {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t kNonceBytes =
    crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t kHeaderBytes = kSealOverheadBytes - kTagBytes;
static_assert(kNonceBytes == sizeof(Nonce));
static_assert(crypto_aead_xchacha20poly1305_ietf_KEYBYTES == 32);

/// Appends an unsigned integer in little-endian order.
template <typename T>
void Put(std::string& out, T value) {
  const auto number = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>(number >> (8 * i)));
  }
}

/// Removes an unsigned integer from the front.
template <typename T>
T Take(std::string_view& in) {
  std::uint64_t number = 0;
  for (std::size_t i = sizeof(T); i-- > 0;) {
    number = (number << 8) | static_cast<std::uint8_t>(in[i]);
  }
  in.remove_prefix(sizeof(T));
  return static_cast<T>(number);
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

FrameGuard::FrameGuard(Identity self, const std::vector<std::string>& hex_keys,
                       std::size_t max_senders)
    : self_(self), max_senders_(max_senders) {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be initialized");
  }
  for (const std::string& it : hex_keys) {
    keys_.push_back(ParseKey(it));
  }
  if (keys_.empty()) {
    throw std::invalid_argument("at least one peer key is needed");
  }
}

FrameGuard::Key FrameGuard::ParseKey(const std::string& hex) {
  Key key;
  std::size_t n = 0;
  const int status =
      sodium_hex2bin(key.bytes.data(), key.bytes.size(), hex.data(), hex.size(),
                     nullptr, &n, nullptr);
  if (status != 0 || n != key.bytes.size()) {
    throw std::invalid_argument("a peer key is not 64 hex digits");
  }
  std::array<std::uint8_t, crypto_generichash_BYTES> digest{};
  constexpr std::string_view kPurpose = "bambootack key id";
  crypto_generichash(digest.data(), digest.size(), Bytes(kPurpose),
                     kPurpose.size(), key.bytes.data(), key.bytes.size());
  for (std::size_t i = 0; i < sizeof(key.id); ++i) {
    key.id = (key.id << 8) | digest[i];
  }
  return key;
}

std::string FrameGuard::Write(const Header& header, const Nonce& nonce) {
  std::string out;
  out.reserve(kHeaderBytes);
  Put(out, kVersion);
  Put(out, header.kind);
  Put(out, header.key_id);
  Put(out, header.sender);
  Put(out, header.receiver);
  Put(out, header.incarnation);
  Put(out, header.session);
  Put(out, header.receiver_session);
  Put(out, header.sequence);
  out.append(nonce.begin(), nonce.end());
  return out;
}

std::optional<FrameGuard::Header> FrameGuard::Read(std::string_view frame) {
  if (frame.size() < kSealOverheadBytes ||
      Take<std::uint8_t>(frame) != kVersion) {
    return std::nullopt;
  }
  Header header;
  header.kind = Take<FrameKind>(frame);
  header.key_id = Take<std::uint32_t>(frame);
  header.sender = Take<core::VmId>(frame);
  header.receiver = Take<core::VmId>(frame);
  header.incarnation = Take<core::Incarnation>(frame);
  header.session = Take<Session>(frame);
  header.receiver_session = Take<Session>(frame);
  header.sequence = Take<std::uint64_t>(frame);
  const bool known_kind =
      header.kind == FrameKind::kMessage || header.kind == FrameKind::kHello;
  return known_kind ? std::optional(header) : std::nullopt;
}

std::string FrameGuard::SealWith(Header header, std::string_view message,
                                 const Nonce& nonce) {
  const Key& key = keys_.front();
  header.key_id = key.id;
  header.sender = self_.vm;
  header.incarnation = self_.incarnation;
  header.session = self_.session;
  header.sequence = ++sequence_;
  std::string frame = Write(header, nonce);
  frame.resize(kHeaderBytes + message.size() + kTagBytes);
  crypto_aead_xchacha20poly1305_ietf_encrypt(
      Bytes(frame) + kHeaderBytes, nullptr, Bytes(message), message.size(),
      Bytes(frame), kHeaderBytes, nullptr, nonce.data(), key.bytes.data());
  return frame;
}

std::string FrameGuard::SealHello(const Nonce& nonce, core::VmId receiver) {
  Header header;
  header.kind = FrameKind::kHello;
  if (const auto it = senders_.find(receiver); it != senders_.end()) {
    header.receiver = receiver;
    header.receiver_session = it->second.session;
  }
  return SealWith(header, {}, nonce);
}

std::optional<std::string> FrameGuard::Seal(core::VmId receiver,
                                            std::string_view message,
                                            const Nonce& nonce) {
  const auto it = senders_.find(receiver);
  if (it == senders_.end()) {
    return std::nullopt;
  }
  it->second.last_used = ++uses_;
  Header header;
  header.receiver = receiver;
  header.receiver_session = it->second.session;
  return SealWith(header, message, nonce);
}

FrameGuard::Opened FrameGuard::Open(std::string_view frame) {
  const std::optional<Header> header = Read(frame);
  if (!header) {
    return RefusedFrame{FrameFault::kMalformed};
  }
  const bool hello = header->kind == FrameKind::kHello;
  if (!hello && header->receiver != self_.vm) {
    return RefusedFrame{FrameFault::kWrongReceiver};
  }
  const Key* key = FindKey(header->key_id);
  if (key == nullptr) {
    return RefusedFrame{FrameFault::kUnknownKey};
  }
  OpenedFrame opened{header->kind, header->sender, header->incarnation, {}};
  opened.asks_hello = hello && (header->receiver != self_.vm ||
                                header->receiver_session != self_.session);
  opened.message.resize(frame.size() - kSealOverheadBytes);
  const unsigned char* nonce = Bytes(frame) + kHeaderBytes - kNonceBytes;
  const int status = crypto_aead_xchacha20poly1305_ietf_decrypt(
      Bytes(opened.message), nullptr, nullptr, Bytes(frame) + kHeaderBytes,
      frame.size() - kHeaderBytes, Bytes(frame), kHeaderBytes, nonce,
      key->bytes.data());
  if (status != 0) {
    return RefusedFrame{FrameFault::kNotAuthentic};
  }
  // A hello is not bound to a session: a replayed one can at most name an
  // older session of its sender, for which that sender refuses messages.
  if (!hello && header->receiver_session != self_.session) {
    return RefusedFrame{FrameFault::kWrongSession, header->sender};
  }
  Sender* sender = Admit(*header);
  if (sender == nullptr) {
    return RefusedFrame{FrameFault::kOldIncarnation, header->sender};
  }
  if (!hello && !sender->window.Accept(header->sequence)) {
    return RefusedFrame{FrameFault::kReplayed, header->sender};
  }
  return opened;
}

const FrameGuard::Key* FrameGuard::FindKey(std::uint32_t id) const noexcept {
  const auto it = std::find_if(keys_.begin(), keys_.end(),
                               [&](const Key& key) { return key.id == id; });
  return it == keys_.end() ? nullptr : &*it;
}

FrameGuard::Sender* FrameGuard::Admit(const Header& header) {
  auto it = senders_.find(header.sender);
  if (it == senders_.end()) {
    if (header.incarnation <= forgotten_) {
      return nullptr;
    }
    if (senders_.size() >= max_senders_) {
      ForgetOldest();
    }
    // The row that was just forgotten may be newer than this sender.
    if (header.incarnation <= forgotten_) {
      return nullptr;
    }
    it = senders_.emplace(header.sender, Sender{}).first;
  }
  Sender& sender = it->second;
  if (header.incarnation > sender.incarnation) {
    sender = Sender{header.incarnation, header.session, {}, 0};
  }
  if (header.incarnation != sender.incarnation ||
      header.session != sender.session) {
    return nullptr;
  }
  sender.last_used = ++uses_;
  return &sender;
}

void FrameGuard::ForgetOldest() {
  const auto oldest = std::min_element(
      senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      });
  forgotten_ = std::max(forgotten_, oldest->second.incarnation);
  senders_.erase(oldest);
}

}  // namespace bambootack::wire

#pragma once

#include <LibCore/Core.h>
#include <LibMessages/gen/peer_types.h>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Chicorytally::Messages {

/// Version of the messages between balancers. Unknown fields of newer versions are ignored.
constexpr std::int32_t ProtocolVersion = 1;

constexpr std::size_t KeySize = 32;
constexpr std::size_t TagSize = 16;

/// Key that all balancers of a fleet share.
class PeerKey {
public:
    /// Takes 64 hexadecimal digits; nothing for any other text.
    static std::optional<PeerKey> fromHex(std::string_view text);

    std::span<std::uint8_t const, KeySize> bytes() const { return m_bytes; }
    /// A value derived from the key for another purpose; equal on all balancers.
    std::uint64_t derive(std::string_view purpose) const;

private:
    std::array<std::uint8_t, KeySize> m_bytes {};
};

/// Sequence numbers seen of one sender: accepts each number once, in any order within a window (RFC 4303,
/// section 3.4.3).
class ReplayWindow {
public:
    bool accept(std::uint64_t sequence);

private:
    static constexpr std::uint64_t Width = 64;

    std::uint64_t m_greatest { 0 };
    std::uint64_t m_seen { 0 };
};

enum class OpenError : std::uint8_t {
    TooShort,
    WrongTag,
    Malformed,
    UnknownVersion,
    OldIncarnation,
    Replayed,
};

std::string_view toString(OpenError);

/// Seals messages of this process. Not thread-safe.
class EnvelopeSealer {
public:
    EnvelopeSealer(PeerKey const&, Core::VmId self, Core::Incarnation);

    std::vector<std::uint8_t> seal(std::vector<PeerMessage> messages);

private:
    PeerKey m_key;
    Core::VmId m_self;
    Core::Incarnation m_incarnation;
    std::uint64_t m_sequence { 0 };
};

/// Checks and decodes what other processes sealed. A rejected datagram changes nothing. Not thread-safe.
class EnvelopeOpener {
public:
    explicit EnvelopeOpener(PeerKey const&);

    /// The envelope, or nothing; lastError() then says why.
    std::optional<Envelope> open(std::span<std::uint8_t const> datagram);
    OpenError lastError() const { return m_lastError; }

private:
    struct Sender {
        Core::Incarnation incarnation;
        ReplayWindow window;
    };

    std::optional<Envelope> reject(OpenError);

    PeerKey m_key;
    std::unordered_map<Core::VmId, Sender> m_senders;
    OpenError m_lastError { OpenError::TooShort };
};

}

#pragma once

#include <LibCore/Core.h>
#include <LibMessages/PeerKey.h>
#include <LibMessages/ReplayWindow.h>
#include <LibMessages/gen/peer_types.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Chicorytally::Messages {

/// Version of the message format between balancers. Receivers ignore unknown fields, so newer versions are accepted.
constexpr std::int32_t ProtocolVersion = 1;

enum class OpenError : std::uint8_t {
    TooShort,
    WrongTag,
    Malformed,
    UnknownVersion,
    OldIncarnation,
    Replayed,
};

std::string_view toString(OpenError);

/// Encoded size of a message inside an envelope, in bytes.
std::size_t encodedSize(PeerMessage const&);

/// Returns an incarnation for a process that starts now: the wall-clock time in milliseconds, since VMs have no
/// persistent storage for a counter. If the clock was set back before a restart, receivers reject the messages of the
/// new process for as long as its clock is behind.
Core::Incarnation makeIncarnation();

/// Encodes messages of this process as authenticated datagrams. Not thread-safe.
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

/// Authenticates and decodes the datagrams of other processes. A rejected datagram has no effect on later ones. Not
/// thread-safe.
class EnvelopeOpener {
public:
    explicit EnvelopeOpener(KeyRing);

    /// Returns the envelope, or std::nullopt if the datagram is rejected; lastError() then returns the reason.
    std::optional<Envelope> open(std::span<std::uint8_t const> datagram);
    OpenError lastError() const { return m_lastError; }

private:
    struct Sender {
        Core::Incarnation incarnation;
        ReplayWindow window;
    };

    std::optional<Envelope> reject(OpenError);

    KeyRing m_keys;
    std::unordered_map<Core::VmId, Sender> m_senders;
    OpenError m_lastError { OpenError::TooShort };
};

}

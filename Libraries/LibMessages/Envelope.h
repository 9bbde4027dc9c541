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

/// Version of the messages between balancers. Unknown fields of newer versions are ignored.
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

/// Bytes that a message takes inside an envelope.
std::size_t encodedSize(PeerMessage const&);

/// The incarnation of a process that starts now: its time of day, since VMs keep nothing from which a counter could go
/// on. After a restart while the clock was set back, receivers ignore its messages for as long as the clock is behind.
Core::Incarnation makeIncarnation();

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
    explicit EnvelopeOpener(KeyRing);

    /// The envelope, or nothing; lastError() then says why.
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

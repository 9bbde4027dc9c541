#include <LibMessages/Envelope.h>

#include <chrono>
#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Chicorytally::Messages {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

std::string_view toString(OpenError error)
{
    switch (error) {
    case OpenError::TooShort:
        return "too_short";
    case OpenError::WrongTag:
        return "wrong_tag";
    case OpenError::Malformed:
        return "malformed";
    case OpenError::UnknownVersion:
        return "unknown_version";
    case OpenError::OldIncarnation:
        return "old_incarnation";
    case OpenError::Replayed:
        return "replayed";
    }
    return "unknown";
}

std::size_t encodedSize(PeerMessage const& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol { buffer };
    return message.write(&protocol);
}

Core::Incarnation makeIncarnation()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Core::Incarnation { static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count()) };
}

EnvelopeSealer::EnvelopeSealer(PeerKey const& key, Core::VmId self, Core::Incarnation incarnation)
    : m_key(key)
    , m_self(self)
    , m_incarnation(incarnation)
{
}

std::vector<std::uint8_t> EnvelopeSealer::seal(std::vector<PeerMessage> messages)
{
    Envelope envelope;
    envelope.protocolVersion = ProtocolVersion;
    envelope.sender = static_cast<std::int64_t>(m_self.value());
    envelope.incarnation = static_cast<std::int64_t>(m_incarnation.value());
    envelope.sequence = static_cast<std::int64_t>(++m_sequence);
    envelope.messages = std::move(messages);

    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol { buffer };
    envelope.write(&protocol);
    std::uint8_t* data = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&data, &size);
    std::vector<std::uint8_t> datagram { data, data + size };
    auto tag = m_key.computeTag(datagram);
    datagram.insert(datagram.end(), tag.begin(), tag.end());
    return datagram;
}

EnvelopeOpener::EnvelopeOpener(KeyRing keys)
    : m_keys(std::move(keys))
{
}

std::optional<Envelope> EnvelopeOpener::reject(OpenError error)
{
    m_lastError = error;
    return std::nullopt;
}

static bool decode(std::span<std::uint8_t const> content, Envelope& envelope)
{
    // TMemoryBuffer takes a non-const pointer, but never writes through it in OBSERVE mode.
    auto* data = const_cast<std::uint8_t*>(content.data());
    auto buffer
        = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(content.size()), TMemoryBuffer::OBSERVE);
    TCompactProtocol protocol { buffer };
    try {
        envelope.read(&protocol);
    } catch (apache::thrift::TException const&) {
        return false;
    }
    return true;
}

std::optional<Envelope> EnvelopeOpener::open(std::span<std::uint8_t const> datagram)
{
    if (datagram.size() <= TagSize)
        return reject(OpenError::TooShort);
    auto content = datagram.first(datagram.size() - TagSize);
    if (!m_keys.isAuthentic(content, datagram.last<TagSize>()))
        return reject(OpenError::WrongTag);

    Envelope envelope;
    if (!decode(content, envelope))
        return reject(OpenError::Malformed);
    if (envelope.protocolVersion < 1)
        return reject(OpenError::UnknownVersion);

    Core::VmId senderId { static_cast<std::uint64_t>(envelope.sender) };
    Core::Incarnation incarnation { static_cast<std::uint64_t>(envelope.incarnation) };
    auto& sender = m_senders[senderId];
    if (incarnation < sender.incarnation)
        return reject(OpenError::OldIncarnation);
    if (incarnation > sender.incarnation)
        sender = { incarnation, {} };
    if (!sender.window.accept(static_cast<std::uint64_t>(envelope.sequence)))
        return reject(OpenError::Replayed);
    return envelope;
}

}

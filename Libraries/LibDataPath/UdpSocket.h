#pragma once

#include <LibCore/Core.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <sys/socket.h>

namespace Chicorytally::DataPath {

/// Maximum number of datagrams per receive or send call.
constexpr std::size_t BatchSize = 64;

/// Size of the largest datagram, in bytes, that is received whole; longer ones are marked as truncated.
constexpr std::size_t MaxDatagramSize = 9216;

struct SocketError {
    std::string operation;
    int code { 0 };

    std::string toString() const;
};

struct ReceivedDatagram {
    /// Part of a buffer that the next receive() overwrites; may be modified until then.
    std::span<std::uint8_t> bytes;
    Core::Endpoint from;
    bool isTruncated { false };
};

/// A datagram to send, in two parts, so that a header is prepended without copying the body.
struct OutgoingDatagram {
    std::span<std::uint8_t const> header;
    std::span<std::uint8_t const> body;
    Core::Endpoint to;
};

/// Converts between endpoints and socket addresses.
socklen_t toSocketAddress(Core::Endpoint const&, sockaddr_storage&);
Core::Endpoint fromSocketAddress(sockaddr_storage const&);

/// A non-blocking UDP socket. Move-only; not thread-safe.
class UdpSocket {
public:
    /// Binds to the endpoint. With isPortShared, several sockets bind to the same port (SO_REUSEPORT) and the kernel
    /// distributes datagrams among them by sender.
    static std::optional<UdpSocket> bind(Core::Endpoint const&, bool isPortShared, SocketError&);

    UdpSocket(UdpSocket&&) noexcept;
    UdpSocket& operator=(UdpSocket&&) noexcept;
    ~UdpSocket();

    /// Waits until a datagram can be received or the timeout expires; returns whether the socket is ready.
    bool waitReadable(std::chrono::milliseconds timeout) const;
    bool send(OutgoingDatagram const&);
    /// The endpoint that the socket is bound to, with the actual port if port 0 was requested.
    Core::Endpoint localEndpoint() const;
    int fileDescriptor() const { return m_fileDescriptor; }

private:
    explicit UdpSocket(int fileDescriptor);

    int m_fileDescriptor { -1 };
};

/// Receives datagrams in batches, into buffers that the next call reuses.
class BatchReceiver {
public:
    BatchReceiver();
    BatchReceiver(BatchReceiver const&) = delete;
    BatchReceiver& operator=(BatchReceiver const&) = delete;

    /// Returns the queued datagrams, at most BatchSize; never blocks.
    std::span<ReceivedDatagram const> receive(UdpSocket const&);

private:
    std::array<std::array<std::uint8_t, MaxDatagramSize>, BatchSize> m_buffers;
    std::array<iovec, BatchSize> m_vectors;
    std::array<sockaddr_storage, BatchSize> m_addresses;
    std::array<mmsghdr, BatchSize> m_headers;
    std::array<ReceivedDatagram, BatchSize> m_datagrams;
};

/// Collects datagrams and sends them in one batch. The bytes must remain valid until flush().
class BatchSender {
public:
    void add(OutgoingDatagram const&);
    /// Sends the added datagrams and returns the number that the kernel rejected.
    std::size_t flush(UdpSocket const&);
    /// Removes the added datagrams without sending them.
    void discard() { m_count = 0; }

private:
    std::size_t m_count { 0 };
    std::array<std::array<iovec, 2>, BatchSize> m_vectors;
    std::array<sockaddr_storage, BatchSize> m_addresses;
    std::array<mmsghdr, BatchSize> m_headers;
};

}

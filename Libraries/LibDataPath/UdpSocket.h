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

/// Datagrams that one system call receives or sends at most.
constexpr std::size_t BatchSize = 64;

/// Greatest datagram that is received whole; longer ones are marked as truncated.
constexpr std::size_t MaxDatagramSize = 9216;

struct SocketError {
    std::string operation;
    int code { 0 };

    std::string toString() const;
};

struct ReceivedDatagram {
    /// Inside a buffer that the next receive() uses again; may be changed until then.
    std::span<std::uint8_t> bytes;
    Core::Endpoint from;
    bool isTruncated { false };
};

/// A datagram to send, in two parts, so that a header is put in front without a copy.
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
    /// Binds to the endpoint. Several sockets of one process share a port when isPortShared is set; the kernel then
    /// spreads datagrams over them by sender.
    static std::optional<UdpSocket> bind(Core::Endpoint const&, bool isPortShared, SocketError&);

    UdpSocket(UdpSocket&&) noexcept;
    UdpSocket& operator=(UdpSocket&&) noexcept;
    ~UdpSocket();

    /// Waits for a datagram, at most for the time given.
    bool waitReadable(std::chrono::milliseconds timeout) const;
    bool send(OutgoingDatagram const&);
    /// The endpoint that the socket is bound to, with the port that the kernel chose for port 0.
    Core::Endpoint localEndpoint() const;
    int fileDescriptor() const { return m_fileDescriptor; }

private:
    explicit UdpSocket(int fileDescriptor);

    int m_fileDescriptor { -1 };
};

/// Receives datagrams in batches into buffers that are used again by the next call.
class BatchReceiver {
public:
    BatchReceiver();
    BatchReceiver(BatchReceiver const&) = delete;
    BatchReceiver& operator=(BatchReceiver const&) = delete;

    /// Gives the datagrams that wait, at most BatchSize; none when nothing waits.
    std::span<ReceivedDatagram const> receive(UdpSocket const&);

private:
    std::array<std::array<std::uint8_t, MaxDatagramSize>, BatchSize> m_buffers;
    std::array<iovec, BatchSize> m_vectors;
    std::array<sockaddr_storage, BatchSize> m_addresses;
    std::array<mmsghdr, BatchSize> m_headers;
    std::array<ReceivedDatagram, BatchSize> m_datagrams;
};

/// Collects datagrams and sends them with one system call. The bytes must live until flush().
class BatchSender {
public:
    void add(OutgoingDatagram const&);
    /// Sends what was added; gives the number that the kernel refused.
    std::size_t flush(UdpSocket const&);
    /// Forgets what was added.
    void discard() { m_count = 0; }

private:
    std::size_t m_count { 0 };
    std::array<std::array<iovec, 2>, BatchSize> m_vectors;
    std::array<sockaddr_storage, BatchSize> m_addresses;
    std::array<mmsghdr, BatchSize> m_headers;
};

}

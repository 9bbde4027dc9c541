#include <LibDataPath/UdpSocket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/uio.h>
#include <unistd.h>
#include <utility>

namespace Chicorytally::DataPath {

// Holds a burst of about 50 ms at 100,000 packets/s of 800 bytes.
static constexpr int SocketBufferBytes = 4 * 1024 * 1024;

std::string SocketError::toString() const { return operation + ": " + std::strerror(code); }

socklen_t toSocketAddress(Core::Endpoint const& endpoint, sockaddr_storage& storage)
{
    if (endpoint.address.isV4()) {
        auto& address = reinterpret_cast<sockaddr_in&>(storage);
        address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        std::memcpy(&address.sin_addr, endpoint.address.v4Bytes().data(), 4);
        return sizeof(address);
    }
    auto& address = reinterpret_cast<sockaddr_in6&>(storage);
    address = {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(endpoint.port);
    std::memcpy(&address.sin6_addr, endpoint.address.bytes().data(), 16);
    return sizeof(address);
}

Core::Endpoint fromSocketAddress(sockaddr_storage const& storage)
{
    if (storage.ss_family == AF_INET) {
        auto const& address = reinterpret_cast<sockaddr_in const&>(storage);
        std::array<std::uint8_t, 4> bytes;
        std::memcpy(bytes.data(), &address.sin_addr, bytes.size());
        return { Core::IpAddress::fromV4(bytes), ntohs(address.sin_port) };
    }
    auto const& address = reinterpret_cast<sockaddr_in6 const&>(storage);
    std::array<std::uint8_t, 16> bytes;
    std::memcpy(bytes.data(), &address.sin6_addr, bytes.size());
    return { Core::IpAddress::fromV6(bytes), ntohs(address.sin6_port) };
}

UdpSocket::UdpSocket(int fileDescriptor)
    : m_fileDescriptor(fileDescriptor)
{
}

UdpSocket::UdpSocket(UdpSocket&& other) noexcept
    : m_fileDescriptor(std::exchange(other.m_fileDescriptor, -1))
{
}

UdpSocket& UdpSocket::operator=(UdpSocket&& other) noexcept
{
    std::swap(m_fileDescriptor, other.m_fileDescriptor);
    return *this;
}

UdpSocket::~UdpSocket()
{
    if (m_fileDescriptor >= 0)
        close(m_fileDescriptor);
}

std::optional<UdpSocket> UdpSocket::bind(Core::Endpoint const& endpoint, bool isPortShared, SocketError& error)
{
    auto family = endpoint.address.isV4() ? AF_INET : AF_INET6;
    UdpSocket udpSocket { ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) };
    if (udpSocket.m_fileDescriptor < 0) {
        error = { "socket", errno };
        return std::nullopt;
    }
    int enabled = 1;
    if (isPortShared)
        setsockopt(udpSocket.m_fileDescriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled));
    setsockopt(udpSocket.m_fileDescriptor, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    setsockopt(udpSocket.m_fileDescriptor, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    sockaddr_storage address;
    auto size = toSocketAddress(endpoint, address);
    if (::bind(udpSocket.m_fileDescriptor, reinterpret_cast<sockaddr const*>(&address), size) != 0) {
        error = { "bind " + endpoint.toString(), errno };
        return std::nullopt;
    }
    return udpSocket;
}

bool UdpSocket::waitReadable(std::chrono::milliseconds timeout) const
{
    pollfd descriptor { m_fileDescriptor, POLLIN, 0 };
    return poll(&descriptor, 1, static_cast<int>(timeout.count())) > 0;
}

bool UdpSocket::send(OutgoingDatagram const& datagram)
{
    BatchSender sender;
    sender.add(datagram);
    return sender.flush(*this) == 0;
}

Core::Endpoint UdpSocket::localEndpoint() const
{
    sockaddr_storage address {};
    socklen_t size = sizeof(address);
    getsockname(m_fileDescriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return fromSocketAddress(address);
}

BatchReceiver::BatchReceiver()
{
    for (std::size_t i = 0; i < BatchSize; ++i) {
        m_vectors[i] = { m_buffers[i].data(), m_buffers[i].size() };
        m_headers[i] = {};
        m_headers[i].msg_hdr.msg_name = &m_addresses[i];
        m_headers[i].msg_hdr.msg_iov = &m_vectors[i];
        m_headers[i].msg_hdr.msg_iovlen = 1;
    }
}

std::span<ReceivedDatagram const> BatchReceiver::receive(UdpSocket const& udpSocket)
{
    for (auto& header : m_headers)
        header.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
    auto count = recvmmsg(udpSocket.fileDescriptor(), m_headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
    if (count <= 0)
        return {};
    for (int i = 0; i < count; ++i) {
        m_datagrams[i].bytes = { m_buffers[i].data(), m_headers[i].msg_len };
        m_datagrams[i].from = fromSocketAddress(m_addresses[i]);
        m_datagrams[i].isTruncated = (m_headers[i].msg_hdr.msg_flags & MSG_TRUNC) != 0;
    }
    return { m_datagrams.data(), static_cast<std::size_t>(count) };
}

void BatchSender::add(OutgoingDatagram const& datagram)
{
    if (m_count == BatchSize)
        return;
    auto& vectors = m_vectors[m_count];
    // iovec has no const variant; sendmmsg() does not write through these pointers.
    vectors[0] = { const_cast<std::uint8_t*>(datagram.header.data()), datagram.header.size() };
    vectors[1] = { const_cast<std::uint8_t*>(datagram.body.data()), datagram.body.size() };
    auto& header = m_headers[m_count];
    header = {};
    header.msg_hdr.msg_name = &m_addresses[m_count];
    header.msg_hdr.msg_namelen = toSocketAddress(datagram.to, m_addresses[m_count]);
    header.msg_hdr.msg_iov = vectors.data();
    header.msg_hdr.msg_iovlen = vectors.size();
    ++m_count;
}

std::size_t BatchSender::flush(UdpSocket const& udpSocket)
{
    std::size_t sent = 0;
    std::size_t refused = 0;
    while (sent + refused < m_count) {
        auto offset = sent + refused;
        auto count = sendmmsg(
            udpSocket.fileDescriptor(), m_headers.data() + offset, static_cast<unsigned>(m_count - offset), 0);
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        else
            ++refused;
    }
    m_count = 0;
    return refused;
}

}

#include <LibRelay/PeerView.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>

namespace Chicorytally::Relay {

using std::chrono::milliseconds;

static constexpr std::size_t AddressSize = 4;
static constexpr std::size_t EncodedPeerSize = AddressSize + sizeof(std::uint16_t) + 1;
// 255 steps cover the retention.
static constexpr milliseconds AgeStep { 250 };

PeerView::PeerView(Core::Clock const& clock, Options options)
    : m_clock(clock)
    , m_options(options)
{
}

static std::size_t randomIndex(std::size_t size, std::mt19937_64& random)
{
    return std::uniform_int_distribution<std::size_t> { 0, size - 1 }(random);
}

void PeerView::add(Core::Endpoint const& endpoint, milliseconds age, std::mt19937_64& random)
{
    if (endpoint == m_options.self || age >= m_options.retention)
        return;
    Peer peer { endpoint, m_clock.now() - age };
    if (auto known = std::ranges::find(m_peers, endpoint, &Peer::endpoint); known != m_peers.end()) {
        known->heardAt = std::max(known->heardAt, peer.heardAt);
        return;
    }
    if (m_peers.size() < m_options.capacity) {
        m_peers.push_back(peer);
        return;
    }
    auto& replaced = m_peers[randomIndex(m_peers.size(), random)];
    if (replaced.heardAt < peer.heardAt)
        replaced = peer;
}

static Core::Endpoint decodeEndpoint(std::string_view bytes)
{
    std::array<std::uint8_t, AddressSize> address {};
    std::copy_n(bytes.begin(), AddressSize, address.begin());
    auto high = static_cast<std::uint8_t>(bytes[AddressSize]);
    auto low = static_cast<std::uint8_t>(bytes[AddressSize + 1]);
    return { Core::IpAddress::fromV4(address), static_cast<std::uint16_t>(high << 8 | low) };
}

bool PeerView::addEncoded(std::string_view bytes, std::mt19937_64& random)
{
    if (bytes.size() % EncodedPeerSize != 0)
        return false;
    for (; !bytes.empty(); bytes.remove_prefix(EncodedPeerSize)) {
        auto endpoint = decodeEndpoint(bytes);
        if (endpoint.port != 0)
            add(endpoint, AgeStep * static_cast<std::uint8_t>(bytes[EncodedPeerSize - 1]), random);
    }
    return true;
}

void PeerView::removeExpired()
{
    std::erase_if(m_peers, [this](auto const& peer) { return m_clock.now() - peer.heardAt >= m_options.retention; });
}

bool PeerView::contains(Core::Endpoint const& endpoint) const
{
    return std::ranges::find(m_peers, endpoint, &Peer::endpoint) != m_peers.end();
}

std::optional<Core::Endpoint> PeerView::randomPeer(std::mt19937_64& random) const
{
    if (m_peers.empty())
        return std::nullopt;
    return m_peers[randomIndex(m_peers.size(), random)].endpoint;
}

std::string PeerView::encodeSample(std::size_t count, std::mt19937_64& random) const
{
    std::vector<Peer> sample;
    std::ranges::sample(m_peers, std::back_inserter(sample), static_cast<std::ptrdiff_t>(count), random);
    std::string bytes;
    for (auto const& peer : sample) {
        if (!peer.endpoint.address.isV4())
            continue;
        std::ranges::copy(peer.endpoint.address.v4Bytes(), std::back_inserter(bytes));
        bytes.push_back(static_cast<char>(peer.endpoint.port >> 8));
        bytes.push_back(static_cast<char>(peer.endpoint.port));
        // Rounded up, so that an address doesn't become younger on its way.
        auto steps = (m_clock.now() - peer.heardAt + AgeStep - milliseconds { 1 }) / AgeStep;
        bytes.push_back(static_cast<char>(std::clamp<std::int64_t>(steps, 0, 255)));
    }
    return bytes;
}

}

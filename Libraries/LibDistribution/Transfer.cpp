#include <LibDistribution/Transfer.h>

#include <LibDistribution/FileSet.h>

#include <algorithm>

namespace Chicorytally::Distribution {

/// A chunk that hasn't arrived this long after its request is requested again.
static constexpr std::chrono::milliseconds ChunkTimeout { 1000 };
/// Twice the maximum size of a file set, to leave room for encoding overhead.
static constexpr std::size_t MaximumChunks = 2 * MaximumFileSetSize / 1000;

static Core::Revision fromRevisionOf(Messages::CopyChunk const& chunk)
{
    return Core::Revision { chunk.__isset.fromRevision ? static_cast<std::uint64_t>(chunk.fromRevision) : 0 };
}

std::optional<Transfer> Transfer::create(Messages::CopyChunk const& chunk, Core::VmId source, Core::TimePoint now)
{
    if (chunk.count < 1 || static_cast<std::size_t>(chunk.count) > MaximumChunks)
        return std::nullopt;
    Transfer transfer;
    transfer.m_revision = Core::Revision { static_cast<std::uint64_t>(chunk.revision) };
    transfer.m_digest = static_cast<std::uint64_t>(chunk.digest);
    transfer.m_fromRevision = fromRevisionOf(chunk);
    transfer.m_chunks.resize(static_cast<std::size_t>(chunk.count));
    transfer.m_missingCount = transfer.m_chunks.size();
    transfer.m_lastProgressAt = now;
    transfer.addSource(source);
    return transfer;
}

bool Transfer::matches(Messages::CopyChunk const& chunk) const
{
    return static_cast<std::uint64_t>(chunk.revision) == m_revision.value()
        && static_cast<std::uint64_t>(chunk.digest) == m_digest && fromRevisionOf(chunk) == m_fromRevision
        && static_cast<std::size_t>(chunk.count) == m_chunks.size();
}

void Transfer::add(Messages::CopyChunk const& chunk, Core::TimePoint now)
{
    if (chunk.index < 0 || static_cast<std::size_t>(chunk.index) >= m_chunks.size())
        return;
    auto& slot = m_chunks[static_cast<std::size_t>(chunk.index)];
    if (slot.content)
        return;
    slot.content = chunk.content;
    --m_missingCount;
    m_lastProgressAt = now;
}

std::string Transfer::content() const
{
    std::string content;
    for (auto const& chunk : m_chunks)
        content += chunk.content.value_or("");
    return content;
}

bool Transfer::needsRequest(std::size_t index, Core::TimePoint now) const
{
    if (index >= m_chunks.size())
        return false;
    auto const& chunk = m_chunks[index];
    bool isInFlight = chunk.requestedAt && now - *chunk.requestedAt < ChunkTimeout;
    return !chunk.content && !isInFlight;
}

std::optional<std::size_t> Transfer::nextChunkToRequest(Core::TimePoint now) const
{
    for (std::size_t index = 0; index < m_chunks.size(); ++index) {
        if (needsRequest(index, now))
            return index;
    }
    return std::nullopt;
}

void Transfer::addSource(Core::VmId vm)
{
    if (std::find(m_sources.begin(), m_sources.end(), vm) == m_sources.end())
        m_sources.push_back(vm);
}

void Transfer::removeSource(Core::VmId vm) { std::erase(m_sources, vm); }

std::optional<Core::VmId> Transfer::nextSource()
{
    if (m_sources.empty())
        return std::nullopt;
    return m_sources[m_nextSourceIndex++ % m_sources.size()];
}

}

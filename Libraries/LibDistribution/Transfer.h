#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Distribution {

/// The download of one encoded delta in chunks, from one or more sources. Not thread-safe.
class Transfer {
public:
    /// Returns nothing if the chunk count of the first chunk is out of range.
    static std::optional<Transfer> create(Messages::CopyChunk const&, Core::VmId source, Core::TimePoint now);

    Core::Revision revision() const { return m_revision; }
    std::uint64_t digest() const { return m_digest; }
    Core::Revision fromRevision() const { return m_fromRevision; }
    bool matches(Messages::CopyChunk const&) const;
    void add(Messages::CopyChunk const&, Core::TimePoint now);
    bool isComplete() const { return m_missingCount == 0; }
    std::string content() const;

    /// Returns the first chunk that is neither received nor in flight.
    std::optional<std::size_t> nextChunkToRequest(Core::TimePoint now) const;
    void markRequested(std::size_t index, Core::TimePoint now) { m_chunks[index].requestedAt = now; }
    bool needsRequest(std::size_t index, Core::TimePoint now) const;
    Core::TimePoint lastProgressAt() const { return m_lastProgressAt; }

    std::vector<Core::VmId> const& sources() const { return m_sources; }
    void addSource(Core::VmId);
    void removeSource(Core::VmId);
    /// Returns the sources in round-robin order, so that they share the load.
    std::optional<Core::VmId> nextSource();

private:
    struct Chunk {
        std::optional<std::string> content;
        std::optional<Core::TimePoint> requestedAt;
    };

    Core::Revision m_revision;
    std::uint64_t m_digest { 0 };
    Core::Revision m_fromRevision;
    std::vector<Chunk> m_chunks;
    std::size_t m_missingCount { 0 };
    Core::TimePoint m_lastProgressAt;
    std::vector<Core::VmId> m_sources;
    std::size_t m_nextSourceIndex { 0 };
};

}

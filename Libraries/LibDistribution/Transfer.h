#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>

#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Distribution {

/// The chunks of one encoded delta that are being fetched. Not thread-safe.
class Transfer {
public:
    /// Nothing when the first chunk is implausible.
    static std::optional<Transfer> create(Messages::CopyChunk const&, Core::VmId source, Core::TimePoint now);

    Core::Revision revision() const { return m_revision; }
    std::uint64_t digest() const { return m_digest; }
    Core::Revision fromRevision() const { return m_fromRevision; }
    bool matches(Messages::CopyChunk const&) const;
    void add(Messages::CopyChunk const&, Core::TimePoint now);
    bool isComplete() const { return m_missing == 0; }
    std::string content() const;

    /// The first chunk that is missing and not under way.
    std::optional<std::size_t> nextMissing(Core::TimePoint now) const;
    void markRequested(std::size_t index, Core::TimePoint now) { m_chunks[index].requestedAt = now; }
    bool isMissing(std::size_t index, Core::TimePoint now) const;
    Core::TimePoint progressAt() const { return m_progressAt; }

    std::vector<Core::VmId> const& sources() const { return m_sources; }
    void addSource(Core::VmId);
    void removeSource(Core::VmId);
    /// The sources in turn, so that they share the work.
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
    std::size_t m_missing { 0 };
    Core::TimePoint m_progressAt;
    std::vector<Core::VmId> m_sources;
    std::size_t m_turn { 0 };
};

}

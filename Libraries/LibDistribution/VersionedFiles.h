#pragma once

#include <LibDistribution/FileSet.h>
#include <LibMessages/Messages.h>

#include <map>
#include <optional>
#include <string>

namespace Chicorytally::Distribution {

/// The files in force and the revision at which each of them changed last, from which deltas are made. Not thread-safe.
class VersionedFiles {
public:
    Core::Revision revision() const { return m_revision; }
    std::uint64_t digest() const { return m_digest; }
    FileSet const& files() const { return m_files; }

    /// Puts a newer set in force.
    void replace(Core::Revision, FileSet);
    /// What changed since the revision. A full copy (a delta from revision 0) when that isn't known.
    Messages::Delta deltaFrom(Core::Revision) const;
    /// The set that results from the delta; nothing when it doesn't fit the files in force.
    std::optional<FileSet> apply(Messages::Delta const&) const;

private:
    Core::Revision m_revision;
    std::uint64_t m_digest { 0 };
    FileSet m_files;
    /// Deltas can be made from this revision on.
    Core::Revision m_base;
    /// The last change of each file; a removed file stays here.
    std::map<std::string, Core::Revision> m_changes;
};

std::string encode(Messages::Delta const&);
std::optional<Messages::Delta> decode(std::string const& bytes);

}

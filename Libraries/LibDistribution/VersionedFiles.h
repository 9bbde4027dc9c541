#pragma once

#include <LibDistribution/FileSet.h>
#include <LibMessages/Messages.h>

#include <map>
#include <optional>
#include <string>

namespace Chicorytally::Distribution {

/// The files in force and the revision of the last change of each file, from which deltas are computed. Not
/// thread-safe.
class VersionedFiles {
public:
    Core::Revision revision() const { return m_revision; }
    std::uint64_t digest() const { return m_digest; }
    FileSet const& files() const { return m_files; }

    /// Replaces the files in force by a newer set.
    void replace(Core::Revision, FileSet);
    /// Returns the changes since the revision, or a full copy (a delta from revision 0) if the history does not reach
    /// back that far.
    Messages::Delta deltaFrom(Core::Revision) const;
    /// Returns the files with the delta applied, without putting them in force. Returns nothing if the delta starts
    /// from another revision or the result doesn't match its digest.
    std::optional<FileSet> apply(Messages::Delta const&) const;

private:
    Core::Revision m_revision;
    std::uint64_t m_digest { 0 };
    FileSet m_files;
    /// The oldest revision from which a delta can be computed.
    Core::Revision m_oldestDeltaBase;
    /// The revision of the last change of each file, including removed files.
    std::map<std::string, Core::Revision> m_lastChanges;
};

std::string encode(Messages::Delta const&);
std::optional<Messages::Delta> decode(std::string const& bytes);

}

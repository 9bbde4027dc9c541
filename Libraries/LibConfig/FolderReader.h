#pragma once

#include <LibConfig/Parser.h>

#include <filesystem>
#include <optional>
#include <vector>

namespace Chicorytally::Config {

/// Reads the `.toml` files of a folder; hidden files and subfolders are left out. Not thread-safe.
class FolderReader {
public:
    /// Reads and parses. The revision is the `revision` key of the files, or else newestModification().
    std::optional<Model::Configuration> read(std::filesystem::path const& folder);
    /// The files, sorted by name; nothing when the folder or one of its files can't be read.
    std::optional<std::vector<SourceFile>> readFiles(std::filesystem::path const& folder);
    std::vector<Fault> const& faults() const { return m_faults; }
    /// Newest modification time of the folder and its files that were read last, in milliseconds since 1970. The folder
    /// counts because the removal of a file changes nothing else.
    Core::Revision newestModification() const { return m_newestModification; }

private:
    void noteModification(std::filesystem::path const&, std::error_code&);
    std::optional<SourceFile> readFile(std::filesystem::path const&);

    std::vector<Fault> m_faults;
    Core::Revision m_newestModification;
};

}

#include <LibConfig/FolderReader.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

namespace Chicorytally::Config {

static constexpr std::string_view FileExtension = ".toml";
static constexpr char const* ReadRemedy = "check the path and its permissions";

// Editors and file synchronisation keep unfinished copies under hidden names.
static bool isConfigurationFile(std::filesystem::directory_entry const& entry)
{
    std::error_code error;
    auto const& path = entry.path();
    return path.extension() == FileExtension && !path.filename().string().starts_with('.')
        && !entry.is_directory(error);
}

static std::vector<std::filesystem::path> listFiles(std::filesystem::path const& folder, std::error_code& error)
{
    std::vector<std::filesystem::path> files;
    std::filesystem::directory_iterator position { folder, error };
    while (!error && position != std::filesystem::directory_iterator {}) {
        if (isConfigurationFile(*position))
            files.push_back(position->path());
        position.increment(error);
    }
    std::ranges::sort(files);
    return files;
}

void FolderReader::noteModification(std::filesystem::path const& path, std::error_code& error)
{
    auto time = std::filesystem::last_write_time(path, error);
    if (error)
        return;
    auto sinceEpoch = std::chrono::file_clock::to_sys(time).time_since_epoch();
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    auto revision = Core::Revision { static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 1)) };
    m_newestModification = std::max(m_newestModification, revision);
}

std::optional<SourceFile> FolderReader::readFile(std::filesystem::path const& path)
{
    auto name = path.filename().string();
    std::error_code error;
    noteModification(path, error);
    if (error) {
        m_faults.push_back({ name, 0, 0, "can't read the file: " + error.message(), ReadRemedy });
        return std::nullopt;
    }
    // Opening a named pipe would wait for a writer.
    if (!std::filesystem::is_regular_file(path, error)) {
        m_faults.push_back({ name, 0, 0, "the file is no regular file", "remove it, or give it another extension" });
        return std::nullopt;
    }
    std::ifstream stream { path, std::ios::binary };
    std::ostringstream content;
    // An empty file sets the fail bit of the target without being an error.
    if (stream && stream.peek() != std::ifstream::traits_type::eof())
        content << stream.rdbuf();
    if (!stream.is_open() || stream.bad()) {
        m_faults.push_back({ name, 0, 0, "can't read the file", ReadRemedy });
        return std::nullopt;
    }
    return SourceFile { std::move(name), std::move(content).str() };
}

std::optional<std::vector<SourceFile>> FolderReader::readFiles(std::filesystem::path const& folder)
{
    m_faults.clear();
    m_newestModification = {};
    std::error_code error;
    auto paths = listFiles(folder, error);
    if (!error)
        noteModification(folder, error);
    if (error) {
        m_faults.push_back({ folder.string(), 0, 0, "can't read the folder: " + error.message(), ReadRemedy });
        return std::nullopt;
    }
    std::vector<SourceFile> files;
    for (auto const& path : paths) {
        if (auto file = readFile(path))
            files.push_back(std::move(*file));
    }
    if (!m_faults.empty())
        return std::nullopt;
    return files;
}

std::optional<Model::Configuration> FolderReader::read(std::filesystem::path const& folder)
{
    auto files = readFiles(folder);
    if (!files)
        return std::nullopt;
    Parser parser;
    auto configuration = parser.parse(*files, {});
    m_faults = parser.faults();
    if (configuration && !configuration->revision.isValid())
        configuration->revision = m_newestModification;
    return configuration;
}

}

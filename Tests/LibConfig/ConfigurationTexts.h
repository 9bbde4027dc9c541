#pragma once

#include <LibConfig/Config.h>

#include <filesystem>
#include <fstream>

namespace Chicorytally::Tests {

/// A configuration without faults, one key a line.
inline std::string goodText()
{
    return "[service.web]\n"
           "address = \"198.51.100.10\"\n"
           "port = 7000\n"
           "[service.web.upstream.web-1]\n"
           "address = \"10.1.0.11\"\n"
           "port = 6080\n"
           "zone = \"north\"\n"
           "[zone.north]\n";
}

inline std::string const& exampleFolder()
{
    static std::string const Folder = CHICORYTALLY_EXAMPLES;
    return Folder;
}

/// A folder that is removed at the end of the test.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "chicorytally-test-XXXXXX";
        m_path = mkdtemp(pattern.data());
    }
    TemporaryFolder(TemporaryFolder const&) = delete;
    TemporaryFolder& operator=(TemporaryFolder const&) = delete;
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    std::filesystem::path const& path() const { return m_path; }
    void write(std::string const& name, std::string const& content) const
    {
        std::ofstream { m_path / name, std::ios::binary } << content;
    }

private:
    std::filesystem::path m_path;
};

}

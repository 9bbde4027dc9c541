#pragma once

#include <LibModel/Model.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Config {

/// A fault in a configuration file.
struct Fault {
    std::string file;
    /// Counted from 1; 0 when the fault has no position.
    std::uint32_t line { 0 };
    std::uint32_t column { 0 };
    std::string cause;
    std::string remedy;

    std::string toString() const;
};

/// Reads a folder of TOML files, merged in the order of their names. All faults are collected; a folder with any fault
/// gives no configuration.
class FolderReader {
public:
    std::optional<Model::Configuration> read(std::filesystem::path const& folder);
    std::vector<Fault> const& faults() const { return m_faults; }

private:
    std::vector<Fault> m_faults;
};

}

#pragma once

#include <LibCore/Core.h>

#include <string>
#include <vector>

namespace Chicorytally::Config {

/// One configuration file by its name (without a folder) and its TOML text.
struct SourceFile {
    std::string name;
    std::string content;

    friend bool operator==(SourceFile const&, SourceFile const&) = default;
};

/// Hash over names and contents in the given order. Only for the question whether two file sets are equal, never for
/// an order between them.
Core::Hash128 digestOf(std::vector<SourceFile> const&);

}

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Config {

/// A place in a configuration file. Lines and columns count from 1; 0 when the place is the file as a whole.
struct Position {
    std::string file;
    std::uint32_t line { 0 };
    std::uint32_t column { 0 };

    std::string toString() const;

    friend auto operator<=>(Position const&, Position const&) = default;
};

/// A fault in a configuration file.
struct Fault {
    std::string file;
    /// Counted from 1; 0 when the fault has no position.
    std::uint32_t line { 0 };
    std::uint32_t column { 0 };
    std::string cause;
    std::string remedy;

    static Fault at(Position const&, std::string cause, std::string remedy);

    /// One line, "FILE:LINE:COLUMN: CAUSE; REMEDY".
    std::string toString() const;

    friend auto operator<=>(Fault const&, Fault const&) = default;
};

/// Text of a configuration file in single quotes for a message: control characters are escaped, long text is cut.
std::string quoted(std::string_view text);

}

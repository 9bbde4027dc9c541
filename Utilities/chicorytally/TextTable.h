#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// A table for people: columns as wide as their widest text, two spaces apart. Control characters are replaced, so that
/// text from a daemon can't drive the terminal.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// Must have as many texts as the header.
    void add(std::vector<std::string> row);
    void print(std::ostream&) const;
    bool isEmpty() const { return m_rows.size() == 1; }

private:
    /// The first one is the header.
    std::vector<std::vector<std::string>> m_rows;
};

}

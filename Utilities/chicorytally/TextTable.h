#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// A plain-text table. Each column is as wide as its widest cell, and columns are two spaces apart. Control characters
/// are replaced so that text from a daemon can't send escape sequences to the terminal.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// The row must have as many cells as the header. Empty cells are printed as "-".
    void add(std::vector<std::string> row);
    void print(std::ostream&) const;
    bool isEmpty() const { return m_rows.size() == 1; }

private:
    /// The first row is the header.
    std::vector<std::vector<std::string>> m_rows;
};

}

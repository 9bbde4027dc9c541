#include <chicorytally/TextTable.h>

#include <algorithm>
#include <ostream>

namespace Chicorytally::Tool {

static void sanitizeCells(std::vector<std::string>& row)
{
    for (auto& text : row) {
        std::ranges::replace_if(
            text, [](unsigned char byte) { return byte < 0x20 || byte == 0x7f; }, '?');
        if (text.empty())
            text = "-";
    }
}

TextTable::TextTable(std::vector<std::string> header) { add(std::move(header)); }

void TextTable::add(std::vector<std::string> row)
{
    sanitizeCells(row);
    m_rows.push_back(std::move(row));
}

void TextTable::print(std::ostream& stream) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (auto const& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (auto const& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        stream << line << "\n";
    }
}

}

#include <LibConfig/PositionedTable.h>

#include <toml++/toml.h>

namespace Chicorytally::Config {

std::string_view toString(ValueKind kind)
{
    switch (kind) {
    case ValueKind::Table:
        return "a table";
    case ValueKind::String:
        return "a string";
    case ValueKind::Integer:
        return "an integer";
    case ValueKind::Float:
        return "a float";
    case ValueKind::Boolean:
        return "a boolean";
    case ValueKind::DateOrTime:
        return "a date or time";
    case ValueKind::Array:
        return "an array";
    }
    return "a value";
}

static ValueKind kindOf(toml::node const& node)
{
    switch (node.type()) {
    case toml::node_type::table:
        return ValueKind::Table;
    case toml::node_type::string:
        return ValueKind::String;
    case toml::node_type::integer:
        return ValueKind::Integer;
    case toml::node_type::floating_point:
        return ValueKind::Float;
    case toml::node_type::boolean:
        return ValueKind::Boolean;
    case toml::node_type::array:
        return ValueKind::Array;
    default:
        return ValueKind::DateOrTime;
    }
}

// The depth of the recursion is bounded by toml++, which refuses tables nested more than 256 deep.
static PositionedTable convert(toml::table const& table, std::string const& file)
{
    PositionedTable result;
    for (auto const& [key, node] : table) {
        auto begin = key.source().begin;
        PositionedValue value { .position = { file, begin.line, begin.column }, .kind = kindOf(node) };
        if (auto const* nested = node.as_table())
            value.table = std::make_unique<PositionedTable>(convert(*nested, file));
        if (auto const* text = node.as_string())
            value.text = text->get();
        if (auto const* integer = node.as_integer())
            value.integer = integer->get();
        result.insert(std::string { key.str() }, std::move(value));
    }
    return result;
}

std::optional<PositionedTable> PositionedTable::parse(SourceFile const& file, std::vector<Fault>& faults)
{
    try {
        return convert(toml::parse(file.content), file.name);
    } catch (toml::parse_error const& error) {
        auto begin = error.source().begin;
        faults.push_back({ file.name, begin.line, begin.column, std::string { error.description() },
            "correct the TOML syntax; the rest of this file was not checked" });
    }
    return std::nullopt;
}

void PositionedTable::overrideWith(PositionedTable&& later)
{
    for (auto& [key, value] : later.m_entries) {
        auto present = m_entries.find(key);
        bool areTables = present != m_entries.end() && present->second.table && value.table;
        if (areTables)
            present->second.table->overrideWith(std::move(*value.table));
        else
            m_entries.insert_or_assign(key, std::move(value));
    }
}

PositionedValue const* PositionedTable::find(std::string_view key) const
{
    auto position = m_entries.find(key);
    return position != m_entries.end() ? &position->second : nullptr;
}

void PositionedTable::insert(std::string key, PositionedValue value)
{
    m_entries.insert_or_assign(std::move(key), std::move(value));
}

}

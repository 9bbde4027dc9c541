#pragma once

#include <LibConfig/Fault.h>
#include <LibConfig/SourceFile.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Chicorytally::Config {

class PositionedTable;

enum class ValueKind : std::uint8_t {
    Table,
    String,
    Integer,
    Float,
    Boolean,
    DateOrTime,
    Array,
};

/// For messages, with its article: "a string".
std::string_view toString(ValueKind);

/// A value with the position of its key.
struct PositionedValue {
    Position position;
    ValueKind kind { ValueKind::Integer };
    /// Set for ValueKind::String.
    std::string text {};
    /// Set for ValueKind::Integer.
    std::int64_t integer { 0 };
    /// Set for ValueKind::Table.
    std::unique_ptr<PositionedTable> table {};
};

/// A TOML table whose keys know their file, line and column, also after a merge.
class PositionedTable {
public:
    /// Nothing on a syntax fault or a duplicate key, which is then appended to the faults. The TOML parser stops at
    /// the first such fault of a file.
    static std::optional<PositionedTable> parse(SourceFile const&, std::vector<Fault>& faults);

    /// Takes over all keys of a later file. Tables are merged key by key; any other value replaces the present one.
    void overrideWith(PositionedTable&& later);

    PositionedValue const* find(std::string_view key) const;
    std::map<std::string, PositionedValue, std::less<>> const& entries() const { return m_entries; }
    void insert(std::string key, PositionedValue);

private:
    std::map<std::string, PositionedValue, std::less<>> m_entries;
};

}

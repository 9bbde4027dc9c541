#pragma once

#include <LibConfig/PositionedTable.h>

#include <LibCore/Core.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Config {

/// Collects the faults of one parse.
struct FaultList {
    std::vector<Fault> faults;
    /// A file could not be read as TOML. What seems to be missing may stand there, so it is no fault.
    bool isIncomplete { false };

    void add(Position const&, std::string cause, std::string remedy);
};

/// Reads the keys of one table by their type and range. Each key that is asked for becomes known, so that the others
/// can be rejected afterwards.
class TableReader {
public:
    /// The path is what messages call the table, as in "service.register".
    TableReader(PositionedTable const&, std::string path, Position, FaultList&);

    template <typename Value> struct Choice {
        std::string_view name;
        Value value;
    };

    std::optional<std::string> requiredText(std::string_view key);
    std::optional<std::string> optionalText(std::string_view key);
    /// Nothing when the key is missing or bad.
    std::optional<std::int64_t> integer(std::string_view key, std::int64_t least, std::int64_t most);
    std::optional<std::int64_t> requiredInteger(std::string_view key, std::int64_t least, std::int64_t most);
    std::optional<std::chrono::seconds> duration(
        std::string_view key, std::chrono::seconds least, std::chrono::seconds most);
    std::optional<Core::IpAddress> requiredAddress(std::string_view key);
    template <typename Value> Value choice(std::string_view key, std::vector<Choice<Value>> const&, Value otherwise);
    /// The tables of a table, as the services in [service.NAME]; bad names and values that are no tables are faults.
    std::vector<TableReader> tables(std::string_view key);

    /// Position of a key, or of the table when the key is missing.
    Position positionOf(std::string_view key) const;
    Position const& position() const { return m_position; }
    std::string const& path() const { return m_path; }
    /// Last part of the path.
    std::string const& name() const { return m_name; }
    /// Reports a fault of a key's value.
    void reject(std::string_view key, std::string const& cause, std::string remedy);
    void rejectUnknown();

private:
    PositionedValue const* find(std::string_view key, ValueKind wanted);
    void rejectMissing(std::string_view key, std::string_view example);
    void rejectChoice(std::string_view key, std::string const& text, std::vector<std::string> const& names);

    PositionedTable const& m_table;
    std::string m_path;
    std::string m_name;
    Position m_position;
    FaultList& m_faults;
    std::vector<std::string> m_knownKeys;
};

template <typename Value>
Value TableReader::choice(std::string_view key, std::vector<Choice<Value>> const& choices, Value otherwise)
{
    auto text = optionalText(key);
    if (!text)
        return otherwise;
    std::vector<std::string> names;
    for (auto const& choice : choices) {
        if (choice.name == *text)
            return choice.value;
        names.emplace_back(choice.name);
    }
    rejectChoice(key, *text, names);
    return otherwise;
}

}

#include <chicorytally/JsonOutput.h>
#include <chicorytally/TextTable.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <ostream>

namespace Chicorytally::Tool {

void printJson(std::ostream& stream, Json const& json)
{
    // By default, dump() throws on invalid UTF-8.
    stream << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

std::string cellText(Json const& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.is_null() ? "" : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static bool isObjectArray(Json const& value)
{
    return value.is_array() && !value.empty()
        && std::ranges::all_of(value, [](Json const& row) { return row.is_object(); });
}

static void flatten(std::string const& prefix, Json const& object, TextTable& fields)
{
    for (auto const& [name, value] : object.items()) {
        if (value.is_object())
            flatten(prefix + name + ".", value, fields);
        else if (!isObjectArray(value))
            fields.add({ prefix + name, cellText(value) });
    }
}

static std::vector<std::string> collectColumns(Json const& rows, std::vector<std::string> const& firstColumns)
{
    std::vector<std::string> columns;
    auto occurs = [&rows](std::string const& name) {
        return std::ranges::any_of(rows, [&name](Json const& row) { return row.contains(name); });
    };
    std::ranges::copy_if(firstColumns, std::back_inserter(columns), occurs);
    for (auto const& row : rows) {
        for (auto const& [name, value] : row.items()) {
            if (std::ranges::find(columns, name) == columns.end())
                columns.push_back(name);
        }
    }
    return columns;
}

static void printRows(std::ostream& stream, Json const& rows, std::vector<std::string> const& firstColumns)
{
    auto columns = collectColumns(rows, firstColumns);
    TextTable table { columns };
    for (auto const& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (auto const& column : columns)
            cells.push_back(row.contains(column) ? cellText(row[column]) : std::string {});
        table.add(std::move(cells));
    }
    table.print(stream);
}

void printObject(std::ostream& stream, Json const& object, std::vector<std::string> const& firstColumns)
{
    TextTable fields { { "FIELD", "VALUE" } };
    flatten("", object, fields);
    if (!fields.isEmpty())
        fields.print(stream);
    bool needsBlankLine = !fields.isEmpty();
    for (auto const& [name, value] : object.items()) {
        if (!isObjectArray(value))
            continue;
        stream << (needsBlankLine ? "\n" : "") << name << ":\n";
        printRows(stream, value, firstColumns);
        needsBlankLine = true;
    }
}

Json toJson(std::vector<Config::Fault> const& faults)
{
    auto list = Json::array();
    for (auto const& fault : faults)
        list.push_back({ { "file", fault.file }, { "line", fault.line }, { "column", fault.column },
            { "cause", fault.cause }, { "remedy", fault.remedy } });
    return list;
}

}

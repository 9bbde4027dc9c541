#include <LibConfig/Duration.h>
#include <LibConfig/Suggestion.h>
#include <LibConfig/TableReader.h>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace Chicorytally::Config {

// The limit of a DNS label, so that names can be used as host names and in file names.
static constexpr std::size_t MaxNameLength = 63;

void FaultList::add(Position const& position, std::string cause, std::string remedy)
{
    faults.push_back(Fault::at(position, std::move(cause), std::move(remedy)));
}

static bool isGoodName(std::string_view name)
{
    auto isAllowed = [](unsigned char letter) {
        return absl::ascii_isalnum(letter) || letter == '-' || letter == '_' || letter == '.';
    };
    return !name.empty() && name.size() <= MaxNameLength && std::ranges::all_of(name, isAllowed);
}

TableReader::TableReader(PositionedTable const& table, std::string path, Position position, FaultList& faults)
    : m_table(table)
    , m_path(std::move(path))
    , m_name(m_path.substr(m_path.rfind('.') + 1))
    , m_position(std::move(position))
    , m_faults(faults)
{
}

Position TableReader::positionOf(std::string_view key) const
{
    auto const* value = m_table.find(key);
    return value ? value->position : m_position;
}

void TableReader::reject(std::string_view key, std::string const& cause, std::string remedy)
{
    auto where = m_path.empty() ? std::string {} : " of " + m_path;
    m_faults.add(positionOf(key), absl::StrCat(std::string { key }, where, " ", cause), std::move(remedy));
}

PositionedValue const* TableReader::find(std::string_view key, ValueKind wanted)
{
    m_knownKeys.emplace_back(key);
    auto const* value = m_table.find(key);
    if (!value || value->kind == wanted)
        return value;
    auto wantedText = std::string { toString(wanted) };
    reject(key, absl::StrCat("is ", std::string { toString(value->kind) }, ", not ", wantedText),
        wanted == ValueKind::String ? "write the value in double quotes" : "write " + wantedText);
    return nullptr;
}

void TableReader::rejectMissing(std::string_view key, std::string_view example)
{
    // A key of the wrong type was reported already.
    if (m_faults.isIncomplete || m_table.find(key))
        return;
    m_faults.add(m_position, absl::StrCat(m_path, " has no ", std::string { key }),
        absl::StrCat("add ", std::string { key }, " = ", std::string { example }));
}

std::optional<std::string> TableReader::optionalText(std::string_view key)
{
    auto const* value = find(key, ValueKind::String);
    return value ? std::optional { value->text } : std::nullopt;
}

std::optional<std::string> TableReader::requiredText(std::string_view key)
{
    auto text = optionalText(key);
    if (!text)
        rejectMissing(key, "\"...\"");
    return text;
}

std::optional<std::int64_t> TableReader::integer(std::string_view key, std::int64_t least, std::int64_t most)
{
    auto const* value = find(key, ValueKind::Integer);
    if (!value)
        return std::nullopt;
    if (value->integer >= least && value->integer <= most)
        return value->integer;
    reject(key, absl::StrCat("is ", value->integer, ", which is out of range"),
        absl::StrCat("write a number from ", least, " to ", most));
    return std::nullopt;
}

std::optional<std::int64_t> TableReader::requiredInteger(std::string_view key, std::int64_t least, std::int64_t most)
{
    auto value = integer(key, least, most);
    if (!value)
        rejectMissing(key, absl::StrCat("a number from ", least, " to ", most));
    return value;
}

std::optional<std::chrono::seconds> TableReader::duration(
    std::string_view key, std::chrono::seconds least, std::chrono::seconds most)
{
    auto text = optionalText(key);
    if (!text)
        return std::nullopt;
    auto remedy = absl::StrCat("write a duration from ", formatDuration(least), " to ", formatDuration(most),
        ", for example \"30s\" or \"1h30m\"");
    auto duration = parseDuration(*text);
    if (!duration) {
        reject(key, absl::StrCat("is no duration: ", quoted(*text)), remedy);
        return std::nullopt;
    }
    if (*duration >= least && *duration <= most)
        return duration;
    reject(key, absl::StrCat("is ", *text, ", which is out of range"), remedy);
    return std::nullopt;
}

// Such an address can't be that of one machine.
static std::string_view unusableKind(Core::IpAddress const& address)
{
    auto const& bytes = address.bytes();
    if (address.isV4()) {
        auto first = address.v4Bytes()[0];
        if (first == 0)
            return "unspecified";
        if (first >= 224)
            return first < 240 ? "multicast" : "reserved";
        return {};
    }
    if (std::ranges::all_of(bytes, [](auto byte) { return byte == 0; }))
        return "unspecified";
    return bytes[0] == 0xff ? "multicast" : std::string_view {};
}

std::optional<Core::IpAddress> TableReader::requiredAddress(std::string_view key)
{
    auto text = requiredText(key);
    if (!text)
        return std::nullopt;
    // inet_pton() would stop at a zero byte.
    auto address = text->find('\0') == std::string::npos ? Core::IpAddress::parse(*text) : std::nullopt;
    if (!address) {
        reject(key, absl::StrCat("is no IP address: ", quoted(*text)),
            "write an IPv4 or IPv6 address without a port, for example \"10.1.0.11\"");
        return std::nullopt;
    }
    auto unusable = unusableKind(*address);
    if (unusable.empty())
        return address;
    reject(key, absl::StrCat("is ", *text, ", which is an address of the ", std::string { unusable }, " range"),
        "write the address of one machine");
    return std::nullopt;
}

void TableReader::rejectChoice(std::string_view key, std::string const& text, std::vector<std::string> const& names)
{
    reject(key, absl::StrCat("is ", quoted(text), ", which is not known"),
        absl::StrCat("write \"", absl::StrJoin(names, "\" or \""), "\""));
}

std::vector<TableReader> TableReader::tables(std::string_view key)
{
    std::vector<TableReader> readers;
    auto const* value = find(key, ValueKind::Table);
    if (!value)
        return readers;
    auto prefix = m_path.empty() ? std::string { key } : absl::StrCat(m_path, ".", std::string { key });
    for (auto const& [name, entry] : value->table->entries()) {
        auto path = absl::StrCat(prefix, ".", name);
        if (!isGoodName(name)) {
            m_faults.add(entry.position, absl::StrCat("bad name ", quoted(name), " in ", prefix),
                absl::StrCat("use 1 to ", MaxNameLength, " letters, digits, '-', '_' or '.'"));
            continue;
        }
        if (!entry.table) {
            m_faults.add(entry.position,
                absl::StrCat(path, " is ", std::string { toString(entry.kind) }, ", not a table"),
                absl::StrCat("write a table [", path, "] with its keys"));
            continue;
        }
        readers.emplace_back(*entry.table, path, entry.position, m_faults);
        readers.back().m_name = name;
    }
    return readers;
}

void TableReader::rejectUnknown()
{
    for (auto const& [key, value] : m_table.entries()) {
        if (std::ranges::find(m_knownKeys, key) != m_knownKeys.end())
            continue;
        auto where = m_path.empty() ? std::string {} : " of " + m_path;
        auto nearest = nearestWord(key, m_knownKeys);
        m_faults.add(value.position, absl::StrCat("unknown key ", quoted(key), where),
            nearest ? absl::StrCat("did you mean ", *nearest, "?")
                    : absl::StrCat("known keys are ", absl::StrJoin(m_knownKeys, ", ")));
    }
}

}

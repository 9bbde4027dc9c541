/// Fuzz target: any bytes, divided into up to two files, give either a configuration or faults with cause and remedy.

#include <LibConfig/Parser.h>

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace Chicorytally;

// Divides the input into two files, so that the merge is reached too.
static constexpr std::string_view Separator = "\n---\n";

static std::vector<Config::SourceFile> filesOf(std::string_view text)
{
    auto split = text.find(Separator);
    std::vector<Config::SourceFile> files { { "a.toml", std::string { text.substr(0, split) } } };
    if (split != std::string_view::npos)
        files.push_back({ "b.toml", std::string { text.substr(split + Separator.size()) } });
    return files;
}

static void require(bool isTrue)
{
    if (!isTrue)
        std::abort();
}

// libFuzzer gives the name of its entry point.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    Config::Parser parser;
    auto configuration = parser.parse(filesOf({ reinterpret_cast<char const*>(data), size }), Core::Revision { 1 });
    require(configuration.has_value() == parser.faults().empty());
    for (auto const& fault : parser.faults()) {
        require(!fault.cause.empty() && !fault.remedy.empty());
        require(fault.file == "a.toml" || fault.file == "b.toml");
    }
    return 0;
}

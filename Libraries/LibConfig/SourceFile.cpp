#include <LibConfig/SourceFile.h>

namespace Chicorytally::Config {

// Each text is preceded by its length, so that moving bytes between name and content changes the digest.
static void appendText(std::string& bytes, std::string const& text)
{
    bytes += std::to_string(text.size()) + ":";
    bytes += text;
}

Core::Hash128 digestOf(std::vector<SourceFile> const& files)
{
    std::string bytes;
    for (auto const& file : files) {
        appendText(bytes, file.name);
        appendText(bytes, file.content);
    }
    return Core::hash128({ reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size() });
}

}

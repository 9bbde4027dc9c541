#include <LibDistribution/FileSet.h>

namespace Chicorytally::Distribution {

std::uint64_t digestOf(FileSet const& files)
{
    std::uint64_t digest = files.size();
    for (auto const& [name, content] : files) {
        digest = Core::hashPair(digest, Core::hash64(std::string_view { name }));
        digest = Core::hashPair(digest, Core::hash64(std::string_view { content }));
    }
    return digest;
}

}

#include <HarnessControl/SampleFiles.h>

#include <absl/strings/str_cat.h>

namespace Chicorytally::Benchmarks {

static constexpr std::size_t UpstreamsPerService = 8;

static std::string upstreamText(std::size_t service, std::size_t index, std::uint64_t weight)
{
    auto host = absl::StrCat("10.", service / 250, ".", service % 250, ".", index + 1);
    return absl::StrCat("[service.s", service, ".upstream.u", index, "]\naddress = \"", host,
        "\"\nport = 6080\nzone = \"zone-", index % 9, "\"\nweight = ", weight,
        "\nmax_connections = 2000\nslots = 4\nhealth = \"http://", host, ":8080/health\"\n\n");
}

static std::string serviceText(std::size_t service, std::uint64_t weight)
{
    auto text = absl::StrCat("[service.s", service, "]\naddress = \"198.51.", service / 250, ".", service % 250,
        "\"\nport = 7000\nprotocol = \"tcp\"\npartition = \"risk\"\n\n");
    for (std::size_t index = 0; index < UpstreamsPerService; ++index)
        text += upstreamText(service, index, index == 0 ? weight : 100);
    return text;
}

static std::string nameOf(std::size_t service) { return absl::StrCat("service-", service, ".toml"); }

Distribution::FileSet sampleFiles(std::size_t upstreams)
{
    Distribution::FileSet files;
    for (std::size_t service = 0; service * UpstreamsPerService < upstreams; ++service)
        files[nameOf(service)] = serviceText(service, 100);
    return files;
}

void changeOne(Distribution::FileSet& files, std::uint64_t revision)
{
    auto service = Core::hashPair(revision, 0) % files.size();
    files[nameOf(service)] = serviceText(service, 101 + revision);
}

}

/// Stand-in for the platform: serves a folder as the configuration service, and a file as the list of VMs.

#include "PlatformServer.h"

#include <LibConfig/FolderReader.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.7.1:8500", "IP:PORT that answers HTTP.");
ABSL_FLAG(std::string, folder, "", "Folder of TOML files; each changed content gets a greater revision.");
ABSL_FLAG(std::string, vms, "", "File with a JSON list of VMs: [{\"name\", \"address\", \"zone\", \"state\"}].");

using namespace Chicorytally;

namespace {

constexpr std::chrono::milliseconds PollInterval { 100 };

volatile std::sig_atomic_t s_isStopping = 0;

class FolderPublisher {
public:
    explicit FolderPublisher(StandIns::PlatformServer& server)
        : m_server(server)
    {
    }

    void publishChanges(std::filesystem::path const& folder)
    {
        Config::FolderReader reader;
        auto files = reader.readFiles(folder);
        // A folder that is being written is taken over by a later poll.
        if (!files || files == m_files)
            return;
        m_files = *files;
        // The time of the change keeps revisions growing over restarts of the stand-in.
        m_revision = std::max(m_revision + 1, reader.newestModification().value());
        m_server.publish({ Core::Revision { m_revision }, std::move(*files) });
        std::cout << "event=published revision=" << m_revision << " files=" << m_files.size() << std::endl;
    }

private:
    StandIns::PlatformServer& m_server;
    std::vector<Config::SourceFile> m_files;
    std::uint64_t m_revision { 0 };
};

class VmFilePublisher {
public:
    explicit VmFilePublisher(StandIns::PlatformServer& server)
        : m_server(server)
    {
    }

    void publishChanges(std::string const& path)
    {
        std::ifstream stream { path };
        auto vms = nlohmann::json::parse(stream, nullptr, false);
        if (!vms.is_array() || vms == m_vms)
            return;
        m_vms = vms;
        m_server.setVms(std::move(vms));
    }

private:
    StandIns::PlatformServer& m_server;
    nlohmann::json m_vms;
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGTERM, [](int) { s_isStopping = 1; });
    std::signal(SIGINT, [](int) { s_isStopping = 1; });
    auto listen = Core::Endpoint::parse(absl::GetFlag(FLAGS_listen));
    if (!listen || absl::GetFlag(FLAGS_folder).empty()) {
        std::cerr << "give --listen=IP:PORT and --folder=DIR\n";
        return 2;
    }
    StandIns::PlatformServer server;
    if (!server.start(*listen)) {
        std::cerr << "can't listen on " << listen->toString() << "\n";
        return 1;
    }
    FolderPublisher folder { server };
    VmFilePublisher vms { server };
    while (!s_isStopping) {
        folder.publishChanges(absl::GetFlag(FLAGS_folder));
        if (!absl::GetFlag(FLAGS_vms).empty())
            vms.publishChanges(absl::GetFlag(FLAGS_vms));
        std::this_thread::sleep_for(PollInterval);
    }
    server.stop();
    return 0;
}

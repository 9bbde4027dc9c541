#include "ConfigurationController.h"

#include <LibTelemetry/Telemetry.h>

namespace Chicorytally::Daemon {

using Telemetry::Level;
using Telemetry::logEvent;

Distribution::FileSet toFileSet(std::vector<Config::SourceFile> const& files)
{
    Distribution::FileSet set;
    for (auto const& file : files)
        set.emplace(file.name, file.content);
    return set;
}

std::vector<Config::SourceFile> toSourceFiles(Distribution::FileSet const& set)
{
    std::vector<Config::SourceFile> files;
    for (auto const& [name, content] : set)
        files.push_back({ name, content });
    return files;
}

void logFaults(std::string const& source, std::vector<Config::Fault> const& faults)
{
    for (auto const& fault : faults) {
        logEvent(Level::Error, "configuration_fault",
            { { "source", source }, { "file", fault.file }, { "line", fault.line }, { "column", fault.column },
                { "cause", fault.cause }, { "remedy", fault.remedy } });
    }
}

ConfigurationController::ConfigurationController(Listener listener)
    : m_listener(std::move(listener))
{
}

std::shared_ptr<Model::Configuration const> ConfigurationController::configuration() const
{
    absl::MutexLock lock { &m_lock };
    return m_configuration;
}

std::vector<Config::Fault> ConfigurationController::faults() const
{
    absl::MutexLock lock { &m_lock };
    return m_faults;
}

void ConfigurationController::noteFaults(std::vector<Config::Fault> const& faults)
{
    absl::MutexLock lock { &m_lock };
    m_faults = faults;
}

void ConfigurationController::refuse(Core::Revision revision, std::vector<Config::Fault> const& faults)
{
    logFaults("revision " + std::to_string(revision.value()), faults);
    logEvent(Level::Error, "configuration_refused", { { "revision", revision.value() }, { "faults", faults.size() } });
    noteFaults(faults);
}

bool ConfigurationController::accept(Core::Revision revision, Distribution::FileSet const& files, std::string& reason)
{
    Config::Parser parser;
    auto parsed = parser.parse(toSourceFiles(files), revision);
    if (!parsed) {
        refuse(revision, parser.faults());
        reason = parser.faults().empty() ? "unknown" : parser.faults().front().toString();
        return false;
    }
    auto next = std::make_shared<Model::Configuration const>(std::move(*parsed));
    m_listener(next);
    {
        absl::MutexLock lock { &m_lock };
        m_configuration = next;
        m_faults.clear();
    }
    m_version.fetch_add(1, std::memory_order_release);
    logEvent(Level::Info, "configuration_in_force",
        { { "revision", revision.value() }, { "files", files.size() }, { "services", next->services.size() },
            { "zones", next->zones.size() } });
    return true;
}

}

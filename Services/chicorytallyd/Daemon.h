#pragma once

#include "Settings.h"

#include <LibConfig/Config.h>
#include <LibDataPath/DataPath.h>
#include <LibPlacement/Placement.h>

#include <memory>
#include <vector>

namespace Chicorytally::Daemon {

/// Builds the parts of the daemon from its settings and connects them.
class Daemon {
public:
    /// Nothing when a part can't be made; the error says why.
    static std::unique_ptr<Daemon> create(Settings, std::string& error);

    /// Reads the configuration folder again; a faulty one is refused whole.
    void reload();
    void start();
    void stop();

private:
    explicit Daemon(Settings);

    bool createWorkers(std::string& error);
    std::shared_ptr<Model::Configuration const> configuration() const;

    Settings m_settings;
    Core::SystemClock m_clock;
    Placement::Engine m_engine;
    mutable absl::Mutex m_lock;
    std::shared_ptr<Model::Configuration const> m_configuration ABSL_GUARDED_BY(m_lock);
    std::vector<std::unique_ptr<DataPath::Worker>> m_workers;
};

}

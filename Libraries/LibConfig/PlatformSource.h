#pragma once

#include <LibConfig/OfferFilter.h>
#include <LibConfig/PlatformReader.h>

namespace Chicorytally::Config {

struct PlatformSourceOptions {
    Core::Endpoint platform;
    /// How long a blocking query waits for a change.
    std::chrono::seconds wait { 30 };
    PlatformTimeouts timeouts {};
    ReadScheduleOptions schedule {};
    /// Seed of the jitter; different on each VM.
    std::uint64_t seed { 0 };
};

/// Watches the configuration of the platform by blocking queries. Starts idle, because only a few VMs read the
/// platform. A failed read is reported once for each cause until a read succeeds. Thread-safe.
class PlatformSource {
public:
    explicit PlatformSource(PlatformSourceOptions);

    /// To be called once.
    void start(UpdateHook onUpdate, ErrorHook onError);
    void stop() { m_reader.stop(); }
    void setActive(bool isActive) { m_reader.setActive(isActive); }
    /// A revision came into force that was learnt from a peer; the platform is asked for greater ones only.
    void raiseRevision(Core::Revision);
    /// The hooks of this source, which must outlive them.
    Source asSource();

private:
    bool read(PlatformClient&);
    void reportFailure(std::string const& cause);
    void report(OfferOutcome const&);

    PlatformSourceOptions m_options;
    std::string m_url;
    UpdateHook m_onUpdate;
    ErrorHook m_onError;
    absl::Mutex m_filterLock;
    OfferFilter m_filter ABSL_GUARDED_BY(m_filterLock);
    std::string m_lastFailure;
    // Last, so that its thread ends before the other members.
    PlatformReader m_reader;
};

}

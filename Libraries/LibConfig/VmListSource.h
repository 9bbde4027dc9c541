#pragma once

#include <LibConfig/PlatformReader.h>
#include <LibConfig/Source.h>

#include <functional>
#include <optional>

namespace Chicorytally::Config {

using VmListHook = std::function<void(VmList const&)>;

struct VmListSourceOptions {
    Core::Endpoint platform;
    PlatformTimeouts timeouts {};
    /// The list is read once an interval.
    ReadScheduleOptions schedule { .interval = std::chrono::milliseconds { 5'000 } };
    /// Seed of the jitter; different on each VM.
    std::uint64_t seed { 0 };
};

/// Reads the platform's list of VMs. Starts idle. The hook is called for each changed list, also for one with an older
/// revision: the list is a hint, and its users decide what an old one is worth. Thread-safe.
class VmListSource {
public:
    explicit VmListSource(VmListSourceOptions);

    /// To be called once.
    void start(VmListHook onList, ErrorHook onError);
    void stop() { m_reader.stop(); }
    void setActive(bool isActive) { m_reader.setActive(isActive); }

private:
    bool read(PlatformClient&);

    std::string m_url;
    VmListHook m_onList;
    ErrorHook m_onError;
    std::optional<VmList> m_lastList;
    std::string m_lastFailure;
    // Last, so that its thread ends before the other members.
    PlatformReader m_reader;
};

}

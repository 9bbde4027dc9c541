#include <LibConfig/PlatformReader.h>

#include <absl/time/time.h>

namespace Chicorytally::Config {

// How often a stop cancels the read again: a read that is still connecting can't be cancelled.
static constexpr absl::Duration CancelInterval = absl::Milliseconds(20);

PlatformReader::PlatformReader(
    Core::Endpoint const& endpoint, PlatformTimeouts timeouts, ReadScheduleOptions options, std::uint64_t seed)
    : m_client(endpoint, timeouts)
    , m_schedule(options, seed)
{
}

PlatformReader::~PlatformReader() { stop(); }

void PlatformReader::start(Read read)
{
    {
        absl::MutexLock lock { &m_lock };
        m_isFinished = false;
    }
    m_thread = std::thread { [this, read = std::move(read)] { run(read); } };
}

void PlatformReader::stop()
{
    {
        absl::MutexLock lock { &m_lock };
        m_isStopping = true;
    }
    bool isFinished = false;
    while (!isFinished) {
        m_client.cancel();
        absl::MutexLock lock { &m_lock };
        isFinished = m_lock.AwaitWithTimeout(absl::Condition { &m_isFinished }, CancelInterval);
    }
    if (m_thread.joinable())
        m_thread.join();
}

void PlatformReader::setActive(bool isActive)
{
    {
        absl::MutexLock lock { &m_lock };
        m_schedule.setActive(isActive);
    }
    if (!isActive)
        m_client.cancel();
}

bool PlatformReader::isWanted() const
{
    absl::MutexLock lock { &m_lock };
    return m_schedule.isActive() && !m_isStopping;
}

bool PlatformReader::isStoppingOrActive() const { return m_isStopping || m_schedule.isActive(); }

bool PlatformReader::waitForTurn()
{
    absl::MutexLock lock { &m_lock };
    while (!m_isStopping) {
        m_lock.Await(absl::Condition { this, &PlatformReader::isStoppingOrActive });
        auto delay = m_schedule.nextRead().value_or(Core::TimePoint {}) - m_clock.now();
        bool isDue = m_schedule.isActive() && delay <= Core::TimePoint::duration::zero();
        if (isDue && !m_isStopping) {
            m_schedule.noteStarted(m_clock.now());
            return true;
        }
        m_lock.AwaitWithTimeout(absl::Condition { &m_isStopping }, absl::FromChrono(delay));
    }
    return false;
}

void PlatformReader::run(Read const& read)
{
    while (waitForTurn()) {
        bool isGood = read(m_client);
        absl::MutexLock lock { &m_lock };
        if (isGood)
            m_schedule.noteSuccess();
        else if (m_schedule.isActive())
            m_schedule.noteFailure(m_clock.now());
    }
    absl::MutexLock lock { &m_lock };
    m_isFinished = true;
}

}

#include <LibConfig/FolderReader.h>
#include <LibConfig/FolderSource.h>

#include <algorithm>
#include <array>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/inotify.h>
#include <unistd.h>

namespace Chicorytally::Config {

static constexpr std::uint32_t WatchedEvents
    = IN_CLOSE_WRITE | IN_CREATE | IN_DELETE | IN_MOVED_FROM | IN_MOVED_TO | IN_ATTRIB | IN_DELETE_SELF | IN_MOVE_SELF;

FolderSource::FolderSource(FolderSourceOptions options)
    : m_options(std::move(options))
    , m_filter(m_options.folder.string(), RevisionRule::DeclaredOrOffered)
    , m_settler(m_options.quietTime)
    , m_inotify(inotify_init1(IN_NONBLOCK | IN_CLOEXEC))
    , m_wakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

FolderSource::~FolderSource()
{
    stop();
    if (m_inotify >= 0)
        close(m_inotify);
    if (m_wakeEvent >= 0)
        close(m_wakeEvent);
}

void FolderSource::start(UpdateHook onUpdate, ErrorHook onError)
{
    m_onUpdate = std::move(onUpdate);
    m_onError = std::move(onError);
    m_thread = std::thread { [this] { run(); } };
}

void FolderSource::stop()
{
    m_isStopping = true;
    wake();
    if (m_thread.joinable())
        m_thread.join();
}

void FolderSource::wake()
{
    std::uint64_t one = 1;
    // A full counter wakes the thread as well.
    [[maybe_unused]] auto written = write(m_wakeEvent, &one, sizeof(one));
}

Source FolderSource::asSource()
{
    return {
        .start = [this](UpdateHook onUpdate, ErrorHook onError) { start(std::move(onUpdate), std::move(onError)); },
        .stop = [this] { stop(); },
        .setActive = [](bool) {},
    };
}

void FolderSource::run()
{
    while (!m_isStopping) {
        // Before the read, so that no change between the two goes unnoticed.
        watch();
        readFolder();
        waitForChange();
    }
}

// The folder may have been replaced by another one of the same name; adding a watch again is harmless.
void FolderSource::watch() { inotify_add_watch(m_inotify, m_options.folder.c_str(), WatchedEvents); }

void FolderSource::readFolder()
{
    FolderReader reader;
    auto files = reader.readFiles(m_options.folder);
    // An unreadable folder settles like a change, because a file may vanish between listing and reading.
    auto digest = files ? digestOf(*files) : digestOf({ { "", reader.faults().front().toString() } });
    auto revision = files ? reader.newestModification() : Core::Revision {};
    if (!m_settler.offer(digest, revision, m_clock.now()))
        return;
    if (files)
        deliver(m_filter.offer(std::move(*files), revision));
    else
        m_onError({ SourceErrorKind::Unreachable, m_options.folder.string(), reader.faults().front().cause,
            reader.faults() });
}

void FolderSource::deliver(OfferOutcome const& outcome)
{
    if (outcome.update)
        m_onUpdate(*outcome.update);
    if (outcome.error)
        m_onError(*outcome.error);
}

std::chrono::milliseconds FolderSource::timeToNextRead() const
{
    auto next = m_settler.nextRead();
    if (!next)
        return m_options.pollInterval;
    auto delay = std::chrono::ceil<std::chrono::milliseconds>(*next - m_clock.now());
    return std::clamp(delay, std::chrono::milliseconds { 1 }, m_options.pollInterval);
}

static void discardInput(int descriptor)
{
    std::array<char, 4096> buffer;
    while (read(descriptor, buffer.data(), buffer.size()) > 0) { }
}

void FolderSource::waitForChange()
{
    std::array<pollfd, 2> descriptors { pollfd { m_wakeEvent, POLLIN, 0 }, pollfd { m_inotify, POLLIN, 0 } };
    // Further events while a change settles are left for later, which bounds the reads of a busy folder.
    auto count = m_settler.nextRead() ? std::size_t { 1 } : descriptors.size();
    poll(descriptors.data(), count, static_cast<int>(timeToNextRead().count()));
    discardInput(m_wakeEvent);
    discardInput(m_inotify);
}

}

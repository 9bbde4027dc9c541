#include <LibDistribution/Controller.h>
#include <LibDistribution/Distributor.h>

namespace Chicorytally::Distribution {

Controller::Controller(Core::Clock const& clock, Options options, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_distributor(std::make_unique<Distributor>(clock, options))
{
}

Controller::~Controller() = default;

void Controller::processCandidates()
{
    absl::MutexLock acceptLock { &m_acceptLock };
    for (;;) {
        std::optional<Candidate> candidate;
        {
            absl::MutexLock lock { &m_lock };
            candidate = m_distributor->takeCandidate();
            if (!candidate || candidate->revision <= m_distributor->files().revision())
                return;
        }
        std::string reason;
        bool isAccepted = !m_hooks.accept || m_hooks.accept(candidate->revision, candidate->files, reason);
        absl::MutexLock lock { &m_lock };
        if (isAccepted)
            m_distributor->commit(std::move(*candidate));
        else
            m_distributor->refuse(*candidate, std::move(reason));
    }
}

void Controller::offerPlatformCopy(Core::Revision revision, FileSet files)
{
    {
        absl::MutexLock lock { &m_lock };
        m_distributor->offerPlatformCopy(revision, std::move(files));
    }
    processCandidates();
}

void Controller::platformUnchanged()
{
    absl::MutexLock lock { &m_lock };
    m_distributor->platformUnchanged();
}

void Controller::platformFailed()
{
    absl::MutexLock lock { &m_lock };
    m_distributor->platformFailed();
}

bool Controller::tryStartPlatformRead()
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->tryStartPlatformRead();
}

void Controller::receive(Core::VmId sender, Messages::DistributionMessage const& message)
{
    {
        absl::MutexLock lock { &m_lock };
        m_distributor->receive(sender, message);
    }
    processCandidates();
}

std::vector<OutgoingMessage> Controller::tick()
{
    std::vector<OutgoingMessage> messages;
    {
        absl::MutexLock lock { &m_lock };
        messages = m_distributor->tick();
    }
    processCandidates();
    return messages;
}

void Controller::applyMembers(std::vector<Peer> const& peers)
{
    absl::MutexLock lock { &m_lock };
    m_distributor->applyMembers(peers);
}

Core::Revision Controller::revision() const
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->files().revision();
}

Core::Revision Controller::platformRevision() const
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->platformRevision();
}

std::uint64_t Controller::digest() const
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->files().digest();
}

FileSet Controller::files() const
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->files().files();
}

Counters Controller::counters() const
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->counters();
}

std::string Controller::lastRefusal() const
{
    absl::MutexLock lock { &m_lock };
    return m_distributor->lastRefusal();
}

}

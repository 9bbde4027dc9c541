#include <LibEventLoop/ConnectionProbe.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Chicorytally::EventLoop {

static int startConnection(Core::Endpoint const& endpoint)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    // Closing sends a reset, so that the local port doesn't stay in TIME_WAIT.
    linger abortive { .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    std::memcpy(&address.sin_addr, endpoint.address.v4Bytes().data(), sizeof(address.sin_addr));
    // check() reads a failure from the socket's SO_ERROR.
    [[maybe_unused]] int result = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    return descriptor;
}

ConnectionProbe::ConnectionProbe(Loop& loop, Core::Clock const& clock, Core::Endpoint const& endpoint,
    std::chrono::milliseconds timeout, Callback callback)
    : m_clock(clock)
    , m_deadline(clock.now() + timeout)
    , m_timeout(timeout)
    , m_callback(std::move(callback))
    , m_descriptor(startConnection(endpoint))
    , m_event(std::make_unique<EventRegistration>(
          loop.base(), m_descriptor, static_cast<short>(m_descriptor < 0 ? EV_TIMEOUT : EV_WRITE), [this] { check(); }))
{
    m_event->arm(m_descriptor < 0 ? std::chrono::milliseconds { 0 } : timeout);
}

ConnectionProbe::~ConnectionProbe()
{
    m_event.reset();
    if (m_descriptor >= 0)
        close(m_descriptor);
}

void ConnectionProbe::check()
{
    if (m_descriptor < 0) {
        m_callback(ProbeResult::LocalError);
        return;
    }
    pollfd entry { .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    if (poll(&entry, 1, 0) == 0) {
        // After a pause of the process, its timers fire before it handles responses that arrived during the pause. A
        // timer that fires late therefore starts another timeout.
        bool isLate = m_clock.now() - m_deadline > m_timeout / 2;
        if (!isLate) {
            m_callback(ProbeResult::TimedOut);
            return;
        }
        m_deadline = m_clock.now() + m_timeout;
        m_event->arm(m_timeout);
        return;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0)
        m_callback(ProbeResult::Connected);
    else
        m_callback(error == ECONNREFUSED || error == ECONNRESET ? ProbeResult::Refused : ProbeResult::TimedOut);
}

}

#include <LibDataPath/Worker.h>

namespace Chicorytally::DataPath {

// Bounds how long stop() waits for an idle worker.
static constexpr std::chrono::milliseconds PollTimeout { 50 };

Worker::Worker(UdpSocket udpSocket, std::shared_ptr<FilterChain const> chain)
    : m_socket(std::move(udpSocket))
    , m_chain(std::move(chain))
    , m_receiver(std::make_unique<BatchReceiver>())
{
}

Worker::~Worker() { stop(); }

void Worker::start()
{
    m_thread = std::thread { [this] { run(); } };
}

void Worker::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Worker::run()
{
    while (!m_isStopping) {
        if (m_socket.waitReadable(PollTimeout))
            runOnce();
    }
    while (runOnce() > 0) { }
}

std::size_t Worker::runOnce()
{
    auto datagrams = m_receiver->receive(m_socket);
    std::uint64_t forwarded = 0;
    for (std::size_t i = 0; i < datagrams.size(); ++i) {
        auto& context = m_contexts[i];
        context = {};
        context.datagram = datagrams[i].bytes;
        context.from = datagrams[i].from;
        context.isTruncated = datagrams[i].isTruncated;
        if (m_chain->run(context) == FilterResult::Stop)
            continue;
        m_sender.add(
            { { context.header.data(), context.headerSize }, context.encapsulated.inner, context.destination });
        ++forwarded;
    }
    auto refused = m_sender.flush(m_socket);
    m_counters.received += datagrams.size();
    m_counters.forwarded += forwarded - refused;
    m_counters.dropped += datagrams.size() - forwarded;
    m_counters.sendFailures += refused;
    return datagrams.size();
}

}

#include <LibDataPath/Worker.h>

namespace Chicorytally::DataPath {

// Limits how long stop() waits for an idle worker.
static constexpr std::chrono::milliseconds PollTimeout { 50 };

// Enough batches to drain a full receive buffer on stop, and a limit in case packets keep arriving.
static constexpr int MaxBatchesOnStop = 128;

Worker::Worker(Core::Clock const& clock, UdpSocket udpSocket, WorkerChains chains, WorkerHooks hooks)
    : m_clock(clock)
    , m_lastRun(clock.now())
    , m_socket(std::move(udpSocket))
    , m_chains(std::move(chains))
    , m_hooks(std::move(hooks))
    , m_receiver(std::make_unique<BatchReceiver>())
    , m_refusals(std::make_unique<std::array<Packet::RefusalBuffer, BatchSize>>())
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
        if (runOnceDroppingStale() == 0)
            m_socket.waitReadable(PollTimeout);
    }
    for (int i = 0; i < MaxBatchesOnStop && runOnce() > 0; ++i) { }
}

void Worker::initializeContexts(std::span<ReceivedDatagram const> datagrams)
{
    for (std::size_t i = 0; i < datagrams.size(); ++i) {
        auto& context = m_contexts[i];
        context = {};
        context.datagram = datagrams[i].bytes;
        context.from = datagrams[i].from;
        context.isTruncated = datagrams[i].isTruncated;
        context.refusalBuffer = (*m_refusals)[i];
    }
}

void Worker::classify(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        m_chains.classify->run(m_contexts[i]);
}

void Worker::handle(PacketContext& context)
{
    bool isSent = context.dropReason == DropReason::None && m_chains.handle->run(context) == FilterResult::Continue;
    if (isSent) {
        m_sender.add({ { context.header.data(), context.headerSize }, context.body, context.destination });
        ++m_sentInBatch;
    }
    if (m_hooks.packetHandled)
        m_hooks.packetHandled(context);
}

void Worker::handleBatch(std::size_t count)
{
    if (count < BatchSize) {
        for (std::size_t i = 0; i < count; ++i)
            handle(m_contexts[i]);
        return;
    }
    for (auto isOpening : { false, true }) {
        for (auto& context : m_contexts) {
            if (context.packet.isOpening() == isOpening)
                handle(context);
        }
    }
}

std::size_t Worker::runOnceDroppingStale()
{
    auto now = m_clock.now();
    bool wasPaused = now - m_lastRun > PauseLimit;
    m_lastRun = now;
    if (wasPaused)
        dropQueuedDatagrams();
    return runOnce();
}

void Worker::dropQueuedDatagrams()
{
    // Limited because new packets may keep arriving; far fewer batches drain a full receive buffer.
    for (int i = 0; i < MaxBatchesOnStop; ++i) {
        auto count = m_receiver->receive(m_socket).size();
        m_counters.received += count;
        m_counters.dropped += count;
        if (count < BatchSize)
            return;
    }
}

std::size_t Worker::runOnce()
{
    auto startedAt = m_clock.now();
    auto datagrams = m_receiver->receive(m_socket);
    if (datagrams.empty())
        return 0;
    if (m_hooks.batchStarted)
        m_hooks.batchStarted(datagrams.size());
    m_sentInBatch = 0;
    initializeContexts(datagrams);
    classify(datagrams.size());
    handleBatch(datagrams.size());
    if (m_clock.now() - startedAt > PauseLimit) {
        m_sender.discard();
        m_sentInBatch = 0;
    }
    auto failures = m_sender.flush(m_socket);
    if (m_hooks.batchSent)
        m_hooks.batchSent(failures);
    m_counters.received += datagrams.size();
    m_counters.forwarded += m_sentInBatch - failures;
    m_counters.dropped += datagrams.size() - m_sentInBatch;
    m_counters.sendFailures += failures;
    return datagrams.size();
}

}

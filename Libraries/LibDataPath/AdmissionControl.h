#pragma once

#include <cstddef>
#include <cstdint>

namespace Chicorytally::DataPath {

struct AdmissionOptions {
    /// Full batches in a row after which the balancer counts as overloaded. One full batch is a burst; several mean
    /// that packets arrive faster than they are handled.
    std::size_t fullBatchesUntilOverload { 4 };
    /// New flows that an overloaded worker still takes of each batch.
    std::size_t opensPerOverloadedBatch { 16 };
};

/// Admits new flows to one worker. Under overload, packets of held flows go first and most opens are dropped; the
/// caller's TCP repeats them. Not thread-safe.
class AdmissionControl {
public:
    explicit AdmissionControl(AdmissionOptions options = {})
        : m_options(options)
    {
    }

    /// Begins a batch. isRefusingOpens: the balancer has no room for any new flow.
    void startBatch(std::size_t received, std::size_t capacity, bool isRefusingOpens)
    {
        m_fullBatches = received == capacity ? m_fullBatches + 1 : 0;
        m_isRefusingOpens = isRefusingOpens;
        m_opens = 0;
    }

    bool isOverloaded() const { return m_fullBatches >= m_options.fullBatchesUntilOverload; }

    /// Whether one more new flow is taken in this batch.
    bool admitOpen()
    {
        if (m_isRefusingOpens)
            return false;
        return !isOverloaded() || m_opens++ < m_options.opensPerOverloadedBatch;
    }

private:
    AdmissionOptions m_options;
    std::size_t m_fullBatches { 0 };
    std::size_t m_opens { 0 };
    bool m_isRefusingOpens { false };
};

}

#pragma once

#include <cstddef>
#include <cstdint>

namespace Chicorytally::DataPath {

struct AdmissionOptions {
    /// Consecutive full batches after which the worker is overloaded. A single full batch may be a burst; several in a
    /// row mean that packets arrive faster than the worker processes them.
    std::size_t fullBatchesUntilOverload { 4 };
    /// New flows that an overloaded worker still accepts per batch.
    std::size_t opensPerOverloadedBatch { 16 };
};

/// Admission control for new flows on one worker. Under overload, packets of established flows take precedence and most
/// opening packets are dropped; the caller's TCP retransmits them. Not thread-safe.
class AdmissionControl {
public:
    explicit AdmissionControl(AdmissionOptions options = {})
        : m_options(options)
    {
    }

    /// Begins a batch. isRefusingOpens: the balancer has no capacity for new flows.
    void startBatch(std::size_t received, std::size_t capacity, bool isRefusingOpens)
    {
        m_fullBatches = received == capacity ? m_fullBatches + 1 : 0;
        m_isRefusingOpens = isRefusingOpens;
        m_opens = 0;
    }

    bool isOverloaded() const { return m_fullBatches >= m_options.fullBatchesUntilOverload; }

    /// Whether another new flow is accepted in this batch; counts it if so.
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

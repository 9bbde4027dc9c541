#include <Harness/Methods.h>

#include <LibPlacement/Ownership.h>
#include <LibPlacement/TargetTable.h>

#include <absl/container/flat_hash_map.h>

#include <map>

namespace Chicorytally::Harness {

using Placement::Decision;
using Placement::PacketInfo;
using Placement::PacketKind;
using Placement::Reason;
using Placement::Verdict;

namespace {

    class EngineMethod final : public PlacementMethod {
    public:
        EngineMethod(Core::Clock const& clock, Placement::EngineOptions options, Placement::EngineHooks hooks)
            : m_engine(clock, options, std::move(hooks))
        {
        }

        Decision decide(PacketInfo const& packet) override { return m_engine.decide(packet); }
        void applyConfiguration(std::shared_ptr<Model::Configuration const> configuration) override
        {
            m_engine.applyConfiguration(std::move(configuration));
        }
        void applyMembers(Placement::MemberView const& view) override { m_engine.applyMembers(view); }
        void receive(Core::VmId sender, Messages::PlacementMessage const& message) override
        {
            m_engine.receive(sender, message);
        }
        std::vector<Placement::OutgoingMessage> tick() override { return m_engine.tick(); }
        bool hasUrgentMessages() const override { return m_engine.hasUrgentMessages(); }
        void prepareShutdown() override { m_engine.prepareShutdown(); }
        bool isDrained() const override { return m_engine.isDrained(); }
        Placement::Engine* engine() override { return &m_engine; }

    private:
        Placement::Engine m_engine;
    };

    /// Shared by the methods that decide by the present configuration.
    class ViewMethod : public PlacementMethod {
    public:
        explicit ViewMethod(std::uint64_t hashKey)
            : m_hashKey(hashKey)
        {
        }

        void applyConfiguration(std::shared_ptr<Model::Configuration const> configuration) override
        {
            m_configuration = std::move(configuration);
        }

    protected:
        Decision forward(Model::Upstream const* upstream) const
        {
            if (!upstream)
                return { .verdict = Verdict::Refuse, .reason = Reason::NoUpstream };
            return { .verdict = Verdict::Forward,
                .reason = Reason::Steady,
                .upstream = upstream->id,
                .destination = upstream->address };
        }

        Model::Upstream const* rendezvous(Model::Service const& service, std::uint64_t flow) const
        {
            Model::Upstream const* best = nullptr;
            std::uint64_t bestScore = 0;
            for (auto const& upstream : service.upstreams) {
                auto score = Core::hashPair(flow, upstream.id.value());
                if (!Placement::TargetTable::takesNewFlows(*m_configuration, upstream) || (best && score <= bestScore))
                    continue;
                best = &upstream;
                bestScore = score;
            }
            return best;
        }

        Model::Service const* serviceOf(PacketInfo const& packet) const
        {
            return m_configuration ? m_configuration->findService(packet.service) : nullptr;
        }

        std::uint64_t m_hashKey;
        std::shared_ptr<Model::Configuration const> m_configuration;
    };

    class StatelessMethod final : public ViewMethod {
    public:
        using ViewMethod::ViewMethod;

        Decision decide(PacketInfo const& packet) override
        {
            auto const* service = serviceOf(packet);
            if (!service)
                return {};
            return forward(rendezvous(*service, packet.flow.hash(m_hashKey).low));
        }
    };

    class MaglevMethod final : public ViewMethod {
    public:
        using ViewMethod::ViewMethod;

        Decision decide(PacketInfo const& packet) override
        {
            auto table = m_tables.find(packet.service);
            if (table == m_tables.end())
                return {};
            return forward(table->second[packet.flow.hash(m_hashKey).low % TableSize]);
        }

        void applyConfiguration(std::shared_ptr<Model::Configuration const> configuration) override
        {
            ViewMethod::applyConfiguration(std::move(configuration));
            m_tables.clear();
            for (auto const& service : m_configuration->services)
                m_tables[service.id] = build(service);
        }

    private:
        static constexpr std::size_t TableSize = 65537;
        using UpstreamTable = std::vector<Model::Upstream const*>;

        UpstreamTable build(Model::Service const& service) const
        {
            UpstreamTable table(TableSize, nullptr);
            UpstreamTable upstreams;
            for (auto const& upstream : service.upstreams) {
                if (Placement::TargetTable::takesNewFlows(*m_configuration, upstream))
                    upstreams.push_back(&upstream);
            }
            std::vector<std::size_t> next(upstreams.size(), 0);
            std::size_t filled = 0;
            while (!upstreams.empty() && filled < TableSize) {
                for (std::size_t i = 0; i < upstreams.size() && filled < TableSize; ++i) {
                    auto id = upstreams[i]->id.value();
                    auto offset = Core::hashPair(id, 1) % TableSize;
                    auto skip = Core::hashPair(id, 2) % (TableSize - 1) + 1;
                    auto position = (offset + next[i] * skip) % TableSize;
                    while (table[position])
                        position = (offset + ++next[i] * skip) % TableSize;
                    table[position] = upstreams[i];
                    ++filled;
                }
            }
            return table;
        }

        std::map<Core::ServiceId, UpstreamTable> m_tables;
    };

    class OwnerPerFlowMethod final : public ViewMethod {
    public:
        OwnerPerFlowMethod(std::uint64_t hashKey, Core::VmId self)
            : ViewMethod(hashKey)
            , m_self(self)
        {
        }

        Decision decide(PacketInfo const& packet) override
        {
            auto const* service = serviceOf(packet);
            if (!service)
                return {};
            auto flow = packet.flow.hash(m_hashKey).low;
            auto ownership = Placement::Ownership::of(m_view, m_self, false, packet.service, flow);
            if (ownership.owner != m_self) {
                if (packet.hopCount >= 2)
                    return { .verdict = Verdict::Drop, .reason = Reason::HopLimit };
                return { .verdict = Verdict::ForwardToPeer, .reason = Reason::NotOwner, .peer = ownership.owner };
            }
            auto record = m_records.find(flow);
            if (record != m_records.end()) {
                auto decision = forward(record->second);
                if (packet.kind == PacketKind::Close)
                    m_records.erase(record);
                return decision;
            }
            auto const* upstream = rendezvous(*service, flow);
            if (packet.kind == PacketKind::Open && upstream) {
                m_records[flow] = upstream;
                queueCopy(ownership.backup, packet.service, flow, upstream);
            }
            return forward(upstream);
        }

        void applyMembers(Placement::MemberView const& view) override { m_view = view; }

        void applyConfiguration(std::shared_ptr<Model::Configuration const> configuration) override
        {
            // Records point into configurations; keep all of them.
            m_held.push_back(configuration);
            ViewMethod::applyConfiguration(std::move(configuration));
        }

        void receive(Core::VmId, Messages::PlacementMessage const& message) override
        {
            for (auto const& copy : message.recordBatch.records) {
                auto const* service = m_configuration->findService(
                    Core::ServiceId { static_cast<std::uint64_t>(message.recordBatch.serviceId) });
                auto id = message.recordBatch.upstreams[static_cast<std::size_t>(copy.upstream)].id;
                if (auto const* upstream
                    = service ? service->findUpstream(Core::UpstreamId { static_cast<std::uint64_t>(id) }) : nullptr)
                    m_records[static_cast<std::uint64_t>(copy.flow)] = upstream;
            }
        }

        std::vector<Placement::OutgoingMessage> tick() override
        {
            std::vector<Placement::OutgoingMessage> result;
            for (auto& [key, batch] : m_batches) {
                Messages::PlacementMessage message;
                message.__set_recordBatch(batch);
                result.push_back({ key.first, std::move(message) });
            }
            m_batches.clear();
            return result;
        }

    private:
        void queueCopy(Core::VmId backup, Core::ServiceId service, std::uint64_t flow, Model::Upstream const* upstream)
        {
            if (!backup.isValid())
                return;
            auto& batch = m_batches[{ backup, service }];
            batch.serviceId = static_cast<std::int64_t>(service.value());
            auto id = static_cast<std::int64_t>(upstream->id.value());
            std::size_t index = 0;
            while (index < batch.upstreams.size() && batch.upstreams[index].id != id)
                ++index;
            if (index == batch.upstreams.size()) {
                batch.upstreams.emplace_back();
                batch.upstreams.back().id = id;
            }
            Messages::FlowRecordCopy copy;
            copy.flow = static_cast<std::int64_t>(flow);
            copy.upstream = static_cast<std::int32_t>(index);
            batch.records.push_back(copy);
        }

        Core::VmId m_self;
        Placement::MemberView m_view;
        std::vector<std::shared_ptr<Model::Configuration const>> m_held;
        absl::flat_hash_map<std::uint64_t, Model::Upstream const*> m_records;
        std::map<std::pair<Core::VmId, Core::ServiceId>, Messages::RecordBatch> m_batches;
    };

}

MethodFactory engineMethod()
{
    return [](Core::Clock const& clock, Placement::EngineOptions options, Placement::EngineHooks hooks) {
        return std::make_unique<EngineMethod>(clock, options, std::move(hooks));
    };
}

MethodFactory statelessMethod()
{
    return [](Core::Clock const&, Placement::EngineOptions options, Placement::EngineHooks const&) {
        return std::make_unique<StatelessMethod>(options.hashKey);
    };
}

MethodFactory maglevMethod()
{
    return [](Core::Clock const&, Placement::EngineOptions options, Placement::EngineHooks const&) {
        return std::make_unique<MaglevMethod>(options.hashKey);
    };
}

MethodFactory ownerPerFlowMethod()
{
    return [](Core::Clock const&, Placement::EngineOptions options, Placement::EngineHooks const&) {
        return std::make_unique<OwnerPerFlowMethod>(options.hashKey, options.self);
    };
}

}

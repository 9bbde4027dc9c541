#include <LibDistribution/ItemBatch.h>

#include <LibDistribution/Compression.h>

#include <algorithm>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Chicorytally::Distribution {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

// Smaller batches, such as a single upstream's entry, fit into one packet either way.
static constexpr std::size_t MinimumCompressedSize = 1024;

static std::span<std::uint8_t const> bytesOf(std::string_view text)
{
    return { reinterpret_cast<std::uint8_t const*>(text.data()), text.size() };
}

std::string sealBatch(ItemBatch const& batch, Messages::PeerKey const& key)
{
    Messages::ItemBatch message;
    message.completeUpTo = static_cast<std::int64_t>(batch.completeUpTo.value());
    auto epoch = batch.completeUpTo.epoch();
    if (epoch.isValid())
        message.__set_epoch(static_cast<std::int64_t>(epoch.value()));
    message.ageMilliseconds = static_cast<std::int32_t>(std::min<std::int64_t>(batch.age.count(), INT32_MAX));
    message.isListing = batch.isListing;
    for (auto const& item : batch.items) {
        auto& stored = message.items.emplace_back();
        stored.key = item.key;
        stored.revision = static_cast<std::int64_t>(item.revision.value());
        if (item.revision.epoch() != epoch)
            stored.__set_epoch(static_cast<std::int64_t>(item.revision.epoch().value()));
        if (item.value)
            stored.__set_value(*item.value);
    }
    for (auto const& patch : batch.patches) {
        message.__isset.patches = true;
        auto& stored = message.patches.emplace_back();
        stored.key = patch.key;
        stored.revision = static_cast<std::int64_t>(patch.revision.value());
        stored.baseRevision = static_cast<std::int64_t>(patch.baseRevision.value());
        stored.patch = patch.patch;
    }
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol { buffer };
    message.write(&protocol);
    auto sealed = buffer->getBufferAsString();
    if (batch.encoding == BatchEncoding::Compressed && sealed.size() >= MinimumCompressedSize)
        sealed = compress(sealed);
    auto tag = key.computeTag(bytesOf(sealed));
    sealed.append(tag.begin(), tag.end());
    return sealed;
}

static Core::Revision revisionOf(std::int64_t value, std::int64_t epoch)
{
    return Core::Revision { static_cast<std::uint64_t>(value), Core::Epoch { static_cast<std::uint64_t>(epoch) } };
}

static ItemBatch fromMessage(Messages::ItemBatch const& message)
{
    ItemBatch batch;
    auto epoch = message.__isset.epoch ? message.epoch : 0;
    batch.completeUpTo = revisionOf(message.completeUpTo, epoch);
    batch.age = std::chrono::milliseconds { message.ageMilliseconds };
    batch.isListing = message.isListing;
    for (auto const& stored : message.items) {
        auto& item = batch.items.emplace_back();
        item.key = stored.key;
        item.revision = revisionOf(stored.revision, stored.__isset.epoch ? stored.epoch : epoch);
        if (stored.__isset.value)
            item.value = stored.value;
    }
    for (auto const& stored : message.patches) {
        batch.patches.push_back(
            { stored.key, revisionOf(stored.revision, epoch), revisionOf(stored.baseRevision, epoch), stored.patch });
    }
    return batch;
}

std::optional<ItemBatch> openBatch(std::string_view bytes, Messages::KeyRing const& keys)
{
    if (bytes.size() < Messages::TagSize)
        return std::nullopt;
    auto body = bytes.substr(0, bytes.size() - Messages::TagSize);
    auto tag = bytesOf(bytes.substr(body.size())).first<Messages::TagSize>();
    if (!keys.isAuthentic(bytesOf(body), tag))
        return std::nullopt;
    std::optional<std::string> decompressed;
    if (isCompressed(body)) {
        decompressed = decompress(body);
        if (!decompressed)
            return std::nullopt;
        body = *decompressed;
    }
    auto content = bytesOf(body);
    try {
        // TMemoryBuffer does not write to the bytes here, but its constructor takes a non-const pointer.
        auto buffer = std::make_shared<TMemoryBuffer>(
            const_cast<std::uint8_t*>(content.data()), static_cast<std::uint32_t>(content.size()));
        TCompactProtocol protocol { buffer };
        Messages::ItemBatch message;
        message.read(&protocol);
        return fromMessage(message);
    } catch (apache::thrift::TException const&) {
        return std::nullopt;
    }
}

}

#include <LibDistribution/Compression.h>

#include <memory>
#include <zstd.h>

namespace Chicorytally::Distribution {

static constexpr int CompressionLevel = 3;

// Bounds the memory that a frame may claim, which is read before its checksum can be verified.
static constexpr std::size_t MaximumContentSize = std::size_t { 4 } * 1024 * 1024;

// First bytes of a frame, section 3.1.1 of RFC 8878.
static constexpr std::string_view FrameMagic { "\x28\xB5\x2F\xFD", 4 };

std::string compress(std::string_view content, std::string_view base)
{
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context { ZSTD_createCCtx(), ZSTD_freeCCtx };
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string frame(ZSTD_compressBound(content.size()), '\0');
    auto size = ZSTD_compress2(context.get(), frame.data(), frame.size(), content.data(), content.size());
    frame.resize(ZSTD_isError(size) ? 0 : size);
    return frame;
}

std::optional<std::string> decompress(std::string_view frame, std::string_view base)
{
    auto contentSize = ZSTD_getFrameContentSize(frame.data(), frame.size());
    bool isKnown = contentSize != ZSTD_CONTENTSIZE_UNKNOWN && contentSize != ZSTD_CONTENTSIZE_ERROR;
    if (!isKnown || contentSize > MaximumContentSize)
        return std::nullopt;
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context { ZSTD_createDCtx(), ZSTD_freeDCtx };
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string content(contentSize, '\0');
    auto size = ZSTD_decompressDCtx(context.get(), content.data(), content.size(), frame.data(), frame.size());
    if (ZSTD_isError(size) || size != contentSize)
        return std::nullopt;
    return content;
}

bool isCompressed(std::string_view bytes) { return bytes.starts_with(FrameMagic); }

}

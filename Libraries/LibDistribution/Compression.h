#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Chicorytally::Distribution {

/// Returns a Zstandard frame (RFC 8878) with a checksum of the content. If a base is given, the frame holds the
/// difference to it, and only decompress() with the same base restores the content.
std::string compress(std::string_view content, std::string_view base = {});

/// Returns nothing if the frame is malformed, the content or the base isn't the one that was compressed, or the content
/// is larger than 4 MB.
std::optional<std::string> decompress(std::string_view frame, std::string_view base = {});

/// Whether the bytes start like a Zstandard frame.
bool isCompressed(std::string_view bytes);

}

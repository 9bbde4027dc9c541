#include <LibConfig/Fault.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace Chicorytally::Config {

static constexpr std::size_t MaxQuotedLength = 80;

std::string Position::toString() const { return line ? absl::StrCat(file, ":", line) : file; }

Fault Fault::at(Position const& position, std::string cause, std::string remedy)
{
    return { position.file, position.line, position.column, std::move(cause), std::move(remedy) };
}

std::string Fault::toString() const
{
    auto text = file;
    if (line)
        absl::StrAppend(&text, ":", line, ":", column);
    absl::StrAppend(&text, ": ", cause);
    if (!remedy.empty())
        absl::StrAppend(&text, "; ", remedy);
    return text;
}

std::string quoted(std::string_view text)
{
    std::string result = "'";
    for (auto character : text.substr(0, MaxQuotedLength)) {
        auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7f)
            absl::StrAppendFormat(&result, "\\x%02x", byte);
        else
            result += character;
    }
    return result + (text.size() > MaxQuotedLength ? "...'" : "'");
}

}

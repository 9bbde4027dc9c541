#include <LibConfig/Parser.h>
#include <LibConfig/Validator.h>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Chicorytally::Config {

// The platform holds values of up to 1 MB.
static constexpr std::size_t MaxFileSize = 1'048'576;

static std::vector<SourceFile const*> sortedByName(std::vector<SourceFile> const& files)
{
    std::vector<SourceFile const*> sorted;
    sorted.reserve(files.size());
    for (auto const& file : files)
        sorted.push_back(&file);
    std::ranges::sort(sorted, {}, [](SourceFile const* file) -> std::string const& { return file->name; });
    return sorted;
}

static void checkFiles(std::vector<SourceFile const*> const& files, FaultList& list)
{
    // An empty set is what a folder that was not mounted looks like; it must not take all services out.
    if (files.empty())
        list.add({ "(no file)" }, "there is no configuration file", "add at least one file whose name ends in .toml");
    for (std::size_t i = 0; i < files.size(); ++i) {
        if (i > 0 && files[i]->name == files[i - 1]->name)
            list.add({ files[i]->name }, "the file name stands twice in the set", "give each file its own name");
    }
}

static PositionedTable mergeFiles(std::vector<SourceFile const*> const& files, FaultList& list)
{
    PositionedTable merged;
    for (auto const* file : files) {
        if (file->content.size() > MaxFileSize) {
            list.add({ file->name }, absl::StrCat("the file has ", file->content.size(), " bytes"),
                absl::StrCat("divide it into files of at most ", MaxFileSize, " bytes"));
            list.isIncomplete = true;
            continue;
        }
        auto table = PositionedTable::parse(*file, list.faults);
        list.isIncomplete = list.isIncomplete || !table;
        if (table)
            merged.overrideWith(std::move(*table));
    }
    return merged;
}

std::optional<Model::Configuration> Parser::parse(std::vector<SourceFile> const& files, Core::Revision revision)
{
    FaultList list;
    auto sorted = sortedByName(files);
    checkFiles(sorted, list);
    auto declaration = readDeclaration(mergeFiles(sorted, list), list);
    Validator { list }.check(declaration);
    m_declaredRevision = declaration.revision;
    m_faults = std::move(list.faults);
    std::ranges::sort(m_faults);
    if (!m_faults.empty())
        return std::nullopt;
    auto configuration = toConfiguration(declaration);
    if (revision.isValid())
        configuration.revision = revision;
    return configuration;
}

}

#include <LibDistribution/VersionedFiles.h>

#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Chicorytally::Distribution {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

void VersionedFiles::replace(Core::Revision revision, FileSet files)
{
    // Removed files keep an entry in m_lastChanges. The limit bounds memory use when many short-lived file names come
    // and go.
    static constexpr std::size_t MaximumRemovedFiles = 1000;
    bool isFirst = !m_revision.isValid();
    if (isFirst || m_lastChanges.size() > files.size() + MaximumRemovedFiles) {
        m_lastChanges.clear();
        m_oldestDeltaBase = revision;
    } else {
        for (auto const& [name, content] : m_files) {
            if (!files.contains(name))
                m_lastChanges[name] = revision;
        }
        for (auto const& [name, content] : files) {
            auto old = m_files.find(name);
            if (old == m_files.end() || old->second != content)
                m_lastChanges[name] = revision;
        }
    }
    m_revision = revision;
    m_digest = digestOf(files);
    m_files = std::move(files);
}

static Messages::ConfigurationFile toMessage(std::string const& name, std::string const& content)
{
    Messages::ConfigurationFile file;
    file.name = name;
    file.__set_content(content);
    return file;
}

Messages::Delta VersionedFiles::deltaFrom(Core::Revision from) const
{
    Messages::Delta delta;
    delta.toRevision = static_cast<std::int64_t>(m_revision.value());
    delta.toDigest = static_cast<std::int64_t>(m_digest);
    if (!from.isValid() || from < m_oldestDeltaBase || from > m_revision) {
        delta.fromRevision = 0;
        for (auto const& [name, content] : m_files)
            delta.files.push_back(toMessage(name, content));
        return delta;
    }
    delta.fromRevision = static_cast<std::int64_t>(from.value());
    for (auto const& [name, changedAt] : m_lastChanges) {
        if (changedAt <= from)
            continue;
        if (auto file = m_files.find(name); file != m_files.end()) {
            delta.files.push_back(toMessage(name, file->second));
            continue;
        }
        Messages::ConfigurationFile removed;
        removed.name = name;
        removed.__set_removed(true);
        delta.files.push_back(std::move(removed));
    }
    return delta;
}

std::optional<FileSet> VersionedFiles::apply(Messages::Delta const& delta) const
{
    Core::Revision from { static_cast<std::uint64_t>(delta.fromRevision) };
    if (from.isValid() && from != m_revision)
        return std::nullopt;
    FileSet files = from.isValid() ? m_files : FileSet {};
    for (auto const& file : delta.files) {
        if (file.__isset.removed && file.removed)
            files.erase(file.name);
        else
            files[file.name] = file.content;
    }
    if (digestOf(files) != static_cast<std::uint64_t>(delta.toDigest))
        return std::nullopt;
    return files;
}

std::string encode(Messages::Delta const& delta)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol { buffer };
    delta.write(&protocol);
    return buffer->getBufferAsString();
}

std::optional<Messages::Delta> decode(std::string const& bytes)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<std::uint8_t const*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocol protocol { buffer };
    Messages::Delta delta;
    try {
        delta.read(&protocol);
    } catch (apache::thrift::TException const&) {
        return std::nullopt;
    }
    return delta;
}

}

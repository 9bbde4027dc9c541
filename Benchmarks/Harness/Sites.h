#pragma once

#include <LibModel/Model.h>

#include <memory>
#include <string>

namespace Chicorytally::Harness {

using ConfigurationPointer = std::shared_ptr<Model::Configuration const>;

/// Configurations of the two sites of the design page, and changes of them. Each change has the next revision.
class Sites {
public:
    static Model::Configuration accra();
    static Model::Configuration centralGuatemala();

    static Model::Service& service(Model::Configuration&, std::string const& name);
    static Model::Upstream& upstream(Model::Configuration&, std::string const& service, std::size_t index);
    static void addService(Model::Configuration&, std::string const& name, std::uint8_t net, std::size_t upstreams,
        std::size_t zones, Core::Protocol = Core::Protocol::Tcp);
    static void addUpstream(Model::Configuration&, std::string const& service, std::size_t zone);
    static void removeUpstream(Model::Configuration&, std::string const& service, std::size_t index);
    static void setZone(Model::Configuration&, std::size_t zone, Model::ZoneState);
    /// Sorts the lists and counts the revision up.
    static ConfigurationPointer commit(Model::Configuration&);
};

}

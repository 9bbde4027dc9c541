#pragma once

#include <LibConfig/Schema.h>

namespace Chicorytally::Config {

/// Checks the relations between declarations: zone names that nothing declares, addresses that overlap, and address
/// families that differ within a service.
class Validator {
public:
    explicit Validator(FaultList& faults)
        : m_faults(faults)
    {
    }

    void check(Declaration const&);

private:
    void checkZones(Declaration const&);
    void checkServiceAddresses(Declaration const&);
    void checkUpstreamAddresses(Declaration const&);
    void checkUpstreamsAgainstServices(Declaration const&);
    void checkFamilies(DeclaredService const&);
    void checkCount(DeclaredService const&);

    FaultList& m_faults;
};

}
